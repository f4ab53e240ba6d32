//! Merges received updates into the records and expires records.

use crate::protocol::peer::{MemberStatus, MemberUpdate};
use crate::state::{InstanceId, Member, MemberView, Now};

use super::digests::compute_digests;
use super::record::{Record, supersedes};
use super::{Membership, MembershipEffect};

impl Membership {
    /// Returns the update that announces this router's own state.
    pub(super) fn own_update(&self) -> MemberUpdate {
        MemberUpdate {
            member: self.me.clone(),
            revision: self.revision,
            status: if self.leaving {
                MemberStatus::Leaving
            } else {
                MemberStatus::Alive
            },
        }
    }

    /// Applies all updates of a message.
    pub(super) fn apply_updates(
        &mut self,
        updates: &[MemberUpdate],
        now: Now,
    ) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        let mut refuted = false;
        for update in updates {
            if update.member.instance == self.me.instance {
                refuted |= self.refute(update);
            } else {
                self.merge(update, now, &mut effects);
            }
        }
        if refuted || !effects.is_empty() {
            self.rebuild_view();
        }
        effects
    }

    /// Raises this router's own revision if an update of its current incarnation contradicts
    /// its state. Returns whether it did.
    fn refute(&mut self, update: &MemberUpdate) -> bool {
        let own = self.own_update();
        let is_contradicted = update.member.incarnation == own.member.incarnation
            && update.status != own.status
            && update.revision >= own.revision;
        if is_contradicted {
            self.revision = update.revision + 1;
        }
        is_contradicted
    }

    fn merge(&mut self, update: &MemberUpdate, now: Now, effects: &mut Vec<MembershipEffect>) {
        let instance = &update.member.instance;
        let was_live = self.records.get(instance).is_some_and(Record::is_live);
        if let Some(record) = self.records.get_mut(instance) {
            if !supersedes(update, &record.latest) {
                return;
            }
            record.replace_latest(update, now);
        } else {
            self.records
                .insert(instance.clone(), Record::new(update.clone(), now));
        }
        self.update_queue.push(instance.clone());
        effects.push(MembershipEffect::MemberChanged(update.clone()));
        if !was_live {
            self.introduce_to(update, effects);
        }
    }

    /// Pings a member of the same data centre that has become live in this router's view, so that
    /// it learns this router's address. It may own slots, and cannot respond to a bid from an
    /// unknown router.
    fn introduce_to(&mut self, update: &MemberUpdate, effects: &mut Vec<MembershipEffect>) {
        let member = &update.member;
        let is_local = member.data_centre == self.me.data_centre;
        if !is_local || update.status != MemberStatus::Alive {
            return;
        }
        let address = self.contact_address(member);
        let sequence = self.allocate_sequence();
        let updates = vec![self.own_update()];
        effects.push(self.ping(address, sequence, updates));
    }

    /// Sets the status of a known member, at the revision already recorded.
    pub(super) fn set_status(
        &mut self,
        instance: &InstanceId,
        status: MemberStatus,
        now: Now,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(record) = self.records.get(instance) else {
            return;
        };
        let update = MemberUpdate {
            status,
            ..record.latest.clone()
        };
        self.merge(&update, now, effects);
        self.rebuild_view();
    }

    /// Declares members dead whose timeout has passed, and evicts those that have been dead for
    /// `evict_after_ms`.
    pub(super) fn expire_records(&mut self, now: Now, effects: &mut Vec<MembershipEffect>) {
        let options = self.options;
        let timed_out: Vec<InstanceId> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_timed_out(options.dead_after_ms, now))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in timed_out {
            self.set_status(&instance, MemberStatus::Dead, now, effects);
        }
        self.records
            .retain(|_, record| !record.is_evictable(options.evict_after_ms, now));
    }

    /// Rebuilds the view and the digests.
    pub(super) fn rebuild_view(&mut self) {
        let mut live: Vec<Member> = self
            .records
            .values()
            .filter(|record| record.is_live())
            .map(|record| record.latest.member.clone())
            .collect();
        if !self.leaving {
            live.push(self.me.clone());
        }
        live.sort_by(|a, b| a.instance.cmp(&b.instance));
        self.view = MemberView {
            local: self.me.clone(),
            live,
        };
        // Dead members are left out, because routers evict them at different times.
        let own = self.own_update();
        let present = self.records.values().filter(|record| !record.is_dead());
        let updates = present.map(|record| &record.latest);
        self.digests = compute_digests(updates.chain(std::iter::once(&own)));
    }
}
