//! Claims: run each non-idempotent request at most once.
//!
//! Before its first dispatch, an attempt claims its customer's idempotency key by a conditional
//! update of a claim object in the platform's store. The recorded attempt has the exclusive right
//! to dispatch, and only that attempt can release the claim, by recording that it never ran. A
//! claim has no lease and no timeout, so a paused holder is harmless.
//!
//! A request whose key is in use on the same router waits for that result until its own deadline.
//! On another router it gets the recorded response, or [`ClaimVerdict::Unknown`] if the claim has
//! no result; the reason is "still running" while a result may still be recorded.

mod effect;
mod entry;
mod key;
mod object;
mod options;
mod peers;
mod record;
mod resolve;
mod store;
mod sweep;
mod timer;

use indexmap::IndexMap;
use uuid::Uuid;

use crate::coordination::call_ids::{CallIds, CallOwner};
use crate::coordination::invariant::Invariants;
use crate::coordination::rendezvous;
use crate::protocol::RefusalReason;
use crate::protocol::peer::ClaimResult;
use crate::protocol::platform::CallId;
use crate::state::{AttemptId, CustomerId, Incarnation, InstanceId, MemberView, Now, RequestId};

use entry::{Entry, EntryState, ForwardedResult, Intent};
use object::{Change, ClaimObject, PendingChange};
use sweep::Sweep;

pub use effect::{ClaimEffect, ClaimVerdict};
pub use key::{CLAIM_PREFIX, ClaimKey, is_in_window, key_unix_ms};
pub use options::ClaimOptions;
pub use record::{ClaimRecord, ClaimTable, RecordError};

/// Manages the claims of one router.
///
/// The caller carries out the returned effects in order. The `now` passed to
/// [`Self::receive_store_response`], [`Self::receive_response`] and [`Self::may_dispatch`] must be
/// read after the response arrived: with an older time, a key that expired while the process was
/// frozen would still appear valid.
#[derive(Clone, Debug)]
pub struct ClaimManager {
    me: InstanceId,
    incarnation: Incarnation,
    options: ClaimOptions,
    calls: CallIds,
    invariants: Invariants,
    /// The latest wall clock time seen, so that a clock that steps back does not make expired keys
    /// valid again.
    max_unix_ms: u64,
    next_sequence: u64,
    entries: IndexMap<AttemptId, Entry>,
    by_key: IndexMap<ClaimKey, AttemptId>,
    forwarded_results: IndexMap<AttemptId, ForwardedResult>,
    objects: IndexMap<String, ClaimObject>,
    object_calls: IndexMap<CallId, String>,
    sweep: Sweep,
}

impl ClaimManager {
    /// Creates the claim manager of the router `me` with incarnation `incarnation`.
    #[must_use]
    pub fn new(me: &InstanceId, incarnation: Incarnation, options: ClaimOptions) -> Self {
        Self {
            me: me.clone(),
            incarnation,
            invariants: Invariants::new(options.fatal_invariants),
            options,
            calls: CallIds::new(CallOwner::Claims),
            max_unix_ms: 0,
            next_sequence: 0,
            entries: IndexMap::new(),
            by_key: IndexMap::new(),
            forwarded_results: IndexMap::new(),
            objects: IndexMap::new(),
            object_calls: IndexMap::new(),
            sweep: Sweep::default(),
        }
    }

    /// Claims `key` for `attempt`. The verdict follows by the first [`Self::tick`] after
    /// `deadline_ms` on the steady clock at the latest.
    #[expect(clippy::too_many_arguments, reason = "one call describes a request")]
    pub fn begin(
        &mut self,
        request: RequestId,
        customer: &CustomerId,
        key: Uuid,
        request_digest: [u8; 16],
        attempt: AttemptId,
        deadline_ms: u64,
        now: Now,
        members: &MemberView,
    ) -> Vec<ClaimEffect> {
        let now = self.advance_clock(now);
        let Some(key_ms) = key_unix_ms(key) else {
            return vec![resolve::not_run(request, RefusalReason::KeyMalformed)];
        };
        let intent = Intent {
            request,
            attempt,
            key: ClaimKey {
                customer: customer.clone(),
                key,
            },
            key_ms,
            request_digest,
            deadline_ms,
        };
        if !is_in_window(key_ms, now.unix_ms, &self.options) {
            return vec![resolve::not_run(request, RefusalReason::KeyOutsideWindow)];
        }
        if deadline_ms <= now.steady_ms {
            return vec![resolve::not_run(request, RefusalReason::DeadlinePassed)];
        }
        if let Some(effects) = self.join(&intent) {
            return effects;
        }
        let name = key::object_name(&intent.key, key_ms, &self.options);
        let writer = self.preferred_writer(&name, members);
        self.claim(&intent, writer, now)
    }

    /// Whether `attempt` may be dispatched now.
    ///
    /// It must hold a claim, and its key must still be valid. A claim recorded after its key
    /// expired proves nothing: an earlier claim of the same key may have been deleted with the
    /// object.
    #[must_use]
    pub fn may_dispatch(&self, attempt: &AttemptId, now: Now) -> bool {
        let Some(entry) = self.entries.get(attempt) else {
            return false;
        };
        let unix_ms = now.unix_ms.max(self.max_unix_ms);
        entry.state == EntryState::Granted
            && attempt.instance == self.me
            && attempt.incarnation == self.incarnation
            && is_in_window(entry.intent.key_ms, unix_ms, &self.options)
    }

    /// Records the result of `attempt`. It may not be dispatched afterwards.
    ///
    /// Pass [`ClaimResult::NotRun`] only if no dispatch of the attempt began, or each one was
    /// refused before it began.
    pub fn finish(
        &mut self,
        attempt: &AttemptId,
        result: ClaimResult,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let now = self.advance_clock(now);
        let Some(entry) = self.entries.get(attempt) else {
            return Vec::new();
        };
        let state = entry.state;
        let has_waiters = !entry.waiters.is_empty();
        self.invariants.check(
            state == EntryState::Granted || result == ClaimResult::NotRun,
            "no-result-without-claim",
            attempt,
        );
        if state == EntryState::Claiming {
            return self.abandon(attempt, RefusalReason::CallerGone, now);
        }
        let Some(entry) = self.remove_entry(attempt) else {
            return Vec::new();
        };
        let result = self.limit_result(result);
        // Write the release here, so that it precedes the new claim of a waiter in the object.
        let must_write_directly = has_waiters && result == ClaimResult::NotRun;
        let mut effects = match entry.writer.clone() {
            Some(writer) if !must_write_directly => {
                self.forward_result(&entry.intent, &result, writer, now)
            }
            _ => self.record_result(&entry.intent, result.clone(), now),
        };
        effects.extend(self.resolve_waiters(entry.waiters, &result, now));
        effects
    }

    /// The invariants checked by this module.
    #[must_use]
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// The number of attempts that hold or request a claim, excluding waiting requests.
    #[must_use]
    pub fn open_attempts(&self) -> usize {
        self.entries.len()
    }

    /// Whether every result is known to be recorded, so that this router can exit.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.entries.is_empty()
            && self.forwarded_results.is_empty()
            && self
                .objects
                .values()
                .all(|object| object.pending.is_empty())
    }

    /// Returns `now` with a wall clock that never goes back.
    fn advance_clock(&mut self, now: Now) -> Now {
        self.max_unix_ms = self.max_unix_ms.max(now.unix_ms);
        Now {
            unix_ms: self.max_unix_ms,
            ..now
        }
    }

    /// The live router of this data centre that preferably writes an object, by rendezvous hashing;
    /// `None` if that is this router.
    fn preferred_writer(&self, name: &str, members: &MemberView) -> Option<InstanceId> {
        let local_members = members.in_data_centre(&members.local.data_centre);
        let writer = rendezvous::best(name, local_members)?;
        (writer.instance != self.me).then(|| writer.instance.clone())
    }

    /// Starts the claim of `intent`, through `writer` if there is one.
    fn claim(&mut self, intent: &Intent, writer: Option<InstanceId>, now: Now) -> Vec<ClaimEffect> {
        self.by_key
            .insert(intent.key.clone(), intent.attempt.clone());
        let entry = Entry {
            intent: intent.clone(),
            state: EntryState::Claiming,
            writer: writer.clone(),
            fallback_ms: writer
                .is_some()
                .then_some(now.steady_ms + self.options.writer_timeout_ms),
            waiters: Vec::new(),
        };
        self.entries.insert(intent.attempt.clone(), entry);
        match writer {
            Some(writer) => vec![peers::send_request(intent, None, writer)],
            None => self.queue(intent, Change::Claim, None, now),
        }
    }

    /// Queues a change for its object and starts a store call if none is in flight.
    fn queue(
        &mut self,
        intent: &Intent,
        change: Change,
        origin: Option<&InstanceId>,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let name = key::object_name(&intent.key, intent.key_ms, &self.options);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let object = self.objects.entry(name.clone()).or_default();
        object.used_ms = now.steady_ms;
        if object.pending.len() >= self.options.max_pending_per_object {
            return self.refuse_change(intent, &change, origin, now);
        }
        object.pending.push(PendingChange {
            sequence,
            key: intent.key.clone(),
            key_ms: intent.key_ms,
            request_digest: intent.request_digest,
            attempt: intent.attempt.clone(),
            change,
            origin: origin.cloned(),
            queued_ms: now.steady_ms,
            sent: false,
        });
        self.start_next_call(&name, now)
    }

    fn remove_entry(&mut self, attempt: &AttemptId) -> Option<Entry> {
        let entry = self.entries.shift_remove(attempt)?;
        self.by_key.shift_remove(&entry.intent.key);
        Some(entry)
    }

    /// Drops a response body that is too large to be recorded.
    fn limit_result(&self, result: ClaimResult) -> ClaimResult {
        match result {
            ClaimResult::Answered(response) => {
                ClaimResult::Answered(record::limit_body(response, self.options.max_body_bytes))
            }
            ClaimResult::NotRun | ClaimResult::Unknown => result,
        }
    }
}
