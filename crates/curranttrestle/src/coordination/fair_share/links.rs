//! Links between routers and their parents in the tree.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::protocol::peer::{PeerMessage, ReportId, ServiceReport};
use crate::state::{AccountId, Incarnation, InstanceId, Now};

use super::FairShare;
use super::counters::{ServiceCounter, decode, encode};
use super::tree::Peer;

/// How long after it was closed a link may be resumed.
const RESUME_WINDOW_MS: u64 = 300_000;

/// How long the link of an absent child is retained. Exceeds [`RESUME_WINDOW_MS`], so that
/// the parent still has a link that its child may resume.
const ABSENT_LINK_RETENTION_MS: u64 = 600_000;

/// Maximum number of sent reports retained until totals include them.
const MAX_SENT_REPORTS: usize = 64;

/// The link from a child, as seen by the parent.
#[derive(Debug, Default)]
pub(super) struct InboundLink {
    incarnation: Incarnation,
    /// The number of the link, as assigned by the child.
    pub(super) link: u64,
    /// The number of the last report received on the link.
    pub(super) round: u64,
    /// Last cumulative counters received on the link.
    units: IndexMap<AccountId, i64>,
    backlogged: IndexSet<AccountId>,
    absent_since_ms: Option<u64>,
}

impl InboundLink {
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

/// A sent report that the totals may not include yet.
#[derive(Debug)]
struct SentReport {
    round: u64,
    /// The subtree's units when the report was sent.
    subtree_units: Vec<(AccountId, i64)>,
    /// The last report of each child that it includes.
    children: Vec<(InstanceId, ReportId)>,
}

/// A closed link to an earlier parent, which can be resumed.
#[derive(Debug)]
struct ClosedLink {
    link: u64,
    round: u64,
    closed_ms: u64,
    /// Per account, the units that the link carried, and the part of them that was resent
    /// on another link because the parent appeared to be gone.
    accounts: IndexMap<AccountId, (i64, i64)>,
}

/// The link to the parent.
#[derive(Debug, Default)]
pub(super) struct OutboundLink {
    parent: Option<Peer>,
    /// The number of the link.
    link: u64,
    /// The greatest link number assigned so far. Differs from `link` on a resumed link.
    last_link: u64,
    /// The number of the last report sent on the link.
    round: u64,
    sent: VecDeque<SentReport>,
    /// Closed links to earlier parents, which may become the parent again.
    closed_links: IndexMap<Peer, ClosedLink>,
    /// The last report of each child that the received totals include.
    pub(super) included_child_reports: IndexMap<InstanceId, ReportId>,
}

impl FairShare {
    /// Receives a report from a child.
    pub fn receive_report(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        report: &ServiceReport,
        _now: Now,
    ) {
        let Some(table) = self.index_table_of(report.figures.sheet_number) else {
            return;
        };
        let counters = decode(table, &report.figures);
        let mut inbound = self.inbound.swap_remove(from).unwrap_or_default();
        if inbound.is_newer_link(incarnation, report.link) {
            self.clear_backlog_of(&inbound);
            inbound = InboundLink {
                incarnation,
                link: report.link,
                ..InboundLink::default()
            };
        }
        let is_current = inbound.incarnation == incarnation && inbound.link == report.link;
        if is_current && report.round > inbound.round {
            inbound.round = report.round;
            for counter in counters {
                self.apply_counter(&mut inbound, counter);
            }
        }
        self.inbound.insert(from.clone(), inbound);
    }

    fn apply_counter(&mut self, inbound: &mut InboundLink, counter: ServiceCounter) {
        let id = counter.account;
        let previous = inbound.units.insert(id.clone(), counter.units).unwrap_or(0);
        let account = self.accounts.entry(id.clone()).or_default();
        account.child_units += counter.units - previous;
        account.merge_lift(counter.lift_milliunits);
        if counter.backlogged && inbound.backlogged.insert(id.clone()) {
            account.backlogged_children += 1;
        } else if !counter.backlogged && inbound.backlogged.swap_remove(&id) {
            account.backlogged_children = account.backlogged_children.saturating_sub(1);
        }
        self.changed.insert(id);
    }

    /// Opens a link to the new parent if the parent or its incarnation has changed. Returns
    /// whether to send the known totals to the new parent because the root may lack them.
    pub(super) fn update_parent(&mut self, now: Now) -> bool {
        if self.outbound.parent == self.topology.parent {
            return false;
        }
        let previous_parent =
            std::mem::replace(&mut self.outbound.parent, self.topology.parent.clone());
        let has_root_totals = self.has_totals_of_root();
        let closed = self.close_link(previous_parent.as_ref(), has_root_totals, now);
        if let Some(parent) = previous_parent {
            self.outbound.closed_links.insert(parent, closed);
        }
        self.open_link(now);
        if self.topology.parent.is_none() {
            for account in self.accounts.values_mut() {
                account.included_units = account.handed_off_units;
            }
        }
        self.resend_all();
        !has_root_totals
    }

    /// Closes the link to the previous parent and decides which units it has delivered.
    fn close_link(
        &mut self,
        previous_parent: Option<&Peer>,
        has_root_totals: bool,
        now: Now,
    ) -> ClosedLink {
        let is_forwarded = previous_parent.is_some_and(|parent| self.is_live(parent));
        let mut closed = ClosedLink {
            link: self.outbound.link,
            round: self.outbound.round,
            closed_ms: now.steady_ms,
            accounts: IndexMap::new(),
        };
        for (id, account) in &mut self.accounts {
            let carried_units = account.handed_off_units - account.link_start_units;
            let previously_handed_off = account.handed_off_units;
            match previous_parent {
                // The previous parent is live and forwards what it received.
                Some(_) if is_forwarded => {}
                // This router acted as the root while another root continued. The totals of that
                // root lack the units counted here meanwhile, so they must still be reported.
                None if has_root_totals => account.included_units = account.handed_off_units,
                // Either the parent is gone, perhaps along with the units that the received totals
                // lack, or this router was the root and sends its totals to the new one.
                _ => account.handed_off_units = account.included_units,
            }
            let resent_units = previously_handed_off - account.handed_off_units;
            closed
                .accounts
                .insert(id.clone(), (carried_units, resent_units));
        }
        closed
    }

    /// Opens a new link, or resumes the closed one to the same incarnation of the parent.
    fn open_link(&mut self, now: Now) {
        let outbound = &mut self.outbound;
        outbound.sent.clear();
        outbound
            .closed_links
            .retain(|_, closed| now.since_ms(closed.closed_ms) < RESUME_WINDOW_MS);
        let resumed = outbound
            .parent
            .as_ref()
            .and_then(|parent| outbound.closed_links.swap_remove(parent));
        if let Some(resumed) = &resumed {
            outbound.link = resumed.link;
            outbound.round = resumed.round;
        } else {
            outbound.last_link += 1;
            outbound.link = outbound.last_link;
            outbound.round = 0;
        }
        for (id, account) in &mut self.accounts {
            let previous = resumed.as_ref().and_then(|closed| closed.accounts.get(id));
            let (carried_units, resent_units) = previous.copied().unwrap_or_default();
            account.link_start_units = account.handed_off_units + resent_units - carried_units;
        }
    }

    fn is_live(&self, peer: &Peer) -> bool {
        self.live_members.iter().any(|member| {
            member.instance == peer.instance && member.incarnation == peer.incarnation
        })
    }

    /// Returns whether this router has received totals of the root's current incarnation.
    fn has_totals_of_root(&self) -> bool {
        self.topology.root.as_ref().is_some_and(|root| {
            self.exchange
                .local_sources
                .iter()
                .any(|source| source.is_from(root))
        })
    }

    /// Creates the report of the changed accounts for the parent.
    pub(super) fn report(&mut self, parent: &Peer, now: Now) -> Option<(InstanceId, PeerMessage)> {
        let changed = self.take_due(now);
        let mut counters = Vec::with_capacity(changed.len());
        let mut subtree_units = Vec::with_capacity(changed.len());
        for id in changed {
            let Some(account) = self.accounts.get_mut(&id) else {
                continue;
            };
            subtree_units.push((id.clone(), account.subtree_units()));
            account.backlog_sent = account.backlogged_in_subtree();
            account.handed_off_units = account.subtree_units();
            counters.push(ServiceCounter {
                units: account.subtree_units() - account.link_start_units,
                backlogged: account.backlogged_in_subtree(),
                lift_milliunits: account.take_unsent_lift(),
                account: id,
            });
        }
        if counters.is_empty() {
            return None;
        }
        self.outbound.round += 1;
        self.record_report(subtree_units);
        let report = ServiceReport {
            link: self.outbound.link,
            round: self.outbound.round,
            figures: encode(self.index_tables.front()?, &counters),
        };
        Some((parent.instance.clone(), PeerMessage::ServiceReport(report)))
    }

    fn record_report(&mut self, subtree_units: Vec<(AccountId, i64)>) {
        let children = self
            .inbound
            .iter()
            .map(|(child, inbound)| (child.clone(), inbound.last_report()))
            .collect();
        self.outbound.sent.push_back(SentReport {
            round: self.outbound.round,
            subtree_units,
            children,
        });
        if self.outbound.sent.len() > MAX_SENT_REPORTS {
            self.outbound.sent.pop_front();
        }
    }

    /// Marks all reports up to `last` as included in the totals.
    pub(super) fn mark_included(&mut self, last: ReportId) {
        if last.link != self.outbound.link {
            return;
        }
        while let Some(sent) = self.outbound.sent.pop_front() {
            if sent.round > last.round {
                self.outbound.sent.push_front(sent);
                break;
            }
            for (id, subtree_units) in sent.subtree_units {
                if let Some(account) = self.accounts.get_mut(&id) {
                    account.included_units = subtree_units;
                }
            }
            self.outbound.included_child_reports.extend(sent.children);
        }
    }

    /// Clears the backlogs reported by absent children, and drops their links after
    /// [`ABSENT_LINK_RETENTION_MS`]. The units they reported stay counted.
    pub(super) fn expire_absent_children(&mut self, now: Now) {
        let mut inbound = std::mem::take(&mut self.inbound);
        for (instance, link) in &mut inbound {
            let is_live = self
                .live_members
                .iter()
                .any(|member| member.instance == *instance);
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
                .is_none_or(|since_ms| now.since_ms(since_ms) < ABSENT_LINK_RETENTION_MS)
        });
        self.inbound = inbound;
    }

    fn clear_backlog_of(&mut self, link: &InboundLink) {
        for id in &link.backlogged {
            if let Some(account) = self.accounts.get_mut(id) {
                account.backlogged_children = account.backlogged_children.saturating_sub(1);
                self.changed.insert(id.clone());
            }
        }
    }
}
