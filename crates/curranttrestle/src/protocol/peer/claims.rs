//! Messages that hand claims to the usual writer of a claim object.

use serde::{Deserialize, Serialize};

use crate::state::{AttemptId, CustomerId};
use uuid::Uuid;

/// Asks the usual writer of a claim object to make one record in the sender's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The customer whose key it is.
    pub customer: CustomerId,
    /// The idempotency key.
    pub key: Uuid,
    /// The digest of the request.
    pub request_digest: [u8; 16],
    /// The attempt that wants the right to dispatch, or had it and ended.
    pub attempt: AttemptId,
    /// What to record: the claim when there is no result, else the result.
    pub result: Option<ClaimResult>,
}

/// The answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The attempt that asked.
    pub attempt: AttemptId,
    /// The request was to record a result.
    pub is_result: bool,
    /// The attempt on record; none when the writer could not reach the store.
    pub recorded: Option<AttemptId>,
}

/// How the attempt that holds a claim ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// It ran and gave this answer.
    Answered(StoredAnswer),
    /// It never ran and never will, so that a repeat may claim the key anew.
    NotRun,
    /// It was handed over, and there is no proof of what became of it.
    Unknown,
}

/// An answer as it is kept for repeats of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The body.
    pub body: StoredBody,
}

/// The body of a [`StoredAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredBody {
    /// The whole body.
    Whole(#[serde(with = "hex::serde")] Vec<u8>),
    /// The body was too large to be kept.
    TooLarge {
        /// Its length.
        length_bytes: u64,
        /// Its digest, the first 16 bytes of SHA-256.
        #[serde(with = "hex::serde")]
        digest: [u8; 16],
    },
}
