//! The reports and load updates of one gateway, without I/O.

use std::net::SocketAddr;

use curranttrestle::coordination::gateway::control::Control;
use curranttrestle::coordination::gateway::directory::DirectoryChange;
use curranttrestle::coordination::gateway::endpoint_load::PeerKey;
use curranttrestle::coordination::gateway::load_relay::{
    DataCentreKey, LoadRelay, RelayChange, RelayOptions, RelayRound, data_centre_key,
};
use curranttrestle::coordination::gateway::load_sums::{LoadSums, SumChange, SumOptions};
use curranttrestle::coordination::gateway::part_relay::PartBuffer;
use curranttrestle::coordination::gateway::peering::{PeerChange, Peering, RoundKind};
use curranttrestle::coordination::gateway::prompt_cache::{
    PromptUse, PromptUseBatch, PromptUseLog,
};
use curranttrestle::protocol::gateway::{
    DataCentreUpdate, GatewayGreeting, GatewayMessage, GatewayReport, GatewaySummary, LoadUpdate,
    MessageEcho, ProofEcho, RelayedProof, RelayedUpdate, ShareUpdate,
};
use curranttrestle::protocol::peer::Suspicions;
use curranttrestle::state::Now;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::settings::GatewaySettings;

/// A message with several items is split if it is longer; half of the largest datagram.
const MAX_MESSAGE_BYTES: usize = 32_768;

/// Number of rounds of load updates in which a prompt use is sent, because a message may be lost.
const ROUNDS_PER_PROMPT_USE: u64 = 3;

/// Interval between two messages with shares to or from a relay.
const SHARE_INTERVAL_MS: u64 = 500;

/// Longest interval of reports at which one gateway reads the configuration for its peers: the proofs
/// must reach them before they read themselves.
const READER_REPORT_INTERVAL_MS: u64 = 200;

/// Interval between two proofs from a relay.
const PROOF_INTERVAL_MS: u64 = 200;

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

    fn uses_sums(&self) -> bool {
        self.relay_options.uses_sums_in(self.peering.live_count())
    }

    fn update_interval_ms(&self) -> u64 {
        self.relay_options.interval_ms_in(self.peering.live_count())
    }

    /// Passes the gateways that this one heard of to the limit on cold endpoints.
    fn record_gateways(&mut self, control: &mut Control, now: Now) {
        control
            .cold
            .set_own_address(self.peering.own_address(), now);
        for address in self.peering.take_added() {
            control.cold.record_gateway(address, now);
        }
    }

    /// Returns the reports and load updates that are due.
    pub fn send_due(&mut self, control: &mut Control, now: Now) -> Outgoing {
        self.record_gateways(control, now);
        let live_peers = self.peering.live_count() - 1;
        control.cold.observe_live_peers(live_peers, now);
        let uses_sums = self.uses_sums();
        let (sums, load_relay, data_centre) = (&self.sums, &self.load_relay, self.data_centre);
        let is_relayed = |other| {
            uses_sums
                && if other == data_centre {
                    load_relay.is_connected(now)
                } else {
                    sums.is_current(other, now)
                }
        };
        let mut outgoing = Outgoing {
            peer_changes: self.peering.expire_peers(is_relayed, now),
            ..Outgoing::default()
        };
        let round = self.peering.round(is_relayed, now);
        let round = round.filter(|round| !round.targets.is_empty());
        let greeted = self.peering.greetings(is_relayed, now);
        if let Some(round) = round {
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
                    _ => (),
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
        outgoing.datagrams.extend(self.greetings(greeted, now));
        let live_peers = self.peering.live_peers();
        let targets = || live_peers.iter().map(|peer| peer.address).collect();
        let is_connected = uses_sums && self.load_relay.is_connected(now);
        if let Some(report) = control.prompt_parts.next_report(now) {
            if is_connected && self.load_relay.is_relay() {
                self.local_parts.add(&report, now);
            } else {
                let relay = self.load_relay.relay().filter(|_| is_connected);
                let targets = relay.map_or_else(targets, |relay| vec![relay]);
                let message = GatewayMessage::PromptParts(report);
                outgoing.datagrams.extend(encode(targets, &message));
            }
        }
        let leaving = control.directory.leaving_to_announce();
        if !leaving.is_empty() {
            let message = GatewayMessage::Leaving(leaving);
            // Relays forward it. Many gateways learn of it at the same moment.
            let targets = if is_connected {
                self.load_relay.neighbours()
            } else {
                targets()
            };
            outgoing.datagrams.extend(encode(targets, &message));
        }
        if uses_sums {
            if let Some(changes) = control.quarantine.suspects.take_changes() {
                let message = GatewayMessage::Suspicions(changes);
                outgoing.datagrams.extend(encode(targets(), &message));
            }
            if let Some(gossip) = control.quarantine.suspects.next_gossip(now)
                && !live_peers.is_empty()
            {
                self.gossip_round = self.gossip_round.wrapping_add(1);
                let receiver = live_peers[self.gossip_round % live_peers.len()].address;
                let message = GatewayMessage::Suspicions(gossip);
                outgoing.datagrams.extend(encode(vec![receiver], &message));
            }
        }
        let interval_ms = if uses_sums {
            u64::MAX
        } else {
            self.peering.interval_ms()
        };
        let (round, change) = self.load_relay.round(&live_peers, interval_ms, now);
        outgoing.relay_change = change;
        if uses_sums && let Some(silent) = change.and_then(|change| change.timed_out) {
            // Otherwise it would be chosen again until its next greeting is overdue.
            outgoing
                .peer_changes
                .extend(self.peering.mark_lost(silent, now));
        }
        if let Some(round) = round {
            self.add_updates(&mut outgoing.datagrams, control, round, now);
        }
        outgoing
    }

    /// Encodes the greetings to these peers.
    fn greetings(
        &mut self,
        greeted: Vec<(SocketAddr, Option<ProofEcho>)>,
        now: Now,
    ) -> Vec<Datagram> {
        if greeted.is_empty() {
            return Vec::new();
        }
        let mut greeting = GatewayGreeting {
            sender: self.key,
            sent_ms: now.steady_ms,
            data_centre: self.data_centre,
            proof: None,
            peers: self.peering.peers_to_announce(),
        };
        let encoded = greeted.into_iter().filter_map(|(address, echo)| {
            greeting.proof = echo;
            encode(vec![address], &GatewayMessage::Greeting(greeting.clone()))
        });
        encoded.collect()
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
        let message = postcard::from_bytes::<GatewayMessage>(bytes)?;
        let received = self.apply_message(control, from, message, now);
        // In a large fleet, a member or relay may be heard before its first report.
        if from != self.peering.own_address() {
            control.cold.record_gateway(from, now);
        }
        self.record_gateways(control, now);
        Ok(received)
    }

    fn apply_message(
        &mut self,
        control: &mut Control,
        from: SocketAddr,
        message: GatewayMessage,
        now: Now,
    ) -> Received {
        match message {
            GatewayMessage::Report(report) if report.update.sender == self.key => {
                Received::OwnReport
            }
            GatewayMessage::Summary(summary) if summary.sender == self.key => Received::OwnReport,
            GatewayMessage::Report(report) => self.receive_report(control, from, report, now),
            GatewayMessage::Summary(summary) => {
                let GatewaySummary { sender, shares, .. } = summary;
                self.sums.record_gateway(sender, summary.data_centre);
                if !self.sums.is_current(summary.data_centre, now) {
                    control.shares.apply_report(sender, shares, now);
                }
                let summary = ReceivedSummary {
                    sent_ms: summary.sent_ms,
                    data_centre: summary.data_centre,
                    proof: summary.proof,
                    peers: &[],
                    suspicions: &summary.suspicions,
                };
                self.apply_summary(control, from, &summary, now)
            }
            GatewayMessage::PromptParts(report) => {
                control.prompt_parts.receive(&report, now);
                if self.uses_sums() && self.load_relay.is_relay() {
                    let forwarded = if self.load_relay.is_member(from) {
                        &mut self.local_parts
                    } else {
                        &mut self.remote_parts
                    };
                    forwarded.add(&report, now);
                }
                Received::PromptParts
            }
            GatewayMessage::Leaving(runs) => {
                let is_forwarded = self.uses_sums() && self.load_relay.is_relay();
                let changes = control.directory.receive_leaving(&runs, is_forwarded);
                Received::Leaving(changes)
            }
            GatewayMessage::News(update) => {
                if self.load_relay.receive_update(from, &update, now) {
                    self.sums.record_gateway(update.sender, self.data_centre);
                    let uses_sums = self.uses_sums();
                    let new_uses = apply_update(control, &update, 0, now).iter();
                    for prompt_use in new_uses.filter(|_| uses_sums) {
                        self.sum_uses.push(prompt_use.clone(), now);
                    }
                }
                Received::MemberUpdate
            }
            GatewayMessage::PassedOn(mut updates) => {
                updates.retain(|relayed| relayed.update.sender != self.key);
                for relayed in self.load_relay.receive_relayed(from, updates, now) {
                    apply_update(control, &relayed.update, relayed.held_ms, now);
                }
                Received::RelayedUpdates
            }
            GatewayMessage::DataCentre(update) => self.receive_sum(control, from, update, now),
            GatewayMessage::Shares(updates) => {
                for update in updates {
                    if update.sender != self.key {
                        let ShareUpdate { sender, lines } = update;
                        control.shares.apply_report(sender, lines, now);
                    }
                }
                Received::Shares
            }
            GatewayMessage::RelayedProof(proof) => {
                let has_newer_config = self.apply_relayed_proof(control, &proof, now);
                Received::Proof { has_newer_config }
            }
            GatewayMessage::Greeting(greeting) => {
                self.sums
                    .record_gateway(greeting.sender, greeting.data_centre);
                let summary = ReceivedSummary {
                    sent_ms: greeting.sent_ms,
                    data_centre: greeting.data_centre,
                    proof: greeting.proof,
                    peers: &greeting.peers,
                    suspicions: &Suspicions::default(),
                };
                self.apply_summary(control, from, &summary, now)
            }
            GatewayMessage::Suspicions(suspicions) => {
                control.quarantine.suspects.receive(&suspicions, now);
                Received::Suspicions
            }
        }
    }

    fn receive_report(
        &mut self,
        control: &mut Control,
        from: SocketAddr,
        report: GatewayReport,
        now: Now,
    ) -> Received {
        let update = &report.update;
        self.sums.record_gateway(update.sender, report.data_centre);
        // Otherwise the sum of the data centre includes the sender.
        if !self.sums.is_current(report.data_centre, now) {
            if self.load_relay.record_if_newer(update) {
                apply_update(control, update, 0, now);
            }
            if let Some(shares) = report.shares {
                control.shares.apply_report(update.sender, shares, now);
            }
        }
        let summary = ReceivedSummary {
            sent_ms: update.sent_ms,
            data_centre: report.data_centre,
            proof: report.proof,
            peers: &report.peers,
            suspicions: &report.suspicions,
        };
        self.apply_summary(control, from, &summary, now)
    }

    /// Applies the sum of another data centre, from its relay or from this gateway's own.
    fn receive_sum(
        &mut self,
        control: &mut Control,
        from: SocketAddr,
        update: DataCentreUpdate,
        now: Now,
    ) -> Received {
        if update.sender == self.key {
            return Received::OwnReport;
        }
        self.load_relay.record_relay(from, now);
        let Some(change) = self.sums.receive(&update, now) else {
            return Received::DroppedSum;
        };
        let key = update.data_centre;
        if change == SumChange::First {
            let is_included = |gateway| self.sums.includes(gateway, key);
            control.load.remove_reports(is_included);
            control.shares.remove_reports(is_included);
        }
        let sent = Now {
            steady_ms: now.steady_ms.saturating_sub(update.held_ms),
            ..now
        };
        control.load.apply_report(key, &update.loads, sent);
        if let Some(shares) = &update.shares {
            let gateways = usize::from(update.gateways);
            control
                .shares
                .apply_sum(key, shares.clone(), gateways, sent);
        }
        // The uses are numbered anew in each run of a relay.
        let numbering = xxh3_64_with_seed(&update.sender.to_le_bytes(), update.run.into());
        control.cache.apply_report(numbering, &update.prompts);
        if self.load_relay.is_relay() {
            self.sums.keep_for_members(update, now);
        }
        Received::Sum
    }

    /// Applies a relay's proof, dated by the message from this gateway that the relay received
    /// last. Returns whether the relay has a newer configuration.
    fn apply_relayed_proof(&self, control: &mut Control, proof: &RelayedProof, now: Now) -> bool {
        let freshness = &mut control.config_freshness;
        let is_own = |echo: &&MessageEcho| (echo.peer, echo.run) == (self.key, self.run_id);
        if let Some(echo) = proof.echoes.iter().find(is_own)
            && proof.revision == freshness.revision()
            && echo.sent_ms <= now.steady_ms
        {
            let proved_ms = echo.sent_ms.saturating_sub(proof.age_ms);
            freshness.record_proof(proof.revision, proved_ms);
        }
        proof.revision > freshness.revision()
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
        control.quarantine.suspects.receive(summary.suspicions, now);
        control.observe_fleet_size(self.peering.live_count());
        Received::Report {
            has_newer_config,
            peer_change,
        }
    }

    /// The suspicions for a report or summary. They have messages of their own where not all peers
    /// receive reports.
    fn suspicions(&self, control: &mut Control, now: Now) -> Suspicions {
        if self.uses_sums() {
            Suspicions::default()
        } else {
            control.quarantine.suspects.next_broadcast(now)
        }
    }

    fn summary(&mut self, control: &mut Control, now: Now) -> GatewaySummary {
        GatewaySummary {
            sender: self.key,
            sent_ms: now.steady_ms,
            data_centre: self.data_centre,
            proof: None,
            shares: control.shares.report(now),
            suspicions: self.suspicions(control, now),
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
            suspicions: self.suspicions(control, now),
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
        &mut self,
        datagrams: &mut Vec<Datagram>,
        control: &Control,
        round: RelayRound,
        now: Now,
    ) {
        let uses_sums = self.uses_sums();
        let prompts = control.cache.recent_uses(self.update_interval_ms(), now);
        let local = self.local_update(control, prompts, now);
        let shares_are_due = uses_sums && is_due(&mut self.last_shares_ms, SHARE_INTERVAL_MS, now);
        let own_shares = || ShareUpdate {
            sender: self.key,
            lines: control.shares.report(now),
        };
        if let Some(relay) = round.relay {
            datagrams.extend(encode(vec![relay], &GatewayMessage::News(local)));
            if shares_are_due {
                let message = GatewayMessage::Shares(vec![own_shares()]);
                datagrams.extend(encode(vec![relay], &message));
            }
            return;
        }
        let local_targets = [&round.members[..], &round.relays[..]].concat();
        if shares_are_due && !local_targets.is_empty() {
            let members = self.load_relay.member_echoes().filter_map(|member| {
                let lines = control.shares.report_of(member.peer)?.to_vec();
                Some(ShareUpdate {
                    sender: member.peer,
                    lines,
                })
            });
            let shares: Vec<ShareUpdate> = members.chain([own_shares()]).collect();
            datagrams.extend(split_datagrams(
                &local_targets,
                shares,
                GatewayMessage::Shares,
            ));
        }
        if uses_sums && is_due(&mut self.last_proof_ms, PROOF_INTERVAL_MS, now) {
            let targets = [&local_targets[..], &round.remote_relays[..]].concat();
            let proof = self.relayed_proof(control, now);
            datagrams.extend(proof.and_then(|proof| encode(targets, &proof)));
        }
        if uses_sums {
            let sum = self.sum(control, &local.prompts, shares_are_due, now);
            let message = GatewayMessage::DataCentre(sum);
            let remote_relays = round.remote_relays;
            datagrams.extend(encode(remote_relays.clone(), &message));
            if let Some(report) = self.local_parts.take(now) {
                let targets = [&local_targets[..], &remote_relays[..]].concat();
                datagrams.extend(encode(targets, &GatewayMessage::PromptParts(report)));
            }
            if let Some(report) = self.remote_parts.take(now) {
                let message = GatewayMessage::PromptParts(report);
                datagrams.extend(encode(round.members.clone(), &message));
            }
            for sum in self.sums.take_pending(now) {
                let message = GatewayMessage::DataCentre(sum);
                datagrams.extend(encode(round.members.clone(), &message));
            }
        }
        let mut local_updates = round.member_updates;
        local_updates.push(RelayedUpdate {
            update: local,
            held_ms: 0,
        });
        let wrap = GatewayMessage::PassedOn;
        datagrams.extend(split_datagrams(&local_targets, local_updates, wrap));
        datagrams.extend(split_datagrams(&round.members, round.relay_updates, wrap));
    }

    /// The load and shares of this gateway and its members, whose own prompt uses are `own_uses`.
    fn sum(
        &mut self,
        control: &Control,
        own_uses: &PromptUseBatch,
        has_shares: bool,
        now: Now,
    ) -> DataCentreUpdate {
        let known = self.next_own_use.saturating_sub(own_uses.first);
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        for prompt_use in own_uses.uses.iter().skip(known) {
            self.sum_uses.push(prompt_use.clone(), now);
        }
        self.next_own_use = own_uses.first + own_uses.uses.len() as u64;
        let max_age_ms = ROUNDS_PER_PROMPT_USE * self.update_interval_ms();
        self.sum_uses.remove_older(max_age_ms, now);
        let members = || self.load_relay.member_echoes().map(|member| member.peer);
        let gateways = members().count() + 1;
        DataCentreUpdate {
            sender: self.key,
            run: self.run_id,
            sent_ms: now.steady_ms,
            held_ms: 0,
            data_centre: self.data_centre,
            gateways: u16::try_from(gateways).unwrap_or(u16::MAX),
            loads: control.load.sum_with(members(), now),
            shares: has_shares.then(|| control.shares.sum_with(members(), now)),
            prompts: self.sum_uses.batch(max_age_ms, now),
        }
    }

    /// This gateway's proof for its members and other relays; `None` without a configuration.
    fn relayed_proof(&self, control: &Control, now: Now) -> Option<GatewayMessage> {
        let freshness = &control.config_freshness;
        let echoes = self.load_relay.member_echoes();
        Some(GatewayMessage::RelayedProof(RelayedProof {
            revision: freshness.revision(),
            age_ms: freshness.age_ms(now)?,
            echoes: echoes.chain(self.sums.relay_echoes()).collect(),
        }))
    }
}

/// Whether an interval has elapsed since `last_ms`. If so, starts the next one.
fn is_due(last_ms: &mut Option<u64>, interval_ms: u64, now: Now) -> bool {
    let is_due = last_ms.is_none_or(|last_ms| now.since_ms(last_ms) >= interval_ms);
    if is_due {
        *last_ms = Some(now.steady_ms);
    }
    is_due
}

/// Encodes items in as many messages as necessary.
fn split_datagrams<T>(
    targets: &[SocketAddr],
    mut items: Vec<T>,
    wrap: fn(Vec<T>) -> GatewayMessage,
) -> Vec<Datagram>
where
    T: Clone,
{
    if items.is_empty() || targets.is_empty() {
        return Vec::new();
    }
    let Some(datagram) = encode(targets.to_vec(), &wrap(items.clone())) else {
        return Vec::new();
    };
    if datagram.bytes.len() <= MAX_MESSAGE_BYTES || items.len() == 1 {
        return vec![datagram];
    }
    let rest = items.split_off(items.len() / 2);
    let mut datagrams = split_datagrams(targets, items, wrap);
    datagrams.extend(split_datagrams(targets, rest, wrap));
    datagrams
}

fn encode(targets: Vec<SocketAddr>, message: &GatewayMessage) -> Option<Datagram> {
    match postcard::to_stdvec(message) {
        Ok(bytes) => Some(Datagram {
            kind: message.kind(),
            targets,
            bytes,
        }),
        Err(error) => {
            log::error!("kind=peer-report-failed error={error:?}");
            None
        }
    }
}

/// Applies the load update of another gateway, which relays held for `held_ms`. Returns its new
/// prompt uses.
fn apply_update<'a>(
    control: &mut Control,
    update: &'a LoadUpdate,
    held_ms: u64,
    now: Now,
) -> &'a [PromptUse] {
    let sent = Now {
        steady_ms: now.steady_ms.saturating_sub(held_ms),
        ..now
    };
    control
        .load
        .apply_report(update.sender, &update.loads, sent);
    control.cache.apply_report(update.sender, &update.prompts)
}
