//! The holder of slots that other routers, or this one, lend.

use indexmap::{IndexMap, IndexSet};

use crate::protocol::peer::{Lease, LeaseId, Lend, NextBid, PeerMessage, Recall, Return, Void};
use crate::state::{EndpointId, InstanceId, Now, PoolId};

use super::bidding::{DrawnOwners, SentBid};
use super::{EndpointOwner, SlotOptions};

/// A lease that this router holds.
#[derive(Clone, Debug)]
pub(super) struct HeldSlot {
    pub(super) lease: Lease,
    pub(super) valid_until_ms: u64,
    /// Since when the slot is not in use; none while a request runs in it.
    pub(super) idle_since_ms: Option<u64>,
    /// It goes back as soon as it is not in use.
    pub(super) recalled: bool,
}

/// The best other bid that an owner told of.
#[derive(Clone, Debug)]
pub(super) struct KnownNext {
    pub(super) bid: NextBid,
    pub(super) heard_ms: u64,
}

/// The least and greatest lease sequence that came from one owner; zero for none.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReceivedLends {
    pub(super) first: u64,
    pub(super) last: u64,
}

/// Holds slots and decides which request runs in which.
#[derive(Debug)]
pub struct SlotHolder {
    pub(super) me: InstanceId,
    pub(super) options: SlotOptions,
    pub(super) slots: IndexMap<LeaseId, HeldSlot>,
    pub(super) next: IndexMap<(InstanceId, PoolId), KnownNext>,
    returns: IndexMap<InstanceId, Vec<LeaseId>>,
    /// The owner of each endpoint now.
    pub(super) owners: IndexMap<EndpointId, EndpointOwner>,
    pub(super) renewed_ms: IndexMap<InstanceId, u64>,
    /// Owners that wait for a renewal, even an empty one.
    pub(super) owed_renewals: IndexSet<InstanceId>,
    /// The lease sequences that came from each owner.
    pub(super) lends: IndexMap<InstanceId, ReceivedLends>,
    pub(super) sent_bids: IndexMap<(InstanceId, PoolId), SentBid>,
    /// By pool and first owner of the list.
    pub(super) drawn: IndexMap<(PoolId, InstanceId), DrawnOwners>,
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
            owed_renewals: IndexSet::new(),
            lends: IndexMap::new(),
            sent_bids: IndexMap::new(),
            drawn: IndexMap::new(),
        }
    }

    /// Says who owns the slots of each endpoint now, so that leases of an earlier owner
    /// are renewed with the new one.
    pub fn set_owners(&mut self, owners: &IndexMap<EndpointId, EndpointOwner>) {
        for (endpoint, owner) in owners {
            if self.owners.get(endpoint) != Some(owner) {
                // A new owner should know soon what is held.
                self.renewed_ms.swap_remove(&owner.instance);
            }
        }
        self.owners.clone_from(owners);
    }

    /// Takes a slot. It is used by the next [`SlotHolder::assign`].
    pub fn receive_lend(&mut self, from: &InstanceId, lend: &Lend, now: Now) {
        let id = &lend.lease.id;
        let key = (from.clone(), lend.lease.pool.clone());
        let Some(sent) = self
            .sent_bids
            .get_mut(&key)
            .filter(|sent| sent.is_answered_by(lend.bid_sent_ms))
        else {
            // It was meant for an earlier run of this router.
            return;
        };
        let lends = self.lends.entry(from.clone()).or_default();
        // Leases of one owner arrive in ascending order; the owner took back any other.
        if *from != id.owner || id.sequence <= lends.last {
            return;
        }
        lends.last = id.sequence;
        if lends.first == 0 {
            lends.first = id.sequence;
        }
        sent.lends = sent.lends.saturating_add(1);
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

    /// Gives up lends that did not arrive, so that the owner can lend their slots again. The
    /// next renewal tells it.
    pub fn receive_void(&mut self, from: &InstanceId, void: &Void, _now: Now) {
        let lends = self.lends.entry(from.clone()).or_default();
        if void.through <= lends.last {
            return;
        }
        if lends.first == 0 {
            lends.first = 1;
        }
        lends.last = void.through;
        self.owed_renewals.insert(from.clone());
        // The owner counts the lost lends against the bids that they answered.
        for ((owner, _), sent) in &mut self.sent_bids {
            if owner == from {
                sent.lends = u32::MAX;
            }
        }
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

    /// Until when a request may be handed to the endpoint of a lease; none when it may not
    /// be handed over now.
    #[must_use]
    pub fn valid_until_ms(&self, lease: &LeaseId, now: Now) -> Option<u64> {
        let slot = self.slots.get(lease)?;
        slot.is_valid(now).then_some(slot.valid_until_ms)
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

    /// Returns a slot that the best other bid wants.
    pub(super) fn return_wanted(&mut self, id: &LeaseId) {
        let Some(slot) = self.slots.get(id) else {
            return;
        };
        let key = (slot.lease.id.owner.clone(), slot.lease.pool.clone());
        if let Some(known) = self.next.get_mut(&key) {
            known.bid.wanted = known.bid.wanted.saturating_sub(1);
        }
        self.return_slot(id);
    }

    pub(super) fn return_slot(&mut self, id: &LeaseId) {
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
    pub(super) fn is_valid(&self, now: Now) -> bool {
        now.steady_ms < self.valid_until_ms && !self.recalled
    }
}

pub(super) fn owner_of<'a>(
    owners: &'a IndexMap<EndpointId, EndpointOwner>,
    lease: &'a Lease,
) -> &'a InstanceId {
    owners
        .get(&lease.endpoint)
        .map_or(&lease.id.owner, |owner| &owner.instance)
}
