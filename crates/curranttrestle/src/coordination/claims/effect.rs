//! What a claim book asks its caller to do.

use crate::protocol::Refusal;
use crate::protocol::peer::{PeerMessage, StoredAnswer};
use crate::protocol::platform::{CallId, StoreCall};
use crate::state::{EventKind, InstanceId, RequestId};

/// What a [`super::ClaimBook`] asks its caller to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimEffect {
    /// Make a store call and pass its answer to [`super::ClaimBook::store_answered`].
    Store {
        /// The number of the call.
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
    /// The claim of a request is decided. Each request gets exactly one verdict.
    Resolved {
        /// The request.
        request: RequestId,
        /// The decision.
        verdict: ClaimVerdict,
    },
    /// Emit an event.
    Emit {
        /// The kind of the event.
        kind: EventKind,
        /// The request concerned.
        request: Option<RequestId>,
        /// Details, as key and value.
        details: Vec<(&'static str, String)>,
    },
}

/// What becomes of a request that needs a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The attempt has the right to dispatch. Ask [`super::ClaimBook::may_dispatch`] right
    /// before each dispatch, and call [`super::ClaimBook::finish`] at the end in any case.
    Dispatch,
    /// An earlier request with the same key was answered like this.
    Answered(StoredAnswer),
    /// An earlier request with the same key may have run.
    Unknown(Refusal),
    /// The request did not run, and its attempt never will.
    NotRun(Refusal),
}
