//! Deletion of claim objects that hold only expired keys.

use crate::coordination::rendezvous;
use crate::protocol::platform::{CallId, StoreCall, StoreResponse};
use crate::state::{MemberView, Now};

use super::key::{CLAIM_PREFIX, expired_objects};
use super::{ClaimEffect, ClaimManager};

/// The state of the deletion of expired objects.
#[derive(Clone, Debug, Default)]
pub(super) struct Sweep {
    /// When the objects are listed next, on the steady clock.
    next_ms: Option<u64>,
    listing: Option<CallId>,
    expired: Vec<String>,
    /// The deletions in flight and when each was sent, on the steady clock.
    deleting: Vec<(CallId, u64)>,
}

impl ClaimManager {
    /// Lists the objects when due, and deletes the expired ones a few at a time.
    pub(super) fn tick_sweep(&mut self, now: Now, members: &MemberView) -> Vec<ClaimEffect> {
        let mut effects = Vec::new();
        let next_ms = *self
            .sweep
            .next_ms
            .get_or_insert(now.steady_ms + self.options.sweep_interval_ms);
        if now.steady_ms >= next_ms {
            self.sweep.next_ms = Some(now.steady_ms + self.options.sweep_interval_ms);
            if self.is_sweeper(members) {
                effects.push(self.list_objects());
            }
        }
        // An object whose deletion got no response is left to the next listing.
        let timeout_ms = self.options.call_timeout_ms;
        self.sweep
            .deleting
            .retain(|(_, sent_ms)| now.since_ms(*sent_ms) < timeout_ms);
        effects.extend(self.delete_expired(now));
        effects
    }

    /// Handles the response to a listing or a deletion.
    pub(super) fn receive_sweep_response(
        &mut self,
        call: CallId,
        response: StoreResponse,
        now: Now,
        members: &MemberView,
    ) -> Vec<ClaimEffect> {
        self.sweep
            .deleting
            .retain(|(deleting, _)| *deleting != call);
        if self
            .sweep
            .listing
            .take_if(|listing| *listing == call)
            .is_some()
            && let StoreResponse::Names(names) = response
            && self.is_sweeper(members)
        {
            self.sweep.expired = expired_objects(names, now.unix_ms, &self.options);
        }
        self.delete_expired(now)
    }

    /// Whether this router deletes expired objects. It is harmless if two routers do.
    fn is_sweeper(&self, members: &MemberView) -> bool {
        rendezvous::best(CLAIM_PREFIX, &members.live)
            .is_some_and(|member| member.instance == self.me)
    }

    fn list_objects(&mut self) -> ClaimEffect {
        let call = self.calls.next_id();
        self.sweep.listing = Some(call);
        ClaimEffect::Store {
            call,
            request: StoreCall::List {
                prefix: CLAIM_PREFIX.to_owned(),
            },
        }
    }

    fn delete_expired(&mut self, now: Now) -> Vec<ClaimEffect> {
        let mut effects = Vec::new();
        while self.sweep.deleting.len() < self.options.max_deletes_in_flight {
            let Some(name) = self.sweep.expired.pop() else {
                break;
            };
            let call = self.calls.next_id();
            self.sweep.deleting.push((call, now.steady_ms));
            let request = StoreCall::Delete { name };
            effects.push(ClaimEffect::Store { call, request });
        }
        effects
    }
}
