//! Reaches routers that are not known or believed dead, which heals a partition.

use std::net::SocketAddr;

use indexmap::IndexSet;
use rand::Rng;

use crate::protocol::peer::{MemberNews, PeerMessage, Ping};
use crate::state::Now;

use super::{Membership, MembershipEffect};

impl Membership {
    /// Tries to reach a seed or a dead member.
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
        let mut news = vec![self.own_news()];
        // A member that is told of its death refutes it.
        news.extend(self.believed_at(address));
        news.extend(self.fresh_news());
        let ping = Ping {
            sequence: self.take_sequence(),
            join: true,
            digests: self.digests,
            news,
        };
        effects.push(MembershipEffect::Send {
            address,
            message: PeerMessage::Ping(ping),
        });
    }

    /// The addresses of seeds and dead members at which no other member is known.
    fn rejoin_candidates(&self) -> Vec<SocketAddr> {
        let reached = |dead: bool| {
            let records = self.records.values();
            let chosen = records.filter(move |record| record.is_dead() == dead);
            chosen.map(|record| self.reach(&record.news.member))
        };
        let present: IndexSet<SocketAddr> = reached(false).collect();
        let seeds = self.seeds.iter().copied();
        seeds
            .chain(reached(true))
            .filter(|address| !present.contains(address))
            .collect()
    }

    fn believed_at(&self, address: SocketAddr) -> Vec<MemberNews> {
        let records = self.records.values();
        let there = records.filter(|record| self.reach(&record.news.member) == address);
        there.map(|record| record.news.clone()).collect()
    }
}
