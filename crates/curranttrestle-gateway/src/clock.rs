//! The process's clocks, read only here.

use std::time::{SystemTime, UNIX_EPOCH};

use curranttrestle::state::Now;
use rustix::time::{ClockId, clock_gettime};

/// The present time. The steady part counts the time of a suspension too, because leases and
/// proofs grow old meanwhile.
#[must_use]
pub fn now() -> Now {
    let steady = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(steady.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(steady.tv_nsec).unwrap_or_default();
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Now {
        steady_ms: seconds * 1_000 + nanos / 1_000_000,
        unix_ms: u64::try_from(unix.as_millis()).unwrap_or(u64::MAX),
    }
}
