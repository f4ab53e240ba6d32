//! One attempt of this router and its claim.

use uuid::Uuid;

use crate::state::{AttemptId, CustomerId, InstanceId, RequestId};

use super::ClaimKey;

/// A request that wants its key claimed.
#[derive(Clone, Debug)]
pub(super) struct Intent {
    /// The request.
    pub request: RequestId,
    /// The attempt that would run it.
    pub attempt: AttemptId,
    /// The key.
    pub key: ClaimKey,
    /// The key's own time.
    pub key_ms: u64,
    /// The digest of the request.
    pub request_digest: [u8; 16],
    /// When the caller's patience ends, on the steady clock.
    pub deadline_ms: u64,
}

impl Intent {
    /// The request's digest, customer and key as they are sent to other routers.
    pub(super) fn parts(&self) -> (CustomerId, Uuid, [u8; 16]) {
        (self.key.customer.clone(), self.key.key, self.request_digest)
    }
}

/// How far the claim of an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryState {
    /// The claim is not on record yet, as far as is known.
    Claiming,
    /// The claim is on record: the attempt may be dispatched.
    Granted,
}

/// One attempt of this router and its claim.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// The request.
    pub intent: Intent,
    /// How far the claim is.
    pub state: EntryState,
    /// The usual writer that was asked.
    pub writer: Option<InstanceId>,
    /// When to stop waiting for the usual writer, on the steady clock.
    pub fallback_ms: Option<u64>,
    /// Requests with the same key that wait for the result.
    pub waiters: Vec<Intent>,
}

/// A result that the usual writer was asked to record.
#[derive(Clone, Debug)]
pub(super) struct ForwardedResult {
    /// The attempt's request.
    pub intent: Intent,
    /// The result.
    pub result: crate::protocol::peer::ClaimResult,
    /// When to stop waiting for the writer, on the steady clock.
    pub fallback_ms: u64,
}
