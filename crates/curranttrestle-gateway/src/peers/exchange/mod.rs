//! The reports and load updates of one gateway, without I/O.

mod incoming;
mod outgoing;

use std::net::SocketAddr;

use curranttrestle::coordination::gateway::directory::DirectoryChange;
use curranttrestle::coordination::gateway::endpoint_load::PeerKey;
use curranttrestle::coordination::gateway::evacuation::EvacuationChange;
use curranttrestle::coordination::gateway::load_relay::{
    DataCentreKey, LoadRelay, RelayChange, RelayOptions, data_centre_key,
};
use curranttrestle::coordination::gateway::load_sums::{LoadSums, SumOptions};
use curranttrestle::coordination::gateway::part_relay::PartBuffer;
use curranttrestle::coordination::gateway::peering::{PeerChange, Peering};
use curranttrestle::coordination::gateway::prompt_cache::PromptUseLog;
use curranttrestle::state::Now;
use xxhash_rust::xxh3::xxh3_64;

use super::evacuations::EvacuationExchange;
use crate::settings::GatewaySettings;

/// Longest interval of reports at which one gateway reads the configuration for its peers: the proofs
/// must reach them before they read themselves.
const READER_REPORT_INTERVAL_MS: u64 = 200;

/// A datagram for several peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The kind of message, for metrics.
    pub kind: &'static str,
    /// The receivers.
    pub targets: Vec<SocketAddr>,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// What a gateway sends at one time, and the changes that it noticed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outgoing {
    /// The datagrams.
    pub datagrams: Vec<Datagram>,
    /// Peers that were lost.
    pub peer_changes: Vec<PeerChange>,
    /// The change of the relay in use.
    pub relay_change: Option<RelayChange>,
}

/// What a received datagram was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// A peer's report or summary.
    Report {
        /// Whether the peer has a newer configuration.
        has_newer_config: bool,
        /// The change of the peer's state.
        peer_change: Option<PeerChange>,
    },
    /// The load update of a member for which this gateway is the relay.
    MemberUpdate,
    /// Load updates that a relay forwarded.
    RelayedUpdates,
    /// Evidence on prompt parts.
    PromptParts,
    /// Leaving endpoints, with the changes of the directory.
    Leaving(Vec<DirectoryChange>),
    /// The sum of the load of a data centre.
    Sum,
    /// A sum that was not used: late, doubled, or a part of what another relay sums.
    DroppedSum,
    /// Shares of gateways in this gateway's data centre.
    Shares,
    /// A relay's proof of freshness.
    Proof {
        /// Whether the relay has a newer configuration.
        has_newer_config: bool,
    },
    /// Requests that may crash endpoints.
    Suspicions,
    /// Evacuated data centres, with the changes.
    Evacuations(Vec<EvacuationChange>),
    /// The software versions at which streams of a peer began.
    StreamOrigins,
    /// A question about a stream, with the reply to send.
    StreamQuery(Option<Datagram>),
    /// The reply to a question about a stream.
    StreamReply,
    /// This gateway's own report, delivered back to it.
    OwnReport,
}

impl Received {
    /// The name in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Report { .. } => "received",
            Self::MemberUpdate => "news",
            Self::RelayedUpdates => "passed-on",
            Self::PromptParts => "prompt-parts",
            Self::Leaving(_) => "leaving",
            Self::Sum => "sum",
            Self::DroppedSum => "sum-dropped",
            Self::Shares => "shares",
            Self::Proof { .. } => "proof",
            Self::Suspicions => "suspicions",
            Self::Evacuations(_) => "evacuations",
            Self::StreamOrigins => "stream-origins",
            Self::StreamQuery(_) => "stream-query",
            Self::StreamReply => "stream-reply",
            Self::OwnReport => "own",
        }
    }
}

/// How a gateway comes by proofs that its configuration is the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProofRole {
    /// From all peers, or by its own reads.
    #[default]
    Peer,
    /// By its own reads, before its peers need to read.
    Reader,
    /// From the reader among its peers, to which reports are frequent.
    Follower,
    /// By its own reads, which it forwards as a relay.
    Relay,
    /// From its relay.
    Member,
}

/// The rate and size of the reports to all peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportState {
    /// Number of peers from which messages are received.
    pub live_peers: usize,
    /// Interval between two reports to the same peer.
    pub interval_ms: u64,
    /// Size of the last round of reports.
    pub round_bytes: u64,
}

/// Builds the messages for other gateways and applies theirs.
#[derive(Clone, Debug)]
pub struct PeerExchange {
    key: PeerKey,
    run_id: u32,
    data_centre: DataCentreKey,
    relay_options: RelayOptions,
    peering: Peering,
    load_relay: LoadRelay,
    sums: LoadSums,
    /// Prompt uses of this gateway and its members, for the relays of other data centres.
    sum_uses: PromptUseLog,
    /// The number of this gateway's first use that is not in `sum_uses`.
    next_own_use: u64,
    /// Evidence on prompt parts from this data centre, to forward.
    local_parts: PartBuffer,
    /// Evidence on prompt parts from other data centres, to forward to the members.
    remote_parts: PartBuffer,
    last_shares_ms: Option<u64>,
    last_proof_ms: Option<u64>,
    gossip_round: usize,
    evacuations: EvacuationExchange,
}

impl PeerExchange {
    /// Starts with the seeds as the only peers. `run_id` identifies this run of the process.
    #[must_use]
    pub fn new(settings: &GatewaySettings, run_id: u32, now: Now) -> Self {
        let instance = format!("{}@{}", settings.instance, settings.peers);
        let data_centre = &settings.control.data_centre;
        Self {
            key: xxh3_64(instance.as_bytes()),
            run_id,
            data_centre: data_centre_key(data_centre),
            relay_options: settings.relays,
            peering: Peering::new(settings.peers, &settings.seeds, settings.reports, now),
            load_relay: LoadRelay::new(settings.peers, data_centre, settings.relays),
            sums: LoadSums::new(data_centre_key(data_centre), SumOptions::default()),
            sum_uses: PromptUseLog::default(),
            next_own_use: 0,
            local_parts: PartBuffer::default(),
            remote_parts: PartBuffer::default(),
            last_shares_ms: None,
            last_proof_ms: None,
            // Gateways begin with different peers.
            gossip_round: usize::try_from(run_id).unwrap_or_default(),
            evacuations: EvacuationExchange::new(settings, now),
        }
    }

    /// The key of this gateway in messages.
    #[must_use]
    pub fn key(&self) -> PeerKey {
        self.key
    }

    /// The rate and size of the reports to all peers.
    #[must_use]
    pub fn report_state(&self) -> ReportState {
        ReportState {
            live_peers: self.peering.live_count() - 1,
            // In a large fleet, loads do not wait for these reports.
            interval_ms: if self.uses_sums() {
                self.update_interval_ms()
            } else {
                self.peering.interval_ms()
            },
            round_bytes: self.peering.round_bytes(),
        }
    }

    /// How this gateway comes by proofs of freshness.
    #[must_use]
    pub fn proof_role(&self, now: Now) -> ProofRole {
        if !self.uses_sums() {
            self.role_among_peers()
        } else if self.load_relay.is_relay() {
            ProofRole::Relay
        } else if self.load_relay.is_connected(now) {
            ProofRole::Member
        } else {
            ProofRole::Peer
        }
    }

    /// The role where reports go to all peers.
    fn role_among_peers(&self) -> ProofRole {
        let reports_are_frequent = self.peering.interval_ms() <= READER_REPORT_INTERVAL_MS;
        if !reports_are_frequent || self.peering.live_count() == 1 {
            ProofRole::Peer
        } else if self.peering.is_first() {
            ProofRole::Reader
        } else {
            ProofRole::Follower
        }
    }

    /// Whether this gateway reads the evacuations for its peers.
    #[must_use]
    pub fn reads_evacuations(&self) -> bool {
        self.evacuations.is_reader(&self.peering.live_peers())
    }

    /// The other gateways.
    #[must_use]
    pub fn peering(&self) -> &Peering {
        &self.peering
    }

    /// Adds the gateways that the store lists.
    pub fn add_listed(&mut self, listed: &[SocketAddr], now: Now) {
        self.peering.add_listed(listed, now);
    }

    fn uses_sums(&self) -> bool {
        self.relay_options.uses_sums_in(self.peering.live_count())
    }

    fn update_interval_ms(&self) -> u64 {
        self.relay_options.interval_ms_in(self.peering.live_count())
    }
}
