//! The steps of a change in the store.

use crate::protocol::platform::StoreCall;

/// What comes next in a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Step<T> {
    /// Wait, make a call and hand in its answer.
    Call {
        /// How long to wait before the call.
        delay_ms: u64,
        /// The call.
        call: StoreCall,
    },
    /// The change came to its end.
    Done(T),
}

/// How long a change is tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeSettings {
    /// How many calls may fail, or how many conflicts be met, before it is given up.
    pub most_failures: u32,
    /// The delay before the first retry.
    pub first_retry_ms: u64,
    /// The longest delay before a retry.
    pub longest_retry_ms: u64,
}

impl Default for ChangeSettings {
    fn default() -> Self {
        Self {
            most_failures: 8,
            first_retry_ms: 100,
            longest_retry_ms: 2_000,
        }
    }
}
