//! Messages from other routers, membership and distribution of the configuration.

use rand_chacha::ChaCha8Rng;

use crate::coordination::config::ConfigEffect;
use crate::coordination::membership::MembershipEffect;
use crate::coordination::store_call_limiter::CallPriority;
use crate::protocol::peer::{Envelope, MemberStatus, PeerMessage};
use crate::state::event::EventKind;
use crate::state::{Incarnation, InstanceId, Now};

use super::{Effect, Router};

impl Router {
    /// Processes an envelope from another router.
    pub(super) fn receive(&mut self, envelope: Envelope, now: Now) {
        self.clock.observe(envelope.time);
        self.membership.record_contact(&envelope.from, now);
        for message in envelope.messages {
            self.receive_message(&envelope.from, envelope.incarnation, message, now);
        }
    }

    /// Processes one message from another router or from this one.
    pub(super) fn receive_message(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        message: PeerMessage,
        now: Now,
    ) {
        match message {
            PeerMessage::Ping(ping) => {
                let effects = self.membership.receive_ping(from, &ping, now);
                self.run_membership_effects(effects, now);
            }
            PeerMessage::Ack(ack) => {
                let effects = self.membership.receive_ack(&ack, now);
                self.run_membership_effects(effects, now);
            }
            PeerMessage::PingRequest(request) => {
                let effects = self.membership.receive_ping_request(from, &request, now);
                self.run_membership_effects(effects, now);
            }
            PeerMessage::Bid(bid) => {
                let messages = self.slot_owner.receive_bid(from, &bid, now);
                self.send_all(messages, now);
            }
            PeerMessage::Void(void) => self.slot_holder.receive_void(from, &void, now),
            PeerMessage::Return(slots) => self.slot_owner.receive_return(from, &slots, now),
            PeerMessage::Renewal(renewal) => {
                let messages = self.slot_owner.receive_renewal(from, &renewal, now);
                self.send_all(messages, now);
            }
            PeerMessage::Renewed(renewed) => self.slot_holder.receive_renewed(from, &renewed, now),
            PeerMessage::Lend(lend) => self.receive_lent_slot(from, &lend, now),
            PeerMessage::Recall(recall) => self.slot_holder.receive_recall(from, &recall, now),
            PeerMessage::Slowness(report) => self.slot_owner.receive_slowness(from, &report, now),
            PeerMessage::Suspicions(suspicions) => self.quarantine.receive(&suspicions, now),
            PeerMessage::ServiceReport(report) => {
                self.fair_share
                    .receive_report(from, incarnation, &report, now);
            }
            PeerMessage::ServiceTotals(totals) => {
                let messages = self.fair_share.receive_totals(from, &totals, now);
                self.send_all(messages, now);
            }
            PeerMessage::ClaimRequest(request) => {
                let effects = self.claims.receive_request(from, request, now);
                self.run_claim_effects(effects, now);
            }
            PeerMessage::ClaimAnswer(response) => {
                let effects = self.claims.receive_response(from, &response, now);
                self.run_claim_effects(effects, now);
            }
            PeerMessage::ConfigNumbers(numbers) => {
                let effects = self.config.receive_numbers(from, numbers, now);
                self.run_config_effects(effects, now);
            }
            PeerMessage::ConfigRequest(request) => {
                let effects = self.config.receive_request(from, &request);
                self.run_config_effects(effects, now);
            }
            PeerMessage::ConfigUpdate(update) => {
                let effects = self.config.receive_update(from, *update, now);
                self.run_config_effects(effects, now);
            }
            PeerMessage::EndpointNotices(notices) => {
                let effects = self.drain.receive_notices(from, &notices, now);
                self.run_drain_effects(effects, now);
            }
        }
    }

    /// Probes members. Every ping and ack is accompanied by the configuration numbers.
    pub(super) fn tick_membership(&mut self, now: Now, rng: &mut ChaCha8Rng) {
        let effects = self.membership.tick(now, rng);
        self.run_membership_effects(effects, now);
    }

    fn run_membership_effects(&mut self, effects: Vec<MembershipEffect>, now: Now) {
        for effect in effects {
            match effect {
                MembershipEffect::Send { address, message } => {
                    let time = self.clock.tick(now);
                    let with_numbers =
                        matches!(message, PeerMessage::Ping(_) | PeerMessage::Ack(_));
                    self.effects.push(Effect::Send {
                        address,
                        time,
                        message,
                    });
                    if with_numbers {
                        self.effects.push(Effect::Send {
                            address,
                            time,
                            message: PeerMessage::ConfigNumbers(self.config.numbers()),
                        });
                    }
                }
                MembershipEffect::MemberChanged(update) => {
                    let member = &update.member.instance;
                    self.emit(
                        now,
                        EventKind::Membership,
                        None,
                        &[
                            ("member", member),
                            ("status", &format!("{:?}", update.status).to_lowercase()),
                        ],
                    );
                    let incarnation = update.member.incarnation;
                    let known_incarnation = self.incarnations.insert(member.clone(), incarnation);
                    if known_incarnation.is_some_and(|known| known < incarnation) {
                        self.slot_owner.holder_restarted(member, now);
                    }
                    if update.status == MemberStatus::Dead {
                        self.slot_owner.forget_holder(member, now);
                        self.slot_holder.forget_owner(member);
                    }
                    self.endpoints.invalidate_owners();
                }
            }
        }
    }

    /// Watches the store for configuration changes and fetches missing configuration from peers.
    pub(super) fn tick_config(&mut self, now: Now) {
        let effects = self.config.tick(self.membership.view(), now);
        self.run_config_effects(effects, now);
    }

    /// Executes the effects of the configuration manager.
    pub(super) fn run_config_effects(&mut self, effects: Vec<ConfigEffect>, now: Now) {
        for effect in effects {
            match effect {
                ConfigEffect::Store { key, call } => {
                    let id = self.config_call_ids.next_id();
                    self.config_calls.insert(id, key);
                    self.submit_call(id, call, CallPriority::Config, now);
                }
                ConfigEffect::Send { to, message } => self.send(&to, message, now),
                ConfigEffect::SheetInForce { number } => self.apply_sheet(number, now),
                ConfigEffect::MarksInForce { version, .. } => self.apply_marks(version, now),
                ConfigEffect::Unreadable { object, reason } => {
                    let name = object.name();
                    let details: [(&str, &dyn std::fmt::Display); 2] =
                        [("unreadable", &name), ("reason", &reason)];
                    self.emit(now, EventKind::Store, None, &details);
                }
                ConfigEffect::Fault(fault) => {
                    self.invariants.check(false, "config-is-consistent", fault);
                }
            }
        }
    }
}
