//! The changes that wait for one claim object, and how they are put into one update.

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

/// One change that waits to be written.
#[derive(Clone, Debug)]
pub(super) struct PendingChange {
    /// The order of arrival.
    pub sequence: u64,
    /// The key.
    pub key: ClaimKey,
    /// The key's own time.
    pub key_ms: u64,
    /// The digest of the request.
    pub request_digest: [u8; 16],
    /// The attempt in whose name it is written.
    pub attempt: AttemptId,
    /// What to record.
    pub change: Change,
    /// The router that asked; none for this one.
    pub origin: Option<InstanceId>,
    /// When it arrived, on the steady clock.
    pub queued_ms: u64,
    /// An update with this change was sent and may take effect at any time.
    pub sent: bool,
}

/// How a pending change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Settlement {
    /// The record shows it.
    Recorded,
    /// The key belongs to another attempt.
    Occupied(ClaimRecord),
    /// The object has no room for another claim.
    Full,
}

/// The content of an object, as last read or written.
#[derive(Clone, Debug)]
pub(super) struct KnownContent {
    /// What the next update must expect.
    pub expected: Expected,
    /// The claims.
    pub table: ClaimTable,
    /// Changes with a smaller sequence had arrived before the call that showed the content.
    pub fresh_sequence: u64,
}

/// A store call in progress.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    /// The number of the call.
    pub call: CallId,
    /// When it was made, on the steady clock.
    pub sent_ms: u64,
    /// The content after the update; none for a read.
    pub next: Option<ClaimTable>,
    /// The sequence of the next change when the call was made.
    pub fresh_sequence: u64,
}

/// One claim object at this router.
#[derive(Clone, Debug, Default)]
pub(super) struct Page {
    /// What is known of the object.
    pub known: Option<KnownContent>,
    /// The call in progress.
    pub in_flight: Option<InFlight>,
    /// The changes that are not settled, in order of arrival.
    pub pending: Vec<PendingChange>,
    /// No call is made before this time on the steady clock.
    pub retry_at_ms: u64,
    /// The delay after the next failure.
    pub next_delay_ms: u64,
    /// When it was last used, on the steady clock.
    pub used_ms: u64,
}

/// The next step for a page.
pub(super) enum Step {
    /// Nothing to do.
    Rest,
    /// Read the object.
    Read,
    /// Write this content.
    Update(Expected, ClaimTable),
}

enum Decision {
    Settle(Settlement),
    Write(ClaimRecord),
}

impl Page {
    /// Settles what the known content decides and plans one update for the rest.
    pub(super) fn plan(
        &mut self,
        options: &ClaimOptions,
    ) -> (Step, Vec<(PendingChange, Settlement)>) {
        if self.pending.is_empty() {
            return (Step::Rest, Vec::new());
        }
        let Some(known) = &self.known else {
            return (Step::Read, Vec::new());
        };
        let mut next = known.table.clone();
        let mut touched: Vec<ClaimKey> = Vec::new();
        let mut must_read = false;
        let mut settled = Vec::new();
        let mut waiting = Vec::new();
        for mut pending in std::mem::take(&mut self.pending) {
            let is_fresh = pending.sequence < known.fresh_sequence;
            match decide(&next, &pending, options) {
                Decision::Write(record) => {
                    touched.push(pending.key.clone());
                    next.put(record);
                    pending.sent = true;
                    waiting.push(pending);
                }
                // The record it met is not written yet: decide after the update.
                Decision::Settle(_) if touched.contains(&pending.key) => waiting.push(pending),
                // The record may have changed since it was read.
                Decision::Settle(Settlement::Occupied(_)) if !is_fresh => {
                    must_read = true;
                    waiting.push(pending);
                }
                Decision::Settle(settlement) => settled.push((pending, settlement)),
            }
        }
        self.pending = waiting;
        let step = if !touched.is_empty() {
            Step::Update(known.expected, next)
        } else if must_read {
            Step::Read
        } else {
            Step::Rest
        };
        (step, settled)
    }

    /// Delays the next call after a failure.
    pub(super) fn back_off(&mut self, now_ms: u64, options: &ClaimOptions) {
        let delay_ms = self.next_delay_ms.max(options.retry_delay_ms);
        self.retry_at_ms = now_ms + delay_ms;
        self.next_delay_ms = (delay_ms * 2).min(options.max_retry_delay_ms);
    }

    /// Removes the changes that `is_obsolete` names and returns them.
    pub(super) fn take_pending(
        &mut self,
        mut is_obsolete: impl FnMut(&PendingChange) -> bool,
    ) -> Vec<PendingChange> {
        let (taken, kept) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| is_obsolete(pending));
        self.pending = kept;
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
        // Keep a quarter of the object for the results of the claims it holds.
        let limit_bytes = options.max_object_bytes / 4 * 3;
        return if table.size_bytes() + claim.size_bytes() > limit_bytes {
            Decision::Settle(Settlement::Full)
        } else {
            Decision::Write(claim)
        };
    };
    if record.attempt == pending.attempt {
        return Decision::Settle(Settlement::Recorded);
    }
    let is_released = record.result == Some(ClaimResult::NotRun);
    if is_released && record.request_digest == pending.request_digest {
        return Decision::Write(claim);
    }
    Decision::Settle(Settlement::Occupied(record.clone()))
}

fn decide_result(
    table: &ClaimTable,
    pending: &PendingChange,
    result: &ClaimResult,
    options: &ClaimOptions,
) -> Decision {
    let record = match table.get(&pending.key) {
        Some(record) if record.attempt != pending.attempt => {
            return Decision::Settle(Settlement::Occupied(record.clone()));
        }
        Some(record) => record.clone(),
        // A record that says "not run" stops a claim of the attempt that is still on its way.
        None => ClaimRecord {
            customer: pending.key.customer.clone(),
            key: pending.key.key,
            request_digest: pending.request_digest,
            attempt: pending.attempt.clone(),
            result: None,
        },
    };
    if is_recorded(record.result.as_ref(), result) {
        return Decision::Settle(Settlement::Recorded);
    }
    let room_bytes = options.max_object_bytes.saturating_sub(table.size_bytes());
    let with_result = ClaimRecord {
        result: Some(result.clone()),
        ..record
    };
    Decision::Write(if with_result.size_bytes() <= room_bytes {
        with_result
    } else {
        shorten(with_result)
    })
}

/// Whether the record shows `result`, with its body or without.
fn is_recorded(recorded: Option<&ClaimResult>, result: &ClaimResult) -> bool {
    match (recorded, result) {
        (Some(ClaimResult::Answered(_)), ClaimResult::Answered(_)) => true,
        (Some(recorded), result) => recorded == result,
        (None, _) => false,
    }
}

fn shorten(record: ClaimRecord) -> ClaimRecord {
    let result = match record.result {
        Some(ClaimResult::Answered(answer)) => Some(ClaimResult::Answered(without_body(answer))),
        other => other,
    };
    ClaimRecord { result, ..record }
}
