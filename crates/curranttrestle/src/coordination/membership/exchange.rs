//! Handles received messages and selects the member updates that each sent message carries.

use std::net::SocketAddr;

use crate::protocol::peer::{
    Ack, MemberDigests, MemberStatus, MemberUpdate, PeerMessage, Ping, PingRequest,
};
use crate::state::{InstanceId, Now};

use super::digests::digest_group;
use super::probing::RelayedProbe;
use super::record::Record;
use super::{Membership, MembershipEffect, update_queue};

impl Membership {
    /// Acknowledges a probe. The ack to a joining router carries all records; the ack to one
    /// whose digests differ carries some of the records in the groups that differ.
    pub fn receive_ping(
        &mut self,
        from: &InstanceId,
        ping: &Ping,
        now: Now,
    ) -> Vec<MembershipEffect> {
        let mut effects = self.apply_updates(&ping.updates, now);
        let Some(address) = self.address(from) else {
            return effects;
        };
        let mut updates = self.updates_for(from);
        if ping.join {
            updates.extend(self.members().cloned());
        } else if ping.digests != self.digests {
            updates.extend(self.differing_records(&ping.digests));
        }
        let subject = self.me.instance.clone();
        effects.push(ack(address, ping.sequence, subject, updates));
        effects
    }

    /// Handles the ack of a probe. The ack of a relayed probe is passed on to the requester.
    pub fn receive_ack(&mut self, received: &Ack, now: Now) -> Vec<MembershipEffect> {
        let mut effects = self.apply_updates(&received.updates, now);
        if let Some(probe) = &self.probe
            && probe.sequence == received.sequence
            && probe.target == received.subject
        {
            self.probe = None;
            self.record_contact(&received.subject, now);
        }
        let Some(index) = self
            .relayed_probes
            .iter()
            .position(|probe| probe.sequence == received.sequence)
        else {
            return effects;
        };
        let relayed = self.relayed_probes.swap_remove(index);
        let Some(address) = self.address(&relayed.requester) else {
            return effects;
        };
        let mut updates = self.updates_for(&relayed.requester);
        // The subject may have refuted the suspicion that the requester is about to raise.
        updates.extend(self.latest_update(&received.subject));
        let subject = received.subject.clone();
        effects.push(ack(address, relayed.requester_sequence, subject, updates));
        effects
    }

    /// Probes a third member on behalf of the sender.
    pub fn receive_ping_request(
        &mut self,
        from: &InstanceId,
        request: &PingRequest,
        now: Now,
    ) -> Vec<MembershipEffect> {
        if !self.records.contains_key(from) {
            return Vec::new();
        }
        let sequence = self.allocate_sequence();
        self.relayed_probes.push(RelayedProbe {
            requester: from.clone(),
            requester_sequence: request.sequence,
            sequence,
            sent_ms: now.steady_ms,
        });
        let address = self.contact_address(&request.target);
        let updates = self.updates_for(&request.target.instance);
        vec![self.ping(address, sequence, updates)]
    }

    /// Allocates the sequence number of a new probe.
    pub(super) fn allocate_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    /// Returns the effect that sends a probe to an address.
    pub(super) fn ping(
        &self,
        address: SocketAddr,
        sequence: u64,
        updates: Vec<MemberUpdate>,
    ) -> MembershipEffect {
        MembershipEffect::Send {
            address,
            message: PeerMessage::Ping(Ping {
                sequence,
                join: false,
                digests: self.digests,
                updates,
            }),
        }
    }

    /// Returns the updates for a message to a member: this router's own first, then a suspicion
    /// or death of the receiver, so that it can refute it, then the updates sent least often.
    pub(super) fn updates_for(&mut self, receiver: &InstanceId) -> Vec<MemberUpdate> {
        let mut updates = vec![self.own_update()];
        let of_receiver = self.latest_update(receiver);
        updates.extend(of_receiver.filter(|update| is_refutable(update.status)));
        updates.extend(self.pending_updates());
        updates
    }

    /// Returns the updates that were sent least often and counts them as sent once more.
    pub(super) fn pending_updates(&mut self) -> Vec<MemberUpdate> {
        let limit = update_queue::transmission_limit(self.records.len());
        let chosen = self
            .update_queue
            .take_least_sent(self.options.max_updates_per_message, limit);
        let updates = chosen
            .iter()
            .filter_map(|instance| self.latest_update(instance));
        updates.collect()
    }

    fn latest_update(&self, instance: &InstanceId) -> Option<MemberUpdate> {
        self.records
            .get(instance)
            .map(|record| record.latest.clone())
    }

    /// Returns the next records of the groups whose digests differ from another router's. One ack
    /// carries only some of them; the next call continues where this one stopped.
    fn differing_records(&mut self, theirs: &MemberDigests) -> Vec<MemberUpdate> {
        let ours = self.digests;
        let differs = |record: &&Record| {
            let group = digest_group(&record.latest.member.instance);
            ours.0[group] != theirs.0[group]
        };
        let records: Vec<&Record> = self.records.values().filter(differs).collect();
        let count = self.options.max_records_per_ack.min(records.len());
        let start = self.next_record_index % records.len().max(1);
        self.next_record_index = start + count;
        let chosen = records.iter().cycle().skip(start).take(count);
        chosen.map(|record| record.latest.clone()).collect()
    }
}

/// Whether a running member refutes this status.
fn is_refutable(status: MemberStatus) -> bool {
    match status {
        MemberStatus::Suspect | MemberStatus::Dead => true,
        MemberStatus::Alive | MemberStatus::Leaving => false,
    }
}

fn ack(
    address: SocketAddr,
    sequence: u64,
    subject: InstanceId,
    updates: Vec<MemberUpdate>,
) -> MembershipEffect {
    MembershipEffect::Send {
        address,
        message: PeerMessage::Ack(Ack {
            sequence,
            subject,
            updates,
        }),
    }
}
