//! The owner of endpoints' slots.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::protocol::peer::{
    Bid, Lease, LeaseId, PeerMessage, Recall, Renewal, Renewed, Return, Slowness, Void,
};
use crate::state::{EndpointId, Incarnation, InstanceId, Now, PoolId};

use super::pool_bids::PoolBids;
use super::{OwnedEndpoint, SlotLoadReport, SlotOptions, first_sequence};

/// The state of an endpoint at its owner.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) pool: PoolId,
    pub(super) slots: u32,
    pub(super) usable: bool,
    /// No slot is lent before this time.
    pub(super) lend_from_ms: u64,
    /// When leases ended without a return; requests may still be running in their slots.
    pub(super) orphaned_at_ms: Vec<u64>,
    /// Times and the number of slots lent from each of them on, for delayed load reports.
    pub(super) lent_history: VecDeque<(u64, u32)>,
    /// The last load report, in [`super::ReportMode::Trust`] only.
    pub(super) last_report: Option<SlotLoadReport>,
    /// Whether the endpoint is being drained for an exclusive request; no slot is lent.
    pub(super) draining: bool,
    /// When the endpoint was last chosen to be drained for an exclusive request.
    pub(super) last_exclusive_ms: u64,
    /// The fraction of slots to lend that each router reported, and when the report arrived.
    pub(super) slot_fractions: IndexMap<InstanceId, (f32, u64)>,
    /// When surplus leases may be recalled again.
    pub(super) next_surplus_recall_ms: u64,
}

/// A slot that is lent to a holder.
#[derive(Clone, Debug)]
pub(super) struct LentSlot {
    pub(super) lease: Lease,
    pub(super) holder: InstanceId,
    pub(super) expires_ms: u64,
    pub(super) lent_ms: u64,
}

/// The last recall for a pool that was sent to a holder.
#[derive(Clone, Debug)]
pub(super) struct SentRecall {
    pub(super) sent_ms: u64,
    /// Number of slots that the holder still has to return.
    pub(super) wanted: u32,
}

/// Lends the slots of some endpoints to the routers that bid for them.
#[derive(Debug)]
pub struct SlotOwner {
    pub(super) me: InstanceId,
    pub(super) options: SlotOptions,
    pub(super) next_sequence: u64,
    pub(super) endpoints: IndexMap<EndpointId, EndpointState>,
    pub(super) leases: IndexMap<LeaseId, LentSlot>,
    pub(super) bids: IndexMap<PoolId, PoolBids>,
    pub(super) recalls: IndexMap<(InstanceId, PoolId), SentRecall>,
    /// Whether anything was received since the last decision.
    pub(super) changed: bool,
    pub(super) decided_ms: u64,
}

impl SlotOwner {
    /// Creates an owner without endpoints.
    #[must_use]
    pub fn new(me: InstanceId, incarnation: Incarnation, options: SlotOptions) -> Self {
        Self {
            me,
            options,
            next_sequence: first_sequence(incarnation),
            endpoints: IndexMap::new(),
            leases: IndexMap::new(),
            bids: IndexMap::new(),
            recalls: IndexMap::new(),
            changed: false,
            decided_ms: 0,
        }
    }

    /// Sets the endpoints that this router owns. Recalls the leases of endpoints that became
    /// unusable. Endpoints that are missing from `owned` now belong to another owner, and their
    /// leases are removed.
    pub fn set_endpoints(
        &mut self,
        owned: &[OwnedEndpoint],
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        self.changed = true;
        self.endpoints
            .retain(|id, _| owned.iter().any(|endpoint| endpoint.endpoint == *id));
        let endpoints = &self.endpoints;
        self.leases
            .retain(|_, lent| endpoints.contains_key(&lent.lease.endpoint));
        let mut newly_unusable = Vec::new();
        for endpoint in owned {
            let state = self
                .endpoints
                .entry(endpoint.endpoint.clone())
                .or_insert_with(|| EndpointState {
                    pool: endpoint.pool.clone(),
                    slots: endpoint.slots,
                    usable: endpoint.usable,
                    lend_from_ms: now.steady_ms + self.options.takeover_delay_ms,
                    orphaned_at_ms: Vec::new(),
                    lent_history: VecDeque::new(),
                    last_report: None,
                    draining: false,
                    last_exclusive_ms: 0,
                    slot_fractions: IndexMap::new(),
                    next_surplus_recall_ms: 0,
                });
            if state.usable && !endpoint.usable {
                newly_unusable.push(endpoint.endpoint.clone());
            }
            state.pool = endpoint.pool.clone();
            state.slots = endpoint.slots;
            state.usable = endpoint.usable;
        }
        newly_unusable
            .iter()
            .flat_map(|endpoint| self.recall_all(endpoint))
            .collect()
    }

    /// Receives a bid, which replaces the sender's previous one for the pool.
    pub fn receive_bid(
        &mut self,
        from: &InstanceId,
        bid: &Bid,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        self.changed = true;
        self.bids.entry(bid.pool.clone()).or_default().replace(
            from,
            bid,
            self.options.void_timeout_ms,
            now,
        );
        self.void_lost_lends(from, bid.last_lend, now)
            .into_iter()
            .collect()
    }

    /// Receives returned slots.
    pub fn receive_return(&mut self, from: &InstanceId, returned: &Return, _now: Now) {
        self.changed = true;
        for id in &returned.leases {
            if self.leases.get(id).is_none_or(|lent| lent.holder != *from) {
                continue;
            }
            let Some(lent) = self.leases.swap_remove(id) else {
                continue;
            };
            let key = (lent.holder, lent.lease.pool);
            if let Some(recall) = self.recalls.get_mut(&key) {
                recall.wanted = recall.wanted.saturating_sub(1);
            }
        }
    }

    /// Renews the leases listed by a holder and returns the response.
    pub fn receive_renewal(
        &mut self,
        from: &InstanceId,
        renewal: &Renewal,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let expires_ms = now.steady_ms + self.options.lease_ms + self.options.lease_margin_ms;
        let held_ids = self.decode_held(renewal);
        self.changed = true;
        self.bids
            .values_mut()
            .for_each(|bids| bids.record_least_served(from, None, now));
        for account in &renewal.least_served {
            self.bids
                .entry(account.pool.clone())
                .or_default()
                .record_least_served(from, Some(&account.customer), now);
        }
        // A lease that the holder received but does not list has been returned.
        let me = &self.me;
        let first_lend = renewal.last_lend.saturating_sub(renewal.lend_span);
        let received = first_lend..=renewal.last_lend;
        self.leases.retain(|id, lent| {
            let was_received = id.owner == *me && received.contains(&id.sequence);
            lent.holder != *from || !was_received || held_ids.contains(id)
        });
        let mut lapsed = Vec::new();
        for id in held_ids {
            match self.leases.get_mut(&id) {
                Some(lent) if lent.holder == *from => lent.expires_ms = expires_ms,
                _ => lapsed.push(id),
            }
        }
        for lease in &renewal.adopted {
            if self.adopt(from, lease, expires_ms).is_none() {
                lapsed.push(lease.id.clone());
            }
        }
        let renewed = Renewed {
            sent_ms: renewal.sent_ms,
            lapsed,
        };
        let mut messages = vec![(from.clone(), PeerMessage::Renewed(renewed))];
        messages.extend(self.void_lost_lends(from, renewal.last_lend, now));
        messages
    }

    /// Removes the bids of a router that is gone. Its leases end by expiry, because the router
    /// may still be running on the other side of a network partition.
    pub fn forget_holder(&mut self, holder: &InstanceId, _now: Now) {
        for bids in self.bids.values_mut() {
            bids.forget(holder);
        }
        self.recalls.retain(|(instance, _), _| instance != holder);
    }

    /// Receives a router's report on the speed of an endpoint. Only a part of a slow endpoint's
    /// slots is lent.
    pub fn receive_slowness(&mut self, from: &InstanceId, slowness: &Slowness, now: Now) {
        if let Some(state) = self.endpoints.get_mut(&slowness.endpoint) {
            state
                .slot_fractions
                .insert(from.clone(), (slowness.window, now.steady_ms));
        }
    }

    /// Returns how many slots of an endpoint are lent.
    #[must_use]
    pub fn lent(&self, endpoint: &EndpointId) -> u32 {
        let count = self
            .leases
            .values()
            .filter(|lent| lent.lease.endpoint == *endpoint)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns all leases with their holders.
    pub fn leases(&self) -> impl Iterator<Item = (&Lease, &InstanceId)> {
        self.leases.values().map(|lent| (&lent.lease, &lent.holder))
    }

    /// Recalls all leases of an endpoint, regardless of the requests that wait at their holders.
    pub(super) fn recall_all(&self, endpoint: &EndpointId) -> Vec<(InstanceId, PeerMessage)> {
        self.recall_some(endpoint, u32::MAX)
    }

    /// Recalls up to `limit` leases of an endpoint, starting at the end of the lease table.
    fn recall_some(&self, endpoint: &EndpointId, limit: u32) -> Vec<(InstanceId, PeerMessage)> {
        let mut by_holder: IndexMap<InstanceId, Vec<LeaseId>> = IndexMap::new();
        let mut pool = None;
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let of_endpoint = self
            .leases
            .iter()
            .rev()
            .filter(|(_, lent)| lent.lease.endpoint == *endpoint);
        for (id, lent) in of_endpoint.take(limit) {
            pool = Some(lent.lease.pool.clone());
            by_holder
                .entry(lent.holder.clone())
                .or_default()
                .push(id.clone());
        }
        let Some(pool) = pool else {
            return Vec::new();
        };
        by_holder
            .into_iter()
            .map(|(holder, leases)| {
                let recall = Recall {
                    pool: pool.clone(),
                    leases,
                    next: None,
                };
                (holder, PeerMessage::Recall(recall))
            })
            .collect()
    }

    /// Ends leases that were not renewed, and removes expired orphans, slowness reports and bids.
    pub(super) fn expire(&mut self, now: Now) {
        self.end_leases(now, |lent| lent.expires_ms <= now.steady_ms);
        let orphan_ms = self.options.orphan_timeout_ms;
        let slowness_ms = self.options.slowness_timeout_ms;
        for state in self.endpoints.values_mut() {
            state
                .orphaned_at_ms
                .retain(|ended_ms| now.since_ms(*ended_ms) < orphan_ms);
            state
                .slot_fractions
                .retain(|_, (_, received_ms)| now.since_ms(*received_ms) < slowness_ms);
        }
        for bids in self.bids.values_mut() {
            bids.expire(self.options.lease_ms, now);
        }
    }

    /// Recalls leases in excess of the number of slots that an endpoint may lend.
    pub(super) fn recall_surplus(&mut self, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let mut messages = Vec::new();
        let endpoints: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        for endpoint in endpoints {
            let state = &self.endpoints[&endpoint];
            let surplus = self.lent(&endpoint).saturating_sub(state.lendable_slots());
            if surplus == 0 || now.steady_ms < state.next_surplus_recall_ms {
                continue;
            }
            messages.extend(self.recall_some(&endpoint, surplus));
            self.endpoints[&endpoint].next_surplus_recall_ms =
                now.steady_ms + self.options.renewal_interval_ms;
        }
        messages
    }

    /// Declares lends void that a holder should have received before it sent its last message.
    fn void_lost_lends(
        &self,
        holder: &InstanceId,
        last_lend: u64,
        now: Now,
    ) -> Option<(InstanceId, PeerMessage)> {
        let through = self
            .leases
            .iter()
            .filter(|(id, lent)| {
                lent.holder == *holder
                    && id.owner == self.me
                    && id.sequence > last_lend
                    && now.since_ms(lent.lent_ms) >= self.options.void_timeout_ms
            })
            .map(|(id, _)| id.sequence)
            .max()?;
        Some((holder.clone(), PeerMessage::Void(Void { through })))
    }

    /// Decodes [`Renewal::held`] into lease ids.
    fn decode_held(&self, renewal: &Renewal) -> Vec<LeaseId> {
        let mut sequence = 0_u64;
        renewal
            .held
            .iter()
            .map(|difference| {
                sequence = sequence.saturating_add(*difference);
                LeaseId {
                    owner: self.me.clone(),
                    sequence,
                }
            })
            .collect()
    }

    /// Adopts a lease of an earlier owner. Returns `None` if this router does not own the
    /// endpoint, or if the endpoint is unusable or has no free slot.
    fn adopt(&mut self, from: &InstanceId, lease: &Lease, expires_ms: u64) -> Option<()> {
        let state = self.endpoints.get(&lease.endpoint)?;
        if let Some(lent) = self.leases.get_mut(&lease.id) {
            lent.expires_ms = expires_ms;
            return Some(());
        }
        if !state.usable || self.lent(&lease.endpoint) >= state.slots {
            return None;
        }
        // The lend time is unknown. A time in the future keeps `void_lost_lends` from declaring
        // the lease void at once.
        let lent_ms = expires_ms;
        let lent_slot = LentSlot {
            lease: lease.clone(),
            holder: from.clone(),
            expires_ms,
            lent_ms,
        };
        self.leases.insert(lease.id.clone(), lent_slot);
        Some(())
    }
}
