//! What time alone decides about claims.

use crate::protocol::RefusalReason;
use crate::protocol::platform::StoreAnswer;
use crate::state::{AttemptId, MemberView, Now};

use super::entry::EntryState;
use super::{ClaimBook, ClaimEffect, peers, resolve};

/// How long the content of an unused object is kept in memory.
const IDLE_PAGE_MS: u64 = 30_000;
/// How many times the wait for the usual writer a change of another router is kept.
const FOREIGN_WAITS: u64 = 20;

impl ClaimBook {
    /// Does what is due: deadlines, timeouts, retries and the removal of expired objects.
    ///
    /// Call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Now, members: &MemberView) -> Vec<ClaimEffect> {
        let now = self.observe(now);
        let mut effects = self.end_waits(now);
        effects.extend(self.pass_deadlines(now));
        effects.extend(self.stop_waiting_for_writers(now));
        effects.extend(self.time_out_calls(now));
        effects.extend(self.pump_all(now));
        effects.extend(self.tick_sweep(now, members));
        effects
    }

    /// Answers the waiting requests whose deadline has passed.
    fn end_waits(&mut self, now: Now) -> Vec<ClaimEffect> {
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

    /// Gives up the claims whose deadline has passed.
    fn pass_deadlines(&mut self, now: Now) -> Vec<ClaimEffect> {
        let due = self.claiming(|entry| entry.intent.deadline_ms <= now.steady_ms);
        due.iter()
            .flat_map(|attempt| self.abandon(attempt, RefusalReason::StoreUnavailable, now))
            .collect()
    }

    fn stop_waiting_for_writers(&mut self, now: Now) -> Vec<ClaimEffect> {
        let due = self.claiming(|entry| entry.fallback_ms.is_some_and(|at| at <= now.steady_ms));
        let mut effects: Vec<ClaimEffect> = due
            .iter()
            .flat_map(|attempt| self.claim_here(attempt, now))
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

    fn claiming(&self, is_due: impl Fn(&super::Entry) -> bool) -> Vec<AttemptId> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.state == EntryState::Claiming && is_due(entry))
            .map(|(attempt, _)| attempt.clone())
            .collect()
    }

    /// Treats calls without an answer as lost.
    fn time_out_calls(&mut self, now: Now) -> Vec<ClaimEffect> {
        let timeout_ms = self.options.call_timeout_ms;
        let due: Vec<_> = self
            .pages
            .values()
            .filter_map(|page| page.in_flight.as_ref())
            .filter(|in_flight| now.since_ms(in_flight.sent_ms) >= timeout_ms)
            .map(|in_flight| in_flight.call)
            .collect();
        let mut effects = Vec::new();
        for call in due {
            if let Some(name) = self.page_calls.shift_remove(&call) {
                effects.extend(self.page_answered(&name, call, StoreAnswer::Lost, now));
            }
        }
        effects
    }

    /// Starts the calls that are due and forgets the objects that are not used.
    fn pump_all(&mut self, now: Now) -> Vec<ClaimEffect> {
        let mut effects = Vec::new();
        let foreign_ms = self.options.writer_wait_ms * FOREIGN_WAITS;
        let names: Vec<String> = self
            .pages
            .iter()
            .filter(|(_, page)| !page.pending.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let Some(page) = self.pages.get_mut(&name) else {
                continue;
            };
            let stale = page.take_pending(|pending| {
                pending.origin.is_some() && now.since_ms(pending.queued_ms) >= foreign_ms
            });
            for pending in stale {
                if let Some(origin) = pending.origin.clone() {
                    effects.push(peers::answer(&pending, None, origin));
                }
            }
            effects.extend(self.pump(&name, now));
        }
        self.pages.retain(|_, page| {
            !page.pending.is_empty()
                || page.in_flight.is_some()
                || now.since_ms(page.used_ms) < IDLE_PAGE_MS
        });
        effects
    }
}
