//! Links between a router and its parent in the tree.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::protocol::peer::{PeerMessage, ReportId, ServiceReport};
use crate::state::{AccountId, Incarnation, InstanceId, Member, Now};

use super::FairShare;
use super::figures::{Figure, decode, encode};
use super::tree::Peer;

/// How many reports a router remembers until totals include them.
const KNOWN_REPORTS: usize = 64;

/// The link from a child.
#[derive(Debug, Default)]
pub(super) struct Inbound {
    incarnation: Incarnation,
    pub(super) link: u64,
    pub(super) round: u64,
    /// The cumulative counters of the link.
    units: IndexMap<AccountId, i64>,
    backlogged: IndexSet<AccountId>,
}

impl Inbound {
    fn is_newer_link(&self, incarnation: Incarnation, link: u64) -> bool {
        (incarnation, link) > (self.incarnation, self.link)
    }

    pub(super) fn last_report(&self) -> ReportId {
        ReportId {
            link: self.link,
            round: self.round,
        }
    }
}

/// A report that the totals may not include yet.
#[derive(Debug)]
struct SentReport {
    round: u64,
    /// The subtree counters it stands for.
    subtree: Vec<(AccountId, i64)>,
    /// The last report of each child that it includes.
    children: Vec<(InstanceId, ReportId)>,
}

/// The link to the parent.
#[derive(Debug, Default)]
pub(super) struct Outbound {
    parent: Option<Peer>,
    link: u64,
    round: u64,
    sent: VecDeque<SentReport>,
    /// The last report of each child that the heard totals include.
    pub(super) reflected_children: IndexMap<InstanceId, ReportId>,
}

impl FairShare {
    /// Takes a report of a child.
    pub fn receive_report(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        report: &ServiceReport,
        _now: Now,
    ) {
        let Some(names) = self.names_of(report.figures.sheet_number) else {
            return;
        };
        let figures = decode(names, &report.figures);
        let mut inbound = self.inbound.swap_remove(from).unwrap_or_default();
        if inbound.is_newer_link(incarnation, report.link) {
            self.clear_backlog_of(&inbound);
            inbound = Inbound {
                incarnation,
                link: report.link,
                ..Inbound::default()
            };
        }
        let is_current = inbound.incarnation == incarnation && inbound.link == report.link;
        if is_current && report.round > inbound.round {
            inbound.round = report.round;
            for figure in figures {
                self.take_figure(&mut inbound, figure);
            }
        }
        self.inbound.insert(from.clone(), inbound);
    }

    fn take_figure(&mut self, inbound: &mut Inbound, figure: Figure) {
        let id = figure.account;
        let before = inbound.units.insert(id.clone(), figure.units).unwrap_or(0);
        let account = self.accounts.entry(id.clone()).or_default();
        account.below += figure.units - before;
        account.merge_lift(figure.lift_milliunits);
        if figure.backlogged && inbound.backlogged.insert(id.clone()) {
            account.backlogged_below += 1;
        } else if !figure.backlogged && inbound.backlogged.swap_remove(&id) {
            account.backlogged_below = account.backlogged_below.saturating_sub(1);
        }
        self.changed.insert(id);
    }

    /// Starts a new link when the parent is another one or another run. Says whether it did.
    pub(super) fn follow_parent(&mut self) -> bool {
        if self.outbound.parent == self.topology.parent {
            return false;
        }
        self.outbound.parent = self.topology.parent.clone();
        self.outbound.link += 1;
        self.outbound.round = 0;
        self.outbound.sent.clear();
        // What the heard totals include was carried by the link before.
        for account in self.accounts.values_mut() {
            account.link_start = account.reflected;
        }
        self.repeat_all();
        true
    }

    /// The report of the changed accounts to the parent.
    pub(super) fn report(&mut self, parent: &Peer, now: Now) -> Option<(InstanceId, PeerMessage)> {
        let changed = self.take_changed(now);
        let mut figures = Vec::with_capacity(changed.len());
        let mut subtree = Vec::with_capacity(changed.len());
        for id in changed {
            let Some(account) = self.accounts.get_mut(&id) else {
                continue;
            };
            subtree.push((id.clone(), account.subtree()));
            account.backlog_sent = account.backlogged_in_subtree();
            figures.push(Figure {
                units: account.subtree() - account.link_start,
                backlogged: account.backlogged_in_subtree(),
                lift_milliunits: account.take_unsent_lift(),
                account: id,
            });
        }
        if figures.is_empty() {
            return None;
        }
        self.outbound.round += 1;
        self.remember_report(subtree);
        let report = ServiceReport {
            link: self.outbound.link,
            round: self.outbound.round,
            figures: encode(self.names.front()?, &figures),
        };
        Some((parent.instance.clone(), PeerMessage::ServiceReport(report)))
    }

    fn remember_report(&mut self, subtree: Vec<(AccountId, i64)>) {
        let children = self
            .inbound
            .iter()
            .map(|(child, inbound)| (child.clone(), inbound.last_report()))
            .collect();
        self.outbound.sent.push_back(SentReport {
            round: self.outbound.round,
            subtree,
            children,
        });
        if self.outbound.sent.len() > KNOWN_REPORTS {
            self.outbound.sent.pop_front();
        }
    }

    /// Notes that the totals include all reports up to `last`.
    pub(super) fn note_reflected(&mut self, last: ReportId) {
        if last.link != self.outbound.link {
            return;
        }
        while let Some(sent) = self.outbound.sent.pop_front() {
            if sent.round > last.round {
                self.outbound.sent.push_front(sent);
                break;
            }
            for (id, subtree) in sent.subtree {
                if let Some(account) = self.accounts.get_mut(&id) {
                    account.reflected = subtree;
                }
            }
            self.outbound.reflected_children.extend(sent.children);
        }
    }

    /// Forgets the links of routers that are gone. What they reported stays counted.
    pub(super) fn forget_absent_children(&mut self, live: &[Member]) {
        let gone: Vec<InstanceId> = self
            .inbound
            .keys()
            .filter(|instance| !live.iter().any(|member| member.instance == **instance))
            .cloned()
            .collect();
        for instance in gone {
            if let Some(link) = self.inbound.swap_remove(&instance) {
                self.clear_backlog_of(&link);
            }
        }
    }

    fn clear_backlog_of(&mut self, link: &Inbound) {
        for id in &link.backlogged {
            if let Some(account) = self.accounts.get_mut(id) {
                account.backlogged_below = account.backlogged_below.saturating_sub(1);
                self.changed.insert(id.clone());
            }
        }
    }
}
