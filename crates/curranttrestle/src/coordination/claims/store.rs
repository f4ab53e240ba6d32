//! The store calls of claim objects.

use crate::protocol::RefusalReason;
use crate::protocol::platform::{CallId, Expected, StoreAnswer, StoreCall};
use crate::state::{EventKind, MemberView, Now};

use super::page::{InFlight, KnownContent, PendingChange, Step};
use super::{Change, ClaimBook, ClaimEffect, ClaimTable, is_in_window, peers};

impl ClaimBook {
    /// Takes the answer to a store call. A second or unknown answer is ignored.
    pub fn store_answered(
        &mut self,
        call: CallId,
        answer: StoreAnswer,
        now: Now,
        members: &MemberView,
    ) -> Vec<ClaimEffect> {
        let now = self.observe(now);
        if let Some(name) = self.page_calls.shift_remove(&call) {
            return self.page_answered(&name, call, answer, now);
        }
        self.sweep_answered(call, answer, now, members)
    }

    /// Starts the next store call of an object, unless one is in progress.
    pub(super) fn pump(&mut self, name: &str, now: Now) -> Vec<ClaimEffect> {
        let mut effects = self.drop_obsolete(name, now);
        let Some(page) = self.pages.get_mut(name) else {
            return effects;
        };
        if page.in_flight.is_some() || now.steady_ms < page.retry_at_ms {
            return effects;
        }
        let (step, settled) = page.plan(&self.options);
        // The call is recorded before the settlements, which may queue further changes.
        effects.extend(self.start(name, step, now));
        for (pending, settlement) in settled {
            effects.extend(self.settle(&pending, settlement, now));
        }
        effects
    }

    fn start(&mut self, name: &str, step: Step, now: Now) -> Option<ClaimEffect> {
        let (request, next) = match step {
            Step::Rest => return None,
            Step::Read => (
                StoreCall::Read {
                    name: name.to_owned(),
                },
                None,
            ),
            Step::Update(expected, next) => {
                let update = StoreCall::Update {
                    name: name.to_owned(),
                    expected,
                    value: next.encode().ok()?,
                };
                (update, Some(next))
            }
        };
        let page = self.pages.get_mut(name)?;
        let call = self.calls.next_id();
        page.in_flight = Some(InFlight {
            call,
            sent_ms: now.steady_ms,
            next,
            fresh_sequence: self.next_sequence,
        });
        page.used_ms = now.steady_ms;
        self.page_calls.insert(call, name.to_owned());
        Some(ClaimEffect::Store { call, request })
    }

    /// Takes the answer to a call of one object.
    pub(super) fn page_answered(
        &mut self,
        name: &str,
        call: CallId,
        answer: StoreAnswer,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let Some(page) = self.pages.get_mut(name) else {
            return Vec::new();
        };
        let Some(in_flight) = page.in_flight.take_if(|in_flight| in_flight.call == call) else {
            return Vec::new();
        };
        let fresh_sequence = in_flight.fresh_sequence;
        let mut effects = Vec::new();
        let content = match (answer, in_flight.next) {
            (StoreAnswer::Updated(version), Some(table)) => {
                effects.push(stored_event(name, &table));
                Some((Expected::Version(version), table))
            }
            (StoreAnswer::Found(object), None) => ClaimTable::decode(&object.value)
                .ok()
                .map(|table| (Expected::Version(object.version), table)),
            (StoreAnswer::Absent, None) => Some((Expected::Absent, ClaimTable::default())),
            // Another writer was first: read what it wrote.
            (StoreAnswer::Conflict, Some(_)) => {
                page.known = None;
                return self.pump(name, now);
            }
            // Read back whether an update took effect before anything is decided.
            _ => None,
        };
        if let Some((expected, table)) = content {
            page.next_delay_ms = 0;
            page.known = Some(KnownContent {
                expected,
                table,
                fresh_sequence,
            });
        } else {
            page.known = None;
            page.back_off(now.steady_ms, &self.options);
        }
        effects.extend(self.pump(name, now));
        effects
    }

    /// Drops changes that must not be written any more.
    fn drop_obsolete(&mut self, name: &str, now: Now) -> Vec<ClaimEffect> {
        let Some(page) = self.pages.get_mut(name) else {
            return Vec::new();
        };
        // A key out of use: its object may be deleted and must not be made anew.
        let expired =
            page.take_pending(|pending| !is_in_window(pending.key_ms, now.unix_ms, &self.options));
        expired
            .into_iter()
            .flat_map(|pending| self.expire(&pending, now))
            .collect()
    }

    fn expire(&mut self, pending: &PendingChange, now: Now) -> Vec<ClaimEffect> {
        if let Some(origin) = pending.origin.clone() {
            return vec![peers::answer(pending, None, origin)];
        }
        match pending.change {
            Change::Claim => self.abandon(&pending.attempt, RefusalReason::KeyOutsideWindow, now),
            Change::Result(_) => Vec::new(),
        }
    }
}

fn stored_event(name: &str, table: &ClaimTable) -> ClaimEffect {
    ClaimEffect::Emit {
        kind: EventKind::ClaimStored,
        request: None,
        details: vec![
            ("object", name.to_owned()),
            ("size_bytes", table.size_bytes().to_string()),
        ],
    }
}
