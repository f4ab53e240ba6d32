//! Second attempts beside slow first ones.

use crate::coordination::queue::Waiting;
use crate::coordination::speed::HedgeCandidate;
use crate::state::event::EventKind;
use crate::state::sheet::EndpointKind;
use crate::state::{AttemptId, Now};

use super::Router;
use super::active::RunningAttempt;

/// A stream is moved when what is left takes this many times as long on its slow endpoint as
/// the whole answer on another one.
const MOVE_GAIN: f64 = 1.3;

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
        let slow: Vec<AttemptId> = self
            .active
            .attempts
            .values()
            .filter(|running| self.is_worth_moving(running, now))
            .map(|running| running.attempt.clone())
            .collect();
        for attempt in slow {
            self.move_slow(&attempt, now);
        }
    }

    /// Whether a stream on a slow endpoint would be whole much sooner from the beginning
    /// elsewhere.
    fn is_worth_moving(&self, running: &RunningAttempt, now: Now) -> bool {
        let Some(active) = self.active.requests.get(&running.request) else {
            return false;
        };
        let may_move = running.progressed
            && active.idempotent
            && !active.hedged
            && !running.exclusive
            && active.kind == EndpointKind::Model;
        let pool = &active.account.pool;
        if !may_move || !self.speed.is_slow(pool, &running.endpoint) {
            return false;
        }
        let pace = self.speed.window(pool, &running.endpoint, now);
        let left_units = (active.expected_units - running.used_units).max(0.0);
        left_units > MOVE_GAIN * active.expected_units * pace
    }

    fn move_slow(&mut self, attempt: &AttemptId, now: Now) {
        if self.hedge_budget.spend() {
            self.queue_second(attempt, now);
        }
    }

    fn hedge(&mut self, attempt: &AttemptId, now: Now) {
        let Some(running) = self.active.attempts.get(attempt) else {
            return;
        };
        let request = running.request;
        let Some(active) = self.active.requests.get(&request) else {
            return;
        };
        let pool = &active.account.pool;
        let candidate = HedgeCandidate {
            idempotent: active.idempotent && !running.exclusive,
            short: self.queues.is_short(pool, active.expected_units),
            elapsed_ms: now.since_ms(running.dispatched_ms),
            attempts: if active.hedged { 2 } else { 1 },
        };
        if self.hedging.start(pool, candidate, &mut self.hedge_budget) {
            self.queue_second(attempt, now);
        }
    }

    /// Puts a request whose attempt runs into the queue for a second attempt elsewhere.
    fn queue_second(&mut self, attempt: &AttemptId, now: Now) {
        let Some(running) = self.active.attempts.get(attempt) else {
            return;
        };
        let request = running.request;
        let Some(active) = self.active.requests.get_mut(&request) else {
            return;
        };
        active.hedged = true;
        let waiting = Waiting {
            avoid: vec![running.endpoint.clone()],
            ..active.waiting()
        };
        let endpoint = running.endpoint.clone();
        let elapsed_ms = now.since_ms(running.dispatched_ms);
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
