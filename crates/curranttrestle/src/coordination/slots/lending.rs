//! The decisions of an owner: whom to lend to, and whom to ask for slots.

use indexmap::IndexMap;

use crate::coordination::fair_share::FairShare;
use crate::protocol::peer::{Lease, LeaseId, Lend, PeerMessage, Recall};
use crate::state::{AccountId, EndpointId, InstanceId, Now, PoolId};

use super::owner::{EndpointState, Held, SentRecall, SlotOwner};
use super::standing::{Best, Use};

/// A free slot.
#[derive(Clone, Debug)]
struct FreeSlot {
    endpoint: EndpointId,
    short_only: bool,
}

impl SlotOwner {
    /// Lends the free slots to the bids with the lowest level, and asks holders whose
    /// customers are ahead for slots while a bid with a lower level waits. To be called
    /// after each message and every few milliseconds; without news it does nothing until
    /// [`super::SlotOptions::decision_ms`] have passed.
    pub fn decide(&mut self, fair_share: &FairShare, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let is_due = now.since_ms(self.decided_ms) >= self.options.decision_ms;
        if !std::mem::take(&mut self.changed) && !is_due {
            return Vec::new();
        }
        self.decided_ms = now.steady_ms;
        self.expire(now);
        let pools: Vec<PoolId> = self.bids.keys().cloned().collect();
        let mut messages = self.recall_surplus(now);
        for pool in pools {
            messages.extend(self.serve_exclusive(&pool, fair_share, now));
            messages.extend(self.lend_free(&pool, fair_share, now));
            messages.extend(self.recall_for_waiting(&pool, fair_share, now));
        }
        self.note_lent(now);
        messages
    }

    fn lend_free(
        &mut self,
        pool: &PoolId,
        fair_share: &FairShare,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let mut messages = Vec::new();
        while let Some((slot, best, usage)) = self.next_lend(pool, fair_share, now) {
            let lease = Lease {
                id: self.new_lease_id(),
                endpoint: slot.endpoint,
                pool: pool.clone(),
                short_only: slot.short_only,
                exclusive: false,
            };
            messages.push(self.lend(lease, &best, usage, fair_share, now));
        }
        messages
    }

    /// Lends one slot for the bid `best`.
    pub(super) fn lend(
        &mut self,
        lease: Lease,
        best: &Best,
        usage: Use,
        fair_share: &FairShare,
        now: Now,
    ) -> (InstanceId, PeerMessage) {
        let expires_ms = now.steady_ms + self.options.lease_ms + self.options.lease_margin_ms;
        let pool = lease.pool.clone();
        let held = Held {
            lease: lease.clone(),
            holder: best.bidder.clone(),
            expires_ms,
            lent_ms: now.steady_ms,
        };
        self.leases.insert(lease.id.clone(), held);
        let bids = self.bids.entry(pool.clone()).or_default();
        bids.count_lend(best, lease.id.sequence, usage, now);
        let next = bids
            .best(&pool, Use::Any, Some(&best.bidder), fair_share)
            .map(|next| next.to_next(Use::Any));
        let lend = Lend {
            lease,
            bid_sent_ms: best.sent_ms,
            next,
        };
        (best.bidder.clone(), PeerMessage::Lend(lend))
    }

    pub(super) fn new_lease_id(&mut self) -> LeaseId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        LeaseId {
            owner: self.me.clone(),
            sequence,
        }
    }

    /// The next free slot, with the bid that gets it.
    fn next_lend(
        &self,
        pool: &PoolId,
        fair_share: &FairShare,
        now: Now,
    ) -> Option<(FreeSlot, Best, Use)> {
        let bids = self.bids.get(pool)?;
        let has_short = bids.has_short();
        let slot = self.free_slot(pool, has_short, now)?;
        let usage = if slot.short_only {
            Use::Short
        } else {
            Use::Any
        };
        let best = bids.best(pool, usage, None, fair_share)?;
        Some((slot, best, usage))
    }

    /// A free slot of the usable endpoint with the most free slots in proportion.
    fn free_slot(&self, pool: &PoolId, has_short: bool, now: Now) -> Option<FreeSlot> {
        self.endpoints
            .iter()
            .filter(|(_, state)| state.pool == *pool && state.may_lend(now))
            .filter_map(|(endpoint, state)| {
                let used = self.used(endpoint, state);
                let free = state.window().saturating_sub(used);
                let load = f64::from(used) / f64::from(state.slots.max(1));
                (free > 0).then_some((load, endpoint, state))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, endpoint, state)| FreeSlot {
                endpoint: endpoint.clone(),
                short_only: has_short && self.unreserved_lent(endpoint) >= self.unreserved(state),
            })
    }

    fn used(&self, endpoint: &EndpointId, state: &EndpointState) -> u32 {
        let orphans = u32::try_from(state.orphans_ms.len()).unwrap_or(u32::MAX);
        let leased = self.lent(endpoint).saturating_add(orphans);
        let Some(report) = state.reported else {
            return leased;
        };
        // What was lent since the report comes on top.
        let since = self
            .leases
            .values()
            .filter(|held| held.lease.endpoint == *endpoint && held.lent_ms >= report.taken_ms)
            .count();
        report
            .running
            .saturating_add(u32::try_from(since).unwrap_or(u32::MAX))
    }

    /// How many slots of an endpoint are for any request.
    fn unreserved(&self, state: &EndpointState) -> u32 {
        match self.options.short_slot_ratio {
            0 => state.slots,
            ratio => state.slots - state.slots / ratio,
        }
    }

    fn unreserved_lent(&self, endpoint: &EndpointId) -> u32 {
        let count = self
            .leases
            .values()
            .filter(|held| held.lease.endpoint == *endpoint && !held.lease.short_only)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Tells holders whose customers are ahead of the best waiting bid.
    fn recall_for_waiting(
        &mut self,
        pool: &PoolId,
        fair_share: &FairShare,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let Some(bids) = self.bids.get(pool) else {
            return Vec::new();
        };
        let Some(best) = bids.best(pool, Use::Any, None, fair_share) else {
            return Vec::new();
        };
        let account = AccountId {
            pool: pool.clone(),
            customer: best.customer.clone(),
        };
        let cost = bids.cost(&best);
        let best_step = fair_share.level_step(&account, cost);
        // The margin is a few requests of the customer with the greater share, as in the
        // check of the holder.
        let mut ahead: Vec<(f64, InstanceId, u32)> = self
            .holders(pool)
            .into_iter()
            .filter(|(holder, _)| *holder != best.bidder)
            .filter_map(|(holder, held)| {
                let lowest = bids.lowest_of(pool, &holder, cost, fair_share)?;
                let margin = self.options.tolerance_requests * best_step.min(lowest.step);
                Some((lowest.level - margin, holder, held))
            })
            .filter(|(level, _, _)| *level > best.level)
            .collect();
        ahead.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut asked = 0;
        let mut recalls = Vec::new();
        for (level, holder, held) in ahead {
            // Slots that others were asked for serve the lowest bids first.
            let open = bids.open_below(pool, level, fair_share);
            let wanted = open.saturating_sub(asked).min(held);
            if wanted > 0 {
                asked += wanted;
                recalls.push((holder, wanted));
            }
        }
        recalls
            .into_iter()
            .filter_map(|(holder, wanted)| self.recall_from(&holder, pool, &best, wanted, now))
            .collect()
    }

    fn recall_from(
        &mut self,
        holder: &InstanceId,
        pool: &PoolId,
        best: &Best,
        wanted: u32,
        now: Now,
    ) -> Option<(InstanceId, PeerMessage)> {
        let key = (holder.clone(), pool.clone());
        let pause_ms = self.options.recall_pause_ms;
        let is_recent = self
            .recalls
            .get(&key)
            .is_some_and(|sent| sent.wanted > 0 && now.since_ms(sent.sent_ms) < pause_ms);
        if is_recent {
            return None;
        }
        let sent_ms = now.steady_ms;
        self.recalls.insert(key, SentRecall { sent_ms, wanted });
        let mut next = best.to_next(Use::Any);
        next.wanted = wanted;
        let recall = Recall {
            pool: pool.clone(),
            leases: Vec::new(),
            next: Some(next),
        };
        Some((holder.clone(), PeerMessage::Recall(recall)))
    }

    /// The holders of slots of a pool, with how many each holds.
    fn holders(&self, pool: &PoolId) -> IndexMap<InstanceId, u32> {
        let mut holders = IndexMap::new();
        for held in self.leases.values().filter(|held| held.lease.pool == *pool) {
            *holders.entry(held.holder.clone()).or_insert(0) += 1;
        }
        holders
    }
}

impl EndpointState {
    /// How many slots may be used: all, or a part while routers find the endpoint slow.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn window(&self) -> u32 {
        let least = self
            .windows
            .values()
            .map(|(window, _)| f64::from(*window))
            .reduce(f64::min);
        match least {
            // One slot is left as a probe.
            Some(window) if window < 1.0 => {
                let part = (f64::from(self.slots) * window).ceil() as u32;
                part.clamp(1.min(self.slots), self.slots)
            }
            _ => self.slots,
        }
    }

    pub(super) fn may_lend(&self, now: Now) -> bool {
        self.usable && !self.draining && now.steady_ms >= self.lend_from_ms
    }
}
