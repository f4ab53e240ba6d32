//! Clock and duration helpers.

use std::time::{Duration, SystemTime};

/// Converts a duration to whole milliseconds.
pub(crate) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, milliseconds)
}
