//! Idempotency key claims of non-idempotent requests, and routing of store responses.

use rand_chacha::ChaCha8Rng;

use crate::coordination::call_ids::CallOwner;
use crate::coordination::claims::{ClaimEffect, ClaimVerdict};
use crate::coordination::store_call_limiter::CallPriority;
use crate::protocol::outcome::{Outcome, Refusal, RefusalReason};
use crate::protocol::platform::{CallId, StoreCall, StoreResponse};
use crate::state::event::EventKind;
use crate::state::{Now, RequestId};

use super::active::KeyHistory;
use super::{Decision, Router};

/// How long a retry by the caller waits for the result of the earlier request with the same key.
const RESULT_WAIT_MS: u64 = 3_000;
/// Interval at which the record of the earlier request is checked.
const CLAIM_RETRY_INTERVAL_MS: u64 = 150;

impl Router {
    /// Claims the idempotency key of a non-idempotent request. Refuses the request if it has no
    /// key.
    pub(super) fn begin_claim(&mut self, request: RequestId, now: Now) {
        let attempt = self.next_attempt_id();
        let Some(active) = self.active.requests.get_mut(&request) else {
            return;
        };
        let Some(key) = active.new.key else {
            let detail = "this operation is not idempotent and requires an Idempotency-Key header";
            self.end_refused(
                request,
                Refusal::not_run(RefusalReason::KeyMissing, detail),
                now,
            );
            return;
        };
        active.claim = Some(attempt.clone());
        active.claim_retry_at_ms = None;
        let effects = self.claims.begin(
            request,
            &active.new.customer,
            key,
            active.new.digest,
            attempt,
            active.new.deadline_ms,
            now,
            self.membership.view(),
        );
        self.run_claim_effects(effects, now);
    }

    /// Executes the effects of the claim manager.
    pub(super) fn run_claim_effects(&mut self, effects: Vec<ClaimEffect>, now: Now) {
        for effect in effects {
            match effect {
                ClaimEffect::Store { call, request } => {
                    self.submit_call(call, request, CallPriority::Claims, now);
                }
                ClaimEffect::Send { to, message } => self.send(&to, message, now),
                ClaimEffect::Resolved { request, verdict } => {
                    self.claim_resolved(request, verdict, now);
                }
                ClaimEffect::Emit {
                    kind,
                    request,
                    details,
                } => {
                    let details: Vec<(&str, &dyn std::fmt::Display)> = details
                        .iter()
                        .map(|(key, value)| (*key, value as &dyn std::fmt::Display))
                        .collect();
                    self.emit(now, kind, request, &details);
                }
            }
        }
    }

    fn claim_resolved(&mut self, request: RequestId, verdict: ClaimVerdict, now: Now) {
        let Some(active) = self.active.requests.get_mut(&request) else {
            return;
        };
        match verdict {
            ClaimVerdict::Dispatch => {
                let attempt = active.claim.clone();
                let attempt = attempt.map_or_else(String::new, |attempt| attempt.to_string());
                self.emit(
                    now,
                    EventKind::Claimed,
                    Some(request),
                    &[("attempt", &attempt)],
                );
                self.enqueue(request, now);
            }
            ClaimVerdict::Replay(response) => {
                self.active.requests.swap_remove(&request);
                self.emit(
                    now,
                    EventKind::Answered,
                    Some(request),
                    &[("from", &"record")],
                );
                self.counters.answered += 1;
                self.decide(request, Decision::Replay(response));
            }
            ClaimVerdict::Unknown(refusal)
                if refusal.reason == RefusalReason::StillRunning
                    && now.since_ms(active.arrived_ms) < RESULT_WAIT_MS =>
            {
                active.claim = None;
                active.key_history = KeyHistory::ClaimedBefore;
                active.claim_retry_at_ms = Some(now.steady_ms + CLAIM_RETRY_INTERVAL_MS);
            }
            // An earlier request with the key is recorded. It may have run.
            ClaimVerdict::NotRun(refusal) if active.key_history == KeyHistory::ClaimedBefore => {
                self.active.requests.swap_remove(&request);
                let detail = "an earlier request with the same idempotency key has no result yet";
                let unknown = Refusal {
                    retry_after_ms: refusal.retry_after_ms,
                    ..Refusal::unknown(RefusalReason::StillRunning, detail)
                };
                self.decide_refusal(request, unknown, now);
            }
            ClaimVerdict::Unknown(refusal) | ClaimVerdict::NotRun(refusal) => {
                self.invariants.check(
                    refusal.outcome != Outcome::NotRun || !active.may_have_started(),
                    "not-run-was-never-dispatched",
                    request,
                );
                self.active.requests.swap_remove(&request);
                self.decide_refusal(request, refusal, now);
            }
        }
    }

    /// Ticks the claim manager, and retries the claims of requests that wait for the result of an
    /// earlier request with the same key.
    pub(super) fn tick_claims(&mut self, now: Now) {
        let effects = self.claims.tick(now, self.membership.view());
        self.run_claim_effects(effects, now);
        let due: Vec<RequestId> = self
            .active
            .requests
            .iter()
            .filter(|(_, active)| {
                active
                    .claim_retry_at_ms
                    .is_some_and(|at| at <= now.steady_ms)
            })
            .map(|(request, _)| *request)
            .collect();
        for request in due {
            self.begin_claim(request, now);
        }
    }

    /// Submits a store call. If the limiter's queue is full, the module that made the call gets
    /// [`StoreResponse::Unavailable`].
    pub(super) fn submit_call(
        &mut self,
        call: CallId,
        request: StoreCall,
        priority: CallPriority,
        now: Now,
    ) {
        if self
            .store_call_limiter
            .submit(call, request, priority, now)
            .is_err()
        {
            self.route_store_response(call, StoreResponse::Unavailable, now);
        }
    }

    /// Processes the store's response to a call.
    pub(super) fn store_responded(
        &mut self,
        call: CallId,
        response: StoreResponse,
        now: Now,
        rng: &mut ChaCha8Rng,
    ) {
        let was_up = self.store_call_limiter.is_up();
        self.store_call_limiter
            .record_response(call, &response, now, rng);
        if was_up != self.store_call_limiter.is_up() {
            let state = if was_up { "down" } else { "up" };
            self.emit(now, EventKind::Store, None, &[("state", &state)]);
        }
        self.route_store_response(call, response, now);
    }

    /// Passes a response to the module that made the call.
    fn route_store_response(&mut self, call: CallId, response: StoreResponse, now: Now) {
        match CallOwner::of(call) {
            Some(CallOwner::Claims) => {
                let members = self.membership.view();
                let effects = self
                    .claims
                    .receive_store_response(call, response, now, members);
                self.run_claim_effects(effects, now);
            }
            Some(CallOwner::Sheet) => {
                let Some(key) = self.config_calls.swap_remove(&call) else {
                    return;
                };
                let effects = self.config.receive_store_response(key, &response, now);
                self.run_config_effects(effects, now);
            }
            Some(CallOwner::Instances) => self.receive_instance_list(response, now),
            Some(CallOwner::Drain) | None => {}
        }
    }
}
