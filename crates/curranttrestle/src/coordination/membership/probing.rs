//! Probes members and suspects those that do not respond.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::protocol::peer::{MemberStatus, PeerMessage, PingRequest};
use crate::state::{InstanceId, Now};

use super::{Membership, MembershipEffect};

/// A probe that is in flight.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub target: InstanceId,
    pub sequence: u64,
    pub sent_ms: u64,
    /// Whether other members were already asked to probe the target.
    pub is_indirect: bool,
}

/// A probe in flight that another member requested.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    pub requester: InstanceId,
    pub requester_sequence: u64,
    pub sequence: u64,
    pub sent_ms: u64,
}

impl Membership {
    /// Drops the probe in flight and restarts all timeouts if this router was paused since the
    /// last tick. Acks may still wait unread in its socket, so a missing ack proves nothing. Also
    /// expires relayed probes.
    pub(super) fn reset_after_pause(&mut self, now: Now) {
        let last_ms = self.last_tick_ms.replace(now.steady_ms);
        let was_paused =
            last_ms.is_some_and(|last_ms| now.since_ms(last_ms) >= self.options.probe_timeout_ms);
        if was_paused {
            self.probe = None;
            for record in self.records.values_mut() {
                record.restart_timeouts(now);
            }
        }
        let lifetime_ms = self.options.suspect_after_ms;
        self.relayed_probes
            .retain(|probe| now.since_ms(probe.sent_ms) < lifetime_ms);
    }

    /// Starts indirect probes or handles the failure of the probe in flight, by its age.
    pub(super) fn check_probe(
        &mut self,
        now: Now,
        rng: &mut impl Rng,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(probe) = self.probe.clone() else {
            return;
        };
        let Some(record) = self.records.get(&probe.target) else {
            self.probe = None;
            return;
        };
        // Any message received since the probe was sent proves that the member runs, as an ack does.
        if record.last_contact_ms > probe.sent_ms {
            self.probe = None;
            return;
        }
        let age_ms = now.since_ms(probe.sent_ms);
        if age_ms >= self.options.suspect_after_ms {
            self.probe = None;
            self.handle_probe_failure(&probe.target, now, effects);
        } else if age_ms >= self.options.probe_timeout_ms && !probe.is_indirect {
            self.probe_indirectly(&probe, rng, effects);
        }
    }

    fn handle_probe_failure(
        &mut self,
        target: &InstanceId,
        now: Now,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(record) = self.records.get_mut(target) else {
            return;
        };
        match record.latest.status {
            MemberStatus::Alive => {
                self.set_status(target, MemberStatus::Suspect, now, effects);
                self.notify_suspect(target, now, effects);
            }
            // A leaving member does not become suspect, because that would make it live again.
            // It is probed again before it is declared dead.
            MemberStatus::Leaving => {
                record.unresponsive_since_ms.get_or_insert(now.steady_ms);
                self.probe_round.push(target.clone());
            }
            MemberStatus::Suspect | MemberStatus::Dead => {}
        }
    }

    /// Pings a suspect with the update that suspects it, so that the member can refute it.
    fn notify_suspect(
        &mut self,
        target: &InstanceId,
        now: Now,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(address) = self.address(target) else {
            return;
        };
        if let Some(record) = self.records.get_mut(target) {
            record.notified_ms = Some(now.steady_ms);
        }
        let sequence = self.allocate_sequence();
        let updates = self.updates_for(target);
        effects.push(self.ping(address, sequence, updates));
    }

    /// Notifies again the suspects that this router has notified, because messages can be lost.
    pub(super) fn renotify_suspects(&mut self, now: Now, effects: &mut Vec<MembershipEffect>) {
        let interval_ms = self.options.probe_interval_ms;
        let due: Vec<InstanceId> = self
            .records
            .iter()
            .filter(|(_, record)| record.latest.status == MemberStatus::Suspect)
            .filter(|(_, record)| {
                let notified_ms = record.notified_ms;
                notified_ms.is_some_and(|notified_ms| now.since_ms(notified_ms) >= interval_ms)
            })
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in due {
            self.notify_suspect(&instance, now, effects);
        }
    }

    /// Asks random live members to probe the target on this router's behalf.
    fn probe_indirectly(
        &mut self,
        probe: &Probe,
        rng: &mut impl Rng,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(target) = self.records.get(&probe.target) else {
            return;
        };
        let target = target.latest.member.clone();
        let mut relay_addresses: Vec<SocketAddr> = self
            .records
            .values()
            .filter(|record| record.latest.status == MemberStatus::Alive)
            .filter(|record| record.latest.member.instance != target.instance)
            .map(|record| self.contact_address(&record.latest.member))
            .collect();
        relay_addresses.shuffle(rng);
        for address in relay_addresses
            .into_iter()
            .take(self.options.indirect_probes)
        {
            effects.push(MembershipEffect::Send {
                address,
                message: PeerMessage::PingRequest(PingRequest {
                    sequence: probe.sequence,
                    target: target.clone(),
                }),
            });
        }
        if let Some(in_flight) = &mut self.probe {
            in_flight.is_indirect = true;
        }
    }

    /// Probes the next member when the interval has passed and no probe is in flight.
    pub(super) fn start_probe(
        &mut self,
        now: Now,
        rng: &mut impl Rng,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let due = self
            .last_probe_ms
            .is_none_or(|last_ms| now.since_ms(last_ms) >= self.options.probe_interval_ms);
        if !due || self.probe.is_some() {
            return;
        }
        self.last_probe_ms = Some(now.steady_ms);
        let Some(target) = self.next_target(rng) else {
            return;
        };
        let Some(address) = self.address(&target) else {
            return;
        };
        let sequence = self.allocate_sequence();
        let updates = self.updates_for(&target);
        effects.push(self.ping(address, sequence, updates));
        self.probe = Some(Probe {
            target,
            sequence,
            sent_ms: now.steady_ms,
            is_indirect: false,
        });
    }

    /// Returns the next member of the shuffled round and starts a new round after the last.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<InstanceId> {
        loop {
            if self.probe_round.is_empty() {
                self.probe_round = self
                    .records
                    .iter()
                    .filter(|(_, record)| !record.is_dead())
                    .map(|(instance, _)| instance.clone())
                    .collect();
                self.probe_round.shuffle(rng);
            }
            let target = self.probe_round.pop()?;
            if self
                .records
                .get(&target)
                .is_some_and(|record| !record.is_dead())
            {
                return Some(target);
            }
        }
    }
}
