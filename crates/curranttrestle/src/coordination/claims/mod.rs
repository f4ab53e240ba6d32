//! Claims: a non-idempotent request runs at most once.
//!
//! Before its first dispatch an attempt claims its customer's idempotency key by a
//! conditional update of a claim object in the platform's store. The right to dispatch
//! belongs to the attempt on record. Only that attempt can give it up, by recording that it
//! never ran. No lease and no timeout guards a claim, so that a paused holder is harmless.
//!
//! A request whose key is in use on the same router waits for that result until its own
//! deadline. On another router it gets the recorded answer, or [`ClaimVerdict::Unknown`] when
//! the claim has no result, with the reason "still running" while one may yet be recorded.

mod effect;
mod entry;
mod key;
mod options;
mod page;
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
use page::{Change, Page, PendingChange};
use sweep::Sweep;

pub use effect::{ClaimEffect, ClaimVerdict};
pub use key::{CLAIM_PREFIX, ClaimKey, is_in_window, key_unix_ms};
pub use options::ClaimOptions;
pub use record::{ClaimRecord, ClaimTable, RecordError};

/// The claims of one router.
///
/// The caller performs the returned effects in their order. The `now` passed to
/// [`Self::store_answered`], [`Self::receive_answer`] and [`Self::may_dispatch`] must have
/// been read after the answer arrived: an older time could hide that the key went out of use
/// while the process was frozen.
#[derive(Clone, Debug)]
pub struct ClaimBook {
    me: InstanceId,
    incarnation: Incarnation,
    options: ClaimOptions,
    calls: CallIds,
    invariants: Invariants,
    /// The greatest wall clock time seen, so that a step back opens no key anew.
    unix_high_ms: u64,
    next_sequence: u64,
    entries: IndexMap<AttemptId, Entry>,
    by_key: IndexMap<ClaimKey, AttemptId>,
    forwarded_results: IndexMap<AttemptId, ForwardedResult>,
    pages: IndexMap<String, Page>,
    page_calls: IndexMap<CallId, String>,
    sweep: Sweep,
}

impl ClaimBook {
    /// The claims of the router `me` in its run `incarnation`.
    #[must_use]
    pub fn new(me: &InstanceId, incarnation: Incarnation, options: ClaimOptions) -> Self {
        Self {
            me: me.clone(),
            incarnation,
            invariants: Invariants::new(options.fatal_invariants),
            options,
            calls: CallIds::new(CallOwner::Claims),
            unix_high_ms: 0,
            next_sequence: 0,
            entries: IndexMap::new(),
            by_key: IndexMap::new(),
            forwarded_results: IndexMap::new(),
            pages: IndexMap::new(),
            page_calls: IndexMap::new(),
            sweep: Sweep::default(),
        }
    }

    /// Claims `key` for `attempt`. The verdict follows, at the latest with the first
    /// [`Self::tick`] after `deadline_ms` on the steady clock.
    #[expect(clippy::too_many_arguments, reason = "one call names a whole request")]
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
        let now = self.observe(now);
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
        let writer = self.usual_writer(&name, members);
        self.claim(&intent, writer, now)
    }

    /// Whether `attempt` may be dispatched now.
    ///
    /// It must hold a claim, and its key must still be in use. A claim that took effect
    /// after the key went out of use proves nothing: the object may have been deleted with
    /// an earlier claim of the same key.
    #[must_use]
    pub fn may_dispatch(&self, attempt: &AttemptId, now: Now) -> bool {
        let Some(entry) = self.entries.get(attempt) else {
            return false;
        };
        let unix_ms = now.unix_ms.max(self.unix_high_ms);
        entry.state == EntryState::Granted
            && attempt.instance == self.me
            && attempt.incarnation == self.incarnation
            && is_in_window(entry.intent.key_ms, unix_ms, &self.options)
    }

    /// Records how `attempt` ended. From now on it may not be dispatched.
    ///
    /// Call it with [`ClaimResult::NotRun`] only when no dispatch of the attempt began, or
    /// each one was refused before it began.
    pub fn finish(
        &mut self,
        attempt: &AttemptId,
        result: ClaimResult,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let now = self.observe(now);
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
        let result = self.bound(result);
        // A waiter that claims anew must find the release in the same object first.
        let must_write_here = has_waiters && result == ClaimResult::NotRun;
        let mut effects = match entry.writer.clone() {
            Some(writer) if !must_write_here => {
                self.forward_result(&entry.intent, &result, writer, now)
            }
            _ => self.record_result(&entry.intent, result.clone(), now),
        };
        effects.extend(self.resolve_waiters(entry.waiters, &result, now));
        effects
    }

    /// The invariants that this module asserts.
    #[must_use]
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// The number of attempts that hold or want a claim, waiting requests not counted.
    #[must_use]
    pub fn open_attempts(&self) -> usize {
        self.entries.len()
    }

    /// Whether every result is known to be on record, so that this router can exit.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.entries.is_empty()
            && self.forwarded_results.is_empty()
            && self.pages.values().all(|page| page.pending.is_empty())
    }

    /// The present time with a wall clock that never goes back.
    fn observe(&mut self, now: Now) -> Now {
        self.unix_high_ms = self.unix_high_ms.max(now.unix_ms);
        Now {
            unix_ms: self.unix_high_ms,
            ..now
        }
    }

    /// The live router of the own data centre that usually writes an object; none for this one.
    fn usual_writer(&self, name: &str, members: &MemberView) -> Option<InstanceId> {
        let near = members.in_data_centre(&members.me.data_centre);
        let writer = rendezvous::best(name, near)?;
        (writer.instance != self.me).then(|| writer.instance.clone())
    }

    /// Starts the claim of `intent`, through `writer` when there is one.
    fn claim(&mut self, intent: &Intent, writer: Option<InstanceId>, now: Now) -> Vec<ClaimEffect> {
        self.by_key
            .insert(intent.key.clone(), intent.attempt.clone());
        let entry = Entry {
            intent: intent.clone(),
            state: EntryState::Claiming,
            writer: writer.clone(),
            fallback_ms: writer
                .is_some()
                .then_some(now.steady_ms + self.options.writer_wait_ms),
            waiters: Vec::new(),
        };
        self.entries.insert(intent.attempt.clone(), entry);
        match writer {
            Some(writer) => vec![peers::ask(intent, None, writer)],
            None => self.queue(intent, Change::Claim, None, now),
        }
    }

    /// Queues a change for its object and starts a store call if none is in progress.
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
        let page = self.pages.entry(name.clone()).or_default();
        page.used_ms = now.steady_ms;
        if page.pending.len() >= self.options.max_pending_per_object {
            return self.refuse_change(intent, &change, origin, now);
        }
        page.pending.push(PendingChange {
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
        self.pump(&name, now)
    }

    fn remove_entry(&mut self, attempt: &AttemptId) -> Option<Entry> {
        let entry = self.entries.shift_remove(attempt)?;
        self.by_key.shift_remove(&entry.intent.key);
        Some(entry)
    }

    /// The result with a body that is small enough to be kept.
    fn bound(&self, result: ClaimResult) -> ClaimResult {
        match result {
            ClaimResult::Answered(answer) => {
                ClaimResult::Answered(record::bound_body(answer, self.options.max_body_bytes))
            }
            ClaimResult::NotRun | ClaimResult::Unknown => result,
        }
    }
}
