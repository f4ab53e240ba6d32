//! Distinguishes an outage of the store from the loss of one connection to it.
//!
//! Directory entries expire during an outage, so those that are missing after it stay in use for a
//! while. An open connection may also go silent or be reset while the store is available. Then an
//! entry that is missing has been removed, and must not stay in use.

/// How a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The connection of a waiting watch was lost or stayed silent.
    WatchLost,
    /// The connection of another call was lost or stayed silent.
    NoResponse,
    /// No connection could be opened, or the store did not serve the call.
    NotServed,
}

/// Detects outages by the results of one task's calls to the store.
///
/// ```
/// use curranttrestle::coordination::gateway::outage_detection::{CallFailure, OutageDetector};
/// let mut detector = OutageDetector::default();
/// // The next call over a new connection succeeds.
/// assert!(!detector.record_failure(CallFailure::WatchLost));
/// detector.record_success();
/// // The next call fails too.
/// assert!(!detector.record_failure(CallFailure::WatchLost));
/// assert!(detector.record_failure(CallFailure::NoResponse));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageDetector {
    failures: u32,
    is_retractable: bool,
}

impl OutageDetector {
    /// Records a failed call. Returns whether the store counts as unavailable because of it.
    pub fn record_failure(&mut self, failure: CallFailure) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.is_retractable = self.failures == 1 && failure == CallFailure::NoResponse;
        self.failures > 1 || failure != CallFailure::WatchLost
    }

    /// Records a successful call. Returns whether the store was available all the while, although the
    /// failed call before this one counted as an outage.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(self).is_retractable
    }
}
