//! Messages that hand claims to the usual writer of a claim object.

use serde::{Deserialize, Serialize};

use crate::state::{AttemptId, CustomerId};
use uuid::Uuid;

/// Asks the usual writer of a claim object to record a claim in the sender's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The customer whose key it is.
    pub customer: CustomerId,
    /// The idempotency key.
    pub key: Uuid,
    /// The digest of the request.
    pub request_digest: [u8; 16],
    /// The attempt that wants the right to dispatch.
    pub attempt: AttemptId,
}

/// The answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimAnswer {
    /// The attempt that asked.
    pub attempt: AttemptId,
    /// The attempt on record; none when the writer could not reach the store.
    pub recorded: Option<AttemptId>,
}
