//! Links between a router and its parent in the tree.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::protocol::peer::{PeerMessage, ReportId, ServiceReport};
use crate::state::{AccountId, Incarnation, InstanceId, Now};

use super::FairShare;
use super::figures::{Figure, decode, encode};
use super::tree::Peer;

/// How long a link that was left may be resumed.
const RESUME_MS: u64 = 300_000;

/// How long a router remembers the link of an absent child. Longer than it may be resumed.
const ABSENT_MS: u64 = 600_000;

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
    absent_since_ms: Option<u64>,
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

/// A link that was left.
#[derive(Debug)]
struct PastLink {
    link: u64,
    round: u64,
    left_ms: u64,
    /// The counters that the link carried, and the part of them that was sent once more
    /// elsewhere because the parent seemed to be gone.
    accounts: IndexMap<AccountId, (i64, i64)>,
}

/// The link to the parent.
#[derive(Debug, Default)]
pub(super) struct Outbound {
    parent: Option<Peer>,
    link: u64,
    last_link: u64,
    round: u64,
    sent: VecDeque<SentReport>,
    /// Links to earlier parents, which may come back.
    past: IndexMap<Peer, PastLink>,
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

    /// Starts a new link when the parent is another one or another run. Says whether the
    /// new parent should hear the known totals, because the root may lack them.
    pub(super) fn follow_parent(&mut self, now: Now) -> bool {
        if self.outbound.parent == self.topology.parent {
            return false;
        }
        let before = std::mem::replace(&mut self.outbound.parent, self.topology.parent.clone());
        let knows_root = self.knows_root();
        let left = self.leave_link(before.as_ref(), knows_root, now);
        if let Some(parent) = before {
            self.outbound.past.insert(parent, left);
        }
        self.begin_link(now);
        if self.topology.parent.is_none() {
            for account in self.accounts.values_mut() {
                account.reflected = account.handed;
            }
        }
        self.repeat_all();
        !knows_root
    }

    /// Settles what the router that was left has and passes on.
    fn leave_link(&mut self, before: Option<&Peer>, knows_root: bool, now: Now) -> PastLink {
        let is_passed_on = before.is_some_and(|parent| self.is_live(parent));
        let mut left = PastLink {
            link: self.outbound.link,
            round: self.outbound.round,
            left_ms: now.steady_ms,
            accounts: IndexMap::new(),
        };
        for (id, account) in &mut self.accounts {
            let carried = account.handed - account.link_start;
            let handed = account.handed;
            match before {
                // It passes on what it was sent.
                Some(_) if is_passed_on => {}
                // The root went on elsewhere: it lacks all since this router took its place.
                None if knows_root => account.reflected = account.handed,
                // The parent may be gone with what the heard totals lack; or this router was
                // root, and its totals go to the new one.
                _ => account.handed = account.reflected,
            }
            let repeated = handed - account.handed;
            left.accounts.insert(id.clone(), (carried, repeated));
        }
        left
    }

    /// Begins a new link, or goes on with the one that the same run of the parent knows.
    fn begin_link(&mut self, now: Now) {
        let outbound = &mut self.outbound;
        outbound.sent.clear();
        outbound
            .past
            .retain(|_, past| now.since_ms(past.left_ms) < RESUME_MS);
        let past = outbound
            .parent
            .as_ref()
            .and_then(|parent| outbound.past.swap_remove(parent));
        if let Some(past) = &past {
            outbound.link = past.link;
            outbound.round = past.round;
        } else {
            outbound.last_link += 1;
            outbound.link = outbound.last_link;
            outbound.round = 0;
        }
        for (id, account) in &mut self.accounts {
            let known = past.as_ref().and_then(|past| past.accounts.get(id));
            let (carried, repeated) = known.copied().unwrap_or_default();
            account.link_start = account.handed + repeated - carried;
        }
    }

    fn is_live(&self, peer: &Peer) -> bool {
        self.view.iter().any(|member| {
            member.instance == peer.instance && member.incarnation == peer.incarnation
        })
    }

    /// Whether this run of the root made totals that this router heard.
    fn knows_root(&self) -> bool {
        self.topology.root.as_ref().is_some_and(|root| {
            self.spread
                .home_sources
                .iter()
                .any(|source| source.is_run_of(root))
        })
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
            account.handed = account.subtree();
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

    /// Drops the backlog that absent routers reported, and in time their links. What they
    /// reported stays counted.
    pub(super) fn note_absent_children(&mut self, now: Now) {
        let mut inbound = std::mem::take(&mut self.inbound);
        for (instance, link) in &mut inbound {
            let is_live = self.view.iter().any(|member| member.instance == *instance);
            if is_live {
                link.absent_since_ms = None;
            } else if link.absent_since_ms.is_none() {
                link.absent_since_ms = Some(now.steady_ms);
                self.clear_backlog_of(link);
                link.backlogged.clear();
            }
        }
        inbound.retain(|_, link| {
            link.absent_since_ms
                .is_none_or(|since_ms| now.since_ms(since_ms) < ABSENT_MS)
        });
        self.inbound = inbound;
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
