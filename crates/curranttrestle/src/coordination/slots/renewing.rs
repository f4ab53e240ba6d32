//! Renewal of the leases that a holder has.

use indexmap::{IndexMap, IndexSet};

use crate::coordination::fair_share::FairShare;
use crate::coordination::queue::Queues;
use crate::protocol::peer::{Lease, PeerMessage, Renewal, Renewed};
use crate::state::{AccountId, EndpointId, InstanceId, Now, PoolId};

use super::holder::{HeldSlot, SlotHolder, owner_of};
use super::{EndpointOwner, is_lent_by};

impl SlotHolder {
    /// Extends the leases that an owner renewed and invalidates those that it does not know.
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

    /// Returns the renewals to send: one to each owner every
    /// [`super::SlotOptions::renewal_interval_ms`], or at once if the owner is new for an endpoint
    /// or has declared lends void.
    pub fn due_renewals(
        &mut self,
        queues: &Queues,
        fair_share: &FairShare,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let mut by_owner: IndexMap<InstanceId, Vec<&Lease>> = IndexMap::new();
        let running_or_valid =
            |slot: &&HeldSlot| slot.idle_since_ms.is_none() || slot.is_valid(now);
        for slot in self.slots.values().filter(running_or_valid) {
            let owner = owner_of(&self.owners, &slot.lease);
            by_owner.entry(owner.clone()).or_default().push(&slot.lease);
        }
        let pending = std::mem::take(&mut self.pending_renewals);
        for owner in &pending {
            by_owner.entry(owner.clone()).or_default();
        }
        let interval_ms = self.options.renewal_interval_ms;
        let mut messages = Vec::new();
        for (owner, leases) in by_owner {
            let last_sent_ms = self.renewal_sent_ms.entry(owner.clone()).or_insert(0);
            let is_recent = *last_sent_ms != 0 && now.since_ms(*last_sent_ms) < interval_ms;
            if is_recent && !pending.contains(&owner) {
                continue;
            }
            *last_sent_ms = now.steady_ms;
            let lends = self.received_lends.get(&owner).copied().unwrap_or_default();
            let least_served = least_served(&leases, queues, fair_share, now);
            let (adopted, held): (Vec<&Lease>, Vec<&Lease>) = leases
                .into_iter()
                .partition(|lease| is_adopted(&self.owners, lease));
            let renewal = Renewal {
                sent_ms: now.steady_ms,
                last_lend: lends.last,
                lend_span: lends.last - lends.first,
                held: delta_encode(&held),
                least_served,
                adopted: adopted.into_iter().cloned().collect(),
            };
            messages.push((owner, PeerMessage::Renewal(renewal)));
        }
        messages
    }
}

/// Returns the least-served customer with waiting requests, for each pool of the leases.
fn least_served(
    leases: &[&Lease],
    queues: &Queues,
    fair_share: &FairShare,
    now: Now,
) -> Vec<AccountId> {
    let pools: IndexSet<&PoolId> = leases.iter().map(|lease| &lease.pool).collect();
    pools
        .into_iter()
        .filter_map(|pool| {
            queues
                .demand(pool, now)
                .into_iter()
                .filter(|demand| demand.waiting > 0)
                .map(|demand| AccountId {
                    pool: pool.clone(),
                    customer: demand.customer,
                })
                .min_by(|a, b| fair_share.level(a).total_cmp(&fair_share.level(b)))
        })
        .collect()
}

/// Returns whether a lease was lent by an earlier owner of its endpoint, or by an earlier
/// incarnation of the current one.
fn is_adopted(owners: &IndexMap<EndpointId, EndpointOwner>, lease: &Lease) -> bool {
    owners
        .get(&lease.endpoint)
        .is_some_and(|owner| !is_lent_by(&lease.id, owner))
}

/// Returns the sequences of leases in ascending order, each as the difference from the previous
/// one.
fn delta_encode(leases: &[&Lease]) -> Vec<u64> {
    let mut sequences: Vec<u64> = leases.iter().map(|lease| lease.id.sequence).collect();
    sequences.sort_unstable();
    let mut previous = 0;
    sequences
        .into_iter()
        .map(|sequence| sequence - std::mem::replace(&mut previous, sequence))
        .collect()
}
