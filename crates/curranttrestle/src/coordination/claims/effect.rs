//! The effects of claims: actions that the caller must carry out.

use crate::protocol::Refusal;
use crate::protocol::peer::{PeerMessage, StoredResponse};
use crate::protocol::platform::{CallId, StoreCall};
use crate::state::{EventKind, InstanceId, RequestId};

/// An action that a [`super::ClaimManager`] asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimEffect {
    /// Make a store call and pass its response to [`super::ClaimManager::receive_store_response`].
    Store {
        /// The ID of the call.
        call: CallId,
        /// The call.
        request: StoreCall,
    },
    /// Send a message to another router.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// Resolve the claim of a request. Each call of [`super::ClaimManager::begin`] leads to exactly
    /// one verdict.
    Resolved {
        /// The request.
        request: RequestId,
        /// The verdict.
        verdict: ClaimVerdict,
    },
    /// Emit an event.
    Emit {
        /// The kind of the event.
        kind: EventKind,
        /// The request that the event concerns, if any.
        request: Option<RequestId>,
        /// Details as key-value pairs.
        details: Vec<(&'static str, String)>,
    },
}

/// The result of claiming a key for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The attempt may be dispatched. Call [`super::ClaimManager::may_dispatch`] right before each
    /// dispatch, and always call [`super::ClaimManager::finish`] at the end.
    Dispatch,
    /// An earlier request with the same key got this response.
    Replay(StoredResponse),
    /// An earlier request with the same key may have run.
    Unknown(Refusal),
    /// The request did not run, and its attempt never will.
    NotRun(Refusal),
}
