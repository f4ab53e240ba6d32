//! The source of the times that are passed to the router.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use curranttrestle::state::Now;

/// Reads the steady clock and the system clock.
///
/// The functions that make decisions take the time as an argument and read no clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            started: Instant::now(),
        }
    }
}

impl Clock {
    /// The current time: steady time counts from the creation of this clock.
    #[must_use]
    pub fn now(&self) -> Now {
        let steady = self.started.elapsed();
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Now {
            steady_ms: u64::try_from(steady.as_millis()).unwrap_or(u64::MAX),
            unix_ms: u64::try_from(unix.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
