//! Reads the clocks of the process; no other module does.

use std::time::{SystemTime, UNIX_EPOCH};

use curranttrestle::state::Now;
use rustix::time::{ClockId, clock_gettime};

/// Returns the processor time that the process has used, in milliseconds.
#[must_use]
pub fn processor_ms() -> u64 {
    let used = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(used.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(used.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}

/// Returns the current time. The steady clock also counts the time while the machine is suspended,
/// because leases and freshness proofs age meanwhile.
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
