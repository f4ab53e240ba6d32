//! Limits how many events of one kind are logged per second.

use curranttrestle::state::Now;

/// Allows a number of events per second and counts the suppressed ones.
///
/// ```
/// use curranttrestle::state::Now;
/// use curranttrestle_gateway::log::EventRateLimiter;
/// let mut limiter = EventRateLimiter::new(2);
/// let now = Now::default().plus_ms(5_000);
/// assert!(limiter.allows(now) && limiter.allows(now) && !limiter.allows(now));
/// assert_eq!(limiter.take_suppressed(now), Some(1));
/// // The flood continues in the next second.
/// let later = now.plus_ms(1_000);
/// assert!(limiter.allows(later) && limiter.allows(later) && !limiter.allows(later));
/// assert_eq!(limiter.take_suppressed(now.plus_ms(999)), None);
/// assert_eq!(limiter.take_suppressed(later), Some(1));
/// assert_eq!(limiter.suppressed(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct EventRateLimiter {
    max_per_s: u64,
    /// The start of the current second.
    second_ms: u64,
    allowed: u64,
    /// Suppressed events since the last report, and the time of that report.
    unreported: u64,
    reported_ms: u64,
    suppressed: u64,
}

/// The period over which events are counted.
const SECOND_MS: u64 = 1_000;

impl EventRateLimiter {
    /// Allows at most `max_per_s` events per second.
    #[must_use]
    pub fn new(max_per_s: u64) -> Self {
        Self {
            max_per_s,
            second_ms: 0,
            allowed: 0,
            unreported: 0,
            reported_ms: 0,
            suppressed: 0,
        }
    }

    /// Whether an event that happens now is allowed.
    pub fn allows(&mut self, now: Now) -> bool {
        if now.since_ms(self.second_ms) >= SECOND_MS {
            self.second_ms = now.steady_ms;
            self.allowed = 0;
        }
        if self.allowed < self.max_per_s {
            self.allowed += 1;
            return true;
        }
        self.unreported += 1;
        self.suppressed += 1;
        false
    }

    /// Returns the events suppressed since the last report; `None` if there are none or the last
    /// report was less than a second ago.
    pub fn take_suppressed(&mut self, now: Now) -> Option<u64> {
        if self.unreported == 0 || now.since_ms(self.reported_ms) < SECOND_MS {
            return None;
        }
        self.reported_ms = now.steady_ms;
        Some(std::mem::take(&mut self.unreported))
    }

    /// The number of events suppressed since the start.
    #[must_use]
    pub fn suppressed(&self) -> u64 {
        self.suppressed
    }
}
