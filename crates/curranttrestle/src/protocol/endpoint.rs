//! Messages between a router and an endpoint, as values.
//!
//! A model engine serves, as JSON over HTTP:
//!
//! - `POST /v1/streams` with a [`StreamRequest`] starts a stream. The answer is one
//!   [`StreamLine`] per line of text: [`StreamLine::Opened`], then frames, then
//!   [`StreamLine::Done`]. Lines that begin with [`COMMENT_PREFIX`] carry nothing.
//! - `GET /v1/streams/{id}?offset=n&attempt=a` resumes it from byte `n`; 404 once it is gone.
//! - `DELETE /v1/streams/{id}` cancels it.
//! - `GET /v1/events?after=n` answers the [`CacheEvent`]s whose sequence exceeds `n`.
//!
//! A plain service serves `POST /operations/{name}`: a whole body in, a whole body out, with
//! the headers [`ATTEMPT_HEADER`] and, where the caller gave one, [`IDEMPOTENCY_KEY_HEADER`].
//!
//! Both serve `GET /v1/load` with a [`LoadReport`] and `POST /v1/orders` with an [`Order`].
//! A request refused before it began is answered with status 503 and the header
//! [`OUTCOME_HEADER`](super::outcome::OUTCOME_HEADER) `: not-run`.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::state::{CustomerId, EndpointId, PoolId};

/// The name of the header that carries the attempt of a service call.
pub const ATTEMPT_HEADER: &str = "Attempt-Id";

/// The name of the header that carries the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// The first character of a line of a stream that carries nothing.
pub const COMMENT_PREFIX: u8 = b':';

/// Names a stream at the engine that runs it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(pub String);

impl fmt::Display for StreamId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Asks a model engine for a streamed answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamRequest {
    /// The attempt, in its text form. Every frame of the answer repeats it.
    pub attempt: String,
    /// The request, in its text form. All attempts of one request share it.
    pub request: String,
    /// The customer that is served.
    pub customer: CustomerId,
    /// The operation asked for.
    pub operation: String,
    /// The pool, which names the model.
    pub pool: PoolId,
    /// The prompt.
    pub prompt: String,
    /// The answer ends after this many tokens at the latest.
    pub max_tokens: u32,
    /// The expected cost in tokens, where a hint is known.
    pub expected_cost: Option<f64>,
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The attempt that the frame answers.
    pub attempt: String,
    /// The position of the first byte of `text` in the whole answer.
    pub offset: u64,
    /// The text.
    pub text: String,
    /// How many tokens of the answer exist up to the end of this frame.
    pub tokens_total: u64,
}

/// One line of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "kebab-case")]
pub enum StreamLine {
    /// The stream is known to the engine from now on.
    Opened {
        /// Its name, for resuming and cancelling.
        stream: StreamId,
        /// The run of the engine.
        incarnation: u64,
    },
    /// A part of the answer.
    Frame(Frame),
    /// The answer is complete.
    Done {
        /// The attempt that is answered.
        attempt: String,
        /// The length of the whole answer in bytes.
        length: u64,
        /// The number of tokens of the whole answer.
        tokens_total: u64,
    },
}

/// What an endpoint was doing when the report was taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The run of the endpoint. A restarted endpoint has a greater one.
    pub incarnation: u64,
    /// When the report was taken, by the endpoint's clock.
    pub taken_unix_ms: u64,
    /// The attempts that run, in their text form.
    pub running: Vec<String>,
    /// The [`running_digest`] of `running`.
    pub running_digest: u64,
    /// How many requests the endpoint is made to run at once.
    pub slots: u32,
    /// The endpoint has been told that it will stop.
    pub draining: bool,
    /// The model that is loaded; for a plain service, its name.
    pub model: String,
    /// The role of the endpoint within its pool.
    pub role: String,
}

/// A digest of a set of attempts that does not depend on their order.
///
/// ```
/// use curranttrestle::protocol::endpoint::running_digest;
/// assert_eq!(running_digest(["a", "b"]), running_digest(["b", "a"]));
/// assert_ne!(running_digest(["a", "b"]), running_digest(["a"]));
/// ```
pub fn running_digest<'a>(attempts: impl IntoIterator<Item = &'a str>) -> u64 {
    attempts
        .into_iter()
        .map(|attempt| xxh3_64(attempt.as_bytes()))
        .fold(0, u64::wrapping_add)
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load a model.
    Load {
        /// The model.
        model: String,
    },
    /// Take a role within the pool.
    Role {
        /// The role.
        role: String,
    },
    /// End the process.
    Stop,
}

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What is asked for.
    pub kind: OrderKind,
    /// The fencing number: orders with a smaller one than the greatest seen are stale.
    pub fencing: u64,
    /// The run of the endpoint that the order is for.
    pub incarnation: u64,
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum OrderAnswer {
    /// The order took effect.
    Applied,
    /// The order was refused: a greater fencing number was seen before.
    Stale {
        /// The greatest fencing number seen.
        greatest: u64,
    },
    /// The order was refused: it names another run of the endpoint.
    OtherIncarnation {
        /// The present run of the endpoint.
        incarnation: u64,
    },
}

/// What happened to a cached prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// A change of an engine's prefix cache. Events come late and some are missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; a gap in the numbers shows that events are missing.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The digest of the prefix.
    pub prefix_digest: u64,
    /// The length of the prefix in tokens.
    pub tokens: u32,
}

/// How many bytes of a prompt make one block of an engine's prefix cache.
pub const PREFIX_BLOCK_BYTES: usize = 64;

/// The digests of the prefixes of a prompt that an engine can cache, the shortest first.
///
/// ```
/// use curranttrestle::protocol::endpoint::prefix_digests;
/// let common = "x".repeat(128);
/// let first: Vec<u64> = prefix_digests(&format!("{common} first")).collect();
/// let second: Vec<u64> = prefix_digests(&format!("{common} second")).collect();
/// assert_eq!(first, second);
/// assert_eq!(first.len(), 2);
/// ```
pub fn prefix_digests(prompt: &str) -> impl Iterator<Item = u64> + '_ {
    let blocks = prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES);
    blocks.scan(0, |digest, block| {
        *digest = xxh3_64_with_seed(block, *digest);
        Some(*digest)
    })
}
