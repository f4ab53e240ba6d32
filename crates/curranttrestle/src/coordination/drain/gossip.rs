//! Gossip about which endpoints are leaving.
//!
//! Each router forwards an update immediately, and only once, to a few others. Each router also
//! sends its known state to the others in turn (anti-entropy), which reaches those that missed the
//! update.

use indexmap::IndexMap;

use crate::coordination::rendezvous;
use crate::protocol::peer::{EndpointNotice, EndpointNotices, PeerMessage};
use crate::state::{EndpointId, InstanceId, Member, MemberView, Now};

use super::{Drain, DrainEffect, LeavingSource};

/// The state of the anti-entropy rounds.
#[derive(Clone, Debug, Default)]
pub(super) struct Gossip {
    /// When the next round is due, on the steady clock.
    next_ms: u64,
    /// The number of the round, which determines the receiver.
    round: usize,
    /// The index of the first endpoint in the next message.
    next_endpoint: usize,
}

impl Drain {
    /// Merges the notices of another router.
    pub fn receive_notices(
        &mut self,
        from: &InstanceId,
        notices: &EndpointNotices,
        now: Now,
    ) -> Vec<DrainEffect> {
        if *from == self.me {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for notice in &notices.notices {
            let source = LeavingSource::Router;
            effects.extend(
                self.update_endpoint(&notice.endpoint, source, now, |state| state.merge(notice)),
            );
        }
        for endpoint in &notices.busy {
            let state = self.endpoints.get_mut(endpoint);
            if let Some(progress) = state.and_then(|state| state.progress.as_mut()) {
                progress.mark_busy(now);
            }
        }
        effects
    }

    /// Gossips updates, runs anti-entropy and reports to the slot owners the endpoints on which
    /// attempts still run.
    pub(super) fn tick_gossip(&mut self, members: &MemberView, now: Now) -> Vec<DrainEffect> {
        let mut effects = self.gossip_updates(members);
        if now.steady_ms >= self.gossip.next_ms {
            self.gossip.next_ms = now.steady_ms + self.options.notice_interval_ms;
            effects.extend(self.report_busy(members));
            effects.extend(self.anti_entropy(members));
        }
        effects
    }

    /// Sends updates to a few routers.
    fn gossip_updates(&mut self, members: &MemberView) -> Vec<DrainEffect> {
        let mut effects = Vec::new();
        for (endpoint, state) in &mut self.endpoints {
            if !std::mem::take(&mut state.has_update) {
                continue;
            }
            // Each router chooses different receivers, so that together they reach all routers.
            let key = format!("{endpoint}/{}", self.me);
            let receivers = rendezvous::ranked(&key, others(&self.me, members));
            let notices = EndpointNotices {
                notices: vec![state.notice(endpoint)],
                busy: Vec::new(),
            };
            let receivers = receivers.into_iter().take(self.options.notice_fanout);
            effects.extend(receivers.map(|member| notify(&member.instance, notices.clone())));
        }
        effects
    }

    /// Sends the known state to the next router.
    fn anti_entropy(&mut self, members: &MemberView) -> Option<DrainEffect> {
        let others: Vec<&Member> = others(&self.me, members).collect();
        let known: Vec<EndpointNotice> = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.is_gossiped())
            .map(|(endpoint, state)| state.notice(endpoint))
            .collect();
        if known.is_empty() || others.is_empty() {
            return None;
        }
        // Each router starts with a different receiver.
        let start = others
            .iter()
            .filter(|member| member.instance < self.me)
            .count();
        let receiver = others[(start + self.gossip.round) % others.len()];
        self.gossip.round += 1;
        let first = self.gossip.next_endpoint % known.len();
        let count = known.len().min(self.options.max_notices);
        self.gossip.next_endpoint = first + count;
        let notices = known.into_iter().cycle().skip(first).take(count).collect();
        let busy = Vec::new();
        Some(notify(
            &receiver.instance,
            EndpointNotices { notices, busy },
        ))
    }

    /// Reports to the slot owners the leaving endpoints on which attempts of this router still run.
    fn report_busy(&self, members: &MemberView) -> Vec<DrainEffect> {
        let mut busy: IndexMap<&InstanceId, Vec<EndpointId>> = IndexMap::new();
        for (endpoint, state) in &self.endpoints {
            if state.running.is_empty() || state.is_usable() {
                continue;
            }
            let Some(data_centre) = self.data_centres.get(endpoint) else {
                continue;
            };
            let local_members = members.in_data_centre(data_centre);
            if let Some(owner) = rendezvous::best(endpoint.as_str(), local_members)
                && owner.instance != self.me
            {
                let endpoints = busy.entry(&owner.instance).or_default();
                endpoints.push(endpoint.clone());
            }
        }
        let messages = busy.into_iter().map(|(owner, busy)| {
            let notices = Vec::new();
            notify(owner, EndpointNotices { notices, busy })
        });
        messages.collect()
    }
}

fn others<'a>(
    me: &'a InstanceId,
    members: &'a MemberView,
) -> impl Iterator<Item = &'a Member> + 'a {
    members
        .live
        .iter()
        .filter(move |member| member.instance != *me)
}

fn notify(to: &InstanceId, notices: EndpointNotices) -> DrainEffect {
    DrainEffect::Notify {
        to: to.clone(),
        message: PeerMessage::EndpointNotices(notices),
    }
}
