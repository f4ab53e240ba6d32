//! How many events of one sort are told in a second.

use curranttrestle::state::Now;

/// Lets some events of each second be told, and counts the others.
///
/// ```
/// use curranttrestle::state::Now;
/// use curranttrestle_gateway::log::EventRate;
/// let mut rate = EventRate::new(2);
/// let now = Now::default().plus_ms(5_000);
/// assert!(rate.is_told(now) && rate.is_told(now) && !rate.is_told(now));
/// assert_eq!(rate.take_left_out(now), Some(1));
/// // The flood goes on.
/// let later = now.plus_ms(1_000);
/// assert!(rate.is_told(later) && rate.is_told(later) && !rate.is_told(later));
/// assert_eq!(rate.take_left_out(now.plus_ms(999)), None);
/// assert_eq!(rate.take_left_out(later), Some(1));
/// assert_eq!(rate.left_out(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct EventRate {
    per_s: u64,
    /// The start of the present second.
    second_ms: u64,
    told: u64,
    /// Events that were left out since that was last asked for, and when it was.
    new: u64,
    taken_ms: u64,
    left_out: u64,
}

/// The time over which events are counted.
const SECOND_MS: u64 = 1_000;

impl EventRate {
    /// At most so many events a second are told.
    #[must_use]
    pub fn new(per_s: u64) -> Self {
        Self {
            per_s,
            second_ms: 0,
            told: 0,
            new: 0,
            taken_ms: 0,
            left_out: 0,
        }
    }

    /// Whether an event that happens now is told.
    pub fn is_told(&mut self, now: Now) -> bool {
        if now.since_ms(self.second_ms) >= SECOND_MS {
            self.second_ms = now.steady_ms;
            self.told = 0;
        }
        if self.told < self.per_s {
            self.told += 1;
            return true;
        }
        self.new += 1;
        self.left_out += 1;
        false
    }

    /// How many events were not told since it was last asked for; at most once a second, and
    /// none where all were told.
    pub fn take_left_out(&mut self, now: Now) -> Option<u64> {
        if self.new == 0 || now.since_ms(self.taken_ms) < SECOND_MS {
            return None;
        }
        self.taken_ms = now.steady_ms;
        Some(std::mem::take(&mut self.new))
    }

    /// How many events were not told since the start.
    #[must_use]
    pub fn left_out(&self) -> u64 {
        self.left_out
    }
}
