//! Answers messages and chooses what news goes with each.

use std::net::SocketAddr;

use crate::protocol::peer::{
    Ack, MemberDigests, MemberNews, MemberStatus, PeerMessage, Ping, PingRequest,
};
use crate::state::{InstanceId, Now};

use super::digests::group;
use super::probing::RelayedProbe;
use super::record::Record;
use super::{Membership, MembershipEffect, news};

impl Membership {
    /// Answers a probe.
    pub fn receive_ping(
        &mut self,
        from: &InstanceId,
        ping: &Ping,
        now: Now,
    ) -> Vec<MembershipEffect> {
        let mut effects = self.receive_news(&ping.news, now);
        let Some(address) = self.address(from) else {
            return effects;
        };
        let mut news = self.news_for(from);
        if ping.join {
            news.extend(self.members().cloned());
        } else if ping.digests != self.digests {
            news.extend(self.differing_records(&ping.digests));
        }
        let subject = self.me.instance.clone();
        effects.push(ack(address, ping.sequence, subject, news));
        effects
    }

    /// Takes note of the answer to a probe.
    pub fn receive_ack(&mut self, answer: &Ack, now: Now) -> Vec<MembershipEffect> {
        let mut effects = self.receive_news(&answer.news, now);
        if let Some(probe) = &self.probe
            && probe.sequence == answer.sequence
            && probe.target == answer.subject
        {
            self.probe = None;
            self.heard_from(&answer.subject, now);
        }
        let Some(index) = self
            .relayed
            .iter()
            .position(|probe| probe.sequence == answer.sequence)
        else {
            return effects;
        };
        let relayed = self.relayed.swap_remove(index);
        let Some(address) = self.address(&relayed.requester) else {
            return effects;
        };
        let mut news = self.news_for(&relayed.requester);
        // The subject may have refuted what the requester is about to believe.
        news.extend(self.news_of(&answer.subject));
        let subject = answer.subject.clone();
        effects.push(ack(address, relayed.requester_sequence, subject, news));
        effects
    }

    /// Probes a third member in the sender's place.
    pub fn receive_ping_request(
        &mut self,
        from: &InstanceId,
        request: &PingRequest,
        now: Now,
    ) -> Vec<MembershipEffect> {
        if !self.records.contains_key(from) {
            return Vec::new();
        }
        let sequence = self.take_sequence();
        self.relayed.push(RelayedProbe {
            requester: from.clone(),
            requester_sequence: request.sequence,
            sequence,
            sent_ms: now.steady_ms,
        });
        let address = self.reach(&request.target);
        let news = self.news_for(&request.target.instance);
        vec![self.ping(address, sequence, news)]
    }

    /// The next unused number of a probe.
    pub(super) fn take_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    /// A probe of the router at an address.
    pub(super) fn ping(
        &self,
        address: SocketAddr,
        sequence: u64,
        news: Vec<MemberNews>,
    ) -> MembershipEffect {
        MembershipEffect::Send {
            address,
            message: PeerMessage::Ping(Ping {
                sequence,
                join: false,
                digests: self.digests,
                news,
            }),
        }
    }

    /// The news for a message to a member: of this router, what is held against the receiver,
    /// so that it can refute it, and what was sent least.
    pub(super) fn news_for(&mut self, receiver: &InstanceId) -> Vec<MemberNews> {
        let mut news = vec![self.own_news()];
        let held = self.news_of(receiver);
        news.extend(held.filter(|held| is_held_against(held.status)));
        news.extend(self.fresh_news());
        news
    }

    /// The news that was sent least, counted as sent once more.
    pub(super) fn fresh_news(&mut self) -> Vec<MemberNews> {
        let budget = news::transmissions(self.records.len());
        let chosen = self.news.take(self.options.news_per_message, budget);
        let known = chosen.iter().filter_map(|instance| self.news_of(instance));
        known.collect()
    }

    fn news_of(&self, instance: &InstanceId) -> Option<MemberNews> {
        self.records.get(instance).map(|record| record.news.clone())
    }

    /// The next records of the groups that another router sees differently.
    fn differing_records(&mut self, theirs: &MemberDigests) -> Vec<MemberNews> {
        let ours = self.digests;
        let differs = |record: &&Record| {
            let group = group(&record.news.member.instance);
            ours.0[group] != theirs.0[group]
        };
        let records: Vec<&Record> = self.records.values().filter(differs).collect();
        let count = self.options.records_per_answer.min(records.len());
        let start = self.next_record % records.len().max(1);
        self.next_record = start + count;
        let chosen = records.iter().cycle().skip(start).take(count);
        chosen.map(|record| record.news.clone()).collect()
    }
}

/// Whether a member should refute this status when it is told.
fn is_held_against(status: MemberStatus) -> bool {
    match status {
        MemberStatus::Suspect | MemberStatus::Dead => true,
        MemberStatus::Alive | MemberStatus::Leaving => false,
    }
}

fn ack(
    address: SocketAddr,
    sequence: u64,
    subject: InstanceId,
    news: Vec<MemberNews>,
) -> MembershipEffect {
    MembershipEffect::Send {
        address,
        message: PeerMessage::Ack(Ack {
            sequence,
            subject,
            news,
        }),
    }
}
