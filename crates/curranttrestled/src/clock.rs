//! The process's clocks, read only here.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use curranttrestle::state::Now;

/// Reads the present time for the deciding functions.
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
    /// The present time.
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
