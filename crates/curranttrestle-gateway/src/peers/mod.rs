//! Reports between gateways: one datagram to each peer, several times a second.
//!
//! A lost datagram is replaced by the next one, so nothing is acknowledged or sent again.
//! Gateways learn of each other from seeds and from the reports themselves.

use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use curranttrestle::coordination::gateway::endpoint_load::PeerKey;
use curranttrestle::protocol::gateway::{GatewayReport, ProofEcho};
use curranttrestle::protocol::peer::{PeerMessage, Suspicions};
use curranttrestle::state::{Incarnation, InstanceId, Member, MemberView, Now};
use indexmap::IndexMap;
use smol::Async;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;
use crate::gateway::Gateway;
use crate::settings::{GatewaySettings, ReportOptions};

/// The longest datagram that is sent or read.
const MAX_DATAGRAM_BYTES: usize = 32_768;

/// The most peers that a report names; a newcomer hears of all within a few reports.
const MAX_NAMED_PEERS: usize = 16;

/// What is known of a peer.
#[derive(Clone, Debug, Default)]
struct Peer {
    is_seed: bool,
    /// When it was heard last; none before the first time.
    heard_ms: Option<u64>,
    /// When it was added or, for a seed, the start.
    added_ms: u64,
    /// When a report was sent to it last.
    sent_ms: u64,
    /// The proof to echo in the next report to it.
    echo: Option<ProofEcho>,
    is_lost: bool,
}

/// The other gateways.
#[derive(Debug)]
pub struct Peers {
    socket: Async<UdpSocket>,
    me: Member,
    key: PeerKey,
    options: ReportOptions,
    known: RefCell<IndexMap<SocketAddr, Peer>>,
    round: RefCell<usize>,
    interval_ms: RefCell<u64>,
}

impl Peers {
    /// Knows the seeds only.
    #[must_use]
    pub fn new(settings: &GatewaySettings, socket: Async<UdpSocket>) -> Self {
        let now_ms = clock::now().steady_ms;
        let seeds = settings
            .seeds
            .iter()
            .filter(|seed| **seed != settings.peers);
        let known = seeds.map(|seed| {
            let peer = Peer {
                is_seed: true,
                added_ms: now_ms,
                ..Peer::default()
            };
            (*seed, peer)
        });
        let instance = format!("{}@{}", settings.instance, settings.peers);
        Self {
            known: RefCell::new(known.collect()),
            key: xxh3_64(instance.as_bytes()),
            me: member(settings.peers),
            options: settings.reports,
            round: RefCell::new(0),
            interval_ms: RefCell::new(settings.reports.min_interval_ms),
            socket,
        }
    }

    /// Sends the reports that are due.
    pub fn send_due(&self, gateway: &Gateway, now: Now) {
        self.forget_silent(now);
        let due = self.due(now);
        if due.is_empty() {
            return;
        }
        let mut report = self.report(gateway, now);
        for address in due {
            let echo = self.known.borrow().get(&address).and_then(|peer| peer.echo);
            report.proof = echo;
            self.send(gateway, address, &report, now);
        }
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
                    gateway
                        .metrics
                        .peer_reports
                        .with_label_values(&["unreadable"])
                        .inc();
                    log::debug!("kind=peer-report-unreadable from={from} error={error:?}");
                }
            }
        }
    }

    fn received(&self, gateway: &Gateway, from: SocketAddr, report: GatewayReport, now: Now) {
        if report.sender == self.key {
            return;
        }
        gateway
            .metrics
            .peer_reports
            .with_label_values(&["received"])
            .inc();
        let mut control = gateway.control.borrow_mut();
        let age_ms = control.freshness.age_ms(now);
        let echo = age_ms.map(|age_ms| ProofEcho {
            your_sent_ms: report.sent_ms,
            revision: control.freshness.revision(),
            age_ms,
        });
        self.heard(from, echo, &report.peers, now);
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
        control
            .shares
            .report_received(report.sender, report.shares, now);
        control.quarantine.receive(&report.suspicions, now);
        control.set_fleet_size(self.fleet_size());
    }

    fn heard(&self, from: SocketAddr, echo: Option<ProofEcho>, named: &[SocketAddr], now: Now) {
        let mut known = self.known.borrow_mut();
        let peer = known.entry(from).or_default();
        if peer.heard_ms.is_none() || peer.is_lost {
            log::info!("kind=peer-back peer={from}");
        }
        peer.is_lost = false;
        peer.heard_ms = Some(now.steady_ms);
        peer.echo = echo;
        for address in named {
            if *address != self.me.address {
                known.entry(*address).or_insert_with(|| Peer {
                    added_ms: now.steady_ms,
                    ..Peer::default()
                });
            }
        }
    }

    /// Gateways that were heard of lately, this one included.
    fn fleet_size(&self) -> usize {
        let known = self.known.borrow();
        1 + known
            .values()
            .filter(|peer| peer.heard_ms.is_some())
            .count()
    }

    fn forget_silent(&self, now: Now) {
        let options = self.options;
        self.known.borrow_mut().retain(|address, peer| {
            let silent_ms = now.since_ms(peer.heard_ms.unwrap_or(peer.added_ms));
            if silent_ms >= options.silent_ms && !peer.is_lost && peer.heard_ms.is_some() {
                peer.is_lost = true;
                log::warn!("kind=peer-lost peer={address} silent_ms={silent_ms}");
            }
            peer.is_seed || silent_ms < options.forget_ms
        });
    }

    fn due(&self, now: Now) -> Vec<SocketAddr> {
        let interval_ms = *self.interval_ms.borrow();
        let known = self.known.borrow();
        let is_due = |peer: &Peer| {
            let silent_ms = now.since_ms(peer.heard_ms.unwrap_or(0));
            let interval_ms = if silent_ms < self.options.silent_ms {
                interval_ms
            } else {
                interval_ms.max(self.options.silent_ms / 3)
            };
            now.since_ms(peer.sent_ms) >= interval_ms
        };
        known
            .iter()
            .filter(|(_, peer)| is_due(peer))
            .map(|(address, _)| *address)
            .collect()
    }

    fn report(&self, gateway: &Gateway, now: Now) -> GatewayReport {
        let mut control = gateway.control.borrow_mut();
        let named = {
            let known = self.known.borrow();
            let live = known
                .iter()
                .filter(|(_, peer)| peer.heard_ms.is_some() && !peer.is_lost);
            let live: Vec<SocketAddr> = live.map(|(address, _)| *address).collect();
            let mut round = self.round.borrow_mut();
            *round += 1;
            let first = *round * MAX_NAMED_PEERS % live.len().max(1);
            let named = live.iter().cycle().skip(first);
            named
                .take(live.len().min(MAX_NAMED_PEERS))
                .copied()
                .collect()
        };
        GatewayReport {
            sender: self.key,
            sent_ms: now.steady_ms,
            proof: None,
            peers: named,
            loads: control.load.report(),
            prompts: control.cache.report(now),
            shares: control.shares.report(now),
            suspicions: self.suspicions(&mut control.quarantine, now),
        }
    }

    /// What is to be told of requests that may crash endpoints.
    fn suspicions(
        &self,
        quarantine: &mut curranttrestle::coordination::quarantine::Quarantine,
        now: Now,
    ) -> Suspicions {
        // Reports go to all peers, so one stand-in for them is enough here.
        let everybody = member(SocketAddr::from(([0, 0, 0, 0], 0)));
        let view = MemberView {
            me: self.me.clone(),
            live: vec![everybody, self.me.clone()],
        };
        let mut suspicions = Suspicions::default();
        for (_, message) in quarantine.tick(&view, now) {
            if let PeerMessage::Suspicions(told) = message {
                suspicions.suspects.extend(told.suspects);
            }
        }
        suspicions
    }

    fn send(&self, gateway: &Gateway, address: SocketAddr, report: &GatewayReport, now: Now) {
        let bytes = match postcard::to_stdvec(report) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("kind=peer-report-failed error={error:?}");
                return;
            }
        };
        if let Some(peer) = self.known.borrow_mut().get_mut(&address) {
            peer.sent_ms = now.steady_ms;
        }
        self.pace(bytes.len());
        // A full socket buffer drops this report; the next one replaces it.
        if let Err(error) = self.socket.get_ref().send_to(&bytes, address) {
            gateway
                .metrics
                .peer_reports
                .with_label_values(&["unsent"])
                .inc();
            log::debug!("kind=peer-send-failed peer={address} error={error:?}");
        }
    }

    /// Spreads the reports so that they keep within their bytes a second.
    fn pace(&self, report_bytes: usize) {
        let peers = self.known.borrow().len().max(1);
        let round_bytes = u64::try_from(report_bytes * peers).unwrap_or(u64::MAX);
        let interval_ms = round_bytes.saturating_mul(1_000) / self.options.bytes_per_s.max(1);
        *self.interval_ms.borrow_mut() = interval_ms.max(self.options.min_interval_ms);
    }
}

/// A peer as the quarantine knows members: its address is its name.
fn member(address: SocketAddr) -> Member {
    Member {
        instance: InstanceId::new(&address.to_string()),
        incarnation: Incarnation::default(),
        data_centre: "".into(),
        address,
    }
}
