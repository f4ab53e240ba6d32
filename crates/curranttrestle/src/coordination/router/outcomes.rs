//! Requests that end without a response. Checks the invariant that the outcome "not run" is
//! only reported for requests that did not run.

use crate::protocol::outcome::{Outcome, Refusal, RefusalReason};
use crate::protocol::peer::ClaimResult;
use crate::state::event::EventKind;
use crate::state::{Now, RequestId};

use super::active::{ActiveRequest, Stage};
use super::{Decision, Router};

impl Router {
    /// Ends a request whose caller disconnected before it ran.
    pub(super) fn caller_gone(&mut self, request: RequestId, now: Now) {
        let Some(active) = self.active.requests.get(&request) else {
            return;
        };
        if active.stage == Stage::Running {
            return;
        }
        let refusal = Refusal::not_run(RefusalReason::CallerGone, "the caller disconnected");
        self.end_refused(request, refusal, now);
    }

    /// Ends queued requests whose deadline has passed.
    pub(super) fn expire_waiting(&mut self, now: Now) {
        for waiting in self.queues.expire(now) {
            let is_running = self
                .active
                .requests
                .get(&waiting.request)
                .is_some_and(|active| !active.running.is_empty());
            // Only the queued hedge is abandoned; the first attempt still runs.
            if is_running {
                continue;
            }
            let detail = "no slot became free before the deadline";
            let refusal = Refusal::not_run(RefusalReason::DeadlinePassed, detail);
            let may_have_started = self
                .active
                .requests
                .get(&waiting.request)
                .is_some_and(ActiveRequest::may_have_started);
            if may_have_started {
                self.end_unknown(waiting.request, RefusalReason::DeadlinePassed, detail, now);
            } else {
                self.end_refused(waiting.request, refusal, now);
            }
        }
    }

    /// Ends a request that did not run.
    pub(super) fn end_refused(&mut self, request: RequestId, refusal: Refusal, now: Now) {
        self.queues.remove(&request);
        let Some(active) = self.active.requests.swap_remove(&request) else {
            return;
        };
        self.invariants.check(
            refusal.outcome != Outcome::NotRun || !active.may_have_started(),
            "not-run-was-never-dispatched",
            request,
        );
        if let Some(claim) = &active.claim {
            let effects = self.claims.finish(claim, ClaimResult::NotRun, now);
            self.run_claim_effects(effects, now);
        }
        self.decide_refusal(request, refusal, now);
    }

    /// Ends a request whose outcome is unknown.
    pub(super) fn end_unknown(
        &mut self,
        request: RequestId,
        reason: RefusalReason,
        detail: &str,
        now: Now,
    ) {
        self.queues.remove(&request);
        let Some(active) = self.active.requests.swap_remove(&request) else {
            return;
        };
        if let Some(claim) = &active.claim {
            let effects = self.claims.finish(claim, ClaimResult::Unknown, now);
            self.run_claim_effects(effects, now);
        }
        self.decide_refusal(request, Refusal::unknown(reason, detail), now);
    }

    /// Sends a refusal to a request's handler and counts it.
    pub(super) fn decide_refusal(&mut self, request: RequestId, refusal: Refusal, now: Now) {
        let kind = match refusal.outcome {
            Outcome::Unknown => EventKind::Unknown,
            Outcome::NotRun | Outcome::Answered => EventKind::Refused,
        };
        self.emit(
            now,
            kind,
            Some(request),
            &[("reason", &refusal.reason), ("detail", &refusal.detail)],
        );
        match refusal.outcome {
            Outcome::Unknown => self.counters.unknown += 1,
            Outcome::NotRun | Outcome::Answered => self.counters.refused += 1,
        }
        self.decide(request, Decision::Refuse(refusal));
    }
}
