//! Messages that forward claims to the preferred writer of a claim object.

use serde::{Deserialize, Serialize};

use crate::state::{AttemptId, CustomerId};
use uuid::Uuid;

/// Asks the preferred writer of a claim object to write one record on behalf of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The customer that the key belongs to.
    pub customer: CustomerId,
    /// The idempotency key.
    pub key: Uuid,
    /// The digest of the request.
    pub request_digest: [u8; 16],
    /// The attempt that requests the right to dispatch, or that held it and has ended.
    pub attempt: AttemptId,
    /// The result to record. If `None`, the claim itself is recorded.
    pub result: Option<ClaimResult>,
}

/// The response to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The attempt named in the request.
    pub attempt: AttemptId,
    /// Whether the request was to record a result.
    pub is_result: bool,
    /// The recorded attempt, or `None` if the writer could not reach the store.
    pub recorded: Option<AttemptId>,
}

/// The result of the attempt that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// It ran and gave this response.
    Answered(StoredResponse),
    /// It did not run and never will, so a retry may claim the key again.
    NotRun,
    /// It was dispatched, and it is not known whether it ran or with what result.
    Unknown,
}

/// A response stored for retries of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The body.
    pub body: StoredBody,
}

/// The body of a [`StoredResponse`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredBody {
    /// The complete body.
    Whole(#[serde(with = "hex::serde")] Vec<u8>),
    /// The body was too large to store.
    TooLarge {
        /// The length of the body.
        length_bytes: u64,
        /// The digest of the body: the first 16 bytes of its SHA-256.
        #[serde(with = "hex::serde")]
        digest: [u8; 16],
    },
}
