//! Life cycle of a request: admission, claim, queue, attempts and outcome.

use crate::coordination::cost::{Charge, CostHints};
use crate::coordination::quarantine::Admission;
use crate::coordination::queue::WaitingRequest;
use crate::protocol::outcome::{Refusal, RefusalReason};
use crate::protocol::peer::{ClaimResult, Lease, StoredResponse};
use crate::state::event::EventKind;
use crate::state::sheet::EndpointKind;
use crate::state::{AccountId, AttemptId, EndpointId, Now, RequestId};

use super::active::{ActiveRequest, KeyHistory, RunningAttempt, Stage};
use super::{AttemptResult, Decision, Dispatch, NewRequest, Policy, Router};

/// Delay after which a caller may retry a request that was refused because its customer's queue
/// is full.
const QUEUE_FULL_RETRY_AFTER_MS: u64 = 1_000;

impl Router {
    /// Processes a new request from a caller.
    pub(super) fn request_arrived(&mut self, new: NewRequest, now: Now) {
        let request = new.request;
        let active = match self.admit(new, now) {
            Ok(active) => active,
            Err(refusal) => {
                self.decide_refusal(request, refusal, now);
                return;
            }
        };
        self.emit(
            now,
            EventKind::Arrived,
            Some(request),
            &[
                ("customer", &active.new.customer),
                ("operation", &active.new.operation),
                ("expected_units", &active.expected_units),
            ],
        );
        let needs_claim = !active.idempotent;
        self.active.requests.insert(request, active);
        if needs_claim {
            self.begin_claim(request, now);
        } else {
            self.enqueue(request, now);
        }
    }

    /// Admission control: checks a request against the sheet in force and the quarantine.
    fn admit(&mut self, new: NewRequest, now: Now) -> Result<ActiveRequest, Refusal> {
        let refused = |reason, detail: &str| Err(Refusal::not_run(reason, detail));
        if !self.is_ready() {
            return refused(
                RefusalReason::NotReady,
                "this router is not accepting requests",
            );
        }
        let Some(operation) = self.sheet.operations.get(&new.operation) else {
            return refused(RefusalReason::NoSuchOperation, "no such operation");
        };
        if !self.sheet.customers.contains_key(&new.customer) {
            return refused(RefusalReason::Unauthorized, "no such customer");
        }
        if self.quarantine.admission(&new.digest, now) == Admission::Refused {
            let detail = "endpoints crashed while they ran this request";
            return refused(RefusalReason::Quarantined, detail);
        }
        let Some(kind) = self.pool_kind(&operation.pool) else {
            return refused(RefusalReason::NoEndpoint, "the pool has no endpoint");
        };
        let hints = CostHints {
            prior: operation.expected_cost,
            hint: new.hint_units,
        };
        let expected_units = self
            .costs
            .expected_cost(&new.customer, &new.operation, hints);
        Ok(ActiveRequest {
            account: AccountId {
                pool: operation.pool.clone(),
                customer: new.customer.clone(),
            },
            idempotent: operation.idempotent,
            kind,
            priority: operation.priority,
            hints,
            expected_units,
            arrived_ms: now.steady_ms,
            stage: Stage::Claiming,
            claim: None,
            key_history: KeyHistory::Unclaimed,
            claim_retry_at_ms: None,
            running: Vec::new(),
            avoided: Vec::new(),
            avoid_until_ms: None,
            attempt_lost: false,
            hedged: false,
            new,
        })
    }

    /// Adds a request to its customer's queue, or refuses it if the queue is full.
    pub(super) fn enqueue(&mut self, request: RequestId, now: Now) {
        let Some(active) = self.active.requests.get_mut(&request) else {
            return;
        };
        active.stage = Stage::Waiting;
        self.queues.remove(&request);
        let waiting = WaitingRequest {
            exclusive: self.quarantine.admission(&active.new.digest, now) == Admission::Exclusive,
            ..active.waiting()
        };
        let account = active.account.clone();
        // The queue limit does not apply to retries: the request was admitted before.
        let is_retry = active.has_failed_attempt();
        let limit = match self.sheet.customers.get(&account.customer) {
            _ if is_retry => usize::MAX,
            Some(customer) => customer.queue_limit_or(self.options.queue_per_customer) as usize,
            None => 0,
        };
        if self.queues.push(waiting, limit).is_err() {
            let refusal = Refusal {
                retry_after_ms: Some(QUEUE_FULL_RETRY_AFTER_MS),
                ..Refusal::not_run(RefusalReason::QueueFull, "the customer's queue is full")
            };
            self.end_refused(request, refusal, now);
            return;
        }
        self.emit(
            now,
            EventKind::Queued,
            Some(request),
            &[("pool", &account.pool)],
        );
    }

    /// Dispatches a queued request to an endpoint. Returns false if it was not dispatched: the
    /// endpoint, lease or request is gone, or the claim is no longer valid and the request was
    /// refused.
    pub(super) fn dispatch(
        &mut self,
        request: RequestId,
        endpoint: &EndpointId,
        lease: Option<&Lease>,
        charge: Charge,
        now: Now,
    ) -> bool {
        let Some(address) = self.sheet.endpoints.get(endpoint).map(|row| row.address) else {
            return false;
        };
        let valid_until_ms = match lease {
            Some(lease) => match self.slot_holder.valid_until_ms(&lease.id, now) {
                Some(valid_until_ms) => valid_until_ms,
                None => return false,
            },
            None => now.steady_ms + self.options.slots.lease_ms,
        };
        let attempt = self.next_attempt_id();
        let Some(active) = self.active.requests.get_mut(&request) else {
            return false;
        };
        // A non-idempotent request runs only while its claim is valid.
        if let Some(claim) = &active.claim
            && !self.claims.may_dispatch(claim, now)
        {
            let detail =
                "the idempotency key left its validity window while the request was queued";
            let refusal = Refusal::not_run(RefusalReason::KeyOutsideWindow, detail);
            self.end_refused(request, refusal, now);
            return false;
        }
        self.invariants.check(
            active.idempotent || (active.claim.is_some() && !active.may_have_started()),
            "non-idempotent-runs-once",
            request,
        );
        active.stage = Stage::Running;
        active.running.push(attempt.clone());
        let hedge = active.running.len() > 1;
        let is_first = !hedge && !active.has_failed_attempt();
        let charged_units = charge.charged();
        let account = active.account.clone();
        let kind = active.kind;
        let exclusive = lease.is_some_and(|lease| lease.exclusive);
        self.fair_share.charge(&account, charged_units, now);
        if hedge {
            self.counters.hedged += 1;
        } else {
            self.hedge_budget.deposit();
        }
        if is_first {
            self.retry_budget.record_first(now);
        }
        self.active.attempts.insert(
            attempt.clone(),
            RunningAttempt {
                attempt: attempt.clone(),
                request,
                endpoint: endpoint.clone(),
                lease: lease.map(|lease| lease.id.clone()),
                charge,
                used_units: 0.0,
                progressed: false,
                dispatched_ms: now.steady_ms,
                exclusive,
            },
        );
        self.drain.attempt_started(endpoint, &attempt);
        self.emit(
            now,
            EventKind::Dispatched,
            Some(request),
            &[
                ("attempt", &attempt),
                ("endpoint", endpoint),
                ("customer", &account.customer),
                ("level", &format!("{:.1}", self.fair_share.level(&account))),
                ("hedge", &hedge),
            ],
        );
        let decision = Decision::Dispatch(Dispatch {
            attempt,
            endpoint: endpoint.clone(),
            address,
            kind,
            valid_until_ms,
            hedge,
        });
        self.decide(request, decision);
        true
    }

    /// Records an attempt's progress and charges the cost in excess of its estimate.
    pub(super) fn attempt_progressed(&mut self, attempt: &AttemptId, units: f64, now: Now) {
        let Some(running) = self.active.attempts.get_mut(attempt) else {
            return;
        };
        let endpoint = running.endpoint.clone();
        let dispatched_ms = running.dispatched_ms;
        let is_first = !std::mem::replace(&mut running.progressed, true);
        running.used_units = units;
        let excess_units = running.charge.progress(units);
        let account = self
            .active
            .requests
            .get(&running.request)
            .map(|active| active.account.clone());
        let Some(account) = account else {
            return;
        };
        if excess_units > 0.0 {
            self.fair_share.charge(&account, excess_units, now);
        }
        let elapsed_ms = now.since_ms(dispatched_ms);
        if is_first {
            self.hedging.observe(&account.pool, elapsed_ms);
        } else {
            self.observe_speed(&account.pool, &endpoint, units, elapsed_ms, now);
        }
    }

    /// Ends an attempt, and completes, retries or ends its request.
    pub(super) fn attempt_ended(&mut self, attempt: &AttemptId, result: AttemptResult, now: Now) {
        let elapsed_ms = self.active.age_ms(attempt, now);
        let digests = self
            .active
            .attempts
            .get(attempt)
            .map(|running| self.active.digests_on(&running.endpoint))
            .unwrap_or_default();
        let Some(running) = self.active.remove_attempt(attempt) else {
            return;
        };
        self.release_slot(&running, now);
        self.drain.attempt_ended(&running.endpoint, attempt);
        self.reconcile_charge(&running, &result, now);
        self.emit(
            now,
            EventKind::AttemptEnded,
            Some(running.request),
            &[
                ("attempt", attempt),
                ("endpoint", &running.endpoint),
                ("result", &result_name(&result)),
                ("elapsed_ms", &elapsed_ms),
            ],
        );
        match result {
            AttemptResult::Completed {
                units,
                stored_response: stored,
            } => {
                self.attempt_completed(&running, units, stored, elapsed_ms, now);
            }
            AttemptResult::NotRun {
                detail,
                unreachable,
            } => {
                if unreachable {
                    self.mark_unreachable(&running.endpoint, now);
                }
                self.attempt_not_run(&running, &detail, unreachable, now);
            }
            AttemptResult::Interrupted {
                detail,
                connection_lost: true,
                incarnation,
                ..
            } => self.check_crash(running, digests, incarnation, detail, now),
            AttemptResult::Interrupted { detail, .. } => {
                self.attempt_interrupted(&running, &detail, now);
            }
            AttemptResult::CallerGone { .. } => {
                let detail = "the caller disconnected";
                self.end_unknown(running.request, RefusalReason::CallerGone, detail, now);
            }
        }
    }

    /// Adjusts the charge of an ended attempt to its actual cost.
    fn reconcile_charge(&mut self, running: &RunningAttempt, result: &AttemptResult, now: Now) {
        let units = match result {
            AttemptResult::Completed { units, .. }
            | AttemptResult::Interrupted { units, .. }
            | AttemptResult::CallerGone { units } => *units,
            AttemptResult::NotRun { .. } => 0.0,
        };
        let Some(active) = self.active.requests.get(&running.request) else {
            return;
        };
        let account = active.account.clone();
        let difference = running.charge.clone().finish(units);
        self.fair_share.charge(&account, difference, now);
    }

    fn attempt_completed(
        &mut self,
        running: &RunningAttempt,
        units: f64,
        stored: Option<StoredResponse>,
        elapsed_ms: u64,
        now: Now,
    ) {
        let Some(active) = self.active.requests.swap_remove(&running.request) else {
            return;
        };
        self.queues.remove(&running.request);
        self.costs.record(
            &active.new.customer,
            &active.new.operation,
            active.hints,
            units,
        );
        let pool = &active.account.pool;
        if active.kind == EndpointKind::Service {
            self.hedging.observe(pool, elapsed_ms);
        }
        self.observe_speed(pool, &running.endpoint, units, elapsed_ms, now);
        let digest = active.new.digest;
        self.quarantine
            .record_finished(&digest, running.exclusive, now);
        if let Some(claim) = &active.claim {
            let result = stored.map_or(ClaimResult::Unknown, ClaimResult::Answered);
            let effects = self.claims.finish(claim, result, now);
            self.run_claim_effects(effects, now);
        }
        self.cancel_others(&active, now);
        let total_ms = now.since_ms(active.arrived_ms);
        self.emit(
            now,
            EventKind::Answered,
            Some(running.request),
            &[
                ("customer", &active.new.customer),
                ("endpoint", &running.endpoint),
                ("units", &units),
                ("total_ms", &total_ms),
            ],
        );
        self.counters.answered += 1;
    }

    /// Removes the other attempts of a completed request, refunds their charges and releases
    /// their slots.
    fn cancel_others(&mut self, active: &ActiveRequest, now: Now) {
        for attempt in &active.running {
            if let Some(other) = self.active.attempts.swap_remove(attempt) {
                self.fair_share
                    .charge(&active.account, -other.charge.charged(), now);
                self.release_slot(&other, now);
                self.drain.attempt_ended(&other.endpoint, attempt);
            }
        }
    }

    /// Retries a request whose attempt provably did not start. The retry budget limits the extra
    /// load on endpoints. A retry after an unreachable endpoint does not count against it, because
    /// that endpoint received no load.
    fn attempt_not_run(
        &mut self,
        running: &RunningAttempt,
        detail: &str,
        unreachable: bool,
        now: Now,
    ) {
        let Some(active) = self.active.requests.get_mut(&running.request) else {
            return;
        };
        if !active.running.is_empty() {
            return;
        }
        active.avoid_endpoint(running.endpoint.clone(), now);
        let expired = now.steady_ms >= active.new.deadline_ms;
        let attempt_lost = active.attempt_lost;
        if expired || !(unreachable || self.retry_budget.try_withdraw(now)) {
            if attempt_lost {
                self.end_unknown(running.request, RefusalReason::AttemptLost, detail, now);
                return;
            }
            let refusal = Refusal::not_run(RefusalReason::EndpointRefused, detail);
            self.end_refused(running.request, refusal, now);
            return;
        }
        self.retry(running.request, detail, now);
    }

    /// Retries an idempotent request whose attempt was lost, and ends any other request.
    pub(super) fn attempt_interrupted(&mut self, running: &RunningAttempt, detail: &str, now: Now) {
        let Some(active) = self.active.requests.get_mut(&running.request) else {
            return;
        };
        active.attempt_lost = true;
        if !active.running.is_empty() {
            return;
        }
        active.avoid_endpoint(running.endpoint.clone(), now);
        let digest = active.new.digest;
        let expired = now.steady_ms >= active.new.deadline_ms;
        let may_retry = active.idempotent && !expired;
        if self.quarantine.admission(&digest, now) == Admission::Refused {
            let detail = "endpoints crashed while they ran this request";
            self.end_unknown(running.request, RefusalReason::Quarantined, detail, now);
            return;
        }
        if !may_retry || !self.retry_budget.try_withdraw(now) {
            self.end_unknown(running.request, RefusalReason::AttemptLost, detail, now);
            return;
        }
        self.retry(running.request, detail, now);
    }

    fn retry(&mut self, request: RequestId, cause: &str, now: Now) {
        let details: [(&str, &dyn std::fmt::Display); 1] = [("cause", &cause)];
        self.emit(now, EventKind::Retried, Some(request), &details);
        self.counters.retried += 1;
        self.enqueue(request, now);
    }

    fn release_slot(&mut self, running: &RunningAttempt, now: Now) {
        match &running.lease {
            Some(lease) => self.slot_holder.release(lease, now),
            None if self.options.policy == Policy::Naive => {
                self.naive.release(&running.endpoint);
            }
            None => {}
        }
    }

    fn pool_kind(&self, pool: &crate::state::PoolId) -> Option<EndpointKind> {
        self.sheet
            .endpoints
            .values()
            .find(|endpoint| endpoint.pool == *pool)
            .map(|endpoint| endpoint.kind)
    }
}

fn result_name(result: &AttemptResult) -> String {
    match result {
        AttemptResult::Completed { units, .. } => format!("answered,units={units}"),
        AttemptResult::NotRun { detail, .. } => format!("not-run,detail={detail}"),
        AttemptResult::Interrupted { detail, .. } => format!("interrupted,detail={detail}"),
        AttemptResult::CallerGone { .. } => "caller-gone".into(),
    }
}
