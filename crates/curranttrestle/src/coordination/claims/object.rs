//! The pending changes of a claim object, and how they are batched into one update.

use crate::protocol::peer::ClaimResult;
use crate::protocol::platform::{CallId, Expected};
use crate::state::{AttemptId, InstanceId};

use super::record::without_body;
use super::{ClaimKey, ClaimOptions, ClaimRecord, ClaimTable};

/// What a change records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// The claim itself.
    Claim,
    /// The result of the attempt that holds the claim.
    Result(ClaimResult),
}

/// A change that is waiting to be written.
#[derive(Clone, Debug)]
pub(super) struct PendingChange {
    /// The position in the order of arrival.
    pub sequence: u64,
    pub key: ClaimKey,
    /// The timestamp in the key, in milliseconds since the Unix epoch.
    pub key_ms: u64,
    /// The digest of the request.
    pub request_digest: [u8; 16],
    /// The attempt that the change is written for.
    pub attempt: AttemptId,
    /// What to record.
    pub change: Change,
    /// The router that requested the change; `None` for this router.
    pub origin: Option<InstanceId>,
    /// When the change was queued, on the steady clock.
    pub queued_ms: u64,
    /// Whether an update with this change was sent, which may take effect at any time.
    pub sent: bool,
}

/// The outcome of a pending change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ChangeOutcome {
    /// The change is recorded.
    Recorded,
    /// Another attempt holds the key.
    Occupied(ClaimRecord),
    /// The object has no space for another claim.
    Full,
}

/// The content of an object, as last read or written.
#[derive(Clone, Debug)]
pub(super) struct KnownContent {
    /// The condition of the next update.
    pub expected: Expected,
    pub table: ClaimTable,
    /// Changes with a smaller sequence were queued before the call that returned this content was
    /// made.
    pub as_of_sequence: u64,
}

/// A store call in flight.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    /// The ID of the call.
    pub call: CallId,
    /// When the call was made, on the steady clock.
    pub sent_ms: u64,
    /// The content after the update; `None` for a read.
    pub next: Option<ClaimTable>,
    /// The sequence of the next change at the time of the call.
    pub as_of_sequence: u64,
}

/// A claim object as this router knows it, with its pending changes.
#[derive(Clone, Debug, Default)]
pub(super) struct ClaimObject {
    /// The last known content; `None` if the object must be read.
    pub known: Option<KnownContent>,
    /// The store call in flight.
    pub in_flight: Option<InFlight>,
    /// The unresolved changes, in order of arrival.
    pub pending: Vec<PendingChange>,
    /// No call is made before this time, on the steady clock.
    pub retry_at_ms: u64,
    /// The backoff after the next failure.
    pub next_delay_ms: u64,
    /// When the object was last used, on the steady clock.
    pub used_ms: u64,
}

/// The next step for an object.
pub(super) enum Step {
    /// Nothing to do.
    Idle,
    /// Read the object.
    Read,
    /// Write this content if the object meets the condition.
    Update(Expected, ClaimTable),
}

enum Decision {
    Resolve(ChangeOutcome),
    Write(ClaimRecord),
}

impl ClaimObject {
    /// Resolves the changes that the known content decides, and plans one update for the rest.
    pub(super) fn plan(
        &mut self,
        options: &ClaimOptions,
    ) -> (Step, Vec<(PendingChange, ChangeOutcome)>) {
        if self.pending.is_empty() {
            return (Step::Idle, Vec::new());
        }
        let Some(known) = &self.known else {
            return (Step::Read, Vec::new());
        };
        let mut next = known.table.clone();
        let mut updated: Vec<ClaimKey> = Vec::new();
        let mut must_read = false;
        let mut resolved = Vec::new();
        let mut waiting = Vec::new();
        for mut pending in std::mem::take(&mut self.pending) {
            let is_content_newer = pending.sequence < known.as_of_sequence;
            match decide(&next, &pending, options) {
                Decision::Write(record) => {
                    updated.push(pending.key.clone());
                    next.put(record);
                    pending.sent = true;
                    waiting.push(pending);
                }
                // The decision depends on a record in this update that is not written yet: decide
                // once it is.
                Decision::Resolve(_) if updated.contains(&pending.key) => waiting.push(pending),
                // The record may have changed since it was read.
                Decision::Resolve(ChangeOutcome::Occupied(_)) if !is_content_newer => {
                    must_read = true;
                    waiting.push(pending);
                }
                Decision::Resolve(outcome) => resolved.push((pending, outcome)),
            }
        }
        self.pending = waiting;
        let step = if !updated.is_empty() {
            Step::Update(known.expected, next)
        } else if must_read {
            Step::Read
        } else {
            Step::Idle
        };
        (step, resolved)
    }

    /// Delays the next call after a failure, with exponential backoff.
    pub(super) fn back_off(&mut self, now_ms: u64, options: &ClaimOptions) {
        let delay_ms = self.next_delay_ms.max(options.retry_delay_ms);
        self.retry_at_ms = now_ms + delay_ms;
        self.next_delay_ms = (delay_ms * 2).min(options.max_retry_delay_ms);
    }

    /// Removes and returns the changes for which `is_obsolete` is true.
    pub(super) fn take_pending(
        &mut self,
        mut is_obsolete: impl FnMut(&PendingChange) -> bool,
    ) -> Vec<PendingChange> {
        let (taken, remaining) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| is_obsolete(pending));
        self.pending = remaining;
        taken
    }
}

fn decide(table: &ClaimTable, pending: &PendingChange, options: &ClaimOptions) -> Decision {
    match &pending.change {
        Change::Claim => decide_claim(table, pending, options),
        Change::Result(result) => decide_result(table, pending, result, options),
    }
}

fn decide_claim(table: &ClaimTable, pending: &PendingChange, options: &ClaimOptions) -> Decision {
    let claim = ClaimRecord {
        customer: pending.key.customer.clone(),
        key: pending.key.key,
        request_digest: pending.request_digest,
        attempt: pending.attempt.clone(),
        result: None,
    };
    let Some(record) = table.get(&pending.key) else {
        // Reserve a quarter of the object for the results of the claims it holds.
        let limit_bytes = options.max_object_bytes / 4 * 3;
        return if table.size_bytes() + claim.size_bytes() > limit_bytes {
            Decision::Resolve(ChangeOutcome::Full)
        } else {
            Decision::Write(claim)
        };
    };
    if record.attempt == pending.attempt {
        return Decision::Resolve(ChangeOutcome::Recorded);
    }
    let is_released = record.result == Some(ClaimResult::NotRun);
    if is_released && record.request_digest == pending.request_digest {
        return Decision::Write(claim);
    }
    Decision::Resolve(ChangeOutcome::Occupied(record.clone()))
}

fn decide_result(
    table: &ClaimTable,
    pending: &PendingChange,
    result: &ClaimResult,
    options: &ClaimOptions,
) -> Decision {
    let record = match table.get(&pending.key) {
        Some(record) if record.attempt != pending.attempt => {
            return Decision::Resolve(ChangeOutcome::Occupied(record.clone()));
        }
        Some(record) => record.clone(),
        // A NotRun record stops a claim of the same attempt that is still in flight.
        None => ClaimRecord {
            customer: pending.key.customer.clone(),
            key: pending.key.key,
            request_digest: pending.request_digest,
            attempt: pending.attempt.clone(),
            result: None,
        },
    };
    if is_recorded(record.result.as_ref(), result) {
        return Decision::Resolve(ChangeOutcome::Recorded);
    }
    let free_bytes = options.max_object_bytes.saturating_sub(table.size_bytes());
    let with_result = ClaimRecord {
        result: Some(result.clone()),
        ..record
    };
    Decision::Write(if with_result.size_bytes() <= free_bytes {
        with_result
    } else {
        drop_body(with_result)
    })
}

/// Whether the record shows `result`, with or without its body.
fn is_recorded(recorded: Option<&ClaimResult>, result: &ClaimResult) -> bool {
    match (recorded, result) {
        (Some(ClaimResult::Answered(_)), ClaimResult::Answered(_)) => true,
        (Some(recorded), result) => recorded == result,
        (None, _) => false,
    }
}

fn drop_body(record: ClaimRecord) -> ClaimRecord {
    let result = match record.result {
        Some(ClaimResult::Answered(response)) => {
            Some(ClaimResult::Answered(without_body(response)))
        }
        other => other,
    };
    ClaimRecord { result, ..record }
}
