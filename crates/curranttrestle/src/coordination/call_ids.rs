//! IDs of store calls. Each ID encodes the module that made the call.

use crate::protocol::platform::CallId;

/// Low bits of a [`CallId`] that hold the call counter. The bits above hold the module's tag.
const COUNTER_BITS: u32 = 56;

/// Module that made a store call and receives the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOwner {
    /// Claims of non-idempotent requests.
    Claims,
    /// Draining and stopping of endpoints.
    Drain,
    /// The configuration sheet and the operators' marks.
    Sheet,
    /// The platform's list of instances.
    Instances,
}

impl CallOwner {
    const ALL: [Self; 4] = [Self::Claims, Self::Drain, Self::Sheet, Self::Instances];

    fn tag(self) -> u64 {
        match self {
            Self::Claims => 1,
            Self::Drain => 2,
            Self::Sheet => 3,
            Self::Instances => 4,
        }
    }

    /// Returns the module that made `call`, or `None` if the ID was not issued by [`CallIds`].
    ///
    /// ```
    /// use curranttrestle::coordination::call_ids::{CallIds, CallOwner};
    /// let mut calls = CallIds::new(CallOwner::Claims);
    /// assert_eq!(CallOwner::of(calls.next_id()), Some(CallOwner::Claims));
    /// ```
    #[must_use]
    pub fn of(call: CallId) -> Option<Self> {
        let tag = call.0 >> COUNTER_BITS;
        Self::ALL.into_iter().find(|owner| owner.tag() == tag)
    }
}

/// Issues the IDs of one module's store calls.
#[derive(Clone, Debug)]
pub struct CallIds {
    owner: CallOwner,
    issued: u64,
}

impl CallIds {
    /// Creates an issuer for the calls of `owner`.
    #[must_use]
    pub fn new(owner: CallOwner) -> Self {
        Self { owner, issued: 0 }
    }

    /// Returns the next ID. An issuer never returns the same ID twice.
    pub fn next_id(&mut self) -> CallId {
        self.issued += 1;
        CallId(self.owner.tag() << COUNTER_BITS | self.issued)
    }
}
