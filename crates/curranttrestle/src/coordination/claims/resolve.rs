//! How claims end for the requests that wait for them.

use crate::protocol::peer::ClaimResult;
use crate::protocol::{Refusal, RefusalReason};
use crate::state::{AttemptId, InstanceId, Now, RequestId};

use super::entry::{EntryState, Intent};
use super::page::{Change, PendingChange, Settlement};
use super::{ClaimBook, ClaimEffect, ClaimRecord, ClaimVerdict, is_in_window, peers};

/// When a caller may ask again for a result that is not recorded yet.
const UNKNOWN_RETRY_AFTER_MS: u64 = 5_000;

/// The detail of each "not run": an earlier request with the same key is another matter.
const NOT_RUN_DETAIL: &str = "this request did not run; the outcome of any earlier request with \
                              the same key stands";

/// A verdict that the request did not run.
pub(super) fn not_run(request: RequestId, reason: RefusalReason) -> ClaimEffect {
    let verdict = ClaimVerdict::NotRun(Refusal::not_run(reason, NOT_RUN_DETAIL));
    ClaimEffect::Resolved { request, verdict }
}

/// A verdict that an earlier request with the same key may have run.
pub(super) fn unknown(request: RequestId) -> ClaimEffect {
    let detail = "the key was claimed by an earlier request whose result is not known";
    claimed_before(request, RefusalReason::ClaimedBefore, detail)
}

/// A verdict that an earlier request with the same key has no result on record yet.
fn still_running(request: RequestId) -> ClaimEffect {
    let detail = "the key was claimed by an earlier request that has no result yet";
    claimed_before(request, RefusalReason::StillRunning, detail)
}

fn claimed_before(request: RequestId, reason: RefusalReason, detail: &str) -> ClaimEffect {
    let refusal = Refusal {
        retry_after_ms: Some(UNKNOWN_RETRY_AFTER_MS),
        ..Refusal::unknown(reason, detail)
    };
    let verdict = ClaimVerdict::Unknown(refusal);
    ClaimEffect::Resolved { request, verdict }
}

impl ClaimBook {
    /// Lets a request wait for the attempt that uses its key on this router.
    pub(super) fn join(&mut self, intent: &Intent) -> Option<Vec<ClaimEffect>> {
        let attempt = self.by_key.get(&intent.key)?;
        let entry = self.entries.get_mut(attempt)?;
        if entry.intent.request_digest != intent.request_digest {
            return Some(vec![not_run(intent.request, RefusalReason::KeyReused)]);
        }
        entry.waiters.push(intent.clone());
        Some(Vec::new())
    }

    /// Ends an attempt that has no claim yet. It can't be dispatched any more, so that the
    /// request and its waiters surely do not run by it.
    pub(super) fn abandon(
        &mut self,
        attempt: &AttemptId,
        reason: RefusalReason,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let Some(entry) = self.remove_entry(attempt) else {
            return Vec::new();
        };
        self.invariants.check(
            !self.may_dispatch(attempt, now),
            "not-run-is-never-dispatched",
            attempt,
        );
        let is_under_way = entry.writer.is_some() || self.withdraw_claim(&entry.intent);
        let mut effects = vec![not_run(entry.intent.request, reason)];
        if is_under_way {
            // The claim may still take effect: release the key for repeats.
            effects.extend(self.record_result(&entry.intent, ClaimResult::NotRun, now));
        }
        effects.extend(self.resolve_waiters(entry.waiters, &ClaimResult::NotRun, now));
        effects
    }

    /// Removes the claim's own change; whether an update with it was ever sent.
    fn withdraw_claim(&mut self, intent: &Intent) -> bool {
        let name = super::key::object_name(&intent.key, intent.key_ms, &self.options);
        let Some(page) = self.pages.get_mut(&name) else {
            return false;
        };
        let taken = page.take_pending(|pending| {
            pending.attempt == intent.attempt && pending.change == Change::Claim
        });
        taken.iter().any(|pending| pending.sent)
    }

    /// Queues the result of an attempt of this router for its claim object.
    pub(super) fn record_result(
        &mut self,
        intent: &Intent,
        result: ClaimResult,
        now: Now,
    ) -> Vec<ClaimEffect> {
        self.queue(intent, Change::Result(result), None, now)
    }

    /// Tells the requests that waited for an attempt how it ended.
    pub(super) fn resolve_waiters(
        &mut self,
        waiters: Vec<Intent>,
        result: &ClaimResult,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let mut effects = Vec::new();
        for waiter in waiters {
            match result {
                ClaimResult::Answered(answer) => effects.push(ClaimEffect::Resolved {
                    request: waiter.request,
                    verdict: ClaimVerdict::Answered(answer.clone()),
                }),
                ClaimResult::Unknown => effects.push(unknown(waiter.request)),
                ClaimResult::NotRun => effects.extend(self.claim_anew(&waiter, now)),
            }
        }
        effects
    }

    /// Claims the key for a request that waited for an attempt which did not run.
    fn claim_anew(&mut self, waiter: &Intent, now: Now) -> Vec<ClaimEffect> {
        if !is_in_window(waiter.key_ms, now.unix_ms, &self.options) {
            return vec![not_run(waiter.request, RefusalReason::KeyOutsideWindow)];
        }
        if let Some(effects) = self.join(waiter) {
            return effects;
        }
        self.claim(waiter, None, now)
    }

    /// Takes note of how a change ended, here or for the router that asked.
    pub(super) fn settle(
        &mut self,
        pending: &PendingChange,
        settlement: Settlement,
        now: Now,
    ) -> Vec<ClaimEffect> {
        if let Some(origin) = pending.origin.clone() {
            return vec![peers::answer(pending, Some(&settlement), origin)];
        }
        match (&pending.change, settlement) {
            (Change::Claim, Settlement::Recorded) => self.grant(&pending.attempt),
            (Change::Claim, Settlement::Occupied(record)) => {
                self.resolve_occupied(&pending.attempt, record, now)
            }
            (Change::Claim, Settlement::Full) => {
                self.abandon(&pending.attempt, RefusalReason::StoreUnavailable, now)
            }
            (Change::Result(result), Settlement::Occupied(_)) => {
                // The holder alone gives a claim up, so only a release meets another holder.
                self.invariants.check(
                    *result == ClaimResult::NotRun,
                    "claim-never-moves",
                    &pending.attempt,
                );
                Vec::new()
            }
            (Change::Result(_), Settlement::Recorded | Settlement::Full) => Vec::new(),
        }
    }

    /// The claim of an attempt is on record.
    pub(super) fn grant(&mut self, attempt: &AttemptId) -> Vec<ClaimEffect> {
        let Some(entry) = self.entries.get_mut(attempt) else {
            return Vec::new();
        };
        if entry.state != EntryState::Claiming {
            return Vec::new();
        }
        entry.state = EntryState::Granted;
        entry.fallback_ms = None;
        let request = entry.intent.request;
        let intent = entry.intent.clone();
        self.withdraw_claim(&intent);
        vec![ClaimEffect::Resolved {
            request,
            verdict: ClaimVerdict::Dispatch,
        }]
    }

    /// The key of an attempt belongs to another one.
    fn resolve_occupied(
        &mut self,
        attempt: &AttemptId,
        record: ClaimRecord,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let is_claiming = self
            .entries
            .get(attempt)
            .is_some_and(|entry| entry.state == EntryState::Claiming);
        if !is_claiming {
            return Vec::new();
        }
        let Some(entry) = self.remove_entry(attempt) else {
            return Vec::new();
        };
        if entry.intent.request_digest != record.request_digest {
            let requests = std::iter::once(&entry.intent).chain(&entry.waiters);
            return requests
                .map(|intent| not_run(intent.request, RefusalReason::KeyReused))
                .collect();
        }
        let mut requests = vec![entry.intent];
        requests.extend(entry.waiters);
        let result = match record.result {
            Some(ClaimResult::Answered(answer)) => ClaimResult::Answered(answer),
            Some(ClaimResult::NotRun | ClaimResult::Unknown) => ClaimResult::Unknown,
            None => {
                return requests
                    .iter()
                    .map(|intent| still_running(intent.request))
                    .collect();
            }
        };
        self.resolve_waiters(requests, &result, now)
    }

    /// Gives up a change for which there is no room.
    pub(super) fn refuse_change(
        &mut self,
        intent: &Intent,
        change: &Change,
        origin: Option<&InstanceId>,
        now: Now,
    ) -> Vec<ClaimEffect> {
        if let Some(origin) = origin {
            let is_result = matches!(change, Change::Result(_));
            return vec![peers::refuse(&intent.attempt, is_result, origin.clone())];
        }
        match change {
            Change::Claim => {
                // Nothing was sent for it from here; a usual writer may have been asked.
                self.abandon(&intent.attempt, RefusalReason::StoreUnavailable, now)
            }
            // The claim stays without a result: repeats get "unknown".
            Change::Result(_) => Vec::new(),
        }
    }
}
