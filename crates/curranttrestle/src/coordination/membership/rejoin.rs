//! Contacts seeds that are not known as members and members declared dead, which lets the fleet
//! merge again after a partition.

use std::net::SocketAddr;

use indexmap::IndexSet;
use rand::Rng;

use crate::protocol::peer::{MemberUpdate, PeerMessage, Ping};
use crate::state::Now;

use super::{Membership, MembershipEffect};

impl Membership {
    /// Pings a random seed or dead member when the interval has passed.
    pub(super) fn rejoin(
        &mut self,
        now: Now,
        rng: &mut impl Rng,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let due = self
            .last_rejoin_ms
            .is_none_or(|last_ms| now.since_ms(last_ms) >= self.options.rejoin_interval_ms);
        if !due {
            return;
        }
        self.last_rejoin_ms = Some(now.steady_ms);
        let candidates = self.rejoin_candidates();
        if candidates.is_empty() {
            return;
        }
        let address = candidates[rng.random_range(0..candidates.len())];
        let mut updates = vec![self.own_update()];
        // A running member that receives an update of its own death refutes it.
        updates.extend(self.updates_at(address));
        updates.extend(self.pending_updates());
        let ping = Ping {
            sequence: self.allocate_sequence(),
            join: true,
            digests: self.digests,
            updates,
        };
        effects.push(MembershipEffect::Send {
            address,
            message: PeerMessage::Ping(ping),
        });
    }

    /// Returns the addresses of seeds and dead members, except those in use by another member.
    fn rejoin_candidates(&self) -> Vec<SocketAddr> {
        let addresses = |dead: bool| {
            let records = self.records.values();
            let chosen = records.filter(move |record| record.is_dead() == dead);
            chosen.map(|record| self.contact_address(&record.latest.member))
        };
        let in_use: IndexSet<SocketAddr> = addresses(false).collect();
        let seeds = self.seeds.iter().copied();
        seeds
            .chain(addresses(true))
            .filter(|address| !in_use.contains(address))
            .collect()
    }

    /// Returns the latest updates of the members at an address.
    fn updates_at(&self, address: SocketAddr) -> Vec<MemberUpdate> {
        let records = self.records.values();
        let at_address =
            records.filter(|record| self.contact_address(&record.latest.member) == address);
        at_address.map(|record| record.latest.clone()).collect()
    }
}
