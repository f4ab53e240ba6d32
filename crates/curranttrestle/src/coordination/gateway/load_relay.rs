//! Relays load updates between gateways.
//!
//! Reports to all peers grow with the square of the fleet size; in a large fleet they are sent
//! too rarely for placement. So each gateway also sends its load update to one gateway of its
//! data centre, many times per second. That relay forwards its members' updates to all of them
//! and to the relays of the other data centres. Relays are not elected: all gateways use the same
//! ranking, and any gateway that receives updates forwards them. A relay that times out is
//! avoided. Until then, and if no relay is reachable, the reports to all peers still contain
//! everything.
//!
//! Forwarding each update costs every gateway a time that grows with the fleet. So in a fleet of
//! many gateways, a relay sends the relays of other data centres only the sum of its own data
//! centre (see [`super::load_sums`]).

use std::net::SocketAddr;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::endpoint_load::PeerKey;
use crate::protocol::gateway::{LoadUpdate, MessageEcho, RelayedUpdate};
use crate::state::Now;

/// Compact hash of a data centre's name, used in reports between gateways.
pub type DataCentreKey = u64;

/// Returns the key of a data centre.
#[must_use]
pub fn data_centre_key(name: &str) -> DataCentreKey {
    xxh3_64(name.as_bytes())
}

/// Rate of load updates, and timeouts of relays and members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayOptions {
    /// Interval between two rounds of load updates.
    pub interval_ms: u64,
    /// Relays are used once the interval of reports to all peers is longer than this.
    pub enable_interval_ms: u64,
    /// Relays are no longer used once that interval is this long or shorter. Shorter than
    /// `enable_interval_ms`, because the report interval changes with the load.
    pub disable_interval_ms: u64,
    /// A relay that sent nothing for this long is avoided.
    pub relay_timeout_ms: u64,
    /// How long a relay is avoided after it timed out.
    pub avoid_ms: u64,
    /// A gateway that sent no load update for this long is no longer a member or a relay. Updates
    /// that relays held for this long are not forwarded.
    pub member_timeout_ms: u64,
    /// Number of gateways from which relays exchange sums of their data centres.
    pub sum_from_gateways: usize,
    /// Interval between two rounds of load updates in a fleet of that size.
    pub sum_interval_ms: u64,
}

impl Default for RelayOptions {
    fn default() -> Self {
        Self {
            interval_ms: 50,
            enable_interval_ms: 150,
            disable_interval_ms: 110,
            relay_timeout_ms: 400,
            avoid_ms: 3_000,
            member_timeout_ms: 1_000,
            sum_from_gateways: 100,
            sum_interval_ms: 100,
        }
    }
}

impl RelayOptions {
    /// Whether relays exchange sums in a fleet of `gateways` instances.
    #[must_use]
    pub fn uses_sums_in(&self, gateways: usize) -> bool {
        gateways >= self.sum_from_gateways
    }

    /// Interval between two rounds of load updates in a fleet of `gateways` instances, in
    /// milliseconds.
    ///
    /// ```
    /// use curranttrestle::coordination::gateway::load_relay::RelayOptions;
    /// let options = RelayOptions::default();
    /// assert_eq!(options.interval_ms_in(69), 50);
    /// assert_eq!(options.interval_ms_in(295), 100);
    /// ```
    #[must_use]
    pub fn interval_ms_in(&self, gateways: usize) -> u64 {
        if self.uses_sums_in(gateways) {
            self.sum_interval_ms
        } else {
            self.interval_ms
        }
    }
}

/// Another gateway that is live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivePeer {
    /// The address that receives reports.
    pub address: SocketAddr,
    /// The gateway's data centre.
    pub data_centre: DataCentreKey,
}

/// The messages of one round of load updates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayRound {
    /// The relay that receives this gateway's own update; `None` if this gateway is a relay.
    pub relay: Option<SocketAddr>,
    /// The members that receive all updates.
    pub members: Vec<SocketAddr>,
    /// The relays that receive the updates of this gateway and its members.
    pub relays: Vec<SocketAddr>,
    /// The relays that receive the sum of these updates, in other data centres.
    pub remote_relays: Vec<SocketAddr>,
    /// New updates from members.
    pub member_updates: Vec<RelayedUpdate>,
    /// New updates from other relays.
    pub relay_updates: Vec<RelayedUpdate>,
}

/// A change of the relay in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayChange {
    /// The new relay; `None` if this gateway forwards updates itself or relays are no longer used.
    pub relay: Option<SocketAddr>,
    /// The previous relay, if it was replaced because it timed out.
    pub timed_out: Option<SocketAddr>,
}

#[derive(Clone, Debug)]
struct PendingUpdate {
    update: LoadUpdate,
    received_ms: u64,
    /// How long other relays held the update before it was received.
    held_ms: u64,
    is_from_member: bool,
}

/// The relay in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Relay {
    address: SocketAddr,
    /// When its last message was received, or when it was chosen.
    received_ms: u64,
}

/// A gateway that uses this one as its relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Member {
    received_ms: u64,
    newest: MessageEcho,
}

/// The relay state of a gateway.
#[derive(Clone, Debug)]
pub struct LoadRelay {
    options: RelayOptions,
    own_address: SocketAddr,
    data_centre: DataCentreKey,
    is_enabled: bool,
    relay: Option<Relay>,
    /// Relays that are avoided, with the time at which this ends.
    avoided: IndexMap<SocketAddr, u64>,
    /// Gateways that sent their own updates, with the last one.
    members: IndexMap<SocketAddr, Member>,
    /// Gateways that forwarded updates of others, with the time of the last one.
    relays: IndexMap<SocketAddr, u64>,
    pending: IndexMap<PeerKey, PendingUpdate>,
    /// For each gateway, the run number and send time of its newest report or update.
    newest: IndexMap<PeerKey, (u32, u64)>,
    last_round_ms: Option<u64>,
}

/// Maximum number of gateways whose newest update is tracked.
const MAX_SENDERS: usize = 4_096;

impl LoadRelay {
    /// Creates the state of a gateway at `own_address` that has received nothing yet.
    #[must_use]
    pub fn new(own_address: SocketAddr, data_centre: &str, options: RelayOptions) -> Self {
        Self {
            options,
            own_address,
            data_centre: data_centre_key(data_centre),
            is_enabled: false,
            relay: None,
            avoided: IndexMap::new(),
            members: IndexMap::new(),
            relays: IndexMap::new(),
            pending: IndexMap::new(),
            newest: IndexMap::new(),
            last_round_ms: None,
        }
    }

    /// Returns whether an update is newer than all previous ones of its sender, and records it. A
    /// restarted process has a new run number and its send times start over.
    pub fn record_if_newer(&mut self, update: &LoadUpdate) -> bool {
        let newest = self.newest.get(&update.sender);
        if newest.is_some_and(|(run, sent_ms)| *run == update.run && update.sent_ms <= *sent_ms) {
            return false;
        }
        self.newest
            .insert(update.sender, (update.run, update.sent_ms));
        if self.newest.len() > MAX_SENDERS {
            self.newest.shift_remove_index(0);
        }
        true
    }

    /// Receives a member's update. Returns whether it is newer than the known one.
    pub fn receive_update(&mut self, from: SocketAddr, update: &LoadUpdate, now: Now) -> bool {
        let newest = MessageEcho {
            peer: update.sender,
            run: update.run,
            sent_ms: update.sent_ms,
        };
        let received_ms = now.steady_ms;
        let member = Member {
            received_ms,
            newest,
        };
        self.members.insert(from, member);
        self.accept_update(update, 0, true, now)
    }

    /// Records a message from a relay.
    pub fn record_relay(&mut self, from: SocketAddr, now: Now) {
        match &mut self.relay {
            Some(relay) if relay.address == from => relay.received_ms = now.steady_ms,
            _ => {
                self.relays.insert(from, now.steady_ms);
            }
        }
    }

    /// Whether other gateways use this one as their relay.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        !self.members.is_empty()
    }

    /// Whether a gateway uses this one as its relay.
    #[must_use]
    pub fn is_member(&self, address: SocketAddr) -> bool {
        self.members.contains_key(&address)
    }

    /// The relay that this gateway uses; `None` if it is a relay or uses none.
    #[must_use]
    pub fn relay(&self) -> Option<SocketAddr> {
        self.relay.map(|relay| relay.address)
    }

    /// Whether the updates of this gateway's data centre arrive: it is a relay, or its relay was
    /// heard recently.
    #[must_use]
    pub fn is_connected(&self, now: Now) -> bool {
        let timeout_ms = self.options.relay_timeout_ms;
        let has_relay = self
            .relay
            .is_some_and(|relay| now.since_ms(relay.received_ms) < timeout_ms);
        has_relay || self.is_relay()
    }

    /// The members' newest updates.
    pub fn member_echoes(&self) -> impl Iterator<Item = MessageEcho> {
        self.members.values().map(|member| member.newest)
    }

    /// Members and relays, which forward what this gateway learns.
    #[must_use]
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        let mut neighbours: Vec<SocketAddr> = self.members.keys().copied().collect();
        if self.is_relay() {
            neighbours.extend(self.relays.keys());
        }
        neighbours.extend(self.relay());
        neighbours
    }

    /// Receives updates that a relay forwarded. Returns those that are newer than the known ones.
    pub fn receive_relayed(
        &mut self,
        from: SocketAddr,
        updates: Vec<RelayedUpdate>,
        now: Now,
    ) -> Vec<RelayedUpdate> {
        self.record_relay(from, now);
        let mut new = updates;
        new.retain(|relayed| self.accept_update(&relayed.update, relayed.held_ms, false, now));
        new
    }

    fn accept_update(
        &mut self,
        update: &LoadUpdate,
        held_ms: u64,
        is_from_member: bool,
        now: Now,
    ) -> bool {
        if !self.record_if_newer(update) {
            return false;
        }
        // A gateway without members forwards nothing.
        if !self.members.is_empty() {
            let pending = PendingUpdate {
                update: update.clone(),
                received_ms: now.steady_ms,
                held_ms,
                is_from_member,
            };
            self.pending.insert(update.sender, pending);
        }
        true
    }

    /// Returns the round of updates if one is due, and the change of the relay if there is one.
    /// `report_interval_ms` is the interval between two reports to all peers.
    pub fn round(
        &mut self,
        peers: &[LivePeer],
        report_interval_ms: u64,
        now: Now,
    ) -> (Option<RelayRound>, Option<RelayChange>) {
        self.is_enabled = if self.is_enabled {
            report_interval_ms > self.options.disable_interval_ms
        } else {
            report_interval_ms > self.options.enable_interval_ms
        };
        if !self.is_enabled {
            self.pending.clear();
            let change = self.relay.take().map(|_| RelayChange {
                relay: None,
                timed_out: None,
            });
            return (None, change);
        }
        let interval_ms = self.options.interval_ms_in(peers.len() + 1);
        let is_due = self
            .last_round_ms
            .is_none_or(|last_round_ms| now.since_ms(last_round_ms) >= interval_ms);
        if !is_due {
            return (None, None);
        }
        self.last_round_ms = Some(now.steady_ms);
        let member_timeout_ms = self.options.member_timeout_ms;
        self.members
            .retain(|_, member| now.since_ms(member.received_ms) < member_timeout_ms);
        self.relays
            .retain(|_, received_ms| now.since_ms(*received_ms) < member_timeout_ms);
        self.avoided.retain(|_, until_ms| now.steady_ms < *until_ms);
        let change = self.choose_relay(peers, now);
        let relay = self.relay.map(|relay| relay.address);
        if relay.is_some() && self.members.is_empty() {
            // No gateway uses this one as its relay.
            self.pending.clear();
            let round = RelayRound {
                relay,
                ..RelayRound::default()
            };
            return (Some(round), change);
        }
        (Some(self.relay_round(peers, now)), change)
    }

    /// Builds the round of a relay.
    fn relay_round(&mut self, peers: &[LivePeer], now: Now) -> RelayRound {
        let mut relays: Vec<SocketAddr> = self.relays.keys().copied().collect();
        relays.extend(self.relay.map(|relay| relay.address));
        let mut data_centres: Vec<DataCentreKey> =
            peers.iter().map(|peer| peer.data_centre).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        data_centres.retain(|data_centre| *data_centre != self.data_centre);
        relays.extend(
            data_centres
                .iter()
                .filter_map(|data_centre| self.preferred_relay(*data_centre, peers)),
        );
        relays.sort_unstable();
        relays.dedup();
        let remote_relays = if self.options.uses_sums_in(peers.len() + 1) {
            let is_local = |relay: &SocketAddr| {
                let peer = peers.iter().find(|peer| peer.address == *relay);
                peer.is_some_and(|peer| peer.data_centre == self.data_centre)
            };
            let (local, remote) = relays.into_iter().partition(is_local);
            relays = local;
            remote
        } else {
            Vec::new()
        };
        let mut round = RelayRound {
            relay: None,
            members: self.members.keys().copied().collect(),
            relays,
            remote_relays,
            ..RelayRound::default()
        };
        for (_, pending) in self.pending.drain(..) {
            let relayed = RelayedUpdate {
                update: pending.update,
                held_ms: pending.held_ms + now.since_ms(pending.received_ms),
            };
            // Too old, for example because this gateway was paused.
            if relayed.held_ms >= self.options.member_timeout_ms {
                continue;
            }
            if pending.is_from_member {
                round.member_updates.push(relayed);
            } else {
                round.relay_updates.push(relayed);
            }
        }
        round
    }

    fn choose_relay(&mut self, peers: &[LivePeer], now: Now) -> Option<RelayChange> {
        let mut timed_out = None;
        if let Some(relay) = self.relay
            && now.since_ms(relay.received_ms) >= self.options.relay_timeout_ms
        {
            timed_out = Some(relay.address);
            self.avoided
                .insert(relay.address, now.steady_ms + self.options.avoid_ms);
        }
        let preferred = self.preferred_relay(self.data_centre, peers);
        let chosen = preferred.filter(|preferred| *preferred != self.own_address);
        if chosen == self.relay.map(|relay| relay.address) {
            return None;
        }
        self.relay = chosen.map(|address| Relay {
            address,
            received_ms: now.steady_ms,
        });
        Some(RelayChange {
            relay: chosen,
            timed_out,
        })
    }

    /// The highest-ranked gateway of a data centre that is not avoided.
    fn preferred_relay(
        &self,
        data_centre: DataCentreKey,
        peers: &[LivePeer],
    ) -> Option<SocketAddr> {
        let own_address = (data_centre == self.data_centre).then_some(self.own_address);
        let peers_there = peers
            .iter()
            .filter(|peer| peer.data_centre == data_centre)
            .map(|peer| peer.address)
            .filter(|address| !self.avoided.contains_key(address));
        peers_there.chain(own_address).max_by_key(rank)
    }
}

/// The rank of a gateway as a relay. The address breaks ties.
fn rank(address: &SocketAddr) -> (u64, SocketAddr) {
    (xxh3_64(address.to_string().as_bytes()), *address)
}
