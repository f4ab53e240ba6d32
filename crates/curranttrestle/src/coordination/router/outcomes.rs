//! How requests end without an answer, and the proof that "not run" is only said of requests
//! that did not run.

use crate::protocol::outcome::{Outcome, Refusal, RefusalReason};
use crate::protocol::peer::ClaimResult;
use crate::state::event::EventKind;
use crate::state::{Now, RequestId};

use super::active::{ActiveRequest, Stage};
use super::{Decision, Router};

impl Router {
    /// The caller of a request that waits went away.
    pub(super) fn caller_gone(&mut self, request: RequestId, now: Now) {
        let Some(active) = self.active.requests.get(&request) else {
            return;
        };
        if active.stage == Stage::Running {
            return;
        }
        let refusal = Refusal::not_run(RefusalReason::CallerGone, "the caller went away");
        self.end_refused(request, refusal, now);
    }

    /// Refuses the requests whose deadline passed while they waited.
    pub(super) fn expire_waiting(&mut self, now: Now) {
        for waiting in self.queues.expire(now) {
            let still_runs = self
                .active
                .requests
                .get(&waiting.request)
                .is_some_and(|active| !active.running.is_empty());
            // Only the second attempt beside a running first one is given up.
            if still_runs {
                continue;
            }
            let detail = "no slot became free before the deadline";
            let refusal = Refusal::not_run(RefusalReason::DeadlinePassed, detail);
            let handed_over = self
                .active
                .requests
                .get(&waiting.request)
                .is_some_and(ActiveRequest::handed_over);
            if handed_over {
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
            refusal.outcome != Outcome::NotRun || !active.handed_over(),
            "not-run-was-never-dispatched",
            request,
        );
        if let Some(claim) = &active.claim {
            let effects = self.claims.finish(claim, ClaimResult::NotRun, now);
            self.run_claim_effects(effects, now);
        }
        self.decide_refusal(request, refusal, now);
    }

    /// Ends a request whose outcome is not known.
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

    /// Tells the handler of a request that it is refused.
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
