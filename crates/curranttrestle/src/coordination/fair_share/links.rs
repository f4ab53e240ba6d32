//! Links between a router and its parent in the tree.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::protocol::peer::{AccountEntry, PeerMessage, ServiceReport};
use crate::state::{AccountId, Incarnation, InstanceId, Now};

use super::FairShare;
use super::account::Account;
use super::tree::Peer;

/// How many reports a router remembers until totals include them.
const KNOWN_REPORTS: usize = 64;

/// The link from a child.
#[derive(Debug, Default)]
pub(super) struct Inbound {
    pub(super) incarnation: Incarnation,
    pub(super) link: u64,
    pub(super) round: u64,
    /// The cumulative counters of the link.
    units: IndexMap<AccountId, i64>,
    pub(super) backlogged: IndexSet<AccountId>,
}

impl Inbound {
    fn is_newer_link(&self, incarnation: Incarnation, link: u64) -> bool {
        (incarnation, link) > (self.incarnation, self.link)
    }
}

/// A report that the totals may not include yet.
#[derive(Debug)]
struct SentReport {
    round: u64,
    /// The subtree counters it stands for.
    subtree: Vec<(AccountId, i64)>,
    /// The link and last round of each child that it includes.
    children: Vec<(InstanceId, u64, u64)>,
}

/// The link to the parent.
#[derive(Debug, Default)]
pub(super) struct Outbound {
    parent: Option<Peer>,
    link: u64,
    round: u64,
    /// Accounts whose figures changed since the last report or totals.
    pub(super) changed: IndexSet<AccountId>,
    sent: VecDeque<SentReport>,
    /// The link and last round of each child that the heard totals include.
    pub(super) reflected_children: IndexMap<InstanceId, (u64, u64)>,
}

impl Outbound {
    pub(super) fn repeat_all(&mut self, accounts: &IndexMap<AccountId, Account>) {
        self.changed.extend(accounts.keys().cloned());
    }
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
        let Some(names) = self.names_of(report.sheet_number).cloned() else {
            return;
        };
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
            for entry in &report.entries {
                if let Some(id) = names.account(entry.pool, entry.customer) {
                    self.take_entry(&mut inbound, id, entry);
                }
            }
        }
        self.inbound.insert(from.clone(), inbound);
    }

    fn take_entry(&mut self, inbound: &mut Inbound, id: AccountId, entry: &AccountEntry) {
        let before = inbound.units.insert(id.clone(), entry.units).unwrap_or(0);
        let account = self.accounts.entry(id.clone()).or_default();
        account.below += entry.units - before;
        account.lift_milliunits = account.lift_milliunits.max(entry.lift_milliunits);
        if entry.backlogged && inbound.backlogged.insert(id.clone()) {
            account.backlogged_below += 1;
        } else if !entry.backlogged && inbound.backlogged.swap_remove(&id) {
            account.backlogged_below = account.backlogged_below.saturating_sub(1);
        }
        self.outbound.changed.insert(id);
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
        for account in self.accounts.values_mut() {
            account.link_start = account.reflected;
        }
        self.outbound.repeat_all(&self.accounts);
        true
    }

    /// The report of the changed accounts to the parent.
    pub(super) fn report(&mut self, parent: &Peer) -> Option<(InstanceId, PeerMessage)> {
        let sheet_number = self.names.front()?.sheet_number;
        let changed = std::mem::take(&mut self.outbound.changed);
        let mut entries = Vec::with_capacity(changed.len());
        let mut subtree = Vec::with_capacity(changed.len());
        for (id, pool, customer) in self.spread.indexed(&changed) {
            let Some(account) = self.accounts.get(&id) else {
                continue;
            };
            entries.push(AccountEntry {
                pool,
                customer,
                units: account.subtree() - account.link_start,
                lift_milliunits: account.lift_milliunits,
                backlogged: account.backlogged_in_subtree(),
            });
            subtree.push((id, account.subtree()));
        }
        if entries.is_empty() {
            return None;
        }
        self.outbound.round += 1;
        self.remember_report(subtree);
        let report = ServiceReport {
            sheet_number,
            link: self.outbound.link,
            round: self.outbound.round,
            entries,
        };
        Some((parent.instance.clone(), PeerMessage::ServiceReport(report)))
    }

    fn remember_report(&mut self, subtree: Vec<(AccountId, i64)>) {
        let children = self
            .inbound
            .iter()
            .map(|(child, inbound)| (child.clone(), inbound.link, inbound.round))
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

    /// Notes that the totals include all reports on `link` up to `round`.
    pub(super) fn note_reflected(&mut self, link: u64, round: u64) {
        if link != self.outbound.link {
            return;
        }
        while self
            .outbound
            .sent
            .front()
            .is_some_and(|sent| sent.round <= round)
        {
            let Some(sent) = self.outbound.sent.pop_front() else {
                break;
            };
            for (id, subtree) in sent.subtree {
                if let Some(account) = self.accounts.get_mut(&id) {
                    account.reflected = subtree;
                }
            }
            for (child, child_link, child_round) in sent.children {
                self.outbound
                    .reflected_children
                    .insert(child, (child_link, child_round));
            }
        }
    }
}
