//! Membership: which routers are alive, detected by probes and disseminated by gossip.
//!
//! In each interval a router probes one other member, in a shuffled round-robin order. If no ack
//! arrives it asks [`MembershipOptions::indirect_probes`] other members to probe on its behalf.
//! If those get no ack either, the member becomes suspect. It is declared dead unless it refutes
//! the suspicion before the timeout. Membership updates are piggybacked on probes and acks, so a
//! router's cost does not grow with the fleet. A probe also carries digests of the sender's
//! records; where the receiver's digests differ, its ack carries its records, so that updates
//! that were lost are delivered eventually.

mod digests;
mod exchange;
mod merging;
mod options;
mod probing;
mod record;
mod rejoin;
mod update_queue;

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::Rng;

use crate::protocol::peer::{MemberDigests, MemberUpdate, PeerMessage};
use crate::state::{InstanceId, Member, MemberView, Now};

use probing::{Probe, RelayedProbe};
use record::Record;
use update_queue::UpdateQueue;

pub use options::MembershipOptions;

/// An action that the membership requests from its caller, or a change it reports.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEffect {
    /// Send a message to the router at an address.
    Send {
        /// The receiver's address.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// The record of a member changed to this update.
    MemberChanged(MemberUpdate),
}

/// The members of the fleet as this router sees them.
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
    /// Addresses used in place of the announced ones, by instance.
    address_overrides: IndexMap<InstanceId, SocketAddr>,
    records: IndexMap<InstanceId, Record>,
    update_queue: UpdateQueue,
    /// Members still to be probed in this round; the next one is at the end.
    probe_round: Vec<InstanceId>,
    probe: Option<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    next_sequence: u64,
    /// Index of the next record to send to a router whose digests differ.
    next_record_index: usize,
    last_tick_ms: Option<u64>,
    last_probe_ms: Option<u64>,
    last_rejoin_ms: Option<u64>,
    view: MemberView,
    digests: MemberDigests,
}

impl Membership {
    /// Creates a membership that knows only this router and the seed addresses to join through.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<SocketAddr>, options: MembershipOptions) -> Self {
        let view = MemberView {
            local: me.clone(),
            live: vec![me.clone()],
        };
        let mut membership = Self {
            options,
            seeds: seeds
                .into_iter()
                .filter(|seed| *seed != me.address)
                .collect(),
            me,
            address_overrides: IndexMap::new(),
            revision: 0,
            leaving: false,
            records: IndexMap::new(),
            update_queue: UpdateQueue::default(),
            probe_round: Vec::new(),
            probe: None,
            relayed_probes: Vec::new(),
            next_sequence: 1,
            next_record_index: 0,
            last_tick_ms: None,
            last_probe_ms: None,
            last_rejoin_ms: None,
            view,
            digests: MemberDigests::default(),
        };
        membership.rebuild_view();
        membership
    }

    /// Sets the addresses at which members are contacted instead of those they announce.
    #[must_use]
    pub fn with_address_overrides(
        self,
        address_overrides: IndexMap<InstanceId, SocketAddr>,
    ) -> Self {
        Self {
            address_overrides,
            ..self
        }
    }

    /// Returns the live members. A suspect member still counts as live; a leaving one does not.
    #[must_use]
    pub fn view(&self) -> &MemberView {
        &self.view
    }

    /// Returns the address of a known member, whatever its status.
    #[must_use]
    pub fn address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.records
            .get(instance)
            .map(|record| self.contact_address(&record.latest.member))
    }

    /// Returns the latest update of each known member, this router excluded.
    pub fn members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.records.values().map(|record| &record.latest)
    }

    /// Adds an address through which to join the fleet.
    pub fn add_seed(&mut self, seed: SocketAddr) {
        if seed != self.me.address && !self.seeds.contains(&seed) {
            self.seeds.push(seed);
        }
    }

    /// Announces to all members that this router takes no new work.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.revision += 1;
        self.rebuild_view();
    }

    /// Records that a message from a member was received.
    pub fn record_contact(&mut self, instance: &InstanceId, now: Now) {
        if let Some(record) = self.records.get_mut(instance) {
            record.record_contact(now);
        }
    }

    /// Runs the timers: probes members, and suspects, declares dead or evicts those whose
    /// timeouts have passed.
    pub fn tick(&mut self, now: Now, rng: &mut impl Rng) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        self.reset_after_pause(now);
        self.check_probe(now, rng, &mut effects);
        self.renotify_suspects(now, &mut effects);
        self.expire_records(now, &mut effects);
        self.start_probe(now, rng, &mut effects);
        self.rejoin(now, rng, &mut effects);
        effects
    }

    /// Returns the address at which this router contacts a member.
    fn contact_address(&self, member: &Member) -> SocketAddr {
        let address_override = self.address_overrides.get(&member.instance);
        address_override.copied().unwrap_or(member.address)
    }
}
