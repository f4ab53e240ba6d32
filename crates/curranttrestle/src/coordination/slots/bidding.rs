//! The bids of a holder.

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::coordination::fair_share::FairShare;
use crate::coordination::queue::{Demand, Queues};
use crate::protocol::peer::{Bid, BidEntry, PeerMessage};
use crate::state::{AccountId, InstanceId, Now, PoolId};

use super::holder::SlotHolder;
use super::{PoolOwners, SlotOptions};

/// The last bid that was sent to one owner for one pool.
#[derive(Clone, Debug)]
pub(super) struct SentBid {
    entries: Vec<BidEntry>,
    sent_ms: u64,
    valid_ms: u64,
    /// When this router first bid there.
    first_ms: u64,
    /// How many slots the owner lent since.
    pub(super) lends: u32,
}

/// The owners that were drawn of many.
#[derive(Clone, Debug)]
pub(super) struct DrawnOwners {
    owners: Vec<InstanceId>,
    drawn_ms: u64,
}

impl SentBid {
    /// Whether a lend answers one of the bids of this run.
    pub(super) fn is_answered_by(&self, bid_sent_ms: u64) -> bool {
        (self.first_ms..=self.sent_ms).contains(&bid_sent_ms)
    }

    /// How many requests the owner believes to wait.
    fn believed(&self) -> u32 {
        total(&self.entries).saturating_sub(self.lends)
    }

    /// Whether the owner should hear the new entries now.
    fn is_outdated(&self, entries: &[BidEntry], options: &SlotOptions, now: Now) -> bool {
        let age_ms = now.since_ms(self.sent_ms);
        if entries.is_empty() {
            return !self.entries.is_empty();
        }
        if age_ms >= options.bid_refresh_ms.min(self.valid_ms) || self.entries.is_empty() {
            return true;
        }
        let is_different = self.believed() < total(entries).div_ceil(2)
            || self.believed() > 2 * total(entries) + 2
            || entries.iter().any(|entry| !self.names(entry));
        is_different && age_ms >= options.bid_pause_ms
    }

    /// Whether the owner knows of all kinds of requests of an entry.
    fn names(&self, entry: &BidEntry) -> bool {
        self.entries.iter().any(|known| {
            known.customer == entry.customer
                && (known.waiting > 0 || entry.waiting == 0)
                && (known.waiting_short > 0 || entry.waiting_short == 0)
                && (known.waiting_exclusive > 0 || entry.waiting_exclusive == 0)
        })
    }
}

impl SlotHolder {
    /// The bids to send: what waits, where it changed enough.
    pub fn bids(
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
            let entries = entries(pool, &demand, queues, fair_share);
            let chosen = self.choose_owners(pool, pool_owners, &demand, now, rng);
            let owners = u32::try_from(chosen.len()).unwrap_or(u32::MAX);
            let entries = split(entries, owners, self.options.overbidding);
            for owner in chosen {
                messages.extend(self.bid(owner, pool, &entries, owners, now));
            }
        }
        messages
    }

    fn bid(
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
            last_lend: self.lends.get(&owner).map_or(0, |lends| lends.last),
            owners,
            entries: entries.to_vec(),
        };
        Some((owner, PeerMessage::Bid(bid)))
    }

    /// The owners to bid at. Where a bid stands and nothing waits any more, the bid is
    /// withdrawn.
    fn choose_owners(
        &mut self,
        pool: &PoolId,
        owners: &PoolOwners,
        demand: &[Demand],
        now: Now,
        rng: &mut impl Rng,
    ) -> Vec<InstanceId> {
        if demand.is_empty() {
            return self.standing_at(pool, now);
        }
        let longest_wait_ms = demand.iter().map(|entry| entry.oldest_wait_ms).max();
        let overflows = longest_wait_ms >= Some(self.options.overflow_wait_ms);
        let mut chosen = self.draw(&owners.local, pool, now, rng);
        if overflows || owners.local.is_empty() {
            chosen.extend(self.draw(&owners.remote, pool, now, rng));
        }
        chosen
    }

    /// Few owners: all. Many: this router itself, and others drawn at random for a while.
    fn draw(
        &mut self,
        owners: &[InstanceId],
        pool: &PoolId,
        now: Now,
        rng: &mut impl Rng,
    ) -> Vec<InstanceId> {
        if owners.len() <= self.options.few_owners {
            return owners.to_vec();
        }
        // Local and remote owners are drawn each on their own.
        let key = (pool.clone(), owners[0].clone());
        if let Some(drawn) = self.drawn.get(&key)
            && now.since_ms(drawn.drawn_ms) < self.options.redraw_ms
            && drawn.owners.iter().all(|owner| owners.contains(owner))
        {
            return drawn.owners.clone();
        }
        let others: Vec<&InstanceId> = owners.iter().filter(|owner| **owner != self.me).collect();
        let mut drawn: Vec<InstanceId> = Vec::new();
        if others.len() < owners.len() {
            drawn.push(self.me.clone());
        }
        let missing = self.options.drawn_owners.saturating_sub(drawn.len());
        drawn.extend(
            others
                .choose_multiple(rng, missing)
                .map(|owner| (*owner).clone()),
        );
        let kept = DrawnOwners {
            owners: drawn.clone(),
            drawn_ms: now.steady_ms,
        };
        self.drawn.insert(key, kept);
        drawn
    }

    /// The owners where a bid of this router stands.
    fn standing_at(&self, pool: &PoolId, now: Now) -> Vec<InstanceId> {
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

/// Divides what waits among several owners, rounded up. Together the owners are asked for
/// `overbidding` times as many slots as are needed.
fn split(mut entries: Vec<BidEntry>, owners: u32, overbidding: u32) -> Vec<BidEntry> {
    let owners = owners.max(1);
    let part = |count: u32| {
        count
            .saturating_mul(overbidding)
            .div_ceil(owners)
            .min(count)
    };
    for entry in &mut entries {
        entry.waiting = part(entry.waiting);
        entry.waiting_short = part(entry.waiting_short);
        entry.waiting_exclusive = part(entry.waiting_exclusive);
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
fn entries(
    pool: &PoolId,
    demand: &[Demand],
    queues: &Queues,
    fair_share: &FairShare,
) -> Vec<BidEntry> {
    // Level steps count the first charge of a request, which is about the mean at most.
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
