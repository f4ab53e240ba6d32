//! Which gateways get a report, and when.
//!
//! Gateways learn of each other from seeds and from the reports themselves. All live peers
//! get a report in the same round, so that each of them hears everything.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::relaying::{DataCentreKey, LivePeer};
use crate::protocol::gateway::ProofEcho;
use crate::state::Now;

/// The most peers that a report names; a newcomer hears of all within a few reports.
const MAX_NAMED_PEERS: usize = 16;

/// The pace of reports between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeeringOptions {
    /// The least time between two reports to the same peer.
    pub min_interval_ms: u64,
    /// The time between two rounds of reports that also tell the shares of customers and name
    /// peers.
    pub full_interval_ms: u64,
    /// Bytes a second that all reports of this gateway may take.
    pub bytes_per_s: u64,
    /// A peer that was silent for this long counts as lost.
    pub silent_ms: u64,
    /// The time between two reports to a peer that is not heard.
    pub retry_ms: u64,
    /// A peer that was silent for this long is forgotten, unless it is a seed.
    pub forget_ms: u64,
}

impl Default for PeeringOptions {
    fn default() -> Self {
        Self {
            min_interval_ms: 100,
            full_interval_ms: 200,
            bytes_per_s: 100_000,
            silent_ms: 3_000,
            retry_ms: 1_000,
            forget_ms: 60_000,
        }
    }
}

/// One round of reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    /// Who gets a report, with the proof to echo.
    pub targets: Vec<(SocketAddr, Option<ProofEcho>)>,
    /// Whether the reports also tell shares and name peers.
    pub is_full: bool,
}

/// A peer that was lost or heard again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// It is heard for the first time, or again.
    Back(SocketAddr),
    /// It has been silent for too long.
    Lost(SocketAddr),
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    is_seed: bool,
    /// When it was heard last; none while it counts as lost.
    heard_ms: Option<u64>,
    /// When it was added, or lost.
    since_ms: u64,
    sent_ms: Option<u64>,
    echo: Option<ProofEcho>,
    /// Where it runs; none before it was heard.
    data_centre: Option<DataCentreKey>,
}

/// The other gateways.
#[derive(Clone, Debug)]
pub struct Peering {
    options: PeeringOptions,
    me: SocketAddr,
    peers: IndexMap<SocketAddr, Peer>,
    interval_ms: u64,
    round_ms: Option<u64>,
    full_ms: Option<u64>,
    first_named: usize,
}

impl Peering {
    /// Knows the seeds only.
    #[must_use]
    pub fn new(me: SocketAddr, seeds: &[SocketAddr], options: PeeringOptions, now: Now) -> Self {
        let mut peering = Self {
            interval_ms: options.min_interval_ms,
            options,
            me,
            peers: IndexMap::new(),
            round_ms: None,
            full_ms: None,
            first_named: 0,
        };
        for seed in seeds {
            peering.add(*seed, true, now);
        }
        peering
    }

    /// The time between two reports to the same peer.
    #[must_use]
    pub fn interval_ms(&self) -> u64 {
        self.interval_ms
    }

    /// Gateways that were heard lately, this one included.
    #[must_use]
    pub fn live(&self) -> usize {
        1 + self
            .peers
            .values()
            .filter(|peer| peer.heard_ms.is_some())
            .count()
    }

    /// The round of reports that is due now.
    pub fn round(&mut self, now: Now) -> Option<Round> {
        let is_due = |last: Option<u64>, interval_ms: u64| {
            last.is_none_or(|last| now.since_ms(last) >= interval_ms)
        };
        if !is_due(self.round_ms, self.interval_ms) {
            return None;
        }
        self.round_ms = Some(now.steady_ms);
        let is_full = is_due(self.full_ms, self.options.full_interval_ms);
        if is_full {
            self.full_ms = Some(now.steady_ms);
        }
        let retry_ms = self.options.retry_ms;
        let mut targets = Vec::new();
        for (address, peer) in &mut self.peers {
            if peer.heard_ms.is_some() || is_due(peer.sent_ms, retry_ms) {
                peer.sent_ms = Some(now.steady_ms);
                targets.push((*address, peer.echo));
            }
        }
        Some(Round { targets, is_full })
    }

    /// Some of the live peers, other ones each time, for a full report.
    pub fn named(&mut self) -> Vec<SocketAddr> {
        let live = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.heard_ms.is_some());
        let live: Vec<SocketAddr> = live.map(|(address, _)| *address).collect();
        let count = live.len().min(MAX_NAMED_PEERS);
        self.first_named = (self.first_named + count) % live.len().max(1);
        live.iter()
            .cycle()
            .skip(self.first_named)
            .take(count)
            .copied()
            .collect()
    }

    /// Spreads rounds so that they keep within their bytes a second.
    pub fn sent(&mut self, round_bytes: u64) {
        let interval_ms = round_bytes.saturating_mul(1_000) / self.options.bytes_per_s.max(1);
        self.interval_ms = interval_ms.max(self.options.min_interval_ms);
    }

    /// The peers that were heard lately.
    #[must_use]
    pub fn live_peers(&self) -> Vec<LivePeer> {
        let live = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.heard_ms.is_some());
        live.filter_map(|(address, peer)| {
            let data_centre = peer.data_centre?;
            Some(LivePeer {
                address: *address,
                data_centre,
            })
        })
        .collect()
    }

    /// A report came from a peer in a data centre; the next one to it carries `echo`.
    pub fn heard(
        &mut self,
        from: SocketAddr,
        data_centre: DataCentreKey,
        echo: Option<ProofEcho>,
        named: &[SocketAddr],
        now: Now,
    ) -> Option<PeerChange> {
        self.add(from, false, now);
        for address in named {
            self.add(*address, false, now);
        }
        let peer = self.peers.get_mut(&from)?;
        let is_back = peer.heard_ms.is_none();
        peer.heard_ms = Some(now.steady_ms);
        peer.echo = echo;
        peer.data_centre = Some(data_centre);
        is_back.then_some(PeerChange::Back(from))
    }

    /// Notes which peers are lost, and forgets those that were lost long ago.
    pub fn sweep(&mut self, now: Now) -> Vec<PeerChange> {
        let options = self.options;
        let mut changes = Vec::new();
        for (address, peer) in &mut self.peers {
            let is_lost = peer
                .heard_ms
                .is_some_and(|heard_ms| now.since_ms(heard_ms) >= options.silent_ms);
            if is_lost {
                peer.heard_ms = None;
                peer.since_ms = now.steady_ms;
                changes.push(PeerChange::Lost(*address));
            }
        }
        self.peers.retain(|_, peer| {
            let is_live = peer.heard_ms.is_some();
            peer.is_seed || is_live || now.since_ms(peer.since_ms) < options.forget_ms
        });
        changes
    }

    fn add(&mut self, address: SocketAddr, is_seed: bool, now: Now) {
        if address == self.me {
            return;
        }
        self.peers.entry(address).or_insert(Peer {
            is_seed,
            heard_ms: None,
            since_ms: now.steady_ms,
            sent_ms: None,
            echo: None,
            data_centre: None,
        });
    }
}
