//! The current time, passed as an argument.

use serde::{Deserialize, Serialize};

/// The current time, read once at the process boundary and passed to the code that needs it.
///
/// Durations, timeouts and leases use `steady_ms`, which never goes backwards. The age of an
/// idempotency key uses `unix_ms`, which is comparable across instances.
///
/// ```
/// use curranttrestle::state::Now;
/// let now = Now { steady_ms: 1_500, unix_ms: 1_700_000_000_000 };
/// assert_eq!(now.since_ms(1_000), 500);
/// assert_eq!(now.since_ms(2_000), 0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Now {
    /// Milliseconds since an arbitrary fixed point, monotonic within this process.
    pub steady_ms: u64,
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl Now {
    /// Returns the elapsed steady time since `earlier_ms`, in milliseconds, or zero if `earlier_ms`
    /// is in the future.
    #[must_use]
    pub fn since_ms(self, earlier_ms: u64) -> u64 {
        self.steady_ms.saturating_sub(earlier_ms)
    }

    /// Returns the time with both clocks advanced by `duration_ms`.
    ///
    /// ```
    /// use curranttrestle::state::Now;
    /// assert_eq!(Now::default().plus_ms(5).steady_ms, 5);
    /// ```
    #[must_use]
    pub fn plus_ms(self, duration_ms: u64) -> Self {
        Self {
            steady_ms: self.steady_ms + duration_ms,
            unix_ms: self.unix_ms + duration_ms,
        }
    }
}
