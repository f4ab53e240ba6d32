//! Reports and load updates between gateways, sent as datagrams several times per second.
//!
//! A lost datagram is superseded by the next one, so there are no acknowledgements and no
//! retransmissions.

use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use curranttrestle::coordination::gateway::control::Control;
use curranttrestle::coordination::gateway::endpoint_load::PeerKey;
use curranttrestle::coordination::gateway::load_relay::{
    DataCentreKey, LoadRelay, RelayChange, RelayRound, data_centre_key,
};
use curranttrestle::coordination::gateway::peering::{PeerChange, Peering};
use curranttrestle::coordination::gateway::prompt_cache::PromptUseBatch;
use curranttrestle::protocol::gateway::{
    GatewayMessage, GatewayReport, LoadUpdate, ProofEcho, RelayedUpdate,
};
use curranttrestle::state::Now;
use rand::Rng;
use smol::Async;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;
use crate::gateway::Gateway;
use crate::settings::GatewaySettings;

/// Receive buffer; the maximum size of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Maximum load updates in one datagram. The update of a gateway with hundreds of requests in
/// flight takes 4 kB.
const MAX_UPDATES_PER_MESSAGE: usize = 15;

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

/// Exchanges reports and load updates with the other gateways.
#[derive(Debug)]
pub struct Peers {
    socket: Async<UdpSocket>,
    key: PeerKey,
    run_id: u32,
    data_centre: DataCentreKey,
    update_interval_ms: u64,
    peering: RefCell<Peering>,
    load_relay: RefCell<LoadRelay>,
}

impl Peers {
    /// Starts with the seeds as the only peers.
    #[must_use]
    pub fn new(settings: &GatewaySettings, socket: Async<UdpSocket>) -> Self {
        let instance = format!("{}@{}", settings.instance, settings.peers);
        let now = clock::now();
        let peering = Peering::new(settings.peers, &settings.seeds, settings.reports, now);
        let data_centre = &settings.control.data_centre;
        let load_relay = LoadRelay::new(settings.peers, data_centre, settings.relays);
        Self {
            key: xxh3_64(instance.as_bytes()),
            run_id: rand::rng().random(),
            data_centre: data_centre_key(data_centre),
            update_interval_ms: settings.relays.interval_ms,
            peering: RefCell::new(peering),
            load_relay: RefCell::new(load_relay),
            socket,
        }
    }

    /// Sends the reports and load updates that are due.
    pub fn send_due(&self, gateway: &Gateway, now: Now) {
        let mut peering = self.peering.borrow_mut();
        let changes = peering.expire_peers(now);
        changes.into_iter().for_each(log_peer_change);
        if let Some(round) = peering.round(now) {
            let report = self.report(gateway, &mut peering, round.is_full, now);
            let mut message = GatewayMessage::Report(report);
            let mut round_bytes = 0;
            for (address, echo) in round.targets {
                if let GatewayMessage::Report(report) = &mut message {
                    report.proof = echo;
                }
                round_bytes += self.send(gateway, &[address], &message);
            }
            peering.adapt_interval(round_bytes);
        }
        let mut load_relay = self.load_relay.borrow_mut();
        let (round, change) = load_relay.round(&peering.live_peers(), peering.interval_ms(), now);
        if let Some(change) = change {
            log_relay_change(change);
        }
        if let Some(round) = round {
            self.send_updates(gateway, round, now);
        }
    }

    /// The rate and size of the reports to all peers.
    #[must_use]
    pub fn report_state(&self) -> ReportState {
        let peering = self.peering.borrow();
        ReportState {
            live_peers: peering.live_count() - 1,
            interval_ms: peering.interval_ms(),
            round_bytes: peering.round_bytes(),
        }
    }

    /// Receives reports and load updates; never returns.
    pub async fn receive(self: Rc<Self>, gateway: Rc<Gateway>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // The socket also reports earlier datagrams that could not be delivered; keep
                    // receiving.
                    log::debug!("kind=peer-receive-failed error={error:?}");
                    continue;
                }
            };
            match postcard::from_bytes::<GatewayMessage>(&buffer[..length]) {
                Ok(message) => self.handle_message(&gateway, from, message, clock::now()),
                Err(error) => {
                    count_message(&gateway, "unreadable");
                    log::debug!("kind=peer-report-unreadable from={from} error={error:?}");
                }
            }
        }
    }

    fn handle_message(
        &self,
        gateway: &Gateway,
        from: SocketAddr,
        message: GatewayMessage,
        now: Now,
    ) {
        let mut control = gateway.control.borrow_mut();
        match message {
            GatewayMessage::Report(report) if report.update.sender != self.key => {
                count_message(gateway, "received");
                let newest = report.proof.map_or(0, |proof| proof.revision);
                if newest > control.config_freshness.revision() {
                    gateway.newer_config.notify();
                }
                self.handle_report(&mut control, from, report, now);
            }
            GatewayMessage::News(update) => {
                count_message(gateway, "news");
                if self
                    .load_relay
                    .borrow_mut()
                    .receive_update(from, &update, now)
                {
                    apply_update(&mut control, &update, 0, now);
                }
            }
            GatewayMessage::PassedOn(mut updates) => {
                count_message(gateway, "passed-on");
                updates.retain(|relayed| relayed.update.sender != self.key);
                let accepted = self
                    .load_relay
                    .borrow_mut()
                    .receive_relayed(from, updates, now);
                for relayed in accepted {
                    apply_update(&mut control, &relayed.update, relayed.held_ms, now);
                }
            }
            // This gateway's own report, delivered back to it.
            GatewayMessage::Report(_) => (),
        }
    }

    fn handle_report(
        &self,
        control: &mut Control,
        from: SocketAddr,
        report: GatewayReport,
        now: Now,
    ) {
        let age_ms = control.config_freshness.age_ms(now);
        let echo = age_ms.map(|age_ms| ProofEcho {
            your_sent_ms: report.update.sent_ms,
            revision: control.config_freshness.revision(),
            age_ms,
        });
        let mut peering = self.peering.borrow_mut();
        let data_centre = report.data_centre;
        if let Some(change) = peering.report_received(from, data_centre, echo, &report.peers, now) {
            log_peer_change(change);
        }
        if let Some(proof) = report.proof
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
        let update = &report.update;
        if self.load_relay.borrow_mut().record_if_newer(update) {
            apply_update(control, update, 0, now);
        }
        if let Some(shares) = report.shares {
            control.shares.apply_report(update.sender, shares, now);
        }
        control.quarantine.receive(&report.suspicions, now);
        control.observe_fleet_size(peering.live_count());
    }

    fn report(
        &self,
        gateway: &Gateway,
        peering: &mut Peering,
        is_full: bool,
        now: Now,
    ) -> GatewayReport {
        let mut control = gateway.control.borrow_mut();
        let prompts = control.cache.report(peering.interval_ms(), now);
        GatewayReport {
            update: self.local_update(&control, prompts, now),
            data_centre: self.data_centre,
            proof: None,
            peers: if is_full {
                peering.peers_to_announce()
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

    /// Sends a round of load updates.
    fn send_updates(&self, gateway: &Gateway, round: RelayRound, now: Now) {
        let local = {
            let control = gateway.control.borrow();
            let prompts = control.cache.recent_uses(self.update_interval_ms, now);
            self.local_update(&control, prompts, now)
        };
        if let Some(relay) = round.relay {
            self.send(gateway, &[relay], &GatewayMessage::News(local));
            return;
        }
        let mut local_updates = round.member_updates;
        local_updates.push(RelayedUpdate {
            update: local,
            held_ms: 0,
        });
        let all_targets = [&round.members[..], &round.relays[..]].concat();
        self.relay_updates(gateway, &all_targets, local_updates);
        self.relay_updates(gateway, &round.members, round.relay_updates);
    }

    /// Sends load updates in as many messages as necessary.
    fn relay_updates(
        &self,
        gateway: &Gateway,
        targets: &[SocketAddr],
        updates: Vec<RelayedUpdate>,
    ) {
        let mut updates = updates.into_iter();
        while updates.len() > 0 {
            let chunk = updates.by_ref().take(MAX_UPDATES_PER_MESSAGE).collect();
            self.send(gateway, targets, &GatewayMessage::PassedOn(chunk));
        }
    }

    /// Sends a message to several peers; returns the total number of bytes.
    fn send(&self, gateway: &Gateway, targets: &[SocketAddr], message: &GatewayMessage) -> u64 {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("kind=peer-report-failed error={error:?}");
                return 0;
            }
        };
        for target in targets {
            // A full socket buffer drops this message; the next one supersedes it.
            if let Err(error) = self.socket.get_ref().send_to(&bytes, target) {
                count_message(gateway, "unsent");
                log::debug!("kind=peer-send-failed peer={target} error={error:?}");
            }
        }
        (bytes.len() * targets.len()) as u64
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

fn count_message(gateway: &Gateway, outcome: &str) {
    gateway
        .metrics
        .peer_reports
        .with_label_values(&[outcome])
        .inc();
}

fn log_peer_change(change: PeerChange) {
    match change {
        PeerChange::Live(peer) => log::info!("kind=peer-back peer={peer}"),
        PeerChange::Lost(peer) => log::warn!("kind=peer-lost peer={peer}"),
    }
}

fn log_relay_change(change: RelayChange) {
    let name =
        |relay: Option<SocketAddr>| relay.map_or("none".to_owned(), |relay| relay.to_string());
    let relay = name(change.relay);
    match change.timed_out {
        Some(timed_out) => log::warn!("kind=relay-changed relay={relay} silent={timed_out}"),
        None => log::info!("kind=relay-changed relay={relay}"),
    }
}
