//! The holder's decisions: which request runs in which slot, and which slots are returned.

use crate::coordination::fair_share::FairShare;
use crate::coordination::queue::{Demand, Queues};
use crate::protocol::peer::{Lease, LeaseId, NextBid};
use crate::state::{AccountId, Now};

use super::holder::SlotHolder;
use super::{Assignment, LevelCheck};

/// What to do with an idle slot.
#[derive(Clone, Debug, PartialEq)]
enum Decision {
    Use(AccountId),
    Return,
    Keep,
}

impl SlotHolder {
    /// Assigns each idle slot to the least-served waiting customer if its level is within the
    /// tolerance of the best other bid; otherwise returns the slot. Without a waiting request and
    /// another bid, keeps it.
    pub fn assign(
        &mut self,
        queues: &mut Queues,
        fair_share: &FairShare,
        now: Now,
    ) -> Vec<Assignment> {
        let idle: Vec<LeaseId> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.idle_since_ms.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        let mut assignments: Vec<Assignment> = Vec::new();
        for id in idle {
            let slot = &self.slots[&id];
            if !slot.is_valid(now) {
                self.return_slot(&id);
                continue;
            }
            match self.decide(&slot.lease, queues, fair_share, &assignments, now) {
                Decision::Use(account) => {
                    assignments.extend(self.start(&id, &account, queues, now));
                }
                Decision::Return => self.return_for_next_bid(&id),
                Decision::Keep => {}
            }
        }
        assignments
    }

    /// Returns the best other bid that the owner of a lease reported for its pool, if the report
    /// is recent and the bid still needs slots.
    fn known_next_bid(&self, lease: &Lease, now: Now) -> Option<&NextBid> {
        let key = (lease.id.owner.clone(), lease.pool.clone());
        let known = self.next_bids.get(&key)?;
        let is_recent = now.since_ms(known.received_ms) < self.options.next_bid_timeout_ms;
        (is_recent && known.bid.wanted > 0).then_some(&known.bid)
    }

    fn decide(
        &self,
        lease: &Lease,
        queues: &Queues,
        fair_share: &FairShare,
        assigned: &[Assignment],
        now: Now,
    ) -> Decision {
        let next = self.known_next_bid(lease, now);
        let own = least_served(lease, queues, fair_share, assigned, now);
        let Some((account, level, cost)) = own else {
            let is_wanted = next.is_some() || lease.exclusive;
            return if is_wanted {
                Decision::Return
            } else {
                Decision::Keep
            };
        };
        let Some(next) = next else {
            return Decision::Use(account);
        };
        let other = AccountId {
            pool: lease.pool.clone(),
            customer: next.customer.clone(),
        };
        let next_level = next.level.max(fair_share.level(&other));
        let step = fair_share
            .level_increase(&account, cost)
            .min(fair_share.level_increase(&other, cost));
        let tolerance = self.options.tolerance_requests * step;
        let is_fair = level <= next_level + tolerance;
        if is_fair || self.options.level_check == LevelCheck::Off || lease.exclusive {
            Decision::Use(account)
        } else {
            Decision::Return
        }
    }

    /// Takes the first request of `account` that may run in the slot and marks the slot as in
    /// use.
    fn start(
        &mut self,
        id: &LeaseId,
        account: &AccountId,
        queues: &mut Queues,
        now: Now,
    ) -> Option<Assignment> {
        let slot = self.slots.get_mut(id)?;
        let usable = usable_lease(&slot.lease, queues, account, now);
        let waiting = queues.take(account, &usable, now)?;
        slot.idle_since_ms = None;
        Some(Assignment {
            charge: queues.charge(&waiting),
            waiting,
            lease: slot.lease.clone(),
        })
    }
}

/// Returns the least-served customer with a request that may run in the slot: its account,
/// its level including the requests assigned in this call, and the initial charge of that
/// request.
fn least_served(
    lease: &Lease,
    queues: &Queues,
    fair_share: &FairShare,
    assigned: &[Assignment],
    now: Now,
) -> Option<(AccountId, f64, f64)> {
    let mut best: Option<(AccountId, f64, f64)> = None;
    for demand in queues.demand(&lease.pool, now) {
        let Demand { customer, .. } = demand;
        let account = AccountId {
            pool: lease.pool.clone(),
            customer,
        };
        let usable = usable_lease(lease, queues, &account, now);
        let Some(waiting) = queues.peek(&account, &usable, now) else {
            continue;
        };
        let level = fair_share.level(&account) + assigned_level(&account, assigned, fair_share);
        if best.as_ref().is_none_or(|(_, known, _)| level < *known) {
            best = Some((account, level, queues.charge(waiting).charged()));
        }
    }
    best
}

/// Returns how much the requests assigned in this call raise the level of an account.
fn assigned_level(account: &AccountId, assigned: &[Assignment], fair_share: &FairShare) -> f64 {
    let cost: f64 = assigned
        .iter()
        .filter(|assignment| assignment.waiting.account == *account)
        .map(|assignment| assignment.charge.charged())
        .sum();
    fair_share.level_increase(account, cost)
}

/// Returns the lease as it applies to an account: a slot reserved for short requests may run
/// a long one if the account has no short request that may run in it.
fn usable_lease(lease: &Lease, queues: &Queues, account: &AccountId, now: Now) -> Lease {
    let has_short = queues.peek(account, lease, now).is_some();
    Lease {
        short_only: lease.short_only && has_short,
        ..lease.clone()
    }
}
