//! Reports between gateways: one datagram to each peer, several times a second.
//!
//! A lost datagram is replaced by the next one, so nothing is acknowledged or sent again.

use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use curranttrestle::coordination::gateway::endpoint_load::PeerKey;
use curranttrestle::coordination::gateway::peering::{PeerChange, Peering};
use curranttrestle::protocol::gateway::{GatewayReport, ProofEcho};
use curranttrestle::state::Now;
use smol::Async;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;
use crate::gateway::Gateway;
use crate::settings::GatewaySettings;

/// The longest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 32_768;

/// The other gateways.
#[derive(Debug)]
pub struct Peers {
    socket: Async<UdpSocket>,
    key: PeerKey,
    peering: RefCell<Peering>,
}

impl Peers {
    /// Knows the seeds only.
    #[must_use]
    pub fn new(settings: &GatewaySettings, socket: Async<UdpSocket>) -> Self {
        let instance = format!("{}@{}", settings.instance, settings.peers);
        let now = clock::now();
        let peering = Peering::new(settings.peers, &settings.seeds, settings.reports, now);
        Self {
            key: xxh3_64(instance.as_bytes()),
            peering: RefCell::new(peering),
            socket,
        }
    }

    /// Sends the reports that are due.
    pub fn send_due(&self, gateway: &Gateway, now: Now) {
        let mut peering = self.peering.borrow_mut();
        let changes = peering.sweep(now);
        changes.into_iter().for_each(log_change);
        let Some(round) = peering.round(now) else {
            return;
        };
        let mut report = self.report(gateway, &mut peering, round.is_full, now);
        let mut round_bytes = 0;
        for (address, echo) in round.targets {
            report.proof = echo;
            round_bytes += self.send(gateway, address, &report);
        }
        peering.sent(round_bytes);
    }

    /// Receives reports for ever.
    pub async fn receive(self: Rc<Self>, gateway: Rc<Gateway>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // A datagram that could not be delivered is reported here; others follow.
                    log::debug!("kind=peer-receive-failed error={error:?}");
                    continue;
                }
            };
            match postcard::from_bytes::<GatewayReport>(&buffer[..length]) {
                Ok(report) => self.received(&gateway, from, report, clock::now()),
                Err(error) => {
                    count(&gateway, "unreadable");
                    log::debug!("kind=peer-report-unreadable from={from} error={error:?}");
                }
            }
        }
    }

    fn received(&self, gateway: &Gateway, from: SocketAddr, report: GatewayReport, now: Now) {
        if report.sender == self.key {
            return;
        }
        count(gateway, "received");
        let mut control = gateway.control.borrow_mut();
        let age_ms = control.freshness.age_ms(now);
        let echo = age_ms.map(|age_ms| ProofEcho {
            your_sent_ms: report.sent_ms,
            revision: control.freshness.revision(),
            age_ms,
        });
        let mut peering = self.peering.borrow_mut();
        if let Some(change) = peering.heard(from, echo, &report.peers, now) {
            log_change(change);
        }
        if let Some(proof) = report.proof
            && proof.revision == control.freshness.revision()
            && proof.your_sent_ms <= now.steady_ms
        {
            let proved_ms = proof.your_sent_ms.saturating_sub(proof.age_ms);
            control.freshness.confirmed(proof.revision, proved_ms);
        }
        control
            .load
            .report_received(report.sender, &report.loads, now);
        control
            .cache
            .report_received(report.sender, &report.prompts);
        if let Some(shares) = report.shares {
            control.shares.report_received(report.sender, shares, now);
        }
        control.quarantine.receive(&report.suspicions, now);
        control.fleet_seen(peering.live());
    }

    fn report(
        &self,
        gateway: &Gateway,
        peering: &mut Peering,
        is_full: bool,
        now: Now,
    ) -> GatewayReport {
        let mut control = gateway.control.borrow_mut();
        GatewayReport {
            sender: self.key,
            sent_ms: now.steady_ms,
            proof: None,
            peers: if is_full { peering.named() } else { Vec::new() },
            loads: control.load.report(),
            prompts: control.cache.report(peering.interval_ms(), now),
            shares: is_full.then(|| control.shares.report(now)),
            suspicions: control.quarantine.broadcast(now),
        }
    }

    /// Sends a report; returns its length.
    fn send(&self, gateway: &Gateway, address: SocketAddr, report: &GatewayReport) -> u64 {
        let bytes = match postcard::to_stdvec(report) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("kind=peer-report-failed error={error:?}");
                return 0;
            }
        };
        // A full socket buffer drops this report; the next one replaces it.
        if let Err(error) = self.socket.get_ref().send_to(&bytes, address) {
            count(gateway, "unsent");
            log::debug!("kind=peer-send-failed peer={address} error={error:?}");
        }
        bytes.len() as u64
    }
}

fn count(gateway: &Gateway, outcome: &str) {
    gateway
        .metrics
        .peer_reports
        .with_label_values(&[outcome])
        .inc();
}

fn log_change(change: PeerChange) {
    match change {
        PeerChange::Back(peer) => log::info!("kind=peer-back peer={peer}"),
        PeerChange::Lost(peer) => log::warn!("kind=peer-lost peer={peer}"),
    }
}
