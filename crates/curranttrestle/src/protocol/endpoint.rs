//! Message types exchanged between a router and an endpoint.
//!
//! A model engine serves, as JSON over HTTP:
//!
//! - `POST /v1/streams` with a [`StreamRequest`] starts a stream. The response has one
//!   [`StreamLine`] per line of text: [`StreamLine::Opened`], then frames, then
//!   [`StreamLine::Done`]. Lines that begin with [`COMMENT_PREFIX`] are ignored.
//! - `GET /v1/streams/{id}?offset=n&attempt=a` resumes the stream from byte `n`. The
//!   status is 404 if the engine no longer has the stream.
//! - `DELETE /v1/streams/{id}` cancels the stream.
//! - `GET /v1/events?after=n` returns the [`CacheEvent`]s whose sequence exceeds `n`.
//!
//! A plain service serves `POST /operations/{name}`. Neither the request nor the response is
//! streamed. The request has the header [`ATTEMPT_HEADER`] and, if the caller sent an
//! idempotency key, [`IDEMPOTENCY_KEY_HEADER`].
//!
//! Both serve `GET /v1/load` with a [`LoadReport`] and `POST /v1/orders` with an [`Order`].
//! If an endpoint refuses a request before running it, it responds with status 503 and the header
//! [`OUTCOME_HEADER`](super::outcome::OUTCOME_HEADER) `: not-run`.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::state::{CustomerId, EndpointId, PoolId};

/// The header with the attempt ID of a service call.
pub const ATTEMPT_HEADER: &str = "Attempt-Id";

/// The header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// The first character of a stream line that readers ignore.
pub const COMMENT_PREFIX: u8 = b':';

/// Identifies a stream at the engine that runs it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(pub String);

impl fmt::Display for StreamId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Asks a model engine for a streamed response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamRequest {
    /// The attempt ID in its text form. Every frame of the response includes it.
    pub attempt: String,
    /// The request ID in its text form, shared by all attempts of the request.
    pub request: String,
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// The requested operation.
    pub operation: String,
    /// The pool, which determines the model.
    pub pool: PoolId,
    /// The prompt.
    pub prompt: String,
    /// The maximum length of the response in tokens.
    pub max_tokens: u32,
    /// The expected cost in tokens, if a hint is available.
    pub expected_cost: Option<f64>,
}

/// A part of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The attempt that the frame belongs to.
    pub attempt: String,
    /// The offset in bytes of `text` in the response.
    pub offset: u64,
    /// The text.
    pub text: String,
    /// The number of tokens in the response up to the end of this frame.
    pub tokens_total: u64,
}

/// One line of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "kebab-case")]
pub enum StreamLine {
    /// The engine has opened the stream, which can now be resumed or cancelled.
    Opened {
        /// The stream's ID, used to resume or cancel it.
        stream: StreamId,
        /// The incarnation of the engine.
        incarnation: u64,
    },
    /// A part of the response.
    Frame(Frame),
    /// The response is complete.
    Done {
        /// The attempt that the response belongs to.
        attempt: String,
        /// The length of the complete response in bytes.
        length: u64,
        /// The number of tokens in the complete response.
        tokens_total: u64,
    },
}

/// The load and state of an endpoint at one moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint. It increases at each restart.
    pub incarnation: u64,
    /// When the report was taken, in milliseconds since the Unix epoch by the endpoint's clock.
    pub taken_unix_ms: u64,
    /// The IDs of the running attempts, in their text form.
    pub running: Vec<String>,
    /// The [`running_digest`] of `running`.
    pub running_digest: u64,
    /// The maximum number of concurrent requests that the endpoint is designed for.
    pub slots: u32,
    /// Whether the endpoint has been notified that it will be stopped.
    pub draining: bool,
    /// The loaded model; for a plain service, the service's name.
    pub model: String,
    /// The role of the endpoint within its pool.
    pub role: String,
}

/// Returns a digest of a set of attempts that does not depend on their order.
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

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum OrderKind {
    /// Load a model.
    Load {
        /// The model.
        model: String,
    },
    /// Assume a role within the pool.
    Role {
        /// The role.
        role: String,
    },
    /// Exit the process.
    Stop,
}

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The requested action.
    pub kind: OrderKind,
    /// The fencing number. An order is stale if its number is less than the greatest one that the
    /// endpoint has seen.
    pub fencing: u64,
    /// The incarnation of the endpoint that the order applies to.
    pub incarnation: u64,
}

/// The response to an [`Order`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum OrderResponse {
    /// The order took effect.
    Applied,
    /// The order was refused: the endpoint has seen a greater fencing number.
    Stale {
        /// The greatest fencing number seen.
        greatest: u64,
    },
    /// The order was refused: it applies to another incarnation of the endpoint.
    OtherIncarnation {
        /// The current incarnation of the endpoint.
        incarnation: u64,
    },
}

/// The kind of a change to a cached prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// A change to an engine's prefix cache. Events may arrive late or be lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number; a gap indicates lost events.
    pub sequence: u64,
    /// The kind of change.
    pub kind: CacheEventKind,
    /// The digest of the prefix, as in [`prefix_digests`].
    pub prefix_digest: u64,
    /// The length of the prefix in tokens.
    pub tokens: u32,
}

/// The block size of an engine's prefix cache, in bytes of the prompt.
pub const PREFIX_BLOCK_BYTES: usize = 64;

/// Returns the digests of the prefixes of a prompt that an engine can cache, shortest first.
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
