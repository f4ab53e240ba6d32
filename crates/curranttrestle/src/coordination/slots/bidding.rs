//! The bids that a holder sends.

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::coordination::fair_share::FairShare;
use crate::coordination::queue::{Demand, Queues};
use crate::protocol::peer::{Bid, BidEntry, PeerMessage};
use crate::state::{AccountId, InstanceId, Now, PoolId};

use super::holder::SlotHolder;
use super::{PoolOwners, SlotOptions};

/// The last bid sent to one owner for one pool.
#[derive(Clone, Debug)]
pub(super) struct SentBid {
    entries: Vec<BidEntry>,
    sent_ms: u64,
    valid_ms: u64,
    /// When this router first sent a bid to the owner for the pool.
    first_ms: u64,
    /// Number of slots lent by the owner since the bid.
    pub(super) lends: u32,
}

/// A random sample of the owners to bid at.
#[derive(Clone, Debug)]
pub(super) struct SampledOwners {
    owners: Vec<InstanceId>,
    sampled_ms: u64,
}

impl SentBid {
    /// Returns whether a lend with this `bid_sent_ms` responds to a bid of this incarnation.
    pub(super) fn is_for_lend(&self, bid_sent_ms: u64) -> bool {
        (self.first_ms..=self.sent_ms).contains(&bid_sent_ms)
    }

    /// Returns the number of waiting requests that the owner assumes: those of the bid minus the
    /// slots lent since.
    fn assumed_waiting(&self) -> u32 {
        total(&self.entries).saturating_sub(self.lends)
    }

    /// Returns whether the new entries should be sent to the owner now.
    fn is_outdated(&self, entries: &[BidEntry], options: &SlotOptions, now: Now) -> bool {
        let age_ms = now.since_ms(self.sent_ms);
        if entries.is_empty() {
            return !self.entries.is_empty();
        }
        if age_ms >= options.bid_refresh_interval_ms.min(self.valid_ms) || self.entries.is_empty() {
            return true;
        }
        // Small differences are tolerated, to limit the number of messages.
        let is_different = self.assumed_waiting() < total(entries).div_ceil(2)
            || self.assumed_waiting() > 2 * total(entries) + 2
            || entries.iter().any(|entry| !self.covers(entry));
        is_different && age_ms >= options.min_bid_interval_ms
    }

    /// Returns whether the bid includes the customer of an entry with every class of request
    /// that waits.
    fn covers(&self, entry: &BidEntry) -> bool {
        self.entries.iter().any(|known| {
            known.customer == entry.customer
                && (known.waiting > 0 || entry.waiting == 0)
                && (known.waiting_short > 0 || entry.waiting_short == 0)
                && (known.waiting_exclusive > 0 || entry.waiting_exclusive == 0)
        })
    }
}

impl SlotHolder {
    /// Returns the bids to send: those that are due again or whose entries changed enough.
    pub fn due_bids(
        &mut self,
        queues: &Queues,
        fair_share: &FairShare,
        owners: &IndexMap<PoolId, PoolOwners>,
        now: Now,
        rng: &mut impl Rng,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let mut messages = Vec::new();
        for (pool, pool_owners) in owners {
            let demand = queues.demand(pool, now);
            let entries = bid_entries(pool, &demand, queues, fair_share);
            let chosen = self.choose_owners(pool, pool_owners, &demand, now, rng);
            let owners = u32::try_from(chosen.len()).unwrap_or(u32::MAX);
            let entries = split(entries, owners, self.options.overbid_factor);
            for owner in chosen {
                messages.extend(self.due_bid(owner, pool, &entries, owners, now));
            }
        }
        messages
    }

    /// Returns the bid to one owner if it is due, and records it as sent.
    fn due_bid(
        &mut self,
        owner: InstanceId,
        pool: &PoolId,
        entries: &[BidEntry],
        owners: u32,
        now: Now,
    ) -> Option<(InstanceId, PeerMessage)> {
        let key = (owner.clone(), pool.clone());
        let is_due = match self.sent_bids.get(&key) {
            Some(sent) => sent.is_outdated(entries, &self.options, now),
            None => !entries.is_empty(),
        };
        if !is_due {
            return None;
        }
        let first_ms = self
            .sent_bids
            .get(&key)
            .map_or(now.steady_ms, |sent| sent.first_ms);
        let valid_ms = self.options.bid_valid_ms;
        let sent = SentBid {
            entries: entries.to_vec(),
            sent_ms: now.steady_ms,
            valid_ms,
            first_ms,
            lends: 0,
        };
        self.sent_bids.insert(key, sent);
        let bid = Bid {
            valid_ms: u32::try_from(valid_ms).unwrap_or(u32::MAX),
            pool: pool.clone(),
            sent_ms: now.steady_ms,
            last_lend: self
                .received_lends
                .get(&owner)
                .map_or(0, |lends| lends.last),
            owners,
            entries: entries.to_vec(),
        };
        Some((owner, PeerMessage::Bid(bid)))
    }

    /// Returns the owners to bid at. If no request waits, returns the owners with an active bid,
    /// so that the bid is withdrawn.
    fn choose_owners(
        &mut self,
        pool: &PoolId,
        owners: &PoolOwners,
        demand: &[Demand],
        now: Now,
        rng: &mut impl Rng,
    ) -> Vec<InstanceId> {
        if demand.is_empty() {
            return self.owners_with_active_bid(pool, now);
        }
        let longest_wait_ms = demand.iter().map(|entry| entry.oldest_wait_ms).max();
        let overflows = longest_wait_ms >= Some(self.options.overflow_wait_ms);
        let mut chosen = self.sample(&owners.local, pool, now, rng);
        if overflows || owners.local.is_empty() {
            chosen.extend(self.sample(&owners.remote, pool, now, rng));
        }
        chosen
    }

    /// Returns all owners if there are few. Otherwise returns this router, if it is an owner, and
    /// a random sample of the others, which is reused for a while.
    fn sample(
        &mut self,
        owners: &[InstanceId],
        pool: &PoolId,
        now: Now,
        rng: &mut impl Rng,
    ) -> Vec<InstanceId> {
        if owners.len() <= self.options.max_owners_without_sampling {
            return owners.to_vec();
        }
        // Local and remote owners are sampled separately.
        let key = (pool.clone(), owners[0].clone());
        if let Some(sampled) = self.sampled.get(&key)
            && now.since_ms(sampled.sampled_ms) < self.options.resample_interval_ms
            && sampled.owners.iter().all(|owner| owners.contains(owner))
        {
            return sampled.owners.clone();
        }
        let others: Vec<&InstanceId> = owners.iter().filter(|owner| **owner != self.me).collect();
        let mut sampled: Vec<InstanceId> = Vec::new();
        if others.len() < owners.len() {
            sampled.push(self.me.clone());
        }
        let missing = self.options.sampled_owners.saturating_sub(sampled.len());
        sampled.extend(
            others
                .choose_multiple(rng, missing)
                .map(|owner| (*owner).clone()),
        );
        let sampled_entry = SampledOwners {
            owners: sampled.clone(),
            sampled_ms: now.steady_ms,
        };
        self.sampled.insert(key, sampled_entry);
        sampled
    }

    /// Returns the owners that have an active bid of this router.
    fn owners_with_active_bid(&self, pool: &PoolId, now: Now) -> Vec<InstanceId> {
        self.sent_bids
            .iter()
            .filter(|((_, sent_pool), sent)| {
                sent_pool == pool
                    && !sent.entries.is_empty()
                    && now.since_ms(sent.sent_ms) < sent.valid_ms
            })
            .map(|((owner, _), _)| owner.clone())
            .collect()
    }
}

/// Divides the waiting requests among several owners, rounded up. Together, the owners receive
/// bids for `overbid_factor` times as many slots as are needed.
fn split(mut entries: Vec<BidEntry>, owners: u32, overbid_factor: u32) -> Vec<BidEntry> {
    let owners = owners.max(1);
    let per_owner = |count: u32| {
        count
            .saturating_mul(overbid_factor)
            .div_ceil(owners)
            .min(count)
    };
    for entry in &mut entries {
        entry.waiting = per_owner(entry.waiting);
        entry.waiting_short = per_owner(entry.waiting_short);
        entry.waiting_exclusive = per_owner(entry.waiting_exclusive);
    }
    entries
}

fn total(entries: &[BidEntry]) -> u32 {
    entries
        .iter()
        .map(|entry| entry.waiting + entry.waiting_exclusive)
        .sum()
}

#[allow(clippy::cast_possible_truncation)]
fn bid_entries(
    pool: &PoolId,
    demand: &[Demand],
    queues: &Queues,
    fair_share: &FairShare,
) -> Vec<BidEntry> {
    // The owner uses the expected cost to estimate how much a started request raises the level.
    // That is its initial charge, which is at most about the mean cost.
    let mean_cost = queues.mean_cost(pool).unwrap_or(f64::MAX);
    demand
        .iter()
        .map(|entry| {
            let account = AccountId {
                pool: pool.clone(),
                customer: entry.customer.clone(),
            };
            BidEntry {
                customer: entry.customer.clone(),
                waiting: entry.waiting,
                waiting_short: entry.waiting_short,
                waiting_exclusive: entry.waiting_exclusive,
                expected_cost: entry.expected_cost.min(mean_cost) as f32,
                level: fair_share.level(&account),
            }
        })
        .collect()
}
