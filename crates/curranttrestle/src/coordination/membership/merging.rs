//! Takes news into the records and ages them.

use crate::protocol::peer::{MemberNews, MemberStatus};
use crate::state::{InstanceId, Member, MemberView, Now};

use super::digests::digests;
use super::record::{Record, supersedes};
use super::{Membership, MembershipEffect};

impl Membership {
    /// What this router says of itself.
    pub(super) fn own_news(&self) -> MemberNews {
        MemberNews {
            member: self.me.clone(),
            revision: self.revision,
            status: if self.leaving {
                MemberStatus::Leaving
            } else {
                MemberStatus::Alive
            },
        }
    }

    /// Takes all news of a message.
    pub(super) fn receive_news(&mut self, news: &[MemberNews], now: Now) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        let mut refuted = false;
        for item in news {
            if item.member.instance == self.me.instance {
                refuted |= self.refute(item);
            } else {
                self.merge(item, now, &mut effects);
            }
        }
        if refuted || !effects.is_empty() {
            self.rebuild_view();
        }
        effects
    }

    /// Raises the own revision when others believe something else of this router.
    fn refute(&mut self, item: &MemberNews) -> bool {
        let own = self.own_news();
        let is_other = item.member.incarnation == own.member.incarnation
            && item.status != own.status
            && item.revision >= own.revision;
        if is_other {
            self.revision = item.revision + 1;
        }
        is_other
    }

    fn merge(&mut self, item: &MemberNews, now: Now, effects: &mut Vec<MembershipEffect>) {
        let instance = &item.member.instance;
        let was_known = self.records.get(instance).is_some_and(Record::is_live);
        if let Some(record) = self.records.get_mut(instance) {
            if !supersedes(item, &record.news) {
                return;
            }
            record.update(item, now);
        } else {
            self.records
                .insert(instance.clone(), Record::new(item.clone(), now));
        }
        self.news.push(instance.clone());
        effects.push(MembershipEffect::Changed(item.clone()));
        if !was_known {
            self.introduce(item, effects);
        }
    }

    /// Makes this router known to a live one of its data centre that it has just learned of,
    /// which may own slots and could not answer a bid of somebody whose address it lacks.
    fn introduce(&mut self, item: &MemberNews, effects: &mut Vec<MembershipEffect>) {
        let member = &item.member;
        let is_near = member.data_centre == self.me.data_centre;
        if !is_near || item.status != MemberStatus::Alive {
            return;
        }
        let address = self.reach(member);
        let sequence = self.take_sequence();
        let news = vec![self.own_news()];
        effects.push(self.ping(address, sequence, news));
    }

    /// Believes something else of a member from now on.
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
        let item = MemberNews {
            status,
            ..record.news.clone()
        };
        self.merge(&item, now, effects);
        self.rebuild_view();
    }

    /// Declares members dead whose time is over, and forgets those that have long been dead.
    pub(super) fn age_records(&mut self, now: Now, effects: &mut Vec<MembershipEffect>) {
        let options = self.options;
        let overdue: Vec<InstanceId> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_overdue(options.dead_after_ms, now))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in overdue {
            self.set_status(&instance, MemberStatus::Dead, now, effects);
        }
        self.records
            .retain(|_, record| !record.is_forgotten(options.forget_after_ms, now));
    }

    /// Makes the view and the digest anew.
    pub(super) fn rebuild_view(&mut self) {
        let mut live: Vec<Member> = self
            .records
            .values()
            .filter(|record| record.is_live())
            .map(|record| record.news.member.clone())
            .collect();
        if !self.leaving {
            live.push(self.me.clone());
        }
        live.sort_by(|a, b| a.instance.cmp(&b.instance));
        self.view = MemberView {
            me: self.me.clone(),
            live,
        };
        // The dead are left out, because routers forget them at different times.
        let own = self.own_news();
        let present = self.records.values().filter(|record| !record.is_dead());
        let news = present.map(|record| &record.news);
        self.digests = digests(news.chain(std::iter::once(&own)));
    }
}
