//! Reports and load updates between gateways, sent as datagrams several times per second.
//!
//! A lost datagram is superseded by the next one, so there are no acknowledgements and no
//! retransmissions.

pub mod evacuations;
pub mod exchange;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use curranttrestle::coordination::gateway::load_relay::RelayChange;
use curranttrestle::coordination::gateway::peering::PeerChange;
use curranttrestle::coordination::gateway::stream_versions::StreamQuery;
use curranttrestle::state::Now;
use rand::Rng;
use tokio::net::UdpSocket;

use crate::clock;
use crate::gateway::Gateway;
use crate::settings::GatewaySettings;

pub use exchange::{Datagram, PeerExchange, ProofRole, Received, ReportState};

/// Receive buffer; the maximum size of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Exchanges reports and load updates with the other gateways.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    exchange: RefCell<PeerExchange>,
}

impl Peers {
    /// Starts with the seeds as the only peers.
    #[must_use]
    pub fn new(settings: &GatewaySettings, socket: UdpSocket) -> Self {
        let exchange = PeerExchange::new(settings, rand::rng().random(), clock::now());
        Self {
            socket,
            exchange: RefCell::new(exchange),
        }
    }

    /// Sends the reports and load updates that are due.
    pub fn send_due(&self, gateway: &Gateway, now: Now) {
        let outgoing = self
            .exchange
            .borrow_mut()
            .send_due(&mut gateway.control.borrow_mut(), now);
        gateway
            .proof_role
            .set(self.exchange.borrow().proof_role(now));
        gateway
            .reads_evacuations
            .set(self.exchange.borrow().reads_evacuations());
        outgoing.peer_changes.into_iter().for_each(log_peer_change);
        if let Some(change) = outgoing.relay_change {
            log_relay_change(change);
        }
        for datagram in &outgoing.datagrams {
            self.send(gateway, datagram);
        }
    }

    /// Asks peers at which software version a stream began.
    pub fn ask_about_stream(&self, gateway: &Gateway, query: StreamQuery) {
        let mut control = gateway.control.borrow_mut();
        let datagram = self.exchange.borrow().ask_about_stream(&mut control, query);
        drop(control);
        if let Some(datagram) = datagram {
            self.send(gateway, &datagram);
        }
    }

    fn send(&self, gateway: &Gateway, datagram: &Datagram) {
        let bytes = datagram.bytes.len() * datagram.targets.len();
        count_bytes(gateway, "sent", datagram.kind, bytes);
        for target in &datagram.targets {
            // A full socket buffer drops this message; the next one supersedes it.
            if let Err(error) = self.socket.try_send_to(&datagram.bytes, *target) {
                count_message(gateway, "unsent");
                log::debug!("kind=peer-send-failed peer={target} error={error:?}");
            }
        }
    }

    /// Whether this gateway keeps the list of gateways in the store.
    #[must_use]
    pub fn keeps_list(&self) -> bool {
        self.exchange.borrow().peering().is_first()
    }

    /// Whether another gateway is live.
    #[must_use]
    pub fn has_live(&self) -> bool {
        self.exchange.borrow().peering().live_count() > 1
    }

    /// Adds the gateways that the store lists.
    pub fn add_listed(&self, listed: &[SocketAddr], now: Now) {
        self.exchange.borrow_mut().add_listed(listed, now);
    }

    /// The gateways that the store should list instead of `listed`; `None` if it should not change.
    #[must_use]
    pub fn addresses_to_list(&self, listed: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
        self.exchange.borrow().peering().addresses_to_list(listed)
    }

    /// The rate and size of the reports to all peers.
    #[must_use]
    pub fn report_state(&self) -> ReportState {
        self.exchange.borrow().report_state()
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
            self.handle_datagram(&gateway, from, &buffer[..length], clock::now());
        }
    }

    fn handle_datagram(&self, gateway: &Gateway, from: SocketAddr, bytes: &[u8], now: Now) {
        gateway.strain.borrow_mut().work.peer_messages += 1;
        let mut control = gateway.control.borrow_mut();
        let received = self
            .exchange
            .borrow_mut()
            .receive(&mut control, from, bytes, now);
        drop(control);
        let kind = received.as_ref().map_or("unreadable", Received::kind);
        count_message(gateway, kind);
        count_bytes(gateway, "received", kind, bytes.len());
        match received {
            Ok(Received::Report {
                has_newer_config,
                peer_change,
            }) => {
                if has_newer_config {
                    gateway.newer_config.notify();
                }
                if let Some(change) = peer_change {
                    log_peer_change(change);
                }
            }
            Ok(Received::Proof { has_newer_config }) => {
                if has_newer_config {
                    gateway.newer_config.notify();
                }
            }
            Ok(Received::Evacuations(changes)) => {
                gateway.apply_evacuation_changes(&changes, "peer", now);
            }
            Ok(Received::StreamQuery(reply)) => {
                if let Some(reply) = reply {
                    self.send(gateway, &reply);
                }
            }
            Ok(Received::Leaving(changes)) => gateway.apply_directory_changes(&changes, "peer"),
            Ok(
                Received::MemberUpdate
                | Received::RelayedUpdates
                | Received::Sum
                | Received::DroppedSum
                | Received::Shares
                | Received::Suspicions
                | Received::PromptParts
                | Received::StreamOrigins
                | Received::StreamReply
                | Received::OwnReport,
            ) => (),
            Err(error) => log::debug!("kind=peer-report-unreadable from={from} error={error:?}"),
        }
    }
}

fn count_bytes(gateway: &Gateway, direction: &str, kind: &str, bytes: usize) {
    gateway
        .metrics
        .peer_bytes
        .with_label_values(&[direction, kind])
        .inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
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
