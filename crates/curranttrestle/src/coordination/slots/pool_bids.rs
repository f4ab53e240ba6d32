//! The active bids at an owner.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::coordination::fair_share::FairShare;
use crate::protocol::peer::{Bid, BidEntry, NextBid};
use crate::state::{AccountId, CustomerId, InstanceId, Now, PoolId};

/// What a slot can be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotUse {
    /// Any request that may share the endpoint.
    Any,
    Short,
    Exclusive,
}

/// One entry of a bid, with the number of slots lent for it since the bid.
#[derive(Clone, Debug)]
struct Entry {
    bid: BidEntry,
    /// Number of owners that the same requests are bid at.
    owners: u32,
    /// Slots lent for shared requests, including short ones.
    lent: u32,
    lent_short: u32,
    lent_exclusive: u32,
}

impl Entry {
    /// Returns how many more slots the entry needs for `usage`.
    fn open(&self, usage: SlotUse) -> u32 {
        let shared = self.bid.waiting.saturating_sub(self.lent);
        match usage {
            SlotUse::Any => shared,
            SlotUse::Short => self
                .bid
                .waiting_short
                .saturating_sub(self.lent_short)
                .min(shared),
            SlotUse::Exclusive => self
                .bid
                .waiting_exclusive
                .saturating_sub(self.lent_exclusive),
        }
    }

    fn count_lend(&mut self, usage: SlotUse) {
        match usage {
            SlotUse::Any => self.lent += 1,
            SlotUse::Short => {
                self.lent += 1;
                self.lent_short += 1;
            }
            SlotUse::Exclusive => self.lent_exclusive += 1,
        }
    }

    /// Returns the level of the customer, including the slots lent for it since the bid.
    fn level(&self, account: &AccountId, fair_share: &FairShare) -> f64 {
        let known = fair_share.level(account).max(self.bid.level);
        // Assumes that each of the other owners has lent as many slots.
        let lent = f64::from(self.lent + self.lent_exclusive) * f64::from(self.owners);
        known + fair_share.level_increase(account, f64::from(self.bid.expected_cost) * lent)
    }
}

#[derive(Clone, Debug)]
struct ActiveBid {
    sent_ms: u64,
    expires_ms: u64,
    entries: Vec<Entry>,
}

/// A lend that the bidder may not have received when it sent its last bid.
#[derive(Clone, Debug)]
struct UnacknowledgedLend {
    sequence: u64,
    lent_ms: u64,
    customer: CustomerId,
    usage: SlotUse,
}

/// The entry with the lowest level among the entries that still need slots.
#[derive(Clone, Debug)]
pub(super) struct BestBid {
    pub(super) bidder: InstanceId,
    pub(super) customer: CustomerId,
    pub(super) level: f64,
    /// Number of slots that the entry still needs.
    pub(super) open: u32,
    pub(super) sent_ms: u64,
}

/// The level of the least-served waiting customer of a holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct LowestLevel {
    pub(super) level: f64,
    /// How much one request raises the level.
    pub(super) step: f64,
}

impl LowestLevel {
    /// No customer waits at the holder, so every bid takes precedence.
    const NONE_WAITING: Self = Self {
        level: f64::INFINITY,
        step: 0.0,
    };
}

impl BestBid {
    pub(super) fn to_next_bid(&self, usage: SlotUse) -> NextBid {
        NextBid {
            customer: self.customer.clone(),
            level: self.level,
            wanted: self.open,
            short: usage == SlotUse::Short,
        }
    }
}

/// The least-served waiting customer of a holder, which may have no bid at this owner.
#[derive(Clone, Debug)]
struct LeastServed {
    customer: Option<CustomerId>,
    received_ms: u64,
}

/// All bids for one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolBids {
    bids: IndexMap<InstanceId, ActiveBid>,
    unacknowledged: IndexMap<InstanceId, VecDeque<UnacknowledgedLend>>,
    /// The least-served waiting customer of each holder, from its last renewal.
    least_served: IndexMap<InstanceId, LeastServed>,
}

impl PoolBids {
    /// Replaces the bid of one router. A lend that the router has not acknowledged
    /// `void_timeout_ms` after it was sent counts as lost.
    pub(super) fn replace(&mut self, from: &InstanceId, bid: &Bid, void_timeout_ms: u64, now: Now) {
        // The new bid already accounts for the lends that the bidder has received. Lost lends
        // are dropped by age, because the message that declares them void can be lost as well.
        let unacknowledged = self.unacknowledged.entry(from.clone()).or_default();
        unacknowledged.retain(|lend| {
            lend.sequence > bid.last_lend && now.since_ms(lend.lent_ms) < void_timeout_ms
        });
        if bid.entries.is_empty() {
            self.bids.swap_remove(from);
            return;
        }
        let mut entries: Vec<Entry> = bid
            .entries
            .iter()
            .map(|entry| Entry::new(entry, bid.owners))
            .collect();
        for lend in unacknowledged.iter() {
            let entry = entries
                .iter_mut()
                .find(|entry| entry.bid.customer == lend.customer);
            if let Some(entry) = entry {
                entry.count_lend(lend.usage);
            }
        }
        let active = ActiveBid {
            sent_ms: bid.sent_ms,
            expires_ms: now.steady_ms + u64::from(bid.valid_ms),
            entries,
        };
        self.bids.insert(from.clone(), active);
    }

    pub(super) fn forget(&mut self, bidder: &InstanceId) {
        self.bids.swap_remove(bidder);
        self.unacknowledged.swap_remove(bidder);
        self.least_served.swap_remove(bidder);
    }

    /// Records the least-served waiting customer of a holder; `None` if no customer waits.
    pub(super) fn record_least_served(
        &mut self,
        holder: &InstanceId,
        customer: Option<&CustomerId>,
        now: Now,
    ) {
        let known = LeastServed {
            customer: customer.cloned(),
            received_ms: now.steady_ms,
        };
        self.least_served.insert(holder.clone(), known);
    }

    /// Removes bids that are no longer valid, and least-served customers that were received
    /// `timeout_ms` ago or earlier.
    pub(super) fn expire(&mut self, timeout_ms: u64, now: Now) {
        self.bids.retain(|_, bid| now.steady_ms < bid.expires_ms);
        self.least_served
            .retain(|_, known| now.since_ms(known.received_ms) < timeout_ms);
    }

    /// Counts a lend against the bid that it responds to.
    pub(super) fn count_lend(&mut self, best: &BestBid, sequence: u64, usage: SlotUse, now: Now) {
        let entry = self.bids.get_mut(&best.bidder).and_then(|bid| {
            bid.entries
                .iter_mut()
                .find(|entry| entry.bid.customer == best.customer)
        });
        if let Some(entry) = entry {
            entry.count_lend(usage);
        }
        let unacknowledged = self.unacknowledged.entry(best.bidder.clone()).or_default();
        unacknowledged.push_back(UnacknowledgedLend {
            sequence,
            lent_ms: now.steady_ms,
            customer: best.customer.clone(),
            usage,
        });
    }

    /// Returns the entry with the lowest level that still needs slots for `usage`, ignoring the
    /// bid of `excluded`.
    pub(super) fn best(
        &self,
        pool: &PoolId,
        usage: SlotUse,
        excluded: Option<&InstanceId>,
        fair_share: &FairShare,
    ) -> Option<BestBid> {
        let others = self
            .bids
            .iter()
            .filter(|(bidder, _)| Some(*bidder) != excluded);
        let mut best: Option<BestBid> = None;
        for (bidder, bid) in others {
            for entry in bid.entries.iter().filter(|entry| entry.open(usage) > 0) {
                let level = entry.level(&account(pool, entry), fair_share);
                if best.as_ref().is_none_or(|known| level < known.level) {
                    best = Some(BestBid {
                        bidder: bidder.clone(),
                        customer: entry.bid.customer.clone(),
                        level,
                        open: entry.open(usage),
                        sent_ms: bid.sent_ms,
                    });
                }
            }
        }
        best
    }

    /// Returns how many slots the entries with a level below `level` still need.
    pub(super) fn open_slots_below(
        &self,
        pool: &PoolId,
        level: f64,
        fair_share: &FairShare,
    ) -> u32 {
        self.bids
            .values()
            .flat_map(|bid| &bid.entries)
            .filter(|entry| entry.level(&account(pool, entry), fair_share) < level)
            .map(|entry| entry.open(SlotUse::Any))
            .sum()
    }

    /// Returns the level of the least-served waiting customer of a holder, from its bid or else
    /// from its last renewal; `None` if neither is known.
    pub(super) fn lowest_level_of(
        &self,
        pool: &PoolId,
        holder: &InstanceId,
        cost: f64,
        fair_share: &FairShare,
    ) -> Option<LowestLevel> {
        if let Some(bid) = self.bids.get(holder) {
            let lowest = bid
                .entries
                .iter()
                .filter(|entry| entry.bid.waiting > 0)
                .map(|entry| {
                    let account = account(pool, entry);
                    LowestLevel {
                        level: fair_share.level(&account).max(entry.bid.level),
                        step: fair_share.level_increase(&account, cost),
                    }
                })
                .min_by(|a, b| a.level.total_cmp(&b.level));
            return Some(lowest.unwrap_or(LowestLevel::NONE_WAITING));
        }
        let known = self.least_served.get(holder)?;
        let Some(customer) = &known.customer else {
            return Some(LowestLevel::NONE_WAITING);
        };
        let account = AccountId {
            pool: pool.clone(),
            customer: customer.clone(),
        };
        Some(LowestLevel {
            level: fair_share.level(&account),
            step: fair_share.level_increase(&account, cost),
        })
    }

    /// Returns whether any bid still needs slots for short requests.
    pub(super) fn has_short(&self) -> bool {
        self.bids
            .values()
            .flat_map(|bid| &bid.entries)
            .any(|entry| entry.open(SlotUse::Short) > 0)
    }

    /// Returns the expected cost of one request of `best`.
    pub(super) fn cost(&self, best: &BestBid) -> f64 {
        self.bids
            .get(&best.bidder)
            .and_then(|bid| {
                bid.entries
                    .iter()
                    .find(|entry| entry.bid.customer == best.customer)
            })
            .map_or(0.0, |entry| f64::from(entry.bid.expected_cost))
    }
}

impl Entry {
    fn new(bid: &BidEntry, owners: u32) -> Self {
        Self {
            bid: bid.clone(),
            owners: owners.max(1),
            lent: 0,
            lent_short: 0,
            lent_exclusive: 0,
        }
    }
}

fn account(pool: &PoolId, entry: &Entry) -> AccountId {
    AccountId {
        pool: pool.clone(),
        customer: entry.bid.customer.clone(),
    }
}
