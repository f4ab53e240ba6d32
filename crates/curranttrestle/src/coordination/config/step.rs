//! The steps of a change in the store.

use crate::protocol::platform::StoreCall;

/// The next step of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeStep<T> {
    /// Wait, make a call and pass on its response.
    Call {
        /// The delay before the call.
        delay_ms: u64,
        /// The call to make.
        call: StoreCall,
    },
    /// The change is complete, with this outcome.
    Done(T),
}

/// Retry settings of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeSettings {
    /// The change ends after this many failed calls. A conflict also counts when a mark is added.
    pub max_failures: u32,
    /// The delay before the first retry.
    pub initial_retry_delay_ms: u64,
    /// The maximum delay before a retry.
    pub max_retry_delay_ms: u64,
}

impl Default for ChangeSettings {
    fn default() -> Self {
        Self {
            max_failures: 8,
            initial_retry_delay_ms: 100,
            max_retry_delay_ms: 2_000,
        }
    }
}
