//! Membership: which routers are alive, found by probes and spread by gossip.
//!
//! Each interval a router probes one other member, chosen from a shuffled round. Without an
//! answer it asks two more members to probe in its place; without an answer to those either,
//! the member becomes suspect, and dead unless it refutes the suspicion in time. News travels
//! on probes and their answers, so a router's cost does not grow with the fleet. A probe also
//! carries digests of the members that its sender knows; where the receiver's differ, the
//! answer carries its records, so that news that was lost arrives in the end.

mod digests;
mod exchange;
mod merging;
mod news;
mod options;
mod probing;
mod record;
mod rejoin;

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::Rng;

use crate::protocol::peer::{MemberDigests, MemberNews, PeerMessage};
use crate::state::{InstanceId, Member, MemberView, Now};

use news::NewsQueue;
use probing::{Probe, RelayedProbe};
use record::Record;

pub use options::MembershipOptions;

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

/// The members of the fleet as this router believes them to be.
///
/// ```
/// use curranttrestle::coordination::membership::{Membership, MembershipOptions};
/// use curranttrestle::state::{Incarnation, Member};
/// let me = Member {
///     instance: "rennes-1".into(),
///     incarnation: Incarnation(1),
///     data_centre: "rennes".into(),
///     address: ([127, 0, 0, 1], 7_000).into(),
/// };
/// let mut membership = Membership::new(me.clone(), Vec::new(), MembershipOptions::default());
/// assert_eq!(membership.view().live, [me]);
/// membership.leave();
/// assert!(membership.view().live.is_empty());
/// ```
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
    /// The members still to be probed in this round, the next one last.
    round: Vec<InstanceId>,
    probe: Option<Probe>,
    relayed: Vec<RelayedProbe>,
    next_sequence: u64,
    /// The place of the next record to be sent to a router that knows other members.
    next_record: usize,
    last_tick_ms: Option<u64>,
    last_probe_ms: Option<u64>,
    last_rejoin_ms: Option<u64>,
    view: MemberView,
    digests: MemberDigests,
}

impl Membership {
    /// A router that knows only itself and the addresses it may join at.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>, options: MembershipOptions) -> Self {
        let view = MemberView {
            me: me.clone(),
            live: vec![me.clone()],
        };
        let mut membership = Self {
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
            next_record: 0,
            last_tick_ms: None,
            last_probe_ms: None,
            last_rejoin_ms: None,
            view,
            digests: MemberDigests::default(),
        };
        membership.rebuild_view();
        membership
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
            record.heard(now);
        }
    }

    /// Probes, suspects and forgets members as the time requires.
    pub fn tick(&mut self, now: Now, rng: &mut impl Rng) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        self.resume_after_pause(now);
        self.check_probe(now, rng, &mut effects);
        self.warn_suspects(now, &mut effects);
        self.age_records(now, &mut effects);
        self.start_probe(now, rng, &mut effects);
        self.rejoin(now, rng, &mut effects);
        effects
    }

    /// The address at which a member is reached from here.
    fn reach(&self, member: &Member) -> SocketAddr {
        let via = self.via.get(&member.instance);
        via.copied().unwrap_or(member.address)
    }
}
