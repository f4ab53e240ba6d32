//! An attempt of this router and the state of its claim.

use uuid::Uuid;

use crate::state::{AttemptId, CustomerId, InstanceId, RequestId};

use super::ClaimKey;

/// A request to claim a key.
#[derive(Clone, Debug)]
pub(super) struct Intent {
    pub request: RequestId,
    /// The attempt that runs the request if it gets the claim.
    pub attempt: AttemptId,
    pub key: ClaimKey,
    /// The timestamp in the key, in milliseconds since the Unix epoch.
    pub key_ms: u64,
    /// The digest of the request, which detects that a key is reused for another request.
    pub request_digest: [u8; 16],
    /// The caller's deadline, on the steady clock.
    pub deadline_ms: u64,
}

impl Intent {
    /// The customer, key and request digest, as sent to other routers.
    pub(super) fn parts(&self) -> (CustomerId, Uuid, [u8; 16]) {
        (self.key.customer.clone(), self.key.key, self.request_digest)
    }
}

/// The state of an attempt's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryState {
    /// The claim is not known to be recorded.
    Claiming,
    /// The claim is recorded: the attempt may be dispatched.
    Granted,
}

/// An attempt of this router and its claim.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub intent: Intent,
    /// The state of the claim.
    pub state: EntryState,
    /// The preferred writer that the claim was sent to; `None` if this router writes it.
    pub writer: Option<InstanceId>,
    /// When to stop waiting for the preferred writer and write the claim directly, on the steady
    /// clock.
    pub fallback_ms: Option<u64>,
    /// Requests with the same key that wait for the result of this attempt.
    pub waiters: Vec<Intent>,
}

/// A result that the preferred writer was asked to record.
#[derive(Clone, Debug)]
pub(super) struct ForwardedResult {
    pub intent: Intent,
    pub result: crate::protocol::peer::ClaimResult,
    /// When to stop waiting for the preferred writer and write the result directly, on the steady
    /// clock.
    pub fallback_ms: u64,
}
