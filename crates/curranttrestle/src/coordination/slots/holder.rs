//! The holder of slots that other routers, or this one, lend.

use indexmap::IndexMap;

use crate::coordination::fair_share::FairShare;
use crate::coordination::queue::{Demand, Queues};
use crate::protocol::peer::{
    Lease, LeaseId, Lend, NextBid, PeerMessage, Recall, Renewal, Renewed, Return,
};
use crate::state::{AccountId, EndpointId, InstanceId, Now, PoolId};

use super::bidding::SentBid;
use super::{Assignment, LevelCheck, SlotOptions};

/// A lease that this router holds.
#[derive(Clone, Debug)]
struct HeldSlot {
    lease: Lease,
    valid_until_ms: u64,
    /// Since when the slot is not in use; none while a request runs in it.
    idle_since_ms: Option<u64>,
    /// It goes back as soon as it is not in use.
    recalled: bool,
}

/// The best other bid that an owner told of.
#[derive(Clone, Debug)]
struct KnownNext {
    bid: NextBid,
    heard_ms: u64,
}

/// What to do with a slot that is not in use.
#[derive(Clone, Debug, PartialEq)]
enum Decision {
    Use(AccountId),
    Return,
    Keep,
}

/// Holds slots and decides which request runs in which.
#[derive(Debug)]
pub struct SlotHolder {
    pub(super) me: InstanceId,
    pub(super) options: SlotOptions,
    slots: IndexMap<LeaseId, HeldSlot>,
    next: IndexMap<(InstanceId, PoolId), KnownNext>,
    returns: IndexMap<InstanceId, Vec<LeaseId>>,
    /// The owner of each endpoint now, where it is not the one that lent.
    owners: IndexMap<EndpointId, InstanceId>,
    renewed_ms: IndexMap<InstanceId, u64>,
    /// The greatest lease sequence that came from each owner.
    pub(super) last_lends: IndexMap<InstanceId, u64>,
    pub(super) sent_bids: IndexMap<(InstanceId, PoolId), SentBid>,
}

impl SlotHolder {
    /// A holder of nothing.
    #[must_use]
    pub fn new(me: InstanceId, options: SlotOptions) -> Self {
        Self {
            me,
            options,
            slots: IndexMap::new(),
            next: IndexMap::new(),
            returns: IndexMap::new(),
            owners: IndexMap::new(),
            renewed_ms: IndexMap::new(),
            last_lends: IndexMap::new(),
            sent_bids: IndexMap::new(),
        }
    }

    /// Says who owns the slots of each endpoint now, so that leases of an earlier owner
    /// are renewed with the new one.
    pub fn set_owners(&mut self, owners: &IndexMap<EndpointId, InstanceId>) {
        self.owners.clone_from(owners);
    }

    /// Takes a slot. It is used by the next [`SlotHolder::assign`].
    pub fn receive_lend(&mut self, from: &InstanceId, lend: &Lend, now: Now) {
        let id = &lend.lease.id;
        let last = self.last_lends.entry(from.clone()).or_insert(0);
        // Leases of one owner arrive in ascending order; the owner took back any other.
        if *from != id.owner || id.sequence <= *last {
            return;
        }
        *last = id.sequence;
        if let Some(sent) = self
            .sent_bids
            .get_mut(&(from.clone(), lend.lease.pool.clone()))
        {
            sent.lends += 1;
        }
        self.note_next(from, &lend.lease.pool, lend.next.clone(), now);
        let valid_until_ms = lend.bid_sent_ms + self.options.lease_ms;
        if valid_until_ms <= now.steady_ms {
            self.give_back(id.clone(), from.clone());
            return;
        }
        let slot = HeldSlot {
            lease: lend.lease.clone(),
            valid_until_ms,
            idle_since_ms: Some(now.steady_ms),
            recalled: false,
        };
        self.slots.insert(id.clone(), slot);
    }

    /// Notes which slots are wanted back.
    pub fn receive_recall(&mut self, from: &InstanceId, recall: &Recall, now: Now) {
        for id in &recall.leases {
            if let Some(slot) = self.slots.get_mut(id) {
                slot.recalled = true;
            }
        }
        if recall.next.is_some() {
            self.note_next(from, &recall.pool, recall.next.clone(), now);
        }
    }

    /// Prolongs the leases that an owner renewed and drops those that it does not know.
    pub fn receive_renewed(&mut self, from: &InstanceId, renewed: &Renewed, _now: Now) {
        let valid_until_ms = renewed.sent_ms + self.options.lease_ms;
        for (id, slot) in &mut self.slots {
            if owner_of(&self.owners, &slot.lease) != from {
                continue;
            }
            if renewed.lapsed.contains(id) {
                slot.recalled = true;
                slot.valid_until_ms = 0;
            } else if slot.valid_until_ms >= renewed.sent_ms {
                slot.valid_until_ms = slot.valid_until_ms.max(valid_until_ms);
            }
        }
    }

    /// Decides for each slot that is not in use: the least-served waiting customer gets it
    /// when it is within the tolerance of the best other bid; else the slot goes back.
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
                Decision::Return => self.return_wanted(&id),
                Decision::Keep => {}
            }
        }
        assignments
    }

    /// Notes that the request in a slot ended. The slot is used by the next
    /// [`SlotHolder::assign`] if its lease is still valid.
    pub fn release(&mut self, lease: &LeaseId, now: Now) {
        let Some(slot) = self.slots.get_mut(lease) else {
            return;
        };
        slot.idle_since_ms = Some(now.steady_ms);
        if slot.recalled || slot.lease.exclusive || !slot.is_valid(now) {
            self.return_slot(lease);
        }
    }

    /// Whether a request may be handed to the endpoint of a lease now.
    #[must_use]
    pub fn still_valid(&self, lease: &LeaseId, now: Now) -> bool {
        self.slots.get(lease).is_some_and(|slot| slot.is_valid(now))
    }

    /// How many slots of an endpoint this router holds.
    #[must_use]
    pub fn held(&self, endpoint: &EndpointId) -> usize {
        self.slots
            .values()
            .filter(|slot| slot.lease.endpoint == *endpoint)
            .count()
    }

    /// All leases held, each with whether a request runs in it.
    pub fn leases(&self) -> impl Iterator<Item = (&Lease, bool)> {
        self.slots
            .values()
            .map(|slot| (&slot.lease, slot.idle_since_ms.is_none()))
    }

    /// Renews the leases held, once a period and owner.
    pub fn renewals(&mut self, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let mut by_owner: IndexMap<InstanceId, Vec<&Lease>> = IndexMap::new();
        let running_or_valid =
            |slot: &&HeldSlot| slot.idle_since_ms.is_none() || slot.is_valid(now);
        for slot in self.slots.values().filter(running_or_valid) {
            let owner = owner_of(&self.owners, &slot.lease);
            by_owner.entry(owner.clone()).or_default().push(&slot.lease);
        }
        let period_ms = self.options.renewal_ms;
        let mut messages = Vec::new();
        for (owner, leases) in by_owner {
            let renewed_ms = self.renewed_ms.entry(owner.clone()).or_insert(0);
            if *renewed_ms != 0 && now.since_ms(*renewed_ms) < period_ms {
                continue;
            }
            *renewed_ms = now.steady_ms;
            let last_lend = self.last_lends.get(&owner).copied().unwrap_or(0);
            let renewal = renewal(&owner, &leases, last_lend, now);
            messages.push((owner, PeerMessage::Renewal(renewal)));
        }
        messages
    }

    /// Gives back the slots that are not needed: at once when they are wanted, and after a
    /// short time when nobody is known to want them.
    pub fn returns(&mut self, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let idle_return_ms = self.options.idle_return_ms;
        let unused: Vec<LeaseId> = self
            .slots
            .iter()
            .filter(|(_, slot)| {
                slot.idle_since_ms.is_some_and(|since_ms| {
                    slot.recalled || !slot.is_valid(now) || now.since_ms(since_ms) >= idle_return_ms
                })
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in unused {
            self.return_slot(&id);
        }
        std::mem::take(&mut self.returns)
            .into_iter()
            .map(|(owner, leases)| (owner, PeerMessage::Return(Return { leases })))
            .collect()
    }

    /// Forgets the slots of an endpoint that is gone.
    pub fn drop_endpoint(&mut self, endpoint: &EndpointId) {
        self.slots
            .retain(|_, slot| slot.lease.endpoint != *endpoint);
    }

    /// Forgets what an owner said that is gone. Its leases last until they expire or a new
    /// owner renews them.
    pub fn drop_owner(&mut self, owner: &InstanceId) {
        self.next.retain(|(instance, _), _| instance != owner);
        self.sent_bids.retain(|(instance, _), _| instance != owner);
        self.returns.swap_remove(owner);
    }

    fn note_next(&mut self, from: &InstanceId, pool: &PoolId, next: Option<NextBid>, now: Now) {
        let key = (from.clone(), pool.clone());
        match next {
            Some(bid) => {
                let heard_ms = now.steady_ms;
                self.next.insert(key, KnownNext { bid, heard_ms });
            }
            None => {
                self.next.swap_remove(&key);
            }
        }
    }

    /// The best other bid known of an owner and pool, while slots are wanted for it.
    fn known_next(&self, lease: &Lease, now: Now) -> Option<&NextBid> {
        let key = (lease.id.owner.clone(), lease.pool.clone());
        let known = self.next.get(&key)?;
        let is_recent = now.since_ms(known.heard_ms) < self.options.next_timeout_ms;
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
        let next = self.known_next(lease, now);
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
            .level_step(&account, cost)
            .min(fair_share.level_step(&other, cost));
        let tolerance = self.options.tolerance_requests * step;
        let is_fair = level <= next_level + tolerance;
        if is_fair || self.options.level_check == LevelCheck::Off || lease.exclusive {
            Decision::Use(account)
        } else {
            Decision::Return
        }
    }

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

    /// Returns a slot that the best other bid wants.
    fn return_wanted(&mut self, id: &LeaseId) {
        let Some(slot) = self.slots.get(id) else {
            return;
        };
        let key = (slot.lease.id.owner.clone(), slot.lease.pool.clone());
        if let Some(known) = self.next.get_mut(&key) {
            known.bid.wanted = known.bid.wanted.saturating_sub(1);
        }
        self.return_slot(id);
    }

    fn return_slot(&mut self, id: &LeaseId) {
        if let Some(slot) = self.slots.swap_remove(id) {
            let owner = owner_of(&self.owners, &slot.lease).clone();
            self.give_back(id.clone(), owner);
        }
    }

    fn give_back(&mut self, id: LeaseId, owner: InstanceId) {
        self.returns.entry(owner).or_default().push(id);
    }
}

impl HeldSlot {
    fn is_valid(&self, now: Now) -> bool {
        now.steady_ms < self.valid_until_ms && !self.recalled
    }
}

fn owner_of<'a>(owners: &'a IndexMap<EndpointId, InstanceId>, lease: &'a Lease) -> &'a InstanceId {
    owners.get(&lease.endpoint).unwrap_or(&lease.id.owner)
}

/// The least-served customer with a request that may run in the slot: its account, its
/// level counting what was assigned just now, and the first charge of that request.
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

/// What the requests assigned just now add to the level of an account.
fn assigned_level(account: &AccountId, assigned: &[Assignment], fair_share: &FairShare) -> f64 {
    let cost: f64 = assigned
        .iter()
        .filter(|assignment| assignment.waiting.account == *account)
        .map(|assignment| assignment.charge.charged())
        .sum();
    fair_share.level_step(account, cost)
}

/// The lease as it may be used: a slot kept for short requests takes any other one when no
/// short one waits here.
fn usable_lease(lease: &Lease, queues: &Queues, account: &AccountId, now: Now) -> Lease {
    let has_short = queues.peek(account, lease, now).is_some();
    Lease {
        short_only: lease.short_only && has_short,
        ..lease.clone()
    }
}

fn renewal(owner: &InstanceId, leases: &[&Lease], last_lend: u64, now: Now) -> Renewal {
    let mut sequences: Vec<u64> = leases
        .iter()
        .filter(|lease| lease.id.owner == *owner)
        .map(|lease| lease.id.sequence)
        .collect();
    sequences.sort_unstable();
    let mut before = 0;
    let held = sequences
        .into_iter()
        .map(|sequence| sequence - std::mem::replace(&mut before, sequence))
        .collect();
    let adopted = leases
        .iter()
        .filter(|lease| lease.id.owner != *owner)
        .map(|lease| (*lease).clone())
        .collect();
    Renewal {
        sent_ms: now.steady_ms,
        last_lend,
        held,
        adopted,
    }
}
