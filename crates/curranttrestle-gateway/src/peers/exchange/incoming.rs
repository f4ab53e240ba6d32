//! Applies the messages of other gateways.

use std::net::SocketAddr;

use curranttrestle::coordination::gateway::control::Control;
use curranttrestle::coordination::gateway::load_relay::DataCentreKey;
use curranttrestle::coordination::gateway::load_sums::SumChange;
use curranttrestle::coordination::gateway::prompt_cache::PromptUse;
use curranttrestle::coordination::gateway::stream_versions::StreamQuery;
use curranttrestle::protocol::gateway::{
    DataCentreUpdate, EvacuationUpdate, GatewayGreeting, GatewayMessage, GatewayReport,
    GatewaySummary, LoadUpdate, MessageEcho, ProofEcho, RelayedProof, ShareUpdate,
};
use curranttrestle::protocol::peer::Suspicions;
use curranttrestle::state::Now;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::outgoing::encode;
use super::{PeerExchange, Received};

/// The common part of a report and a summary.
#[derive(Clone, Copy, Debug)]
struct ReceivedSummary<'a> {
    sent_ms: u64,
    data_centre: DataCentreKey,
    proof: Option<ProofEcho>,
    peers: &'a [SocketAddr],
    suspicions: &'a Suspicions,
}

impl PeerExchange {
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
        let received = self.apply_message(control, from, bytes, now)?;
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
            GatewayMessage::Report(report) => Ok(self.receive_report(control, from, report, now)),
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
                Ok(self.apply_summary(control, from, &summary, now))
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
                Ok(Received::PromptParts)
            }
            GatewayMessage::Leaving(runs) => {
                let is_forwarded = self.uses_sums() && self.load_relay.is_relay();
                let changes = control.directory.receive_leaving(&runs, is_forwarded);
                Ok(Received::Leaving(changes))
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
                Ok(Received::MemberUpdate)
            }
            GatewayMessage::PassedOn(mut updates) => {
                updates.retain(|relayed| relayed.update.sender != self.key);
                for relayed in self.load_relay.receive_relayed(from, updates, now) {
                    apply_update(control, &relayed.update, relayed.held_ms, now);
                }
                Ok(Received::RelayedUpdates)
            }
            GatewayMessage::DataCentre(update) => Ok(self.receive_sum(control, from, update, now)),
            GatewayMessage::Shares(updates) => {
                for update in updates {
                    if update.sender != self.key {
                        let ShareUpdate { sender, lines } = update;
                        control.shares.apply_report(sender, lines, now);
                    }
                }
                Ok(Received::Shares)
            }
            GatewayMessage::RelayedProof(proof) => {
                let has_newer_config = self.apply_relayed_proof(control, &proof, now);
                Ok(Received::Proof { has_newer_config })
            }
            GatewayMessage::Greeting(greeting) => {
                Ok(self.receive_greeting(control, from, &greeting, now))
            }
            GatewayMessage::Suspicions(suspicions) => {
                control.quarantine.suspects.receive(&suspicions, now);
                Ok(Received::Suspicions)
            }
            GatewayMessage::Evacuations(update) => {
                Ok(self.receive_evacuations(control, update, now))
            }
            GatewayMessage::StreamOrigins(origins) => {
                control.streams.receive(&origins, now);
                Ok(Received::StreamOrigins)
            }
            GatewayMessage::StreamQuery(query) => Ok(reply_to(control, from, query, now)),
            GatewayMessage::StreamReply(reply) => {
                control.streams.receive_reply(from, reply, now);
                Ok(Received::StreamReply)
            }
        }
    }

    fn receive_greeting(
        &mut self,
        control: &mut Control,
        from: SocketAddr,
        greeting: &GatewayGreeting,
        now: Now,
    ) -> Received {
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

    fn receive_evacuations(
        &mut self,
        control: &mut Control,
        update: EvacuationUpdate,
        now: Now,
    ) -> Received {
        let received_ms = self.evacuations.received_ms(now);
        Received::Evacuations(control.evacuations.receive(update, received_ms))
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
}

/// Replies to a peer's question about a stream.
fn reply_to(control: &Control, from: SocketAddr, query: StreamQuery, now: Now) -> Received {
    let reply = GatewayMessage::StreamReply(control.streams.reply(query, now));
    Received::StreamQuery(encode(vec![from], &reply))
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
