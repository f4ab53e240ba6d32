//! Builds the reports, load updates and announcements that are due.

use std::net::SocketAddr;

use curranttrestle::coordination::gateway::control::Control;
use curranttrestle::coordination::gateway::load_relay::{LivePeer, RelayRound};
use curranttrestle::coordination::gateway::peering::RoundKind;
use curranttrestle::coordination::gateway::prompt_cache::PromptUseBatch;
use curranttrestle::coordination::gateway::stream_versions::{StreamOrigin, StreamQuery};
use curranttrestle::protocol::gateway::{
    DataCentreUpdate, GatewayGreeting, GatewayMessage, GatewayReport, GatewaySummary, LoadUpdate,
    ProofEcho, RelayedProof, RelayedUpdate, ShareUpdate,
};
use curranttrestle::protocol::peer::Suspicions;
use curranttrestle::state::Now;

use indexmap::IndexMap;

use super::{Datagram, Outgoing, PeerExchange};

/// A message with several items is split if it is longer; half of the largest datagram.
const MAX_MESSAGE_BYTES: usize = 32_768;

/// Number of rounds of load updates in which a prompt use is sent, because a message may be lost.
const ROUNDS_PER_PROMPT_USE: u64 = 3;

/// Interval between two messages with shares to or from a relay.
const SHARE_INTERVAL_MS: u64 = 500;

/// Interval between two proofs from a relay.
const PROOF_INTERVAL_MS: u64 = 200;

impl PeerExchange {
    /// Passes the gateways that this one heard of to the limit on cold endpoints.
    pub(super) fn record_gateways(&mut self, control: &mut Control, now: Now) {
        control
            .cold
            .set_own_address(self.peering.own_address(), now);
        for address in self.peering.take_added() {
            control.cold.record_gateway(address, now);
        }
        let live_peers = self.peering.live_count() - 1;
        control.cold.observe_live_peers(live_peers, now);
    }

    /// Returns the reports and load updates that are due.
    pub fn send_due(&mut self, control: &mut Control, now: Now) -> Outgoing {
        self.record_gateways(control, now);
        self.evacuations.record_tick(now);
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
        let peer_changes = self.peering.expire_peers(is_relayed, now);
        let mut outgoing = Outgoing {
            peer_changes,
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
        if let Some(update) = control.evacuations.next_announcement(now) {
            let message = GatewayMessage::Evacuations(update);
            outgoing.datagrams.extend(encode(targets(), &message));
        }
        outgoing
            .datagrams
            .extend(self.stream_origins(control, &live_peers, now));
        let leaving = control.directory.leaving_to_announce();
        if !leaving.is_empty() {
            let message = GatewayMessage::Leaving(leaving);
            // Relays forward it, so many gateways receive it at the same moment.
            let targets = if is_connected {
                self.load_relay.neighbours()
            } else {
                targets()
            };
            outgoing.datagrams.extend(encode(targets, &message));
        }
        if uses_sums {
            outgoing
                .datagrams
                .extend(self.suspicion_gossip(control, &live_peers, now));
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

    /// Encodes the suspicions for a fleet in which not all peers receive reports.
    fn suspicion_gossip(
        &mut self,
        control: &mut Control,
        live_peers: &[LivePeer],
        now: Now,
    ) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        if let Some(changes) = control.quarantine.suspects.take_changes() {
            let message = GatewayMessage::Suspicions(changes);
            let targets = live_peers.iter().map(|peer| peer.address).collect();
            datagrams.extend(encode(targets, &message));
        }
        if let Some(gossip) = control.quarantine.suspects.next_gossip(now)
            && !live_peers.is_empty()
        {
            self.gossip_round = self.gossip_round.wrapping_add(1);
            let receiver = live_peers[self.gossip_round % live_peers.len()].address;
            let message = GatewayMessage::Suspicions(gossip);
            datagrams.extend(encode(vec![receiver], &message));
        }
        datagrams
    }

    /// Encodes what peers are told about streams that began here.
    fn stream_origins(&self, control: &mut Control, peers: &[LivePeer], now: Now) -> Vec<Datagram> {
        let streams = &mut control.streams;
        let mut by_peer: IndexMap<SocketAddr, Vec<StreamOrigin>> = IndexMap::new();
        for origin in streams.take_announcements(now) {
            for peer in streams.announcement_targets(origin.stream, self.data_centre, peers) {
                by_peer.entry(peer).or_default().push(origin);
            }
        }
        let datagrams = by_peer.into_iter().flat_map(|(peer, origins)| {
            split_datagrams(&[peer], origins, GatewayMessage::StreamOrigins)
        });
        datagrams.collect()
    }

    /// Asks peers at which version a stream began.
    pub fn ask_about_stream(&self, control: &mut Control, query: StreamQuery) -> Option<Datagram> {
        let peers = self.peering.live_peers();
        let streams = &mut control.streams;
        let asked = streams.query_targets(query.stream, self.data_centre, &peers);
        streams.record_query(query.stream, &asked);
        if asked.is_empty() {
            return None;
        }
        encode(asked, &GatewayMessage::StreamQuery(query))
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

pub(super) fn encode(targets: Vec<SocketAddr>, message: &GatewayMessage) -> Option<Datagram> {
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
