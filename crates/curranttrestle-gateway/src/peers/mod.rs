//! Reports and news between gateways: datagrams to peers, several times a second.
//!
//! A lost datagram is replaced by the next one, so nothing is acknowledged or sent again.

use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use curranttrestle::coordination::gateway::control::Control;
use curranttrestle::coordination::gateway::endpoint_load::PeerKey;
use curranttrestle::coordination::gateway::peering::{PeerChange, Peering};
use curranttrestle::coordination::gateway::prompt_cache::PromptUses;
use curranttrestle::coordination::gateway::relaying::{
    DataCentreKey, NewsRound, RelayChange, Relaying, data_centre_key,
};
use curranttrestle::protocol::gateway::{
    GatewayMessage, GatewayReport, LoadNews, ProofEcho, RelayedNews,
};
use curranttrestle::state::Now;
use rand::Rng;
use smol::Async;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock;
use crate::gateway::Gateway;
use crate::settings::GatewaySettings;

/// The longest datagram that is read; UDP has no longer ones.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// News that a relay passes on in one datagram. Those of a gateway with hundreds of running
/// requests take 4 kB.
const MAX_PASSED_ON: usize = 15;

/// The other gateways.
#[derive(Debug)]
pub struct Peers {
    socket: Async<UdpSocket>,
    key: PeerKey,
    run: u32,
    data_centre: DataCentreKey,
    news_interval_ms: u64,
    peering: RefCell<Peering>,
    relaying: RefCell<Relaying>,
}

impl Peers {
    /// Knows the seeds only.
    #[must_use]
    pub fn new(settings: &GatewaySettings, socket: Async<UdpSocket>) -> Self {
        let instance = format!("{}@{}", settings.instance, settings.peers);
        let now = clock::now();
        let peering = Peering::new(settings.peers, &settings.seeds, settings.reports, now);
        let data_centre = &settings.control.data_centre;
        let relaying = Relaying::new(settings.peers, data_centre, settings.relays);
        Self {
            key: xxh3_64(instance.as_bytes()),
            run: rand::rng().random(),
            data_centre: data_centre_key(data_centre),
            news_interval_ms: settings.relays.interval_ms,
            peering: RefCell::new(peering),
            relaying: RefCell::new(relaying),
            socket,
        }
    }

    /// Sends the reports and the news that are due.
    pub fn send_due(&self, gateway: &Gateway, now: Now) {
        let mut peering = self.peering.borrow_mut();
        let changes = peering.sweep(now);
        changes.into_iter().for_each(log_change);
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
            peering.sent(round_bytes);
        }
        let mut relaying = self.relaying.borrow_mut();
        let (round, change) = relaying.round(&peering.live_peers(), peering.interval_ms(), now);
        if let Some(change) = change {
            log_relay(change);
        }
        if let Some(round) = round {
            self.send_news(gateway, round, now);
        }
    }

    /// Receives reports and news for ever.
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
            match postcard::from_bytes::<GatewayMessage>(&buffer[..length]) {
                Ok(message) => self.received(&gateway, from, message, clock::now()),
                Err(error) => {
                    count(&gateway, "unreadable");
                    log::debug!("kind=peer-report-unreadable from={from} error={error:?}");
                }
            }
        }
    }

    fn received(&self, gateway: &Gateway, from: SocketAddr, message: GatewayMessage, now: Now) {
        let mut control = gateway.control.borrow_mut();
        match message {
            GatewayMessage::Report(report) if report.news.sender != self.key => {
                count(gateway, "received");
                let newest = report.proof.map_or(0, |proof| proof.revision);
                if newest > control.freshness.revision() {
                    gateway.newer_config.tell();
                }
                self.report_received(&mut control, from, report, now);
            }
            GatewayMessage::News(news) => {
                count(gateway, "news");
                if self.relaying.borrow_mut().news_received(from, &news, now) {
                    learn(&mut control, &news, 0, now);
                }
            }
            GatewayMessage::PassedOn(mut all) => {
                count(gateway, "passed-on");
                all.retain(|relayed| relayed.news.sender != self.key);
                let new = self.relaying.borrow_mut().passed_on(from, all, now);
                for relayed in new {
                    learn(&mut control, &relayed.news, relayed.held_ms, now);
                }
            }
            // The network delivered it to its own sender.
            GatewayMessage::Report(_) => (),
        }
    }

    fn report_received(
        &self,
        control: &mut Control,
        from: SocketAddr,
        report: GatewayReport,
        now: Now,
    ) {
        let age_ms = control.freshness.age_ms(now);
        let echo = age_ms.map(|age_ms| ProofEcho {
            your_sent_ms: report.news.sent_ms,
            revision: control.freshness.revision(),
            age_ms,
        });
        let mut peering = self.peering.borrow_mut();
        let data_centre = report.data_centre;
        if let Some(change) = peering.heard(from, data_centre, echo, &report.peers, now) {
            log_change(change);
        }
        if let Some(proof) = report.proof
            && proof.revision == control.freshness.revision()
            && proof.your_sent_ms <= now.steady_ms
        {
            let proved_ms = proof.your_sent_ms.saturating_sub(proof.age_ms);
            control.freshness.confirmed(proof.revision, proved_ms);
        }
        let news = &report.news;
        if self.relaying.borrow_mut().is_newer(news) {
            learn(control, news, 0, now);
        }
        if let Some(shares) = report.shares {
            control.shares.report_received(news.sender, shares, now);
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
        let prompts = control.cache.report(peering.interval_ms(), now);
        GatewayReport {
            news: self.own_news(&control, prompts, now),
            data_centre: self.data_centre,
            proof: None,
            peers: if is_full { peering.named() } else { Vec::new() },
            shares: is_full.then(|| control.shares.report(now)),
            suspicions: control.quarantine.broadcast(now),
        }
    }

    fn own_news(&self, control: &Control, prompts: PromptUses, now: Now) -> LoadNews {
        LoadNews {
            sender: self.key,
            run: self.run,
            sent_ms: now.steady_ms,
            loads: control.load.report(),
            prompts,
        }
    }

    /// Sends a round of news.
    fn send_news(&self, gateway: &Gateway, round: NewsRound, now: Now) {
        let own = {
            let control = gateway.control.borrow();
            let prompts = control.cache.latest(self.news_interval_ms, now);
            self.own_news(&control, prompts, now)
        };
        if let Some(relay) = round.relay {
            self.send(gateway, &[relay], &GatewayMessage::News(own));
            return;
        }
        let mut near = round.of_members;
        near.push(RelayedNews {
            news: own,
            held_ms: 0,
        });
        let everybody = [&round.members[..], &round.relays[..]].concat();
        self.pass_on(gateway, &everybody, near);
        self.pass_on(gateway, &round.members, round.of_relays);
    }

    /// Sends news in as many messages as they need.
    fn pass_on(&self, gateway: &Gateway, targets: &[SocketAddr], news: Vec<RelayedNews>) {
        let mut news = news.into_iter();
        while news.len() > 0 {
            let part = news.by_ref().take(MAX_PASSED_ON).collect();
            self.send(gateway, targets, &GatewayMessage::PassedOn(part));
        }
    }

    /// Sends a message to several peers; returns the bytes that all of them got.
    fn send(&self, gateway: &Gateway, targets: &[SocketAddr], message: &GatewayMessage) -> u64 {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("kind=peer-report-failed error={error:?}");
                return 0;
            }
        };
        for target in targets {
            // A full socket buffer drops this message; the next one replaces it.
            if let Err(error) = self.socket.get_ref().send_to(&bytes, target) {
                count(gateway, "unsent");
                log::debug!("kind=peer-send-failed peer={target} error={error:?}");
            }
        }
        (bytes.len() * targets.len()) as u64
    }
}

/// Takes the news of another gateway that were on their way for `held_ms`.
fn learn(control: &mut Control, news: &LoadNews, held_ms: u64, now: Now) {
    let told = Now {
        steady_ms: now.steady_ms.saturating_sub(held_ms),
        ..now
    };
    control.load.report_received(news.sender, &news.loads, told);
    control.cache.report_received(news.sender, &news.prompts);
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

fn log_relay(change: RelayChange) {
    let name =
        |relay: Option<SocketAddr>| relay.map_or("none".to_owned(), |relay| relay.to_string());
    let relay = name(change.relay);
    match change.silent {
        Some(silent) => log::warn!("kind=relay-changed relay={relay} silent={silent}"),
        None => log::info!("kind=relay-changed relay={relay}"),
    }
}
