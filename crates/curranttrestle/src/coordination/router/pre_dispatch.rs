//! Checks a queued request again right before it is dispatched to an endpoint.
//!
//! The quarantine state of a request can change while it is queued: an identical request may
//! have crashed an endpoint in the meantime. Of several identical requests that have never
//! completed before, this router runs one at a time until its response starts, so that many
//! copies sent at once do not crash as many endpoints.

use crate::coordination::quarantine::Admission;
use crate::protocol::outcome::{Refusal, RefusalReason};
use crate::protocol::peer::Lease;
use crate::state::{Now, RequestId};

use super::active::Stage;
use super::{RequestDigest, Router};

/// Verdict on a queued request for which a slot is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PreDispatch {
    /// It may run.
    Run,
    /// Hold it until an identical request starts to respond or ends, or until a crash has been
    /// reported to all routers.
    Hold,
    /// Queue it for an exclusive slot.
    Requeue,
    /// Refuse it because it crashed endpoints.
    Refuse,
}

impl Router {
    /// Whether a queued request may run in the slot of `lease`. If not, holds, requeues or
    /// refuses it.
    pub(super) fn check_before_dispatch(
        &mut self,
        request: RequestId,
        lease: &Lease,
        now: Now,
    ) -> bool {
        match self.pre_dispatch_verdict(request, lease, now) {
            PreDispatch::Run => return true,
            PreDispatch::Hold => self.held_requests.push(request),
            PreDispatch::Requeue => self.enqueue(request, now),
            PreDispatch::Refuse => self.refuse_quarantined(request, now),
        }
        false
    }

    fn pre_dispatch_verdict(&self, request: RequestId, lease: &Lease, now: Now) -> PreDispatch {
        let Some(active) = self.active.requests.get(&request) else {
            return PreDispatch::Run;
        };
        let digest = &active.new.digest;
        match self.quarantine.admission(digest, now) {
            // A request with a running attempt is not refused; only its hedge is pending.
            Admission::Refused if active.running.is_empty() => PreDispatch::Refuse,
            Admission::Exclusive if !lease.exclusive => PreDispatch::Requeue,
            _ if !self.quarantine.may_start(digest, lease.exclusive, now) => PreDispatch::Hold,
            _ if self.awaits_identical_request(request, digest) => PreDispatch::Hold,
            _ => PreDispatch::Run,
        }
    }

    /// Whether the request has never completed here and an identical request either runs
    /// without having started to respond or waits for a crash check.
    fn awaits_identical_request(&self, request: RequestId, digest: &RequestDigest) -> bool {
        if self.quarantine.has_finished(digest) {
            return false;
        }
        let is_identical_running = self.active.attempts.values().any(|attempt| {
            attempt.request != request
                && !attempt.progressed
                && self.active.digest_of(&attempt.request) == Some(digest)
        });
        is_identical_running || self.has_pending_crash_check(request, digest)
    }

    /// Ends a queued request that is quarantined.
    fn refuse_quarantined(&mut self, request: RequestId, now: Now) {
        let detail = "endpoints crashed while they ran this request";
        let may_have_started = self
            .active
            .requests
            .get(&request)
            .is_some_and(super::active::ActiveRequest::may_have_started);
        if may_have_started {
            self.end_unknown(request, RefusalReason::Quarantined, detail, now);
        } else {
            let refusal = Refusal::not_run(RefusalReason::Quarantined, detail);
            self.end_refused(request, refusal, now);
        }
    }

    /// Requeues held requests that no longer need to wait or whose deadline has passed.
    pub(super) fn release_held(&mut self, now: Now) {
        for request in std::mem::take(&mut self.held_requests) {
            let Some(active) = self.active.requests.get(&request) else {
                continue;
            };
            if active.stage != Stage::Waiting {
                continue;
            }
            let digest = active.new.digest;
            let awaits_propagation = self.quarantine.admission(&digest, now)
                == Admission::Exclusive
                && !self.quarantine.may_start(&digest, true, now);
            let must_wait = awaits_propagation || self.awaits_identical_request(request, &digest);
            if must_wait && now.steady_ms < active.new.deadline_ms {
                self.held_requests.push(request);
            } else {
                self.enqueue(request, now);
            }
        }
    }
}
