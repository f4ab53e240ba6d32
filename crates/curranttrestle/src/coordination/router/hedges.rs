//! Hedging: second attempts concurrent with slow first ones.

use crate::coordination::queue::WaitingRequest;
use crate::coordination::slow_endpoints::HedgeCandidate;
use crate::state::event::EventKind;
use crate::state::sheet::EndpointKind;
use crate::state::{AttemptId, Now};

use super::Router;
use super::active::RunningAttempt;

/// A stream is hedged if its remainder on the slow endpoint is expected to take more than this
/// many times as long as the complete response on another endpoint.
const MIN_HEDGE_SPEEDUP: f64 = 1.3;

impl Router {
    /// Queues hedges for short idempotent requests without a response yet, and for streams on
    /// slow endpoints.
    pub(super) fn tick_hedges(&mut self, now: Now) {
        if !self.options.hedging || self.stopping {
            return;
        }
        let awaiting_response: Vec<AttemptId> = self
            .active
            .attempts
            .values()
            .filter(|running| !running.progressed)
            .map(|running| running.attempt.clone())
            .collect();
        for attempt in awaiting_response {
            self.hedge_if_late(&attempt, now);
        }
        let slow_streams: Vec<AttemptId> = self
            .active
            .attempts
            .values()
            .filter(|running| self.is_worth_hedging(running, now))
            .map(|running| running.attempt.clone())
            .collect();
        for attempt in slow_streams {
            self.hedge_slow_stream(&attempt, now);
        }
    }

    /// Whether a stream on a slow endpoint is expected to complete sooner, by a factor of
    /// [`MIN_HEDGE_SPEEDUP`], if it is started from the beginning on another endpoint.
    fn is_worth_hedging(&self, running: &RunningAttempt, now: Now) -> bool {
        let Some(active) = self.active.requests.get(&running.request) else {
            return false;
        };
        let may_hedge = running.progressed
            && active.idempotent
            && !active.hedged
            && !running.exclusive
            && active.kind == EndpointKind::Model;
        let pool = &active.account.pool;
        if !may_hedge || !self.slow_endpoints.is_slow(pool, &running.endpoint) {
            return false;
        }
        let relative_speed = self
            .slow_endpoints
            .slot_fraction(pool, &running.endpoint, now);
        let left_units = (active.expected_units - running.used_units).max(0.0);
        left_units > MIN_HEDGE_SPEEDUP * active.expected_units * relative_speed
    }

    fn hedge_slow_stream(&mut self, attempt: &AttemptId, now: Now) {
        if self.hedge_budget.try_withdraw() {
            self.queue_hedge(attempt, now);
        }
    }

    fn hedge_if_late(&mut self, attempt: &AttemptId, now: Now) {
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
        if self
            .hedging
            .try_hedge(pool, candidate, &mut self.hedge_budget)
        {
            self.queue_hedge(attempt, now);
        }
    }

    /// Queues a running request for a second attempt on another endpoint.
    fn queue_hedge(&mut self, attempt: &AttemptId, now: Now) {
        let Some(running) = self.active.attempts.get(attempt) else {
            return;
        };
        let request = running.request;
        let Some(active) = self.active.requests.get_mut(&request) else {
            return;
        };
        active.hedged = true;
        let waiting = WaitingRequest {
            excluded_endpoints: vec![running.endpoint.clone()],
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
