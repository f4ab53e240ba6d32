//! Totals of data centres: made by their roots, spread down the trees.

use indexmap::{IndexMap, IndexSet};

use crate::protocol::peer::{AccountEntry, PeerMessage, ServiceTotals};
use crate::state::{AccountId, DataCentreId, Incarnation, InstanceId, MemberView, Now};

use super::account::Account;
use super::names::Names;
use super::tree::{Peer, Topology};
use super::{FairShare, FairShareOptions};

/// The estimated size of an entry of a message.
const ENTRY_BYTES: u64 = 10;

/// The estimated size of a message without its entries.
const MESSAGE_BYTES: u64 = 50;

/// Who made the last totals of a data centre, and when they were heard.
#[derive(Debug)]
struct Source {
    root: InstanceId,
    incarnation: Incarnation,
    round: u64,
    heard_ms: u64,
}

/// The state of the exchange.
#[derive(Debug, Default)]
pub(super) struct Spread {
    indexes: IndexMap<AccountId, (u16, u16)>,
    sources: IndexMap<DataCentreId, Source>,
    /// Routers that got all totals once.
    informed: IndexSet<(InstanceId, Incarnation)>,
    round: u64,
    next_round_ms: u64,
    last_round_ms: u64,
    refresh_position: usize,
    /// The bytes sent since the last round.
    round_bytes: u64,
    period_ms: u64,
    /// Since when this router has been root without knowing totals.
    recovering_since_ms: Option<u64>,
}

impl Spread {
    pub(super) fn heard_ms(&self, data_centre: &DataCentreId) -> u64 {
        self.sources
            .get(data_centre)
            .map_or(0, |source| source.heard_ms)
    }

    #[allow(clippy::cast_precision_loss)]
    pub(super) fn period_ms(&self, options: &FairShareOptions) -> f64 {
        self.period_ms.max(options.service_round_ms) as f64
    }

    pub(super) fn repeat_all(&mut self) {
        self.informed.clear();
    }

    /// The accounts that the current sheet names, with their indexes.
    pub(super) fn indexed(&self, accounts: &IndexSet<AccountId>) -> Vec<(AccountId, u16, u16)> {
        accounts
            .iter()
            .filter_map(|id| {
                let (pool, customer) = self.indexes.get(id)?;
                Some((id.clone(), *pool, *customer))
            })
            .collect()
    }

    pub(super) fn set_names(&mut self, names: &Names) {
        self.indexes = names
            .accounts()
            .map(|(id, pool, customer)| (id, (pool, customer)))
            .collect();
    }

    /// Whether a message is newer than all heard of its data centre. A message of another
    /// root, or of another run of it, is.
    fn is_newer(&self, totals: &ServiceTotals) -> bool {
        match self.sources.get(&totals.data_centre) {
            Some(source) if source.is_same_run(totals) => totals.round > source.round,
            _ => true,
        }
    }
}

impl Source {
    fn is_same_run(&self, totals: &ServiceTotals) -> bool {
        self.root == totals.root && self.incarnation == totals.incarnation
    }
}

impl FairShare {
    /// Follows the members and, once a round, reports to the parent or spreads totals.
    pub fn tick(&mut self, view: &MemberView, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let mut messages = Vec::new();
        self.topology = Topology::of(view, self.options.fan_in);
        self.forget_absent_children(&view.live);
        if self.follow_parent() {
            messages.extend(self.inform_new_parent(now));
        }
        if now.steady_ms < self.spread.next_round_ms || self.names.is_empty() {
            return self.count_bytes(messages);
        }
        self.forgive_debts(now);
        self.add_refresh(now);
        if let Some(parent) = self.topology.parent.clone() {
            self.spread.recovering_since_ms = None;
            messages.extend(self.report(&parent));
        } else if self.has_recovered(now) {
            messages.extend(self.spread_home_totals(now));
        }
        messages.extend(self.inform_newcomers(now));
        let messages = self.count_bytes(messages);
        self.schedule(now);
        messages
    }

    /// Takes totals of a data centre and returns what goes to the children of this router.
    pub fn receive_totals(
        &mut self,
        _from: &InstanceId,
        totals: &ServiceTotals,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let Some(names) = self.names_of(totals.sheet_number).cloned() else {
            return Vec::new();
        };
        let is_home = totals.data_centre == self.me.data_centre;
        let is_mine = totals.root == self.me.instance && totals.incarnation == self.me.incarnation;
        if is_mine || !self.spread.is_newer(totals) {
            return Vec::new();
        }
        let same_run = self
            .spread
            .sources
            .get(&totals.data_centre)
            .is_some_and(|source| source.is_same_run(totals));
        for entry in &totals.entries {
            if let Some(id) = names.account(entry.pool, entry.customer) {
                self.merge_total(id, totals, entry, same_run);
            }
        }
        if is_home && self.topology.parent.is_none() {
            // Totals of another root of this data centre are only merged.
            return Vec::new();
        }
        self.note_source(totals, now);
        if let (true, Some((link, round))) = (is_home, totals.reflects) {
            self.note_reflected(link, round);
        }
        let forwards = self.forward(totals, is_home);
        self.count_bytes(forwards)
    }

    fn merge_total(
        &mut self,
        id: AccountId,
        totals: &ServiceTotals,
        entry: &AccountEntry,
        same_run: bool,
    ) {
        let is_home_root =
            self.topology.parent.is_none() && totals.data_centre == self.me.data_centre;
        let account = self.accounts.entry(id.clone()).or_default();
        account.lift_milliunits = account.lift_milliunits.max(entry.lift_milliunits);
        let known = account
            .totals
            .entry(totals.data_centre.clone())
            .or_default();
        // Another run may know less: what was known stays.
        known.units = if same_run {
            entry.units
        } else {
            known.units.max(entry.units)
        };
        if is_home_root {
            self.outbound.changed.insert(id);
        } else {
            known.backlogged = entry.backlogged;
        }
    }

    fn note_source(&mut self, totals: &ServiceTotals, now: Now) {
        let source = Source {
            root: totals.root.clone(),
            incarnation: totals.incarnation,
            round: totals.round,
            heard_ms: now.steady_ms,
        };
        self.spread
            .sources
            .insert(totals.data_centre.clone(), source);
    }

    fn forward(&self, totals: &ServiceTotals, is_home: bool) -> Vec<(InstanceId, PeerMessage)> {
        self.topology
            .children
            .iter()
            .map(|child| {
                let reflects = self
                    .outbound
                    .reflected_children
                    .get(&child.instance)
                    .filter(|_| is_home)
                    .copied();
                let message = ServiceTotals {
                    reflects,
                    ..totals.clone()
                };
                (child.instance.clone(), PeerMessage::ServiceTotals(message))
            })
            .collect()
    }

    /// Whether this root knows totals, or waited long enough for its members to send them.
    fn has_recovered(&mut self, now: Now) -> bool {
        let home = &self.me.data_centre;
        let knows = self
            .accounts
            .values()
            .any(|account| account.totals.contains_key(home));
        if knows || self.topology.size == 1 {
            self.spread.recovering_since_ms = None;
            return true;
        }
        let since_ms = *self.spread.recovering_since_ms.get_or_insert(now.steady_ms);
        now.since_ms(since_ms) >= self.options.recovery_ms
    }

    /// The totals of this root: what changed, to its children and the other roots.
    fn spread_home_totals(&mut self, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let changed = std::mem::take(&mut self.outbound.changed);
        let home = self.me.data_centre.clone();
        for id in &changed {
            if let Some(account) = self.accounts.get_mut(id) {
                let subtree = account.subtree();
                let backlogged = account.backlogged_in_subtree();
                let total = account.totals.entry(home.clone()).or_default();
                total.units += subtree - account.reflected;
                total.backlogged = backlogged;
                account.reflected = subtree;
            }
        }
        let entries = self.entries(&home, &changed);
        if entries.is_empty() {
            return Vec::new();
        }
        self.spread.round += 1;
        let totals = self.totals_message(&home, entries);
        self.note_source(&totals, now);
        let children = self.topology.children.clone();
        let mut messages: Vec<_> = children
            .iter()
            .map(|child| self.address_child(child, &totals))
            .collect();
        for root in &self.topology.remote_roots {
            let message = PeerMessage::ServiceTotals(totals.clone());
            messages.push((root.instance.clone(), message));
        }
        messages
    }

    fn address_child(&self, child: &Peer, totals: &ServiceTotals) -> (InstanceId, PeerMessage) {
        let reflects = self
            .inbound
            .get(&child.instance)
            .map(|inbound| (inbound.link, inbound.round));
        let message = ServiceTotals {
            reflects,
            ..totals.clone()
        };
        (child.instance.clone(), PeerMessage::ServiceTotals(message))
    }

    /// Sends all known totals to routers that became children or remote roots.
    fn inform_newcomers(&mut self, _now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let mut messages = Vec::new();
        let children = self.topology.children.clone();
        let roots = self.topology.remote_roots.clone();
        let current: IndexSet<(InstanceId, Incarnation)> = children
            .iter()
            .chain(&roots)
            .map(|peer| (peer.instance.clone(), peer.incarnation))
            .collect();
        let known = std::mem::replace(&mut self.spread.informed, current);
        for child in children {
            if !known.contains(&(child.instance.clone(), child.incarnation)) {
                messages.extend(self.all_totals(&child, true));
            }
        }
        for root in roots {
            if !known.contains(&(root.instance.clone(), root.incarnation)) {
                messages.extend(self.all_totals(&root, false));
            }
        }
        messages
    }

    /// All known totals, or just those of this data centre.
    fn all_totals(&self, peer: &Peer, of_all: bool) -> Vec<(InstanceId, PeerMessage)> {
        let all: IndexSet<AccountId> = self.accounts.keys().cloned().collect();
        let home = &self.me.data_centre;
        self.spread
            .sources
            .keys()
            .filter(|data_centre| of_all || *data_centre == home)
            .filter_map(|data_centre| {
                let entries = self.entries(data_centre, &all);
                let source = self.spread.sources.get(data_centre)?;
                // Named after their source, so that only a router that lacks them takes them.
                let totals = ServiceTotals {
                    root: source.root.clone(),
                    incarnation: source.incarnation,
                    round: source.round,
                    ..self.totals_message(data_centre, entries)
                };
                let message = PeerMessage::ServiceTotals(totals);
                Some((peer.instance.clone(), message))
            })
            .collect()
    }

    /// Tells a new parent the known totals of this data centre; a new root may lack them.
    fn inform_new_parent(&mut self, _now: Now) -> Vec<(InstanceId, PeerMessage)> {
        match self.topology.parent.clone() {
            Some(parent) if !self.names.is_empty() => self.all_totals(&parent, false),
            _ => Vec::new(),
        }
    }

    fn totals_message(
        &self,
        data_centre: &DataCentreId,
        entries: Vec<AccountEntry>,
    ) -> ServiceTotals {
        ServiceTotals {
            sheet_number: self.names.front().map_or(0, |names| names.sheet_number),
            data_centre: data_centre.clone(),
            root: self.me.instance.clone(),
            incarnation: self.incarnation(),
            round: self.spread.round,
            reflects: None,
            entries,
        }
    }

    fn entries(
        &self,
        data_centre: &DataCentreId,
        accounts: &IndexSet<AccountId>,
    ) -> Vec<AccountEntry> {
        self.spread
            .indexed(accounts)
            .into_iter()
            .filter_map(|(id, pool, customer)| {
                let account: &Account = self.accounts.get(&id)?;
                let total = account.totals.get(data_centre)?;
                Some(AccountEntry {
                    pool,
                    customer,
                    units: total.units,
                    lift_milliunits: account.lift_milliunits,
                    backlogged: total.backlogged,
                })
            })
            .collect()
    }

    /// Adds some unchanged accounts, so that lost messages are mended in time.
    fn add_refresh(&mut self, now: Now) {
        let total = self.accounts.len();
        let elapsed_ms = now.since_ms(self.spread.last_round_ms);
        let due = usize::try_from(elapsed_ms).unwrap_or(usize::MAX);
        let count = total.saturating_mul(due)
            / usize::try_from(self.options.refresh_ms).unwrap_or(1).max(1);
        for _ in 0..count.min(total) {
            self.spread.refresh_position = (self.spread.refresh_position + 1) % total;
            let position = self.spread.refresh_position;
            let Some((id, account)) = self.accounts.get_index(position) else {
                break;
            };
            if account.subtree() != 0 || !account.totals.is_empty() {
                self.outbound.changed.insert(id.clone());
            }
        }
    }

    fn count_bytes(
        &mut self,
        messages: Vec<(InstanceId, PeerMessage)>,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let bytes: u64 = messages
            .iter()
            .map(|(_, message)| estimated_bytes(message))
            .sum();
        self.spread.round_bytes += bytes;
        messages
    }

    /// Plans the next round, later when this one took more than its part of the budget.
    fn schedule(&mut self, now: Now) {
        let options = &self.options;
        let bytes = std::mem::take(&mut self.spread.round_bytes);
        let needed_ms = bytes * 1_000 / options.budget_bytes_per_s.max(1);
        let period_ms = needed_ms.clamp(options.service_round_ms, options.longest_round_ms);
        self.spread.period_ms = period_ms;
        self.spread.last_round_ms = now.steady_ms;
        self.spread.next_round_ms = now.steady_ms + period_ms;
    }
}

fn estimated_bytes(message: &PeerMessage) -> u64 {
    let entries = match message {
        PeerMessage::ServiceReport(report) => report.entries.len(),
        PeerMessage::ServiceTotals(totals) => totals.entries.len(),
        _ => 0,
    };
    MESSAGE_BYTES + ENTRY_BYTES * u64::try_from(entries).unwrap_or(u64::MAX)
}
