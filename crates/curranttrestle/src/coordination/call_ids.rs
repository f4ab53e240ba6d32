//! Numbers of store calls, which tell the module that made the call.

use crate::protocol::platform::CallId;

/// How many low bits of a [`CallId`] count the calls of one module.
const COUNTER_BITS: u32 = 56;

/// The module that made a store call and gets its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOwner {
    /// The claims of non-idempotent requests.
    Claims,
    /// The leaving and stopping of endpoints.
    Drain,
    /// The sheet.
    Sheet,
    /// The list of instances.
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

    /// The module that made `call`; none when no [`CallIds`] made the number.
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

/// Numbers the store calls of one module.
#[derive(Clone, Debug)]
pub struct CallIds {
    owner: CallOwner,
    issued: u64,
}

impl CallIds {
    /// Numbers for the calls of `owner`.
    #[must_use]
    pub fn new(owner: CallOwner) -> Self {
        Self { owner, issued: 0 }
    }

    /// The next number, never given before by this value.
    pub fn next_id(&mut self) -> CallId {
        self.issued += 1;
        CallId(self.owner.tag() << COUNTER_BITS | self.issued)
    }
}
