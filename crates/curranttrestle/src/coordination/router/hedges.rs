//! Second attempts beside slow first ones.

use crate::coordination::queue::Waiting;
use crate::coordination::speed::HedgeCandidate;
use crate::state::event::EventKind;
use crate::state::{AttemptId, Now};

use super::Router;

impl Router {
    /// Starts second attempts of short idempotent requests whose first one is late.
    pub(super) fn tick_hedges(&mut self, now: Now) {
        if !self.options.hedging || self.stopping {
            return;
        }
        let late: Vec<AttemptId> = self
            .active
            .attempts
            .values()
            .filter(|running| !running.progressed)
            .map(|running| running.attempt.clone())
            .collect();
        for attempt in late {
            self.hedge(&attempt, now);
        }
    }

    fn hedge(&mut self, attempt: &AttemptId, now: Now) {
        let Some(running) = self.active.attempts.get(attempt) else {
            return;
        };
        let request = running.request;
        let Some(active) = self.active.requests.get_mut(&request) else {
            return;
        };
        let pool = &active.account.pool;
        let candidate = HedgeCandidate {
            idempotent: active.idempotent && !running.exclusive,
            short: self.queues.is_short(pool, active.expected_units),
            elapsed_ms: now.since_ms(running.dispatched_ms),
            attempts: if active.hedged { 2 } else { 1 },
        };
        if !self.hedging.start(pool, candidate, &mut self.hedge_budget) {
            return;
        }
        active.hedged = true;
        let waiting = Waiting {
            request,
            account: active.account.clone(),
            priority: active.priority,
            expected_cost: active.expected_units,
            arrived_ms: active.arrived_ms,
            deadline_ms: active.new.deadline_ms,
            avoid: vec![running.endpoint.clone()],
            exclusive: false,
        };
        let endpoint = running.endpoint.clone();
        let elapsed_ms = candidate.elapsed_ms;
        let queued = self.queues.push(waiting, usize::MAX).is_ok();
        if queued {
            self.emit(
                now,
                EventKind::Hedged,
                Some(request),
                &[("slow_endpoint", &endpoint), ("elapsed_ms", &elapsed_ms)],
            );
        }
    }
}
