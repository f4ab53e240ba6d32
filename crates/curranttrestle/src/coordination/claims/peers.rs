//! Handing claims to the usual writer of their object, for speed only.

use crate::protocol::peer::{ClaimAnswer, ClaimRequest, ClaimResult, PeerMessage};
use crate::state::{AttemptId, InstanceId, Now};

use super::entry::{EntryState, ForwardedResult, Intent};
use super::page::{Change, PendingChange, Settlement};
use super::{ClaimBook, ClaimEffect, ClaimKey, is_in_window, key_unix_ms};

/// Asks `writer` to record the claim of `intent`, or its result.
pub(super) fn ask(intent: &Intent, result: Option<ClaimResult>, writer: InstanceId) -> ClaimEffect {
    let (customer, key, request_digest) = intent.parts();
    ClaimEffect::Send {
        to: writer,
        message: PeerMessage::ClaimRequest(ClaimRequest {
            customer,
            key,
            request_digest,
            attempt: intent.attempt.clone(),
            result,
        }),
    }
}

/// Tells `origin` how the change ended that it asked for; none: it did not.
pub(super) fn answer(
    pending: &PendingChange,
    settlement: Option<&Settlement>,
    origin: InstanceId,
) -> ClaimEffect {
    let recorded = match settlement {
        Some(Settlement::Recorded) => Some(pending.attempt.clone()),
        Some(Settlement::Occupied(record)) => Some(record.attempt.clone()),
        Some(Settlement::Full) | None => None,
    };
    ClaimEffect::Send {
        to: origin,
        message: PeerMessage::ClaimAnswer(ClaimAnswer {
            attempt: pending.attempt.clone(),
            is_result: matches!(pending.change, Change::Result(_)),
            recorded,
        }),
    }
}

/// Tells `origin` that nothing was recorded.
pub(super) fn refuse(attempt: &AttemptId, is_result: bool, origin: InstanceId) -> ClaimEffect {
    ClaimEffect::Send {
        to: origin,
        message: PeerMessage::ClaimAnswer(ClaimAnswer {
            attempt: attempt.clone(),
            is_result,
            recorded: None,
        }),
    }
}

impl ClaimBook {
    /// Records a claim or a result in the name of another router.
    pub fn receive_request(
        &mut self,
        from: &InstanceId,
        request: ClaimRequest,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let now = self.observe(now);
        let is_result = request.result.is_some();
        let key_ms = key_unix_ms(request.key)
            .filter(|key_ms| is_in_window(*key_ms, now.unix_ms, &self.options));
        let Some(key_ms) = key_ms else {
            return vec![refuse(&request.attempt, is_result, from.clone())];
        };
        let intent = Intent {
            request: crate::state::RequestId(request.key),
            attempt: request.attempt,
            key: ClaimKey {
                customer: request.customer,
                key: request.key,
            },
            key_ms,
            request_digest: request.request_digest,
            deadline_ms: now.steady_ms,
        };
        let change = match request.result {
            Some(result) => Change::Result(self.bound(result)),
            None => Change::Claim,
        };
        self.queue(&intent, change, Some(from), now)
    }

    /// Takes the answer of a usual writer.
    pub fn receive_answer(
        &mut self,
        _from: &InstanceId,
        answer: &ClaimAnswer,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let now = self.observe(now);
        let is_recorded = answer.recorded.as_ref() == Some(&answer.attempt);
        if answer.is_result {
            return if is_recorded {
                self.forwarded_results.shift_remove(&answer.attempt);
                Vec::new()
            } else {
                self.record_forwarded_result(&answer.attempt, now)
            };
        }
        if is_recorded {
            self.grant(&answer.attempt)
        } else {
            // Look for oneself: the record tells the result, or the store answers again.
            self.claim_here(&answer.attempt, now)
        }
    }

    /// Stops waiting for the usual writer and claims in the store oneself.
    pub(super) fn claim_here(&mut self, attempt: &AttemptId, now: Now) -> Vec<ClaimEffect> {
        let Some(entry) = self.entries.get_mut(attempt) else {
            return Vec::new();
        };
        if entry.state != EntryState::Claiming || entry.fallback_ms.is_none() {
            return Vec::new();
        }
        entry.fallback_ms = None;
        let intent = entry.intent.clone();
        self.queue(&intent, Change::Claim, None, now)
    }

    /// Asks the usual writer to record a result.
    pub(super) fn forward_result(
        &mut self,
        intent: &Intent,
        result: &ClaimResult,
        writer: InstanceId,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let forwarded = ForwardedResult {
            intent: intent.clone(),
            result: result.clone(),
            fallback_ms: now.steady_ms + self.options.writer_wait_ms,
        };
        self.forwarded_results
            .insert(intent.attempt.clone(), forwarded);
        vec![ask(intent, Some(result.clone()), writer)]
    }

    /// Stops waiting for the usual writer and records a result oneself.
    pub(super) fn record_forwarded_result(
        &mut self,
        attempt: &AttemptId,
        now: Now,
    ) -> Vec<ClaimEffect> {
        match self.forwarded_results.shift_remove(attempt) {
            Some(forwarded) => self.record_result(&forwarded.intent, forwarded.result, now),
            None => Vec::new(),
        }
    }
}
