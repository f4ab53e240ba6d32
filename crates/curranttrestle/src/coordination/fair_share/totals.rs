//! Totals of data centres: computed by their roots and sent down the trees.

use indexmap::IndexSet;

use crate::protocol::peer::{PeerMessage, ServiceTotals};
use crate::state::{AccountId, DataCentreId, Incarnation, InstanceId, Now};

use super::FairShare;
use super::counters::{ServiceCounter, decode, encode};
use super::exchange::TotalsSource;
use super::tree::Peer;

/// Maximum number of recent roots of the local data centre that a router remembers.
const MAX_LOCAL_SOURCES: usize = 4;

impl FairShare {
    /// Receives totals of a data centre and returns the messages that forward them to the
    /// children of this router.
    pub fn receive_totals(
        &mut self,
        _from: &InstanceId,
        totals: &ServiceTotals,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let Some(table) = self.index_table_of(totals.figures.sheet_number) else {
            return Vec::new();
        };
        let counters = decode(table, &totals.figures);
        let is_local = totals.data_centre == self.local_member.data_centre;
        let is_own = totals.root == self.local_member.instance
            && totals.incarnation == self.local_member.incarnation;
        if is_own || !self.exchange.is_newer(totals) {
            return Vec::new();
        }
        let same_incarnation = self
            .exchange
            .sources
            .get(&totals.data_centre)
            .is_some_and(|source| source.is_same_incarnation(totals));
        let is_local_root = is_local && self.topology.parent.is_none();
        for counter in counters {
            self.merge_total(totals, counter, same_incarnation, is_local_root);
        }
        if is_local_root {
            // Totals of another root of the local data centre are merged, not forwarded.
            return Vec::new();
        }
        self.record_source(totals, now);
        if is_local {
            self.record_local_source();
            let lead_ms = self.lead_ms();
            self.exchange.schedule_report(totals, lead_ms, now);
            if let Some(last) = totals.reflects {
                self.mark_included(last);
            }
        }
        let forwards = self.forward(totals, is_local);
        self.count_bytes(&forwards);
        forwards
    }

    fn merge_total(
        &mut self,
        totals: &ServiceTotals,
        counter: ServiceCounter,
        same_incarnation: bool,
        is_local_root: bool,
    ) {
        let account = self.accounts.entry(counter.account.clone()).or_default();
        account.merge_lift(counter.lift_milliunits);
        let current = account
            .totals
            .entry(totals.data_centre.clone())
            .or_default();
        // Another root or incarnation may know less, so its totals never decrease the known one.
        current.units = if same_incarnation {
            counter.units
        } else {
            current.units.max(counter.units)
        };
        if is_local_root {
            self.changed.insert(counter.account);
        } else {
            current.backlogged = counter.backlogged;
        }
    }

    fn record_source(&mut self, totals: &ServiceTotals, now: Now) {
        let source = TotalsSource {
            root: totals.root.clone(),
            incarnation: totals.incarnation,
            round: totals.round,
            received_ms: now.steady_ms,
        };
        self.exchange
            .sources
            .insert(totals.data_centre.clone(), source);
    }

    /// Records the root whose totals of the local data centre were received last.
    fn record_local_source(&mut self) {
        let Some(source) = self.exchange.sources.get(&self.local_member.data_centre) else {
            return;
        };
        let sources = &mut self.exchange.local_sources;
        sources
            .retain(|known| (&known.root, known.incarnation) != (&source.root, source.incarnation));
        sources.push_back(source.clone());
        if sources.len() > MAX_LOCAL_SOURCES {
            sources.pop_front();
        }
    }

    fn forward(&self, totals: &ServiceTotals, is_local: bool) -> Vec<(InstanceId, PeerMessage)> {
        self.topology
            .children
            .iter()
            .map(|child| {
                let reflects = self
                    .outbound
                    .included_child_reports
                    .get(&child.instance)
                    .filter(|_| is_local)
                    .copied();
                let message = ServiceTotals {
                    reflects,
                    ..totals.clone()
                };
                (child.instance.clone(), PeerMessage::ServiceTotals(message))
            })
            .collect()
    }

    /// Creates this root's totals of the changed accounts for its children and the remote
    /// roots.
    pub(super) fn broadcast_local_totals(
        &mut self,
        period_ms: u64,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let changed = self.take_due(now);
        let local_data_centre = self.local_member.data_centre.clone();
        for id in &changed {
            if let Some(account) = self.accounts.get_mut(id) {
                account.add_to_total(&local_data_centre);
            }
        }
        let counters = self.counters_of(&local_data_centre, &changed, false);
        if counters.is_empty() {
            return Vec::new();
        }
        self.exchange.round += 1;
        let period_ms = u32::try_from(period_ms).unwrap_or(u32::MAX);
        let totals = ServiceTotals {
            period_ms,
            ..self.totals_message(&local_data_centre, &counters)
        };
        self.record_source(&totals, now);
        let mut messages = Vec::new();
        for child in &self.topology.children {
            let reflects = self
                .inbound
                .get(&child.instance)
                .map(super::links::InboundLink::last_report);
            let message = ServiceTotals {
                reflects,
                ..totals.clone()
            };
            messages.push((child.instance.clone(), PeerMessage::ServiceTotals(message)));
        }
        for root in &self.topology.remote_roots {
            let message = PeerMessage::ServiceTotals(totals.clone());
            messages.push((root.instance.clone(), message));
        }
        messages
    }

    /// Sends all known totals to new children, and those of the local data centre to new
    /// remote roots.
    pub(super) fn sync_new_peers(&mut self) -> Vec<(InstanceId, PeerMessage)> {
        let children = self.topology.children.clone();
        let roots = self.topology.remote_roots.clone();
        let key = |peer: &Peer| -> (InstanceId, Incarnation) {
            (peer.instance.clone(), peer.incarnation)
        };
        let current: IndexSet<_> = children.iter().chain(&roots).map(key).collect();
        let already_synced = std::mem::replace(&mut self.exchange.synced_peers, current);
        let mut messages = Vec::new();
        for child in children
            .iter()
            .filter(|child| !already_synced.contains(&key(child)))
        {
            messages.extend(self.all_totals(child, true));
        }
        for root in roots
            .iter()
            .filter(|root| !already_synced.contains(&key(root)))
        {
            messages.extend(self.all_totals(root, false));
        }
        messages
    }

    /// Sends all known totals to a new parent, because a new root may lack them.
    pub(super) fn sync_new_parent(&mut self) -> Vec<(InstanceId, PeerMessage)> {
        match self.topology.parent.clone() {
            Some(parent) if !self.index_tables.is_empty() => self.all_totals(&parent, true),
            _ => Vec::new(),
        }
    }

    /// Creates messages with all known totals, or only those of the local data centre. They
    /// state their original source, so that a router that already has them ignores them.
    fn all_totals(
        &mut self,
        peer: &Peer,
        all_data_centres: bool,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let all: IndexSet<AccountId> = self.accounts.keys().cloned().collect();
        let local_data_centre = self.local_member.data_centre.clone();
        let data_centres: Vec<DataCentreId> = self
            .exchange
            .sources
            .keys()
            .filter(|data_centre| all_data_centres || **data_centre == local_data_centre)
            .cloned()
            .collect();
        let mut messages = Vec::new();
        for data_centre in data_centres {
            let counters = self.counters_of(&data_centre, &all, true);
            let source = &self.exchange.sources[&data_centre];
            let totals = ServiceTotals {
                root: source.root.clone(),
                incarnation: source.incarnation,
                round: source.round,
                ..self.totals_message(&data_centre, &counters)
            };
            messages.push((peer.instance.clone(), PeerMessage::ServiceTotals(totals)));
        }
        messages
    }

    fn totals_message(
        &self,
        data_centre: &DataCentreId,
        counters: &[ServiceCounter],
    ) -> ServiceTotals {
        let figures = self
            .index_tables
            .front()
            .map(|table| encode(table, counters))
            .unwrap_or_default();
        let period_ms = self.exchange.period_ms(&self.options);
        ServiceTotals {
            data_centre: data_centre.clone(),
            root: self.local_member.instance.clone(),
            incarnation: self.local_member.incarnation,
            round: self.exchange.round,
            period_ms: u32::try_from(period_ms).unwrap_or(u32::MAX),
            reflects: None,
            figures,
        }
    }

    /// Returns the known totals of a data centre, with all lifts or only the unsent ones.
    fn counters_of(
        &mut self,
        data_centre: &DataCentreId,
        accounts: &IndexSet<AccountId>,
        all_lifts: bool,
    ) -> Vec<ServiceCounter> {
        let mut counters = Vec::with_capacity(accounts.len());
        for id in accounts {
            let Some(account) = self.accounts.get_mut(id) else {
                continue;
            };
            let Some(total) = account.totals.get(data_centre).copied() else {
                continue;
            };
            let lift_milliunits = if all_lifts {
                Some(account.lift_milliunits).filter(|lift| *lift > 0)
            } else {
                account.take_unsent_lift()
            };
            counters.push(ServiceCounter {
                account: id.clone(),
                units: total.units,
                backlogged: total.backlogged,
                lift_milliunits,
            });
        }
        counters
    }
}
