//! Forwarding of claims to the preferred writer of their object.
//!
//! This is an optimisation: correctness depends on the store's conditional updates alone.

use crate::protocol::peer::{ClaimAnswer, ClaimRequest, ClaimResult, PeerMessage};
use crate::state::{AttemptId, InstanceId, Now};

use super::entry::{EntryState, ForwardedResult, Intent};
use super::object::{Change, ChangeOutcome, PendingChange};
use super::{ClaimEffect, ClaimKey, ClaimManager, is_in_window, key_unix_ms};

/// Asks `writer` to record the claim of `intent`, or its result.
pub(super) fn send_request(
    intent: &Intent,
    result: Option<ClaimResult>,
    writer: InstanceId,
) -> ClaimEffect {
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

/// Reports to `origin` the outcome of the change it requested; `None` if the change was not
/// written.
pub(super) fn send_response(
    pending: &PendingChange,
    outcome: Option<&ChangeOutcome>,
    origin: InstanceId,
) -> ClaimEffect {
    let recorded = match outcome {
        Some(ChangeOutcome::Recorded) => Some(pending.attempt.clone()),
        Some(ChangeOutcome::Occupied(record)) => Some(record.attempt.clone()),
        Some(ChangeOutcome::Full) | None => None,
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

/// Reports to `origin` that nothing was recorded.
pub(super) fn send_refusal(
    attempt: &AttemptId,
    is_result: bool,
    origin: InstanceId,
) -> ClaimEffect {
    ClaimEffect::Send {
        to: origin,
        message: PeerMessage::ClaimAnswer(ClaimAnswer {
            attempt: attempt.clone(),
            is_result,
            recorded: None,
        }),
    }
}

impl ClaimManager {
    /// Records a claim or a result on behalf of another router.
    pub fn receive_request(
        &mut self,
        from: &InstanceId,
        request: ClaimRequest,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let now = self.advance_clock(now);
        let is_result = request.result.is_some();
        let key_ms = key_unix_ms(request.key)
            .filter(|key_ms| is_in_window(*key_ms, now.unix_ms, &self.options));
        let Some(key_ms) = key_ms else {
            return vec![send_refusal(&request.attempt, is_result, from.clone())];
        };
        // A change for another router uses neither the request ID nor the deadline.
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
            Some(result) => Change::Result(self.limit_result(result)),
            None => Change::Claim,
        };
        self.queue(&intent, change, Some(from), now)
    }

    /// Handles the response of a preferred writer.
    pub fn receive_response(
        &mut self,
        _from: &InstanceId,
        response: &ClaimAnswer,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let now = self.advance_clock(now);
        let is_recorded = response.recorded.as_ref() == Some(&response.attempt);
        if response.is_result {
            return if is_recorded {
                self.forwarded_results.shift_remove(&response.attempt);
                Vec::new()
            } else {
                self.record_forwarded_result(&response.attempt, now)
            };
        }
        if is_recorded {
            self.grant(&response.attempt)
        } else {
            // Claim directly: the record shows the holder's result, or, if nothing was recorded, the
            // store may be available again.
            self.claim_directly(&response.attempt, now)
        }
    }

    /// Stops waiting for the preferred writer and writes the claim to the store directly.
    pub(super) fn claim_directly(&mut self, attempt: &AttemptId, now: Now) -> Vec<ClaimEffect> {
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

    /// Asks the preferred writer to record a result.
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
            fallback_ms: now.steady_ms + self.options.writer_timeout_ms,
        };
        self.forwarded_results
            .insert(intent.attempt.clone(), forwarded);
        vec![send_request(intent, Some(result.clone()), writer)]
    }

    /// Stops waiting for the preferred writer and writes the result to the store directly.
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
