//! The reports and load updates of one gateway, without I/O.

use std::net::SocketAddr;

use curranttrestle::coordination::gateway::control::Control;
use curranttrestle::coordination::gateway::directory::DirectoryChange;
use curranttrestle::coordination::gateway::endpoint_load::PeerKey;
use curranttrestle::coordination::gateway::load_relay::{
    DataCentreKey, LoadRelay, RelayChange, RelayRound, data_centre_key,
};
use curranttrestle::coordination::gateway::peering::{PeerChange, Peering, RoundKind};
use curranttrestle::coordination::gateway::prompt_cache::PromptUseBatch;
use curranttrestle::protocol::gateway::{
    GatewayMessage, GatewayReport, GatewaySummary, LoadUpdate, ProofEcho, RelayedUpdate,
};
use curranttrestle::protocol::peer::Suspicions;
use curranttrestle::state::Now;
use xxhash_rust::xxh3::xxh3_64;

use crate::settings::GatewaySettings;

/// Maximum load updates in one datagram. The update of a gateway with hundreds of requests in
/// flight takes 4 kB.
const MAX_UPDATES_PER_MESSAGE: usize = 15;

/// A datagram for several peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
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
    /// This gateway's own report, delivered back to it.
    OwnReport,
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

/// The common part of a report and a summary.
#[derive(Clone, Copy, Debug)]
struct ReceivedSummary<'a> {
    sent_ms: u64,
    data_centre: DataCentreKey,
    proof: Option<ProofEcho>,
    peers: &'a [SocketAddr],
    suspicions: &'a Suspicions,
}

/// Builds the messages for other gateways and applies theirs.
#[derive(Clone, Debug)]
pub struct PeerExchange {
    key: PeerKey,
    run_id: u32,
    data_centre: DataCentreKey,
    update_interval_ms: u64,
    peering: Peering,
    load_relay: LoadRelay,
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
            update_interval_ms: settings.relays.interval_ms,
            peering: Peering::new(settings.peers, &settings.seeds, settings.reports, now),
            load_relay: LoadRelay::new(settings.peers, data_centre, settings.relays),
        }
    }

    /// The rate and size of the reports to all peers.
    #[must_use]
    pub fn report_state(&self) -> ReportState {
        ReportState {
            live_peers: self.peering.live_count() - 1,
            interval_ms: self.peering.interval_ms(),
            round_bytes: self.peering.round_bytes(),
        }
    }

    /// Returns the reports and load updates that are due.
    pub fn send_due(&mut self, control: &mut Control, now: Now) -> Outgoing {
        let mut outgoing = Outgoing {
            peer_changes: self.peering.expire_peers(now),
            ..Outgoing::default()
        };
        if let Some(round) = self.peering.round(now) {
            let mut message = match round.kind {
                RoundKind::Full => GatewayMessage::Report(self.report(control, true, now)),
                RoundKind::Load => GatewayMessage::Report(self.report(control, false, now)),
                RoundKind::Summary => GatewayMessage::Summary(self.summary(control, now)),
            };
            let mut round_bytes = 0;
            for (address, echo) in round.targets {
                match &mut message {
                    GatewayMessage::Report(report) => report.proof = echo,
                    GatewayMessage::Summary(summary) => summary.proof = echo,
                    GatewayMessage::News(_)
                    | GatewayMessage::PassedOn(_)
                    | GatewayMessage::PromptParts(_)
                    | GatewayMessage::Leaving(_) => (),
                }
                if let Some(datagram) = encode(vec![address], &message) {
                    round_bytes += datagram.bytes.len() as u64;
                    outgoing.datagrams.push(datagram);
                }
            }
            if round.kind != RoundKind::Summary {
                self.peering.adapt_interval(round_bytes);
            }
        }
        let live_peers = self.peering.live_peers();
        let targets = || live_peers.iter().map(|peer| peer.address).collect();
        if let Some(report) = control.prompt_parts.next_report(now) {
            let message = GatewayMessage::PromptParts(report);
            outgoing.datagrams.extend(encode(targets(), &message));
        }
        let leaving = control.directory.leaving_to_announce();
        if !leaving.is_empty() {
            let message = GatewayMessage::Leaving(leaving);
            outgoing.datagrams.extend(encode(targets(), &message));
        }
        let interval_ms = self.peering.interval_ms();
        let (round, change) = self.load_relay.round(&live_peers, interval_ms, now);
        outgoing.relay_change = change;
        if let Some(round) = round {
            self.add_updates(&mut outgoing.datagrams, control, round, now);
        }
        outgoing
    }

    /// Applies a datagram from another gateway.
    ///
    /// # Errors
    ///
    /// [`postcard::Error`] if the datagram is not a message.
    pub fn receive(
        &mut self,
        control: &mut Control,
        from: SocketAddr,
        bytes: &[u8],
        now: Now,
    ) -> Result<Received, postcard::Error> {
        match postcard::from_bytes::<GatewayMessage>(bytes)? {
            GatewayMessage::Report(report) if report.update.sender == self.key => {
                Ok(Received::OwnReport)
            }
            GatewayMessage::Summary(summary) if summary.sender == self.key => {
                Ok(Received::OwnReport)
            }
            GatewayMessage::Report(report) => {
                let update = &report.update;
                if self.load_relay.record_if_newer(update) {
                    apply_update(control, update, 0, now);
                }
                if let Some(shares) = report.shares {
                    control.shares.apply_report(update.sender, shares, now);
                }
                let summary = ReceivedSummary {
                    sent_ms: update.sent_ms,
                    data_centre: report.data_centre,
                    proof: report.proof,
                    peers: &report.peers,
                    suspicions: &report.suspicions,
                };
                Ok(self.apply_summary(control, from, &summary, now))
            }
            GatewayMessage::Summary(summary) => {
                let GatewaySummary { sender, shares, .. } = summary;
                control.shares.apply_report(sender, shares, now);
                let summary = ReceivedSummary {
                    sent_ms: summary.sent_ms,
                    data_centre: summary.data_centre,
                    proof: summary.proof,
                    peers: &[],
                    suspicions: &summary.suspicions,
                };
                Ok(self.apply_summary(control, from, &summary, now))
            }
            GatewayMessage::PromptParts(report) => {
                control.prompt_parts.receive(&report, now);
                Ok(Received::PromptParts)
            }
            GatewayMessage::Leaving(runs) => {
                Ok(Received::Leaving(control.directory.receive_leaving(&runs)))
            }
            GatewayMessage::News(update) => {
                if self.load_relay.receive_update(from, &update, now) {
                    apply_update(control, &update, 0, now);
                }
                Ok(Received::MemberUpdate)
            }
            GatewayMessage::PassedOn(mut updates) => {
                updates.retain(|relayed| relayed.update.sender != self.key);
                for relayed in self.load_relay.receive_relayed(from, updates, now) {
                    apply_update(control, &relayed.update, relayed.held_ms, now);
                }
                Ok(Received::RelayedUpdates)
            }
        }
    }

    /// Applies everything in a report or summary but load and shares.
    fn apply_summary(
        &mut self,
        control: &mut Control,
        from: SocketAddr,
        summary: &ReceivedSummary<'_>,
        now: Now,
    ) -> Received {
        let freshness = &control.config_freshness;
        let newest = summary.proof.map_or(0, |proof| proof.revision);
        let has_newer_config = newest > freshness.revision();
        let echo = freshness.age_ms(now).map(|age_ms| ProofEcho {
            your_sent_ms: summary.sent_ms,
            revision: freshness.revision(),
            age_ms,
        });
        let peer_change =
            self.peering
                .report_received(from, summary.data_centre, echo, summary.peers, now);
        if let Some(proof) = summary.proof
            && proof.revision == control.config_freshness.revision()
            && proof.your_sent_ms <= now.steady_ms
        {
            // The peer gave the age of its proof at a time after `your_sent_ms`, so the proof is
            // not older than this.
            let proved_ms = proof.your_sent_ms.saturating_sub(proof.age_ms);
            control
                .config_freshness
                .record_proof(proof.revision, proved_ms);
        }
        control.quarantine.receive(summary.suspicions, now);
        control.observe_fleet_size(self.peering.live_count());
        Received::Report {
            has_newer_config,
            peer_change,
        }
    }

    fn summary(&mut self, control: &mut Control, now: Now) -> GatewaySummary {
        GatewaySummary {
            sender: self.key,
            sent_ms: now.steady_ms,
            data_centre: self.data_centre,
            proof: None,
            shares: control.shares.report(now),
            suspicions: control.quarantine.next_broadcast(now),
        }
    }

    fn report(&mut self, control: &mut Control, is_full: bool, now: Now) -> GatewayReport {
        let prompts = control.cache.report(self.peering.interval_ms(), now);
        GatewayReport {
            update: self.local_update(control, prompts, now),
            data_centre: self.data_centre,
            proof: None,
            peers: if is_full {
                self.peering.peers_to_announce()
            } else {
                Vec::new()
            },
            shares: is_full.then(|| control.shares.report(now)),
            suspicions: control.quarantine.next_broadcast(now),
        }
    }

    fn local_update(&self, control: &Control, prompts: PromptUseBatch, now: Now) -> LoadUpdate {
        LoadUpdate {
            sender: self.key,
            run: self.run_id,
            sent_ms: now.steady_ms,
            loads: control.load.report(),
            prompts,
        }
    }

    /// Adds the datagrams of a round of load updates.
    fn add_updates(
        &self,
        datagrams: &mut Vec<Datagram>,
        control: &Control,
        round: RelayRound,
        now: Now,
    ) {
        let prompts = control.cache.recent_uses(self.update_interval_ms, now);
        let local = self.local_update(control, prompts, now);
        if let Some(relay) = round.relay {
            datagrams.extend(encode(vec![relay], &GatewayMessage::News(local)));
            return;
        }
        let mut local_updates = round.member_updates;
        local_updates.push(RelayedUpdate {
            update: local,
            held_ms: 0,
        });
        let all_targets = [&round.members[..], &round.relays[..]].concat();
        datagrams.extend(relayed_datagrams(&all_targets, local_updates));
        datagrams.extend(relayed_datagrams(&round.members, round.relay_updates));
    }
}

/// Encodes load updates in as many messages as necessary.
fn relayed_datagrams(targets: &[SocketAddr], updates: Vec<RelayedUpdate>) -> Vec<Datagram> {
    let mut updates = updates.into_iter();
    let mut datagrams = Vec::new();
    while updates.len() > 0 {
        let chunk = updates.by_ref().take(MAX_UPDATES_PER_MESSAGE).collect();
        datagrams.extend(encode(targets.to_vec(), &GatewayMessage::PassedOn(chunk)));
    }
    datagrams
}

fn encode(targets: Vec<SocketAddr>, message: &GatewayMessage) -> Option<Datagram> {
    match postcard::to_stdvec(message) {
        Ok(bytes) => Some(Datagram { targets, bytes }),
        Err(error) => {
            log::error!("kind=peer-report-failed error={error:?}");
            None
        }
    }
}

/// Applies the load update of another gateway, which relays held for `held_ms`.
fn apply_update(control: &mut Control, update: &LoadUpdate, held_ms: u64, now: Now) {
    let sent = Now {
        steady_ms: now.steady_ms.saturating_sub(held_ms),
        ..now
    };
    control
        .load
        .apply_report(update.sender, &update.loads, sent);
    control.cache.apply_report(update.sender, &update.prompts);
}
