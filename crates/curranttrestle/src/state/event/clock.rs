//! A hybrid logical clock.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::state::Now;

/// A timestamp that follows the wall clock and orders each cause before its effects.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct HybridTime {
    /// Milliseconds since the Unix epoch: the latest value of all clocks observed so far.
    pub unix_ms: u64,
    /// Orders events within one millisecond.
    pub counter: u32,
}

impl fmt::Display for HybridTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:04}", self.unix_ms, self.counter)
    }
}

/// The hybrid logical clock of one process.
///
/// ```
/// use curranttrestle::state::event::HybridClock;
/// use curranttrestle::state::Now;
/// let mut clock = HybridClock::default();
/// let first = clock.tick(Now { steady_ms: 0, unix_ms: 10 });
/// let second = clock.tick(Now { steady_ms: 0, unix_ms: 9 });
/// assert!(first < second);
/// ```
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Advances the clock and returns the timestamp of a new event.
    pub fn tick(&mut self, now: Now) -> HybridTime {
        if now.unix_ms > self.last.unix_ms {
            self.last = HybridTime {
                unix_ms: now.unix_ms,
                counter: 0,
            };
        } else {
            self.last.counter += 1;
        }
        self.last
    }

    /// Advances the clock to at least the timestamp of a message from another process.
    pub fn observe(&mut self, other: HybridTime) {
        self.last = self.last.max(other);
    }
}
