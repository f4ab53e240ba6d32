//! Which peers receive a report, and when.
//!
//! Gateways discover each other from seeds, from the peers that reports name and from a list in the store,
//! which the first gateway keeps: all seeds may be stale, and a fleet may be split in two. All live peers
//! receive a report in the same round, so that each of them gets the complete information. The
//! interval of reports grows with their size. Information that expires must not wait for a report,
//! so it is also sent in summaries at a fixed interval.
//!
//! In a large fleet, the load and shares of a data centre arrive through relays. Its gateways then
//! receive only greetings, which keep them known as live and tell them of other peers.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::load_relay::{DataCentreKey, LivePeer};
use crate::protocol::gateway::ProofEcho;
use crate::state::Now;

/// Maximum number of peers that a report names. A new gateway learns of all peers within a few
/// reports.
const MAX_ANNOUNCED_PEERS: usize = 16;

/// Maximum number of greetings that are sent at one time, so that they are spread over their
/// interval.
const MAX_GREETINGS: usize = 16;

/// Maximum number of gateways in the list in the store. One live one is enough to find the others.
const MAX_LISTED_PEERS: usize = 8;

/// Rate of reports between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeeringOptions {
    /// Minimum interval between two reports to the same peer.
    pub min_interval_ms: u64,
    /// Interval between two full rounds, whose reports also contain customer shares and addresses
    /// of peers.
    pub full_interval_ms: u64,
    /// Maximum bytes per second of all reports of this gateway, without summaries.
    pub bytes_per_s: u64,
    /// Maximum interval between two messages to the same peer. If reports are sent less often, a
    /// summary is sent in between. Short enough that shares do not expire and peers are not lost
    /// when single datagrams are lost.
    pub max_gap_ms: u64,
    /// A peer that sent nothing for this long counts as lost.
    pub lost_after_ms: u64,
    /// Interval between two greetings to a peer whose load arrives through relays.
    pub greeting_ms: u64,
    /// Such a peer counts as lost when it sent nothing for this long.
    pub greeted_lost_after_ms: u64,
    /// Interval between two reports to a peer that is not live.
    pub retry_ms: u64,
    /// A peer that has been lost for this long is removed, unless it is a seed.
    pub forget_after_ms: u64,
}

impl Default for PeeringOptions {
    fn default() -> Self {
        Self {
            min_interval_ms: 100,
            full_interval_ms: 200,
            bytes_per_s: 100_000,
            max_gap_ms: 600,
            lost_after_ms: 3_000,
            greeting_ms: 3_000,
            greeted_lost_after_ms: 9_000,
            retry_ms: 1_000,
            forget_after_ms: 60_000,
        }
    }
}

/// What the messages of a round contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundKind {
    /// A report with customer shares and addresses of peers.
    Full,
    /// A report without them.
    Load,
    /// A summary, whose size does not depend on the interval or the number of endpoints.
    Summary,
}

/// One round of messages to all peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportRound {
    /// The peers that receive a message, with the proof to echo.
    pub targets: Vec<(SocketAddr, Option<ProofEcho>)>,
    /// What the messages contain.
    pub kind: RoundKind,
}

/// A change of a peer's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// A report was received from the peer, for the first time or after it was lost.
    Live(SocketAddr),
    /// No report was received from the peer for too long.
    Lost(SocketAddr),
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    is_seed: bool,
    /// When a report was last received; `None` while the peer counts as lost.
    received_ms: Option<u64>,
    /// When the peer was added, or was lost.
    lost_since_ms: u64,
    last_sent_ms: Option<u64>,
    echo: Option<ProofEcho>,
    /// The peer's data centre; `None` before the first report.
    data_centre: Option<DataCentreKey>,
}

impl Peer {
    /// Whether the peer is live and the load of its data centre arrives through relays.
    fn is_relayed(&self, is_relayed: impl Fn(DataCentreKey) -> bool) -> bool {
        self.received_ms.is_some() && self.data_centre.is_some_and(is_relayed)
    }
}

/// The other gateways.
#[derive(Clone, Debug)]
pub struct Peering {
    options: PeeringOptions,
    own_address: SocketAddr,
    peers: IndexMap<SocketAddr, Peer>,
    interval_ms: u64,
    round_bytes: u64,
    last_round_ms: Option<u64>,
    last_report_ms: Option<u64>,
    last_full_ms: Option<u64>,
    next_announced: usize,
    /// Peers that were added since the last call of [`Peering::take_added`].
    added: Vec<SocketAddr>,
}

impl Peering {
    /// Creates a state that knows only the seeds.
    #[must_use]
    pub fn new(
        own_address: SocketAddr,
        seeds: &[SocketAddr],
        options: PeeringOptions,
        now: Now,
    ) -> Self {
        let mut peering = Self {
            interval_ms: options.min_interval_ms,
            round_bytes: 0,
            options,
            own_address,
            peers: IndexMap::new(),
            last_round_ms: None,
            last_report_ms: None,
            last_full_ms: None,
            next_announced: 0,
            added: Vec::new(),
        };
        for seed in seeds {
            peering.add(*seed, true, now);
        }
        peering
    }

    /// The address of this gateway.
    #[must_use]
    pub fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Returns the peers that were added since the last call, live or not. Peers that were removed
    /// and added again are among them.
    pub fn take_added(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.added)
    }

    /// Current interval between two reports to the same peer.
    #[must_use]
    pub fn interval_ms(&self) -> u64 {
        self.interval_ms
    }

    /// Size of the last round of reports, in bytes.
    #[must_use]
    pub fn round_bytes(&self) -> u64 {
        self.round_bytes
    }

    /// The number of live gateways, this one included.
    #[must_use]
    pub fn live_count(&self) -> usize {
        1 + self
            .peers
            .values()
            .filter(|peer| peer.received_ms.is_some())
            .count()
    }

    /// Whether this gateway has the lowest address of the live ones.
    #[must_use]
    pub fn is_first(&self) -> bool {
        let mut peers = self.peers.iter();
        !peers.any(|(address, peer)| peer.received_ms.is_some() && *address < self.own_address)
    }

    /// Returns the round of reports or summaries if one is due. Peers in data centres for which
    /// `is_relayed` is true receive none.
    pub fn round(
        &mut self,
        is_relayed: impl Fn(DataCentreKey) -> bool,
        now: Now,
    ) -> Option<ReportRound> {
        let is_due = |last: Option<u64>, interval_ms: u64| {
            last.is_none_or(|last| now.since_ms(last) >= interval_ms)
        };
        let kind = if !is_due(self.last_report_ms, self.interval_ms) {
            if !is_due(self.last_round_ms, self.options.max_gap_ms) {
                return None;
            }
            RoundKind::Summary
        } else if is_due(self.last_full_ms, self.options.full_interval_ms) {
            RoundKind::Full
        } else {
            RoundKind::Load
        };
        match kind {
            RoundKind::Full => {
                self.last_report_ms = Some(now.steady_ms);
                self.last_full_ms = Some(now.steady_ms);
            }
            RoundKind::Load => self.last_report_ms = Some(now.steady_ms),
            RoundKind::Summary => (),
        }
        self.last_round_ms = Some(now.steady_ms);
        let retry_ms = self.options.retry_ms;
        let mut targets = Vec::new();
        for (address, peer) in &mut self.peers {
            if peer.is_relayed(&is_relayed) {
                continue;
            }
            if peer.received_ms.is_some() || is_due(peer.last_sent_ms, retry_ms) {
                peer.last_sent_ms = Some(now.steady_ms);
                targets.push((*address, peer.echo));
            }
        }
        Some(ReportRound { targets, kind })
    }

    /// Returns the peers that receive a greeting now, with the proof to echo.
    pub fn greetings(
        &mut self,
        is_relayed: impl Fn(DataCentreKey) -> bool,
        now: Now,
    ) -> Vec<(SocketAddr, Option<ProofEcho>)> {
        let greeting_ms = self.options.greeting_ms;
        let due = self.peers.iter_mut().filter(|(_, peer)| {
            let is_due = peer
                .last_sent_ms
                .is_none_or(|last_ms| now.since_ms(last_ms) >= greeting_ms);
            is_due && peer.is_relayed(&is_relayed)
        });
        due.take(MAX_GREETINGS)
            .map(|(address, peer)| {
                peer.last_sent_ms = Some(now.steady_ms);
                (*address, peer.echo)
            })
            .collect()
    }

    /// Returns some of the live peers for a full report or a greeting, different ones each time.
    pub fn peers_to_announce(&mut self) -> Vec<SocketAddr> {
        let live = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.received_ms.is_some());
        let live: Vec<SocketAddr> = live.map(|(address, _)| *address).collect();
        let count = live.len().min(MAX_ANNOUNCED_PEERS);
        self.next_announced = (self.next_announced + count) % live.len().max(1);
        live.iter()
            .cycle()
            .skip(self.next_announced)
            .take(count)
            .copied()
            .collect()
    }

    /// Adapts the interval to the size of the last round of reports, to stay within the bytes per
    /// second.
    pub fn adapt_interval(&mut self, round_bytes: u64) {
        self.round_bytes = round_bytes;
        let interval_ms = round_bytes.saturating_mul(1_000) / self.options.bytes_per_s.max(1);
        self.interval_ms = interval_ms.max(self.options.min_interval_ms);
    }

    /// The live peers.
    #[must_use]
    pub fn live_peers(&self) -> Vec<LivePeer> {
        let live = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.received_ms.is_some());
        live.filter_map(|(address, peer)| {
            let data_centre = peer.data_centre?;
            Some(LivePeer {
                address: *address,
                data_centre,
            })
        })
        .collect()
    }

    /// Records a report or summary from a peer in a data centre, which names the peers in
    /// `announced`. The next report to it contains `echo`. Returns the change if the peer was not
    /// live before.
    pub fn report_received(
        &mut self,
        from: SocketAddr,
        data_centre: DataCentreKey,
        echo: Option<ProofEcho>,
        announced: &[SocketAddr],
        now: Now,
    ) -> Option<PeerChange> {
        self.add(from, false, now);
        for address in announced {
            self.add(*address, false, now);
        }
        let peer = self.peers.get_mut(&from)?;
        let was_lost = peer.received_ms.is_none();
        peer.received_ms = Some(now.steady_ms);
        peer.echo = echo;
        peer.data_centre = Some(data_centre);
        was_lost.then_some(PeerChange::Live(from))
    }

    /// Adds the gateways that the store lists.
    pub fn add_listed(&mut self, listed: &[SocketAddr], now: Now) {
        for address in listed.iter().take(MAX_LISTED_PEERS) {
            self.add(*address, false, now);
        }
    }

    /// The gateways that the store should list instead of `listed`; `None` if one of these is live, or if
    /// this gateway is not the first of the live ones.
    ///
    /// ```
    /// use curranttrestle::coordination::gateway::peering::{Peering, PeeringOptions};
    /// use curranttrestle::state::Now;
    /// let [own, gone] = ["10.0.0.1:7400", "10.0.0.2:7400"].map(|text| text.parse().unwrap());
    /// let peering = Peering::new(own, &[], PeeringOptions::default(), Now::default());
    /// assert_eq!(peering.addresses_to_list(&[gone]), Some(vec![own]));
    /// assert_eq!(peering.addresses_to_list(&[gone, own]), None);
    /// ```
    #[must_use]
    pub fn addresses_to_list(&self, listed: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
        let is_live = |address: &SocketAddr| {
            let peer = self.peers.get(address);
            *address == self.own_address || peer.is_some_and(|peer| peer.received_ms.is_some())
        };
        if !self.is_first() || listed.iter().any(is_live) {
            return None;
        }
        let live = self.peers.keys().filter(|address| is_live(address));
        let own = std::iter::once(&self.own_address);
        Some(own.chain(live).take(MAX_LISTED_PEERS).copied().collect())
    }

    /// Marks a live peer as lost, until a message from it is received.
    pub fn mark_lost(&mut self, address: SocketAddr, now: Now) -> Option<PeerChange> {
        let peer = self.peers.get_mut(&address)?;
        peer.received_ms.take()?;
        peer.lost_since_ms = now.steady_ms;
        Some(PeerChange::Lost(address))
    }

    /// Marks silent peers as lost and removes peers that were lost long ago. Peers in data centres
    /// for which `is_relayed` is true may be silent for longer.
    pub fn expire_peers(
        &mut self,
        is_relayed: impl Fn(DataCentreKey) -> bool,
        now: Now,
    ) -> Vec<PeerChange> {
        let options = self.options;
        let mut changes = Vec::new();
        for (address, peer) in &mut self.peers {
            let lost_after_ms = if peer.is_relayed(&is_relayed) {
                options.greeted_lost_after_ms
            } else {
                options.lost_after_ms
            };
            let is_silent = peer
                .received_ms
                .is_some_and(|received_ms| now.since_ms(received_ms) >= lost_after_ms);
            if is_silent {
                peer.received_ms = None;
                peer.lost_since_ms = now.steady_ms;
                changes.push(PeerChange::Lost(*address));
            }
        }
        self.peers.retain(|_, peer| {
            let is_live = peer.received_ms.is_some();
            peer.is_seed || is_live || now.since_ms(peer.lost_since_ms) < options.forget_after_ms
        });
        changes
    }

    fn add(&mut self, address: SocketAddr, is_seed: bool, now: Now) {
        if address == self.own_address {
            return;
        }
        if self.peers.contains_key(&address) {
            return;
        }
        self.added.push(address);
        let peer = Peer {
            is_seed,
            received_ms: None,
            lost_since_ms: now.steady_ms,
            last_sent_ms: None,
            echo: None,
            data_centre: None,
        };
        self.peers.insert(address, peer);
    }
}
