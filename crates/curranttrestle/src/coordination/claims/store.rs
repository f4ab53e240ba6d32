//! The store calls for claim objects.

use crate::protocol::RefusalReason;
use crate::protocol::platform::{CallId, Expected, StoreCall, StoreResponse};
use crate::state::{EventKind, MemberView, Now};

use super::object::{InFlight, KnownContent, PendingChange, Step};
use super::{Change, ClaimEffect, ClaimManager, ClaimTable, is_in_window, peers};

impl ClaimManager {
    /// Handles the response to a store call. Duplicate and unknown responses are ignored.
    pub fn receive_store_response(
        &mut self,
        call: CallId,
        response: StoreResponse,
        now: Now,
        members: &MemberView,
    ) -> Vec<ClaimEffect> {
        let now = self.advance_clock(now);
        if let Some(name) = self.object_calls.shift_remove(&call) {
            return self.receive_object_response(&name, call, response, now);
        }
        self.receive_sweep_response(call, response, now, members)
    }

    /// Starts the next store call of an object, unless one is in flight.
    pub(super) fn start_next_call(&mut self, name: &str, now: Now) -> Vec<ClaimEffect> {
        let mut effects = self.drop_obsolete(name, now);
        let Some(object) = self.objects.get_mut(name) else {
            return effects;
        };
        if object.in_flight.is_some() || now.steady_ms < object.retry_at_ms {
            return effects;
        }
        let (step, resolved) = object.plan(&self.options);
        // The call is registered before the outcomes are applied, which may queue further changes.
        effects.extend(self.start_call(name, step, now));
        for (pending, outcome) in resolved {
            effects.extend(self.resolve_change(&pending, outcome, now));
        }
        effects
    }

    fn start_call(&mut self, name: &str, step: Step, now: Now) -> Option<ClaimEffect> {
        let (request, next) = match step {
            Step::Idle => return None,
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
        let object = self.objects.get_mut(name)?;
        let call = self.calls.next_id();
        object.in_flight = Some(InFlight {
            call,
            sent_ms: now.steady_ms,
            next,
            as_of_sequence: self.next_sequence,
        });
        object.used_ms = now.steady_ms;
        self.object_calls.insert(call, name.to_owned());
        Some(ClaimEffect::Store { call, request })
    }

    /// Handles the response to a call for one object.
    pub(super) fn receive_object_response(
        &mut self,
        name: &str,
        call: CallId,
        response: StoreResponse,
        now: Now,
    ) -> Vec<ClaimEffect> {
        let Some(object) = self.objects.get_mut(name) else {
            return Vec::new();
        };
        let Some(in_flight) = object.in_flight.take_if(|in_flight| in_flight.call == call) else {
            return Vec::new();
        };
        let as_of_sequence = in_flight.as_of_sequence;
        let mut effects = Vec::new();
        let content = match (response, in_flight.next) {
            (StoreResponse::Updated(version), Some(table)) => {
                effects.push(stored_event(name, &table));
                Some((Expected::Version(version), table))
            }
            (StoreResponse::Found(stored), None) => ClaimTable::decode(&stored.value)
                .ok()
                .map(|table| (Expected::Version(stored.version), table)),
            (StoreResponse::Absent, None) => Some((Expected::Absent, ClaimTable::default())),
            // Another writer was first: read what it wrote.
            (StoreResponse::Conflict, Some(_)) => {
                object.known = None;
                return self.start_next_call(name, now);
            }
            // The update may or may not have taken effect: read the object before deciding
            // anything.
            _ => None,
        };
        if let Some((expected, table)) = content {
            object.next_delay_ms = 0;
            object.known = Some(KnownContent {
                expected,
                table,
                as_of_sequence,
            });
        } else {
            object.known = None;
            object.back_off(now.steady_ms, &self.options);
        }
        effects.extend(self.start_next_call(name, now));
        effects
    }

    /// Removes the changes whose keys have expired.
    fn drop_obsolete(&mut self, name: &str, now: Now) -> Vec<ClaimEffect> {
        let Some(object) = self.objects.get_mut(name) else {
            return Vec::new();
        };
        // The object of an expired key may have been deleted and must not be recreated.
        let expired = object
            .take_pending(|pending| !is_in_window(pending.key_ms, now.unix_ms, &self.options));
        expired
            .into_iter()
            .flat_map(|pending| self.expire(&pending, now))
            .collect()
    }

    fn expire(&mut self, pending: &PendingChange, now: Now) -> Vec<ClaimEffect> {
        if let Some(origin) = pending.origin.clone() {
            return vec![peers::send_response(pending, None, origin)];
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
