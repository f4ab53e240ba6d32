//! The periodic work of claims: deadlines, timeouts and retries.

use crate::protocol::RefusalReason;
use crate::protocol::platform::StoreResponse;
use crate::state::{AttemptId, MemberView, Now};

use super::entry::EntryState;
use super::{ClaimEffect, ClaimManager, peers, resolve};

/// How long the content of an unused object is cached.
const IDLE_OBJECT_MS: u64 = 30_000;
/// The timeout of a change queued for another router, as a multiple of `writer_timeout_ms`.
const PEER_CHANGE_TIMEOUT_FACTOR: u64 = 20;

impl ClaimManager {
    /// Handles deadlines, timeouts, retries and the deletion of expired objects.
    ///
    /// Call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Now, members: &MemberView) -> Vec<ClaimEffect> {
        let now = self.advance_clock(now);
        let mut effects = self.expire_waiters(now);
        effects.extend(self.expire_claims(now));
        effects.extend(self.time_out_writers(now));
        effects.extend(self.time_out_calls(now));
        effects.extend(self.start_due_calls(now));
        effects.extend(self.tick_sweep(now, members));
        effects
    }

    /// Resolves the waiting requests whose deadline has passed.
    fn expire_waiters(&mut self, now: Now) -> Vec<ClaimEffect> {
        let mut effects = Vec::new();
        for entry in self.entries.values_mut() {
            for waiter in entry
                .waiters
                .extract_if(.., |waiter| waiter.deadline_ms <= now.steady_ms)
            {
                effects.push(resolve::unknown(waiter.request));
            }
        }
        effects
    }

    /// Abandons the claims whose deadline has passed.
    fn expire_claims(&mut self, now: Now) -> Vec<ClaimEffect> {
        let due = self.due_claims(|entry| entry.intent.deadline_ms <= now.steady_ms);
        due.iter()
            .flat_map(|attempt| self.abandon(attempt, RefusalReason::StoreUnavailable, now))
            .collect()
    }

    fn time_out_writers(&mut self, now: Now) -> Vec<ClaimEffect> {
        let due = self.due_claims(|entry| entry.fallback_ms.is_some_and(|at| at <= now.steady_ms));
        let mut effects: Vec<ClaimEffect> = due
            .iter()
            .flat_map(|attempt| self.claim_directly(attempt, now))
            .collect();
        let due: Vec<AttemptId> = self
            .forwarded_results
            .iter()
            .filter(|(_, forwarded)| forwarded.fallback_ms <= now.steady_ms)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in due {
            effects.extend(self.record_forwarded_result(&attempt, now));
        }
        effects
    }

    fn due_claims(&self, is_due: impl Fn(&super::Entry) -> bool) -> Vec<AttemptId> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.state == EntryState::Claiming && is_due(entry))
            .map(|(attempt, _)| attempt.clone())
            .collect()
    }

    /// Treats calls that got no response in time as lost.
    fn time_out_calls(&mut self, now: Now) -> Vec<ClaimEffect> {
        let timeout_ms = self.options.call_timeout_ms;
        let due: Vec<_> = self
            .objects
            .values()
            .filter_map(|object| object.in_flight.as_ref())
            .filter(|in_flight| now.since_ms(in_flight.sent_ms) >= timeout_ms)
            .map(|in_flight| in_flight.call)
            .collect();
        let mut effects = Vec::new();
        for call in due {
            if let Some(name) = self.object_calls.shift_remove(&call) {
                effects.extend(self.receive_object_response(&name, call, StoreResponse::Lost, now));
            }
        }
        effects
    }

    /// Starts the calls that are due and evicts the objects that are not in use.
    fn start_due_calls(&mut self, now: Now) -> Vec<ClaimEffect> {
        let mut effects = Vec::new();
        let peer_change_timeout_ms = self.options.writer_timeout_ms * PEER_CHANGE_TIMEOUT_FACTOR;
        let names: Vec<String> = self
            .objects
            .iter()
            .filter(|(_, object)| !object.pending.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let Some(object) = self.objects.get_mut(&name) else {
                continue;
            };
            let stale = object.take_pending(|pending| {
                pending.origin.is_some()
                    && now.since_ms(pending.queued_ms) >= peer_change_timeout_ms
            });
            for pending in stale {
                if let Some(origin) = pending.origin.clone() {
                    effects.push(peers::send_response(&pending, None, origin));
                }
            }
            effects.extend(self.start_next_call(&name, now));
        }
        self.objects.retain(|_, object| {
            !object.pending.is_empty()
                || object.in_flight.is_some()
                || now.since_ms(object.used_ms) < IDLE_OBJECT_MS
        });
        effects
    }
}
