//! The owner's decisions: which bids to lend slots to, and which holders to recall slots from.

use indexmap::IndexMap;

use crate::coordination::fair_share::FairShare;
use crate::protocol::peer::{Lease, LeaseId, Lend, PeerMessage, Recall};
use crate::state::{AccountId, EndpointId, InstanceId, Now, PoolId};

use super::owner::{EndpointState, LentSlot, SentRecall, SlotOwner};
use super::pool_bids::{BestBid, SlotUse};

/// A free slot.
#[derive(Clone, Debug)]
struct FreeSlot {
    endpoint: EndpointId,
    short_only: bool,
}

impl SlotOwner {
    /// Lends free slots to the bids with the lowest level, and recalls slots from holders whose
    /// customers have a higher level than a waiting bid. Must be called after each message and
    /// every few milliseconds. If nothing has changed, does nothing until
    /// [`super::SlotOptions::decision_interval_ms`] have passed.
    pub fn decide(&mut self, fair_share: &FairShare, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let is_due = now.since_ms(self.decided_ms) >= self.options.decision_interval_ms;
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
        self.record_lent_counts(now);
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

    /// Lends one slot to the bid `best`.
    pub(super) fn lend(
        &mut self,
        lease: Lease,
        best: &BestBid,
        usage: SlotUse,
        fair_share: &FairShare,
        now: Now,
    ) -> (InstanceId, PeerMessage) {
        let expires_ms = now.steady_ms + self.options.lease_ms + self.options.lease_margin_ms;
        let pool = lease.pool.clone();
        let lent_slot = LentSlot {
            lease: lease.clone(),
            holder: best.bidder.clone(),
            expires_ms,
            lent_ms: now.steady_ms,
        };
        self.leases.insert(lease.id.clone(), lent_slot);
        let bids = self.bids.entry(pool.clone()).or_default();
        bids.count_lend(best, lease.id.sequence, usage, now);
        let next = bids
            .best(&pool, SlotUse::Any, Some(&best.bidder), fair_share)
            .map(|next| next.to_next_bid(SlotUse::Any));
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

    /// Returns the next free slot and the bid to lend it to.
    fn next_lend(
        &self,
        pool: &PoolId,
        fair_share: &FairShare,
        now: Now,
    ) -> Option<(FreeSlot, BestBid, SlotUse)> {
        let bids = self.bids.get(pool)?;
        let has_short = bids.has_short();
        let slot = self.free_slot(pool, has_short, now)?;
        let usage = if slot.short_only {
            SlotUse::Short
        } else {
            SlotUse::Any
        };
        let best = bids.best(pool, usage, None, fair_share)?;
        Some((slot, best, usage))
    }

    /// Returns a free slot of the usable endpoint with the smallest fraction of used slots.
    fn free_slot(&self, pool: &PoolId, has_short: bool, now: Now) -> Option<FreeSlot> {
        self.endpoints
            .iter()
            .filter(|(_, state)| state.pool == *pool && state.may_lend(now))
            .filter_map(|(endpoint, state)| {
                let used = self.used(endpoint, state);
                let free = state.lendable_slots().saturating_sub(used);
                let load = f64::from(used) / f64::from(state.slots.max(1));
                (free > 0).then_some((load, endpoint, state))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, endpoint, state)| FreeSlot {
                endpoint: endpoint.clone(),
                short_only: has_short && self.unreserved_lent(endpoint) >= self.unreserved(state),
            })
    }

    /// Returns how many slots of an endpoint count as used, by leases and orphans or, in
    /// [`super::ReportMode::Trust`], by the last load report.
    fn used(&self, endpoint: &EndpointId, state: &EndpointState) -> u32 {
        let orphans = u32::try_from(state.orphaned_at_ms.len()).unwrap_or(u32::MAX);
        let leased = self.lent(endpoint).saturating_add(orphans);
        let Some(report) = state.last_report else {
            return leased;
        };
        // The report does not include leases granted after it was taken.
        let since = self
            .leases
            .values()
            .filter(|lent| lent.lease.endpoint == *endpoint && lent.lent_ms >= report.taken_ms)
            .count();
        report
            .running
            .saturating_add(u32::try_from(since).unwrap_or(u32::MAX))
    }

    /// Returns the number of slots of an endpoint that are not reserved for short requests.
    fn unreserved(&self, state: &EndpointState) -> u32 {
        match self.options.slots_per_short_slot {
            0 => state.slots,
            ratio => state.slots - state.slots / ratio,
        }
    }

    fn unreserved_lent(&self, endpoint: &EndpointId) -> u32 {
        let count = self
            .leases
            .values()
            .filter(|lent| lent.lease.endpoint == *endpoint && !lent.lease.short_only)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Sends the best waiting bid to holders whose customers have a higher level.
    fn recall_for_waiting(
        &mut self,
        pool: &PoolId,
        fair_share: &FairShare,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let Some(bids) = self.bids.get(pool) else {
            return Vec::new();
        };
        let Some(best) = bids.best(pool, SlotUse::Any, None, fair_share) else {
            return Vec::new();
        };
        let account = AccountId {
            pool: pool.clone(),
            customer: best.customer.clone(),
        };
        let cost = bids.cost(&best);
        let best_step = fair_share.level_increase(&account, cost);
        // The margin is a few requests of the customer with the greater share, as in the level
        // check of the holder.
        let mut ahead: Vec<(f64, InstanceId, u32)> = self
            .holders(pool)
            .into_iter()
            .filter(|(holder, _)| *holder != best.bidder)
            .filter_map(|(holder, held)| {
                let lowest = bids.lowest_level_of(pool, &holder, cost, fair_share)?;
                let margin = self.options.tolerance_requests * best_step.min(lowest.step);
                Some((lowest.level - margin, holder, held))
            })
            .filter(|(level, _, _)| *level > best.level)
            .collect();
        ahead.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut requested = 0;
        let mut recalls = Vec::new();
        for (level, holder, held) in ahead {
            // Slots already requested from other holders go to the lowest bids first, so they are
            // deducted from the slots that these bids need.
            let open = bids.open_slots_below(pool, level, fair_share);
            let wanted = open.saturating_sub(requested).min(held);
            if wanted > 0 {
                requested += wanted;
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
        best: &BestBid,
        wanted: u32,
        now: Now,
    ) -> Option<(InstanceId, PeerMessage)> {
        let key = (holder.clone(), pool.clone());
        let min_interval_ms = self.options.min_recall_interval_ms;
        let is_recent = self
            .recalls
            .get(&key)
            .is_some_and(|sent| sent.wanted > 0 && now.since_ms(sent.sent_ms) < min_interval_ms);
        if is_recent {
            return None;
        }
        let sent_ms = now.steady_ms;
        self.recalls.insert(key, SentRecall { sent_ms, wanted });
        let mut next = best.to_next_bid(SlotUse::Any);
        next.wanted = wanted;
        let recall = Recall {
            pool: pool.clone(),
            leases: Vec::new(),
            next: Some(next),
        };
        Some((holder.clone(), PeerMessage::Recall(recall)))
    }

    /// Returns the holders of a pool's slots and the number of slots that each holds.
    fn holders(&self, pool: &PoolId) -> IndexMap<InstanceId, u32> {
        let mut holders = IndexMap::new();
        for lent in self.leases.values().filter(|lent| lent.lease.pool == *pool) {
            *holders.entry(lent.holder.clone()).or_insert(0) += 1;
        }
        holders
    }
}

impl EndpointState {
    /// Returns the number of slots that may be lent: all, or fewer while routers report that the
    /// endpoint is slow.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn lendable_slots(&self) -> u32 {
        let smallest = self
            .slot_fractions
            .values()
            .map(|(fraction, _)| f64::from(*fraction))
            .reduce(f64::min);
        match smallest {
            // At least one slot remains, as a probe.
            Some(fraction) if fraction < 1.0 => {
                let reduced = (f64::from(self.slots) * fraction).ceil() as u32;
                reduced.clamp(1.min(self.slots), self.slots)
            }
            _ => self.slots,
        }
    }

    pub(super) fn may_lend(&self, now: Now) -> bool {
        self.usable && !self.draining && now.steady_ms >= self.lend_from_ms
    }
}
