//! The owner of the slots of some endpoints.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::protocol::peer::{
    Bid, Lease, LeaseId, PeerMessage, Recall, Renewal, Renewed, Return, Slowness, Void,
};
use crate::state::{EndpointId, Incarnation, InstanceId, Now, PoolId};

use super::standing::StandingBids;
use super::{LoadReport, OwnedEndpoint, SlotOptions, first_sequence};

/// An endpoint and what its owner knows of it.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) pool: PoolId,
    pub(super) slots: u32,
    pub(super) usable: bool,
    /// Nothing is lent before.
    pub(super) lend_from_ms: u64,
    /// The ends of leases that lapsed without a return; a request may still run there.
    pub(super) orphans_ms: Vec<u64>,
    /// How many leases were out since when, for reports that come late.
    pub(super) lent_history: VecDeque<(u64, u32)>,
    /// The last report, in [`super::ReportMode::Trust`].
    pub(super) reported: Option<LoadReport>,
    /// No more is lent, because one request shall run alone.
    pub(super) draining: bool,
    pub(super) last_exclusive_ms: u64,
    /// The windows that routers ask for, and when each did.
    pub(super) windows: IndexMap<InstanceId, (f32, u64)>,
    /// When surplus leases may be recalled again.
    pub(super) surplus_recalled_ms: u64,
}

/// A lease that is out.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) lease: Lease,
    pub(super) holder: InstanceId,
    pub(super) expires_ms: u64,
    pub(super) lent_ms: u64,
}

/// When a holder was last told of the best bid for a pool.
#[derive(Clone, Debug)]
pub(super) struct SentRecall {
    pub(super) sent_ms: u64,
    /// How many slots are still to be returned for it.
    pub(super) wanted: u32,
}

/// Lends the slots of some endpoints to the routers that bid for them.
#[derive(Debug)]
pub struct SlotOwner {
    pub(super) me: InstanceId,
    pub(super) options: SlotOptions,
    pub(super) next_sequence: u64,
    pub(super) endpoints: IndexMap<EndpointId, EndpointState>,
    pub(super) leases: IndexMap<LeaseId, Held>,
    pub(super) bids: IndexMap<PoolId, StandingBids>,
    pub(super) recalls: IndexMap<(InstanceId, PoolId), SentRecall>,
    /// Something was received since the last decision.
    pub(super) changed: bool,
    pub(super) decided_ms: u64,
}

impl SlotOwner {
    /// An owner of nothing.
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

    /// Says which endpoints this router owns. Leases of endpoints that became unusable are
    /// recalled; endpoints that are missing now belong to another owner.
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
            .retain(|_, held| endpoints.contains_key(&held.lease.endpoint));
        let mut stopped = Vec::new();
        for endpoint in owned {
            let state = self
                .endpoints
                .entry(endpoint.endpoint.clone())
                .or_insert_with(|| EndpointState {
                    pool: endpoint.pool.clone(),
                    slots: endpoint.slots,
                    usable: endpoint.usable,
                    lend_from_ms: now.steady_ms + self.options.caution_ms,
                    orphans_ms: Vec::new(),
                    lent_history: VecDeque::new(),
                    reported: None,
                    draining: false,
                    last_exclusive_ms: 0,
                    windows: IndexMap::new(),
                    surplus_recalled_ms: 0,
                });
            if state.usable && !endpoint.usable {
                stopped.push(endpoint.endpoint.clone());
            }
            state.pool = endpoint.pool.clone();
            state.slots = endpoint.slots;
            state.usable = endpoint.usable;
        }
        stopped
            .iter()
            .flat_map(|endpoint| self.recall_all(endpoint))
            .collect()
    }

    /// Takes a bid, which replaces the sender's previous one.
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
            self.options.void_ms,
            now,
        );
        self.void_lost(from, bid.last_lend, now)
            .into_iter()
            .collect()
    }

    /// Takes slots back.
    pub fn receive_return(&mut self, from: &InstanceId, returned: &Return, _now: Now) {
        self.changed = true;
        for id in &returned.leases {
            if self.leases.get(id).is_none_or(|held| held.holder != *from) {
                continue;
            }
            let Some(held) = self.leases.swap_remove(id) else {
                continue;
            };
            let key = (held.holder, held.lease.pool);
            if let Some(recall) = self.recalls.get_mut(&key) {
                recall.wanted = recall.wanted.saturating_sub(1);
            }
        }
    }

    /// Renews the leases that a holder names and answers it.
    pub fn receive_renewal(
        &mut self,
        from: &InstanceId,
        renewal: &Renewal,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let expires_ms = now.steady_ms + self.options.lease_ms + self.options.lease_margin_ms;
        let named = self.named(renewal);
        self.changed = true;
        self.bids
            .values_mut()
            .for_each(|bids| bids.note_least_served(from, None, now));
        for account in &renewal.least_served {
            self.bids
                .entry(account.pool.clone())
                .or_default()
                .note_least_served(from, Some(&account.customer), now);
        }
        // What the holder had received and does not name was returned.
        let me = &self.me;
        let first_lend = renewal.last_lend.saturating_sub(renewal.lend_span);
        let received = first_lend..=renewal.last_lend;
        self.leases.retain(|id, held| {
            let is_seen = id.owner == *me && received.contains(&id.sequence);
            held.holder != *from || !is_seen || named.contains(id)
        });
        let mut lapsed = Vec::new();
        for id in named {
            match self.leases.get_mut(&id) {
                Some(held) if held.holder == *from => held.expires_ms = expires_ms,
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
        messages.extend(self.void_lost(from, renewal.last_lend, now));
        messages
    }

    /// Forgets the bids of a router that is gone. Its leases end by expiry, because it may
    /// still be running behind a network partition.
    pub fn forget_holder(&mut self, holder: &InstanceId, _now: Now) {
        for bids in self.bids.values_mut() {
            bids.forget(holder);
        }
        self.recalls.retain(|(instance, _), _| instance != holder);
    }

    /// Takes a judgement on the speed of an endpoint. A slow endpoint is lent in part.
    pub fn receive_slowness(&mut self, from: &InstanceId, slowness: &Slowness, now: Now) {
        if let Some(state) = self.endpoints.get_mut(&slowness.endpoint) {
            state
                .windows
                .insert(from.clone(), (slowness.window, now.steady_ms));
        }
    }

    /// How many leases of an endpoint are out.
    #[must_use]
    pub fn lent(&self, endpoint: &EndpointId) -> u32 {
        let count = self
            .leases
            .values()
            .filter(|held| held.lease.endpoint == *endpoint)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// All leases that are out, with their holders.
    pub fn leases(&self) -> impl Iterator<Item = (&Lease, &InstanceId)> {
        self.leases.values().map(|held| (&held.lease, &held.holder))
    }

    /// Recalls all leases of an endpoint, whatever waits at their holders.
    pub(super) fn recall_all(&self, endpoint: &EndpointId) -> Vec<(InstanceId, PeerMessage)> {
        self.recall_some(endpoint, u32::MAX)
    }

    /// Recalls the last leases of an endpoint.
    fn recall_some(&self, endpoint: &EndpointId, most: u32) -> Vec<(InstanceId, PeerMessage)> {
        let mut by_holder: IndexMap<InstanceId, Vec<LeaseId>> = IndexMap::new();
        let mut pool = None;
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        let of_endpoint = self
            .leases
            .iter()
            .rev()
            .filter(|(_, held)| held.lease.endpoint == *endpoint);
        for (id, held) in of_endpoint.take(most) {
            pool = Some(held.lease.pool.clone());
            by_holder
                .entry(held.holder.clone())
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

    /// Ends leases that were not renewed, and forgets old bids.
    pub(super) fn expire(&mut self, now: Now) {
        self.end_leases(now, |held| held.expires_ms <= now.steady_ms);
        let orphan_ms = self.options.orphan_timeout_ms;
        let slowness_ms = self.options.slowness_timeout_ms;
        for state in self.endpoints.values_mut() {
            state
                .orphans_ms
                .retain(|ended_ms| now.since_ms(*ended_ms) < orphan_ms);
            state
                .windows
                .retain(|_, (_, told_ms)| now.since_ms(*told_ms) < slowness_ms);
        }
        for bids in self.bids.values_mut() {
            bids.expire(self.options.lease_ms, now);
        }
    }

    /// Recalls what is lent beyond the window of an endpoint.
    pub(super) fn recall_surplus(&mut self, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let mut messages = Vec::new();
        let endpoints: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        for endpoint in endpoints {
            let state = &self.endpoints[&endpoint];
            let surplus = self.lent(&endpoint).saturating_sub(state.window());
            if surplus == 0 || now.steady_ms < state.surplus_recalled_ms {
                continue;
            }
            messages.extend(self.recall_some(&endpoint, surplus));
            self.endpoints[&endpoint].surplus_recalled_ms = now.steady_ms + self.options.renewal_ms;
        }
        messages
    }

    /// Declares lends void that a holder should have received before its last message.
    fn void_lost(
        &self,
        holder: &InstanceId,
        last_lend: u64,
        now: Now,
    ) -> Option<(InstanceId, PeerMessage)> {
        let through = self
            .leases
            .iter()
            .filter(|(id, held)| {
                held.holder == *holder
                    && id.owner == self.me
                    && id.sequence > last_lend
                    && now.since_ms(held.lent_ms) >= self.options.void_ms
            })
            .map(|(id, _)| id.sequence)
            .max()?;
        Some((holder.clone(), PeerMessage::Void(Void { through })))
    }

    fn named(&self, renewal: &Renewal) -> Vec<LeaseId> {
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

    /// Counts a lease of an earlier owner. None when its endpoint is not owned here, is not
    /// usable or has no room for it.
    fn adopt(&mut self, from: &InstanceId, lease: &Lease, expires_ms: u64) -> Option<()> {
        let state = self.endpoints.get(&lease.endpoint)?;
        if let Some(held) = self.leases.get_mut(&lease.id) {
            held.expires_ms = expires_ms;
            return Some(());
        }
        if !state.usable || self.lent(&lease.endpoint) >= state.slots {
            return None;
        }
        let lent_ms = expires_ms;
        let held = Held {
            lease: lease.clone(),
            holder: from.clone(),
            expires_ms,
            lent_ms,
        };
        self.leases.insert(lease.id.clone(), held);
        Some(())
    }
}
