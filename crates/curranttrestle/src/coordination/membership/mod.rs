//! Membership: which routers are alive, found by probes and spread by gossip.
//!
//! Each interval a router probes one other member, chosen from a shuffled round. Without an
//! answer it asks two more members to probe in its place; without an answer to those either,
//! the member becomes suspect, and dead unless it refutes the suspicion in time. News travels
//! on probes and their answers, so a router's cost does not grow with the fleet.

mod news;
mod record;

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::protocol::peer::{Ack, MemberNews, MemberStatus, PeerMessage, Ping, PingRequest};
use crate::state::{InstanceId, Member, MemberView, Now};

use news::NewsQueue;
use record::{Record, supersedes};

/// How the members are probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// Time between two probes.
    pub probe_interval_ms: u64,
    /// Time after which a probe is repeated through other members.
    pub probe_timeout_ms: u64,
    /// Time after which a probe without any answer makes a member suspect.
    pub suspect_after_ms: u64,
    /// Time that a suspect member has to refute.
    pub dead_after_ms: u64,
    /// How many members are asked to probe in this one's place.
    pub indirect_probes: usize,
    /// The greatest number of items of news in one message.
    pub news_per_message: usize,
    /// Time between two attempts to reach a seed or a dead member.
    pub rejoin_interval_ms: u64,
    /// Time after which a dead member is forgotten.
    pub forget_after_ms: u64,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            probe_timeout_ms: 500,
            suspect_after_ms: 1_500,
            dead_after_ms: 3_000,
            indirect_probes: 2,
            news_per_message: 8,
            rejoin_interval_ms: 1_000,
            forget_after_ms: 600_000,
        }
    }
}

/// What membership wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// Send a message to the router at an address.
    Send {
        /// The receiver's address.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// A member changed.
    Changed(MemberNews),
}

/// An open probe.
#[derive(Clone, Debug)]
struct Probe {
    target: InstanceId,
    sequence: u64,
    sent_ms: u64,
    indirect: bool,
}

/// A probe made in another member's place.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: SocketAddr,
    requester_sequence: u64,
    sequence: u64,
    sent_ms: u64,
}

/// The members of the fleet as this router believes them to be.
#[derive(Clone, Debug)]
pub struct Membership {
    options: MembershipOptions,
    me: Member,
    revision: u32,
    leaving: bool,
    seeds: Vec<SocketAddr>,
    via: IndexMap<InstanceId, SocketAddr>,
    records: IndexMap<InstanceId, Record>,
    news: NewsQueue,
    round: Vec<InstanceId>,
    probe: Option<Probe>,
    relayed: Vec<RelayedProbe>,
    next_sequence: u64,
    last_probe_ms: Option<u64>,
    last_rejoin_ms: Option<u64>,
    view: MemberView,
}

impl Membership {
    /// A router that knows only itself and the addresses it may join at.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>, options: MembershipOptions) -> Self {
        let view = MemberView {
            me: me.clone(),
            live: vec![me.clone()],
        };
        Self {
            options,
            seeds: seeds
                .into_iter()
                .filter(|seed| *seed != me.address)
                .collect(),
            me,
            via: IndexMap::new(),
            revision: 0,
            leaving: false,
            records: IndexMap::new(),
            news: NewsQueue::default(),
            round: Vec::new(),
            probe: None,
            relayed: Vec::new(),
            next_sequence: 1,
            last_probe_ms: None,
            last_rejoin_ms: None,
            view,
        }
    }

    /// Sets the addresses at which members are reached in place of those they announce.
    #[must_use]
    pub fn with_via(self, via: IndexMap<InstanceId, SocketAddr>) -> Self {
        Self { via, ..self }
    }

    /// The live members. A suspect member still counts as live; a leaving one does not.
    #[must_use]
    pub fn view(&self) -> &MemberView {
        &self.view
    }

    /// The address of a member, dead or alive.
    #[must_use]
    pub fn address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.records
            .get(instance)
            .map(|record| self.reach(&record.news.member))
    }

    /// The address at which a member is reached from here.
    fn reach(&self, member: &Member) -> SocketAddr {
        let via = self.via.get(&member.instance);
        via.copied().unwrap_or(member.address)
    }

    /// All members known, with what is believed of each, this router excluded.
    pub fn members(&self) -> impl Iterator<Item = &MemberNews> {
        self.records.values().map(|record| &record.news)
    }

    /// Adds an address at which the fleet may be joined.
    pub fn add_seed(&mut self, seed: SocketAddr) {
        if seed != self.me.address && !self.seeds.contains(&seed) {
            self.seeds.push(seed);
        }
    }

    /// Tells all members that this router takes no new work.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.revision += 1;
        self.rebuild_view();
    }

    /// Takes note that a message came from a member.
    pub fn heard_from(&mut self, instance: &InstanceId, now: Now) {
        if let Some(record) = self.records.get_mut(instance) {
            record.heard_ms = now.steady_ms;
        }
    }

    /// Probes, suspects and forgets members as the time requires.
    pub fn tick(&mut self, now: Now, rng: &mut impl Rng) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        self.relayed
            .retain(|probe| now.since_ms(probe.sent_ms) < self.options.suspect_after_ms);
        self.check_probe(now, rng, &mut effects);
        self.age_records(now, &mut effects);
        self.start_probe(now, rng, &mut effects);
        self.rejoin(now, rng, &mut effects);
        effects
    }

    /// Answers a probe.
    pub fn receive_ping(
        &mut self,
        from: &InstanceId,
        ping: &Ping,
        now: Now,
    ) -> Vec<MembershipEffect> {
        let mut effects = self.receive_news(&ping.news, now);
        let Some(address) = self.address(from) else {
            return effects;
        };
        let mut news = self.news_for_message();
        if ping.join {
            news.extend(self.records.values().map(|record| record.news.clone()));
        }
        effects.push(MembershipEffect::Send {
            address,
            message: PeerMessage::Ack(Ack {
                sequence: ping.sequence,
                subject: self.me.instance.clone(),
                news,
            }),
        });
        effects
    }

    /// Takes note of the answer to a probe.
    pub fn receive_ack(&mut self, ack: &Ack, now: Now) -> Vec<MembershipEffect> {
        let mut effects = self.receive_news(&ack.news, now);
        if let Some(probe) = &self.probe
            && probe.sequence == ack.sequence
            && probe.target == ack.subject
        {
            self.probe = None;
            self.heard_from(&ack.subject, now);
        }
        let Some(index) = self
            .relayed
            .iter()
            .position(|probe| probe.sequence == ack.sequence)
        else {
            return effects;
        };
        let relayed = self.relayed.swap_remove(index);
        let news = self.news_for_message();
        effects.push(MembershipEffect::Send {
            address: relayed.requester,
            message: PeerMessage::Ack(Ack {
                sequence: relayed.requester_sequence,
                subject: ack.subject.clone(),
                news,
            }),
        });
        effects
    }

    /// Probes a third member in the sender's place.
    pub fn receive_ping_request(
        &mut self,
        from: &InstanceId,
        request: &PingRequest,
        now: Now,
    ) -> Vec<MembershipEffect> {
        let Some(requester) = self.address(from) else {
            return Vec::new();
        };
        let sequence = self.take_sequence();
        self.relayed.push(RelayedProbe {
            requester,
            requester_sequence: request.sequence,
            sequence,
            sent_ms: now.steady_ms,
        });
        vec![self.ping(self.reach(&request.target), sequence, false)]
    }

    fn take_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    fn ping(&mut self, address: SocketAddr, sequence: u64, join: bool) -> MembershipEffect {
        let news = self.news_for_message();
        MembershipEffect::Send {
            address,
            message: PeerMessage::Ping(Ping {
                sequence,
                join,
                news,
            }),
        }
    }

    fn own_news(&self) -> MemberNews {
        MemberNews {
            member: self.me.clone(),
            revision: self.revision,
            status: if self.leaving {
                MemberStatus::Leaving
            } else {
                MemberStatus::Alive
            },
        }
    }

    fn news_for_message(&mut self) -> Vec<MemberNews> {
        let mut news = vec![self.own_news()];
        let budget = news::transmissions(self.records.len());
        for instance in self.news.take(self.options.news_per_message, budget) {
            if let Some(record) = self.records.get(&instance) {
                news.push(record.news.clone());
            }
        }
        news
    }

    fn receive_news(&mut self, news: &[MemberNews], now: Now) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        for item in news {
            if item.member.instance == self.me.instance {
                self.refute(item);
            } else {
                self.merge(item, now, &mut effects);
            }
        }
        if !effects.is_empty() {
            self.rebuild_view();
        }
        effects
    }

    /// Raises the own revision when others believe something else of this router.
    fn refute(&mut self, item: &MemberNews) {
        if item.member.incarnation != self.me.incarnation {
            return;
        }
        let own = self.own_news();
        if item.status != own.status && item.revision >= self.revision {
            self.revision = item.revision + 1;
        }
    }

    fn merge(&mut self, item: &MemberNews, now: Now, effects: &mut Vec<MembershipEffect>) {
        let instance = &item.member.instance;
        if let Some(record) = self.records.get_mut(instance) {
            if !supersedes(item, &record.news) {
                return;
            }
            record.news = item.clone();
            record.since_ms = now.steady_ms;
            if item.status == MemberStatus::Alive {
                record.heard_ms = now.steady_ms;
            }
        } else {
            self.records
                .insert(instance.clone(), Record::new(item.clone(), now));
        }
        self.news.push(instance.clone());
        effects.push(MembershipEffect::Changed(item.clone()));
    }

    fn set_status(
        &mut self,
        instance: &InstanceId,
        status: MemberStatus,
        now: Now,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(record) = self.records.get(instance) else {
            return;
        };
        let item = MemberNews {
            status,
            ..record.news.clone()
        };
        self.merge(&item, now, effects);
        self.rebuild_view();
    }

    fn check_probe(&mut self, now: Now, rng: &mut impl Rng, effects: &mut Vec<MembershipEffect>) {
        let Some(probe) = self.probe.clone() else {
            return;
        };
        let Some(record) = self.records.get(&probe.target) else {
            self.probe = None;
            return;
        };
        // Any message since the probe proves as much as its answer.
        if record.heard_ms > probe.sent_ms {
            self.probe = None;
            return;
        }
        let age_ms = now.since_ms(probe.sent_ms);
        if age_ms >= self.options.suspect_after_ms {
            self.probe = None;
            if record.news.status == MemberStatus::Alive {
                self.set_status(&probe.target, MemberStatus::Suspect, now, effects);
            }
            return;
        }
        if age_ms >= self.options.probe_timeout_ms && !probe.indirect {
            self.probe_indirectly(&probe, rng, effects);
        }
    }

    fn probe_indirectly(
        &mut self,
        probe: &Probe,
        rng: &mut impl Rng,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(target) = self.records.get(&probe.target) else {
            return;
        };
        let target = target.news.member.clone();
        let mut helpers: Vec<SocketAddr> = self
            .records
            .values()
            .filter(|record| record.news.status == MemberStatus::Alive)
            .filter(|record| record.news.member.instance != target.instance)
            .map(|record| self.reach(&record.news.member))
            .collect();
        helpers.shuffle(rng);
        for address in helpers.into_iter().take(self.options.indirect_probes) {
            effects.push(MembershipEffect::Send {
                address,
                message: PeerMessage::PingRequest(PingRequest {
                    sequence: probe.sequence,
                    target: target.clone(),
                }),
            });
        }
        if let Some(open) = &mut self.probe {
            open.indirect = true;
        }
    }

    fn age_records(&mut self, now: Now, effects: &mut Vec<MembershipEffect>) {
        let options = self.options;
        let overdue: Vec<InstanceId> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_overdue(options.dead_after_ms, now))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in overdue {
            self.set_status(&instance, MemberStatus::Dead, now, effects);
        }
        self.records
            .retain(|_, record| !record.is_forgotten(options.forget_after_ms, now));
    }

    fn start_probe(&mut self, now: Now, rng: &mut impl Rng, effects: &mut Vec<MembershipEffect>) {
        let due = self
            .last_probe_ms
            .is_none_or(|last_ms| now.since_ms(last_ms) >= self.options.probe_interval_ms);
        if !due || self.probe.is_some() {
            return;
        }
        self.last_probe_ms = Some(now.steady_ms);
        let Some(target) = self.next_target(rng) else {
            return;
        };
        let Some(address) = self.address(&target) else {
            return;
        };
        let sequence = self.take_sequence();
        self.probe = Some(Probe {
            target,
            sequence,
            sent_ms: now.steady_ms,
            indirect: false,
        });
        let effect = self.ping(address, sequence, false);
        effects.push(effect);
    }

    /// The next member of the shuffled round.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<InstanceId> {
        loop {
            if self.round.is_empty() {
                self.round = self
                    .records
                    .iter()
                    .filter(|(_, record)| record.news.status != MemberStatus::Dead)
                    .map(|(instance, _)| instance.clone())
                    .collect();
                self.round.shuffle(rng);
            }
            let target = self.round.pop()?;
            let record = self.records.get(&target);
            if record.is_some_and(|record| record.news.status != MemberStatus::Dead) {
                return Some(target);
            }
        }
    }

    /// Tries to reach a seed or a dead member, which heals a partition.
    fn rejoin(&mut self, now: Now, rng: &mut impl Rng, effects: &mut Vec<MembershipEffect>) {
        let due = self
            .last_rejoin_ms
            .is_none_or(|last_ms| now.since_ms(last_ms) >= self.options.rejoin_interval_ms);
        if !due {
            return;
        }
        self.last_rejoin_ms = Some(now.steady_ms);
        let live: Vec<SocketAddr> = self
            .view
            .live
            .iter()
            .map(|member| self.reach(member))
            .collect();
        let dead = self
            .records
            .values()
            .filter(|record| record.news.status == MemberStatus::Dead)
            .map(|record| self.reach(&record.news.member));
        let candidates: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(dead)
            .filter(|address| !live.contains(address))
            .collect();
        if candidates.is_empty() {
            return;
        }
        let address = candidates[rng.random_range(0..candidates.len())];
        let sequence = self.take_sequence();
        let mut effect = self.ping(address, sequence, true);
        self.add_dead_news(address, &mut effect);
        effects.push(effect);
    }

    /// Tells a member believed dead of this, so that it refutes it.
    fn add_dead_news(&self, address: SocketAddr, effect: &mut MembershipEffect) {
        let MembershipEffect::Send {
            message: PeerMessage::Ping(ping),
            ..
        } = effect
        else {
            return;
        };
        let believed = self
            .records
            .values()
            .filter(|record| self.reach(&record.news.member) == address)
            .map(|record| record.news.clone());
        ping.news.extend(believed);
    }

    fn rebuild_view(&mut self) {
        let mut live: Vec<Member> = self
            .records
            .values()
            .filter(|record| record.is_live())
            .map(|record| record.news.member.clone())
            .collect();
        if !self.leaving {
            live.push(self.me.clone());
        }
        live.sort_by(|a, b| a.instance.cmp(&b.instance));
        self.view = MemberView {
            me: self.me.clone(),
            live,
        };
    }
}
