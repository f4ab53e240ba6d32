//! Endpoints that asked this gateway to send nothing for a time.
//!
//! A pause concerns this gateway alone, so it is not announced to the others. It belongs to one run
//! of an endpoint: another run has not asked for it.

use indexmap::IndexMap;

use super::directory::EndpointRun;
use crate::state::Now;

/// The pauses that have not ended.
///
/// ```
/// use curranttrestle::coordination::gateway::directory::endpoint_run;
/// use curranttrestle::coordination::gateway::endpoint_pauses::EndpointPauses;
/// use curranttrestle::state::Now;
/// let (run, now) = (endpoint_run(&"m1".into(), 5), Now::default());
/// let mut pauses = EndpointPauses::default();
/// assert!(pauses.record_pause(run, 2_000, now));
/// assert_eq!(pauses.left_ms(run, now.plus_ms(500)), Some(1_500));
/// assert_eq!(pauses.left_ms(run, now.plus_ms(2_000)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointPauses {
    /// The end of each pause, by the steady clock.
    until_ms: IndexMap<EndpointRun, u64>,
}

impl EndpointPauses {
    /// Records that a run of an endpoint asked for a pause of `pause_ms`. A shorter pause does not
    /// end a longer one. Returns whether the run was not paused before.
    pub fn record_pause(&mut self, run: EndpointRun, pause_ms: u64, now: Now) -> bool {
        let was_paused = self.left_ms(run, now).is_some();
        let until_ms = self.until_ms.entry(run).or_default();
        *until_ms = (*until_ms).max(now.steady_ms.saturating_add(pause_ms));
        !was_paused
    }

    /// The time until the pause of a run ends, in milliseconds; `None` if it is not paused.
    #[must_use]
    pub fn left_ms(&self, run: EndpointRun, now: Now) -> Option<u64> {
        let until_ms = *self.until_ms.get(&run)?;
        Some(until_ms.saturating_sub(now.steady_ms)).filter(|left_ms| *left_ms > 0)
    }

    /// Removes pauses that have ended.
    pub fn remove_ended(&mut self, now: Now) {
        self.until_ms
            .retain(|_, until_ms| *until_ms > now.steady_ms);
    }

    /// Whether no pause is known, so that no endpoint has to be looked up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.until_ms.is_empty()
    }

    /// The number of runs that are paused.
    #[must_use]
    pub fn count(&self, now: Now) -> usize {
        let ends = self.until_ms.values();
        ends.filter(|until_ms| **until_ms > now.steady_ms).count()
    }
}
