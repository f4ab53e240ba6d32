//! Looks at a waiting request once more before it is handed to an endpoint.
//!
//! What is known of a request can change while it waits: a copy of it may have crashed an
//! endpoint in the meantime. Of several copies of a request that never finished before, one
//! runs at a time at this router until its answer begins, so that many copies sent at once
//! do not crash as many endpoints.

use crate::coordination::quarantine::Admission;
use crate::protocol::outcome::{Refusal, RefusalReason};
use crate::protocol::peer::Lease;
use crate::state::{Now, RequestId};

use super::active::Stage;
use super::{RequestDigest, Router};

/// What becomes of a request that waited for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Screening {
    /// It may run.
    Run,
    /// It must wait until a copy of it has begun to answer or has ended.
    Hold,
    /// It waits for another kind of slot.
    Requeue,
    /// It has crashed endpoints and does not run.
    Refuse,
}

impl Router {
    /// Whether a request that waited may run in the slot of `lease`; deals with it otherwise.
    pub(super) fn screen(&mut self, request: RequestId, lease: &Lease, now: Now) -> bool {
        match self.screening(request, lease, now) {
            Screening::Run => return true,
            Screening::Hold => self.held.push(request),
            Screening::Requeue => self.enqueue(request, now),
            Screening::Refuse => self.refuse_suspect(request, now),
        }
        false
    }

    fn screening(&self, request: RequestId, lease: &Lease, now: Now) -> Screening {
        let Some(active) = self.active.requests.get(&request) else {
            return Screening::Run;
        };
        let digest = &active.new.digest;
        match self.quarantine.admission(digest, now) {
            // Beside its own first attempt, a hedge may run on.
            Admission::Refused if active.running.is_empty() => Screening::Refuse,
            Admission::Alone if !lease.exclusive => Screening::Requeue,
            _ if !self.quarantine.may_start(digest, lease.exclusive, now) => Screening::Hold,
            _ if self.copy_is_untried(request, digest) => Screening::Hold,
            _ => Screening::Run,
        }
    }

    /// Whether another copy of the request runs that has not begun to answer, and none has
    /// ever finished.
    fn copy_is_untried(&self, request: RequestId, digest: &RequestDigest) -> bool {
        if self.quarantine.has_finished(digest) {
            return false;
        }
        let runs_untried = self.active.attempts.values().any(|attempt| {
            attempt.request != request
                && !attempt.progressed
                && self.active.digest_of(&attempt.request) == Some(digest)
        });
        runs_untried || self.is_judged(request, digest)
    }

    /// Ends a request that has crashed endpoints and waits for a slot.
    fn refuse_suspect(&mut self, request: RequestId, now: Now) {
        let detail = "endpoints crashed while they ran this request";
        let handed_over = self
            .active
            .requests
            .get(&request)
            .is_some_and(super::active::ActiveRequest::handed_over);
        if handed_over {
            self.end_unknown(request, RefusalReason::Quarantined, detail, now);
        } else {
            let refusal = Refusal::not_run(RefusalReason::Quarantined, detail);
            self.end_refused(request, refusal, now);
        }
    }

    /// Lets requests wait for slots again once no untried copy of them runs.
    pub(super) fn release_held(&mut self, now: Now) {
        for request in std::mem::take(&mut self.held) {
            let Some(active) = self.active.requests.get(&request) else {
                continue;
            };
            if active.stage != Stage::Waiting {
                continue;
            }
            let digest = active.new.digest;
            let settles = self.quarantine.admission(&digest, now) == Admission::Alone
                && !self.quarantine.may_start(&digest, true, now);
            let must_wait = settles || self.copy_is_untried(request, &digest);
            if must_wait && now.steady_ms < active.new.deadline_ms {
                self.held.push(request);
            } else {
                self.enqueue(request, now);
            }
        }
    }
}
