//! Probes members and suspects those that do not answer.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::protocol::peer::{MemberStatus, PeerMessage, PingRequest};
use crate::state::{InstanceId, Now};

use super::{Membership, MembershipEffect};

/// An open probe.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub target: InstanceId,
    pub sequence: u64,
    pub sent_ms: u64,
    /// Whether other members were asked to probe, too.
    pub indirect: bool,
}

/// A probe made in another member's place.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    pub requester: InstanceId,
    pub requester_sequence: u64,
    pub sequence: u64,
    pub sent_ms: u64,
}

impl Membership {
    /// Forgets what was under way when this router did not run for a while: the answers may
    /// lie unread, so that silence proves nothing.
    pub(super) fn resume_after_pause(&mut self, now: Now) {
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
        self.relayed
            .retain(|probe| now.since_ms(probe.sent_ms) < lifetime_ms);
    }

    /// Repeats an open probe through others, or acts on its failure.
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
        // Any message since the probe proves as much as its answer.
        if record.heard_ms > probe.sent_ms {
            self.probe = None;
            return;
        }
        let age_ms = now.since_ms(probe.sent_ms);
        if age_ms >= self.options.suspect_after_ms {
            self.probe = None;
            self.probe_failed(&probe.target, now, effects);
        } else if age_ms >= self.options.probe_timeout_ms && !probe.indirect {
            self.probe_indirectly(&probe, rng, effects);
        }
    }

    fn probe_failed(&mut self, target: &InstanceId, now: Now, effects: &mut Vec<MembershipEffect>) {
        let Some(record) = self.records.get_mut(target) else {
            return;
        };
        match record.news.status {
            MemberStatus::Alive => {
                self.set_status(target, MemberStatus::Suspect, now, effects);
                self.warn(target, now, effects);
            }
            // A leaving member can't become suspect, which would make it live. It is probed
            // again before it counts as dead.
            MemberStatus::Leaving => {
                record.silent_since_ms.get_or_insert(now.steady_ms);
                self.round.push(target.clone());
            }
            MemberStatus::Suspect | MemberStatus::Dead => {}
        }
    }

    /// Tells a suspect what is held against it.
    fn warn(&mut self, target: &InstanceId, now: Now, effects: &mut Vec<MembershipEffect>) {
        let Some(address) = self.address(target) else {
            return;
        };
        if let Some(record) = self.records.get_mut(target) {
            record.warned_ms = Some(now.steady_ms);
        }
        let sequence = self.take_sequence();
        let news = self.news_for(target);
        effects.push(self.ping(address, sequence, news));
    }

    /// Tells the members that this router made suspect again, because messages get lost.
    pub(super) fn warn_suspects(&mut self, now: Now, effects: &mut Vec<MembershipEffect>) {
        let interval_ms = self.options.probe_interval_ms;
        let due: Vec<InstanceId> = self
            .records
            .iter()
            .filter(|(_, record)| record.news.status == MemberStatus::Suspect)
            .filter(|(_, record)| {
                let warned_ms = record.warned_ms;
                warned_ms.is_some_and(|warned_ms| now.since_ms(warned_ms) >= interval_ms)
            })
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in due {
            self.warn(&instance, now, effects);
        }
    }

    fn probe_indirectly(
        &mut self,
        probe: &Probe,
        rng: &mut impl Rng,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(target) = self.records.get(&probe.target) else {
            return;
        };
        let target = target.news.member.clone();
        let mut helpers: Vec<SocketAddr> = self
            .records
            .values()
            .filter(|record| record.news.status == MemberStatus::Alive)
            .filter(|record| record.news.member.instance != target.instance)
            .map(|record| self.reach(&record.news.member))
            .collect();
        helpers.shuffle(rng);
        for address in helpers.into_iter().take(self.options.indirect_probes) {
            effects.push(MembershipEffect::Send {
                address,
                message: PeerMessage::PingRequest(PingRequest {
                    sequence: probe.sequence,
                    target: target.clone(),
                }),
            });
        }
        if let Some(open) = &mut self.probe {
            open.indirect = true;
        }
    }

    /// Probes the next member when it is time.
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
        let sequence = self.take_sequence();
        let news = self.news_for(&target);
        effects.push(self.ping(address, sequence, news));
        self.probe = Some(Probe {
            target,
            sequence,
            sent_ms: now.steady_ms,
            indirect: false,
        });
    }

    /// The next member of the shuffled round.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<InstanceId> {
        loop {
            if self.round.is_empty() {
                self.round = self
                    .records
                    .iter()
                    .filter(|(_, record)| !record.is_dead())
                    .map(|(instance, _)| instance.clone())
                    .collect();
                self.round.shuffle(rng);
            }
            let target = self.round.pop()?;
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
