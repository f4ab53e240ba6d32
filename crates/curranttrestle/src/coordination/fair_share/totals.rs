//! Totals of data centres: made by their roots, spread down the trees.

use indexmap::IndexSet;

use crate::protocol::peer::{PeerMessage, ServiceTotals};
use crate::state::{AccountId, DataCentreId, Incarnation, InstanceId, Now};

use super::FairShare;
use super::figures::{Figure, decode, encode};
use super::spread::Source;
use super::tree::Peer;

/// How many roots of its data centre a router remembers.
const KNOWN_ROOTS: usize = 4;

impl FairShare {
    /// Takes totals of a data centre and returns what goes to the children of this router.
    pub fn receive_totals(
        &mut self,
        _from: &InstanceId,
        totals: &ServiceTotals,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let Some(names) = self.names_of(totals.figures.sheet_number) else {
            return Vec::new();
        };
        let figures = decode(names, &totals.figures);
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
        let is_home_root = is_home && self.topology.parent.is_none();
        for figure in figures {
            self.merge_total(totals, figure, same_run, is_home_root);
        }
        if is_home_root {
            // Totals of another root of this data centre are only merged.
            return Vec::new();
        }
        self.note_source(totals, now);
        if is_home {
            self.note_home_source();
            let lead_ms = self.lead_ms();
            self.spread.align(totals, lead_ms, now);
            if let Some(last) = totals.reflects {
                self.note_reflected(last);
            }
        }
        let forwards = self.forward(totals, is_home);
        self.count_bytes(&forwards);
        forwards
    }

    fn merge_total(
        &mut self,
        totals: &ServiceTotals,
        figure: Figure,
        same_run: bool,
        is_home_root: bool,
    ) {
        let account = self.accounts.entry(figure.account.clone()).or_default();
        account.merge_lift(figure.lift_milliunits);
        let known = account
            .totals
            .entry(totals.data_centre.clone())
            .or_default();
        // Another run may know less: what was known stays.
        known.units = if same_run {
            figure.units
        } else {
            known.units.max(figure.units)
        };
        if is_home_root {
            self.changed.insert(figure.account);
        } else {
            known.backlogged = figure.backlogged;
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

    /// Remembers the root of this data centre that was heard last.
    fn note_home_source(&mut self) {
        let Some(source) = self.spread.sources.get(&self.me.data_centre) else {
            return;
        };
        let sources = &mut self.spread.home_sources;
        sources
            .retain(|known| (&known.root, known.incarnation) != (&source.root, source.incarnation));
        sources.push_back(source.clone());
        if sources.len() > KNOWN_ROOTS {
            sources.pop_front();
        }
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

    /// The totals of this root: what changed, to its children and the other roots.
    pub(super) fn spread_home_totals(
        &mut self,
        period_ms: u64,
        now: Now,
    ) -> Vec<(InstanceId, PeerMessage)> {
        let changed = self.take_changed(now);
        let home = self.me.data_centre.clone();
        for id in &changed {
            if let Some(account) = self.accounts.get_mut(id) {
                account.add_to_total(&home);
            }
        }
        let figures = self.figures(&home, &changed, false);
        if figures.is_empty() {
            return Vec::new();
        }
        self.spread.round += 1;
        let period_ms = u32::try_from(period_ms).unwrap_or(u32::MAX);
        let totals = ServiceTotals {
            period_ms,
            ..self.totals_message(&home, &figures)
        };
        self.note_source(&totals, now);
        let mut messages = Vec::new();
        for child in &self.topology.children {
            let reflects = self
                .inbound
                .get(&child.instance)
                .map(super::links::Inbound::last_report);
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

    /// Sends all known totals to routers that became children or remote roots.
    pub(super) fn inform_newcomers(&mut self) -> Vec<(InstanceId, PeerMessage)> {
        let children = self.topology.children.clone();
        let roots = self.topology.remote_roots.clone();
        let key = |peer: &Peer| -> (InstanceId, Incarnation) {
            (peer.instance.clone(), peer.incarnation)
        };
        let current: IndexSet<_> = children.iter().chain(&roots).map(key).collect();
        let known = std::mem::replace(&mut self.spread.informed, current);
        let mut messages = Vec::new();
        for child in children.iter().filter(|child| !known.contains(&key(child))) {
            messages.extend(self.all_totals(child, true));
        }
        for root in roots.iter().filter(|root| !known.contains(&key(root))) {
            messages.extend(self.all_totals(root, false));
        }
        messages
    }

    /// Tells a new parent the known totals; a new root may lack them.
    pub(super) fn inform_new_parent(&mut self) -> Vec<(InstanceId, PeerMessage)> {
        match self.topology.parent.clone() {
            Some(parent) if !self.names.is_empty() => self.all_totals(&parent, true),
            _ => Vec::new(),
        }
    }

    /// All known totals, or just those of this data centre. They are named after their
    /// source, so that only a router that lacks them takes them.
    fn all_totals(&mut self, peer: &Peer, of_all: bool) -> Vec<(InstanceId, PeerMessage)> {
        let all: IndexSet<AccountId> = self.accounts.keys().cloned().collect();
        let home = self.me.data_centre.clone();
        let data_centres: Vec<DataCentreId> = self
            .spread
            .sources
            .keys()
            .filter(|data_centre| of_all || **data_centre == home)
            .cloned()
            .collect();
        let mut messages = Vec::new();
        for data_centre in data_centres {
            let figures = self.figures(&data_centre, &all, true);
            let source = &self.spread.sources[&data_centre];
            let totals = ServiceTotals {
                root: source.root.clone(),
                incarnation: source.incarnation,
                round: source.round,
                ..self.totals_message(&data_centre, &figures)
            };
            messages.push((peer.instance.clone(), PeerMessage::ServiceTotals(totals)));
        }
        messages
    }

    fn totals_message(&self, data_centre: &DataCentreId, figures: &[Figure]) -> ServiceTotals {
        let figures = self
            .names
            .front()
            .map(|names| encode(names, figures))
            .unwrap_or_default();
        let period_ms = self.spread.period_ms(&self.options);
        ServiceTotals {
            data_centre: data_centre.clone(),
            root: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            round: self.spread.round,
            period_ms: u32::try_from(period_ms).unwrap_or(u32::MAX),
            reflects: None,
            figures,
        }
    }

    /// The known totals of a data centre, with all lifts or just with the unsent ones.
    fn figures(
        &mut self,
        data_centre: &DataCentreId,
        accounts: &IndexSet<AccountId>,
        all_lifts: bool,
    ) -> Vec<Figure> {
        let mut figures = Vec::with_capacity(accounts.len());
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
            figures.push(Figure {
                account: id.clone(),
                units: total.units,
                backlogged: total.backlogged,
                lift_milliunits,
            });
        }
        figures
    }
}
