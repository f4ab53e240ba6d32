//! The holder of slots lent by other routers or by this one.

use indexmap::{IndexMap, IndexSet};

use crate::protocol::peer::{Lease, LeaseId, Lend, NextBid, PeerMessage, Recall, Return, Void};
use crate::state::{EndpointId, InstanceId, Now, PoolId};

use super::bidding::{SampledOwners, SentBid};
use super::{EndpointOwner, SlotOptions};

/// A lease that this router holds.
#[derive(Clone, Debug)]
pub(super) struct HeldSlot {
    pub(super) lease: Lease,
    pub(super) valid_until_ms: u64,
    /// When the slot became idle; `None` while a request runs in it.
    pub(super) idle_since_ms: Option<u64>,
    /// Whether the slot takes no more requests and is returned as soon as it is idle.
    pub(super) recalled: bool,
}

/// The best other bid that an owner reported.
#[derive(Clone, Debug)]
pub(super) struct KnownNextBid {
    pub(super) bid: NextBid,
    pub(super) received_ms: u64,
}

/// The least and greatest lease sequence received from one owner or declared void by it; zero
/// if there is none.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReceivedLends {
    pub(super) first: u64,
    pub(super) last: u64,
}

/// Holds slots and assigns waiting requests to them.
#[derive(Debug)]
pub struct SlotHolder {
    pub(super) me: InstanceId,
    pub(super) options: SlotOptions,
    pub(super) slots: IndexMap<LeaseId, HeldSlot>,
    pub(super) next_bids: IndexMap<(InstanceId, PoolId), KnownNextBid>,
    returns: IndexMap<InstanceId, Vec<LeaseId>>,
    /// The current owner of each endpoint.
    pub(super) owners: IndexMap<EndpointId, EndpointOwner>,
    /// When a renewal was last sent to each owner.
    pub(super) renewal_sent_ms: IndexMap<InstanceId, u64>,
    /// Owners to send a renewal in the next control step, even an empty one.
    pub(super) pending_renewals: IndexSet<InstanceId>,
    /// The range of lease sequences received from each owner.
    pub(super) received_lends: IndexMap<InstanceId, ReceivedLends>,
    pub(super) sent_bids: IndexMap<(InstanceId, PoolId), SentBid>,
    /// The sampled owners, by pool and first owner of the list that they were sampled from.
    pub(super) sampled: IndexMap<(PoolId, InstanceId), SampledOwners>,
}

impl SlotHolder {
    /// Creates a holder without slots.
    #[must_use]
    pub fn new(me: InstanceId, options: SlotOptions) -> Self {
        Self {
            me,
            options,
            slots: IndexMap::new(),
            next_bids: IndexMap::new(),
            returns: IndexMap::new(),
            owners: IndexMap::new(),
            renewal_sent_ms: IndexMap::new(),
            pending_renewals: IndexSet::new(),
            received_lends: IndexMap::new(),
            sent_bids: IndexMap::new(),
            sampled: IndexMap::new(),
        }
    }

    /// Sets the current owner of each endpoint, so that leases of an earlier owner are renewed
    /// with the new one.
    pub fn set_owners(&mut self, owners: &IndexMap<EndpointId, EndpointOwner>) {
        for (endpoint, owner) in owners {
            if self.owners.get(endpoint) != Some(owner) {
                // Renew at once, so that a new owner learns which leases are held.
                self.renewal_sent_ms.swap_remove(&owner.instance);
            }
        }
        self.owners.clone_from(owners);
    }

    /// Receives a slot. The next [`SlotHolder::assign`] can use it.
    pub fn receive_lend(&mut self, from: &InstanceId, lend: &Lend, now: Now) {
        let id = &lend.lease.id;
        let key = (from.clone(), lend.lease.pool.clone());
        let Some(sent) = self
            .sent_bids
            .get_mut(&key)
            .filter(|sent| sent.is_for_lend(lend.bid_sent_ms))
        else {
            // The lend responds to a bid of an earlier incarnation of this router.
            return;
        };
        let lends = self.received_lends.entry(from.clone()).or_default();
        // An owner lends in ascending sequence. It reclaims a lease that arrives after a later one
        // or after it was declared void.
        if *from != id.owner || id.sequence <= lends.last {
            return;
        }
        lends.last = id.sequence;
        if lends.first == 0 {
            lends.first = id.sequence;
        }
        sent.lends = sent.lends.saturating_add(1);
        self.record_next_bid(from, &lend.lease.pool, lend.next.clone(), now);
        let valid_until_ms = lend.bid_sent_ms + self.options.lease_ms;
        if valid_until_ms <= now.steady_ms {
            self.queue_return(id.clone(), from.clone());
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

    /// Gives up lends that were not received, so that the owner can lend their slots again.
    /// The next renewal reports this to the owner.
    pub fn receive_void(&mut self, from: &InstanceId, void: &Void, _now: Now) {
        let lends = self.received_lends.entry(from.clone()).or_default();
        if void.through <= lends.last {
            return;
        }
        if lends.first == 0 {
            // No lend was received, so the range includes all sequences up to `through`.
            lends.first = 1;
        }
        lends.last = void.through;
        self.pending_renewals.insert(from.clone());
        // The owner still counts the lost lends against the bids that they respond to. The maximum
        // count makes all bids to it outdated, so they are sent again.
        for ((owner, _), sent) in &mut self.sent_bids {
            if owner == from {
                sent.lends = u32::MAX;
            }
        }
    }

    /// Marks recalled slots and records the best other bid of the recall.
    pub fn receive_recall(&mut self, from: &InstanceId, recall: &Recall, now: Now) {
        for id in &recall.leases {
            if let Some(slot) = self.slots.get_mut(id) {
                slot.recalled = true;
            }
        }
        if recall.next.is_some() {
            self.record_next_bid(from, &recall.pool, recall.next.clone(), now);
        }
    }

    /// Marks a slot as idle because its request ended. The next [`SlotHolder::assign`] can use
    /// it if its lease is still valid.
    pub fn release(&mut self, lease: &LeaseId, now: Now) {
        let Some(slot) = self.slots.get_mut(lease) else {
            return;
        };
        slot.idle_since_ms = Some(now.steady_ms);
        if slot.recalled || slot.lease.exclusive || !slot.is_valid(now) {
            self.return_slot(lease);
        }
    }

    /// Returns whether a request may be dispatched under a lease now.
    #[must_use]
    pub fn is_valid(&self, lease: &LeaseId, now: Now) -> bool {
        self.slots.get(lease).is_some_and(|slot| slot.is_valid(now))
    }

    /// Returns until when, on the steady clock, a request may be dispatched under a lease, or
    /// `None` if it may not be dispatched now.
    #[must_use]
    pub fn valid_until_ms(&self, lease: &LeaseId, now: Now) -> Option<u64> {
        let slot = self.slots.get(lease)?;
        slot.is_valid(now).then_some(slot.valid_until_ms)
    }

    /// Returns the number of slots of an endpoint that this router holds.
    #[must_use]
    pub fn held(&self, endpoint: &EndpointId) -> usize {
        self.slots
            .values()
            .filter(|slot| slot.lease.endpoint == *endpoint)
            .count()
    }

    /// Returns all held leases, each with whether a request runs in it.
    pub fn leases(&self) -> impl Iterator<Item = (&Lease, bool)> {
        self.slots
            .values()
            .map(|slot| (&slot.lease, slot.idle_since_ms.is_none()))
    }

    /// Returns the messages that give slots back. In addition to the slots already queued for
    /// return, these are idle slots that were recalled, whose lease has expired, or that were
    /// idle for [`SlotOptions::idle_return_delay_ms`].
    pub fn take_returns(&mut self, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let idle_return_delay_ms = self.options.idle_return_delay_ms;
        let unused: Vec<LeaseId> = self
            .slots
            .iter()
            .filter(|(_, slot)| {
                slot.idle_since_ms.is_some_and(|since_ms| {
                    slot.recalled
                        || !slot.is_valid(now)
                        || now.since_ms(since_ms) >= idle_return_delay_ms
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

    /// Removes the slots of an endpoint that must not be used any more.
    pub fn forget_endpoint(&mut self, endpoint: &EndpointId) {
        self.slots
            .retain(|_, slot| slot.lease.endpoint != *endpoint);
    }

    /// Removes the state of an owner that is gone. Its leases remain until they expire or a new
    /// owner renews them.
    pub fn forget_owner(&mut self, owner: &InstanceId) {
        self.next_bids.retain(|(instance, _), _| instance != owner);
        self.sent_bids.retain(|(instance, _), _| instance != owner);
        self.returns.swap_remove(owner);
    }

    fn record_next_bid(
        &mut self,
        from: &InstanceId,
        pool: &PoolId,
        next: Option<NextBid>,
        now: Now,
    ) {
        let key = (from.clone(), pool.clone());
        match next {
            Some(bid) => {
                let received_ms = now.steady_ms;
                self.next_bids
                    .insert(key, KnownNextBid { bid, received_ms });
            }
            None => {
                self.next_bids.swap_remove(&key);
            }
        }
    }

    /// Gives a slot back to its owner for the best other bid, which then needs one slot less.
    pub(super) fn return_for_next_bid(&mut self, id: &LeaseId) {
        let Some(slot) = self.slots.get(id) else {
            return;
        };
        let key = (slot.lease.id.owner.clone(), slot.lease.pool.clone());
        if let Some(known) = self.next_bids.get_mut(&key) {
            known.bid.wanted = known.bid.wanted.saturating_sub(1);
        }
        self.return_slot(id);
    }

    pub(super) fn return_slot(&mut self, id: &LeaseId) {
        if let Some(slot) = self.slots.swap_remove(id) {
            let owner = owner_of(&self.owners, &slot.lease).clone();
            self.queue_return(id.clone(), owner);
        }
    }

    fn queue_return(&mut self, id: LeaseId, owner: InstanceId) {
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
