//! Resolves claims and the requests that wait for them.

use crate::protocol::peer::ClaimResult;
use crate::protocol::{Refusal, RefusalReason};
use crate::state::{AttemptId, InstanceId, Now, RequestId};

use super::entry::{EntryState, Intent};
use super::object::{Change, ChangeOutcome, PendingChange};
use super::{ClaimEffect, ClaimManager, ClaimRecord, ClaimVerdict, is_in_window, peers};

/// How long a caller should wait before it retries a request whose result is not recorded yet.
const UNKNOWN_RETRY_AFTER_MS: u64 = 5_000;

/// The detail of each "not run" refusal: it makes no statement about earlier requests with the key.
const NOT_RUN_DETAIL: &str = "this request did not run; the outcome of any earlier request with \
                              the same key is unaffected";

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

/// A verdict that an earlier request with the same key has no recorded result yet.
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

impl ClaimManager {
    /// Makes a request wait for the attempt that uses its key on this router; `None` if there is no
    /// such attempt.
    pub(super) fn join(&mut self, intent: &Intent) -> Option<Vec<ClaimEffect>> {
        let attempt = self.by_key.get(&intent.key)?;
        let entry = self.entries.get_mut(attempt)?;
        if entry.intent.request_digest != intent.request_digest {
            return Some(vec![not_run(intent.request, RefusalReason::KeyReused)]);
        }
        entry.waiters.push(intent.clone());
        Some(Vec::new())
    }

    /// Ends an attempt that has no claim yet. It can't be dispatched afterwards, so its request did
    /// not run, and the requests that wait for it claim the key themselves.
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
        let may_take_effect = entry.writer.is_some() || self.withdraw_claim(&entry.intent);
        let mut effects = vec![not_run(entry.intent.request, reason)];
        if may_take_effect {
            // The claim may still take effect: release the key for retries.
            effects.extend(self.record_result(&entry.intent, ClaimResult::NotRun, now));
        }
        effects.extend(self.resolve_waiters(entry.waiters, &ClaimResult::NotRun, now));
        effects
    }

    /// Removes the pending claim. Returns whether an update with it was ever sent.
    fn withdraw_claim(&mut self, intent: &Intent) -> bool {
        let name = super::key::object_name(&intent.key, intent.key_ms, &self.options);
        let Some(object) = self.objects.get_mut(&name) else {
            return false;
        };
        let taken = object.take_pending(|pending| {
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

    /// Resolves the requests that waited for an attempt.
    pub(super) fn resolve_waiters(
        &mut self,
        waiters: Vec<Intent>,
        result: &ClaimResult,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let mut effects = Vec::new();
        for waiter in waiters {
            match result {
                ClaimResult::Answered(response) => effects.push(ClaimEffect::Resolved {
                    request: waiter.request,
                    verdict: ClaimVerdict::Replay(response.clone()),
                }),
                ClaimResult::Unknown => effects.push(unknown(waiter.request)),
                ClaimResult::NotRun => effects.extend(self.retry_claim(&waiter, now)),
            }
        }
        effects
    }

    /// Claims the key for a request that waited for an attempt that did not run.
    fn retry_claim(&mut self, waiter: &Intent, now: Now) -> Vec<ClaimEffect> {
        if !is_in_window(waiter.key_ms, now.unix_ms, &self.options) {
            return vec![not_run(waiter.request, RefusalReason::KeyOutsideWindow)];
        }
        if let Some(effects) = self.join(waiter) {
            return effects;
        }
        self.claim(waiter, None, now)
    }

    /// Applies the outcome of a change here, or reports it to the router that requested the change.
    pub(super) fn resolve_change(
        &mut self,
        pending: &PendingChange,
        outcome: ChangeOutcome,
        now: Now,
    ) -> Vec<ClaimEffect> {
        if let Some(origin) = pending.origin.clone() {
            return vec![peers::send_response(pending, Some(&outcome), origin)];
        }
        match (&pending.change, outcome) {
            (Change::Claim, ChangeOutcome::Recorded) => self.grant(&pending.attempt),
            (Change::Claim, ChangeOutcome::Occupied(record)) => {
                self.resolve_occupied(&pending.attempt, record, now)
            }
            (Change::Claim, ChangeOutcome::Full) => {
                self.abandon(&pending.attempt, RefusalReason::StoreUnavailable, now)
            }
            (Change::Result(result), ChangeOutcome::Occupied(_)) => {
                // Another attempt can take over a claim only after a NotRun result released it. The
                // record of any other result must therefore still name its own attempt.
                self.invariants.check(
                    *result == ClaimResult::NotRun,
                    "claim-never-moves",
                    &pending.attempt,
                );
                Vec::new()
            }
            (Change::Result(_), ChangeOutcome::Recorded | ChangeOutcome::Full) => Vec::new(),
        }
    }

    /// Grants an attempt whose claim is recorded.
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

    /// Resolves an attempt whose key is held by another attempt.
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
            Some(ClaimResult::Answered(response)) => ClaimResult::Answered(response),
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

    /// Rejects a change because the queue of its object is full.
    pub(super) fn refuse_change(
        &mut self,
        intent: &Intent,
        change: &Change,
        origin: Option<&InstanceId>,
        now: Now,
    ) -> Vec<ClaimEffect> {
        if let Some(origin) = origin {
            let is_result = matches!(change, Change::Result(_));
            return vec![peers::send_refusal(
                &intent.attempt,
                is_result,
                origin.clone(),
            )];
        }
        match change {
            Change::Claim => {
                // No update was sent from here, but the preferred writer may have been asked to
                // write it.
                self.abandon(&intent.attempt, RefusalReason::StoreUnavailable, now)
            }
            // The record stays without a result, so retries get the outcome "unknown".
            Change::Result(_) => Vec::new(),
        }
    }
}
