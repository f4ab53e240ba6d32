//! The rounds of the exchange.
//!
//! The root of a data centre begins a round each period. Its totals state the period, and
//! every other router sends its report shortly before the next round is due: the deeper it
//! is in the tree, the earlier. So the figures of one round are about as old as the links
//! are long, however deep the tree is.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::protocol::peer::{PeerMessage, ServiceTotals};
use crate::state::{AccountId, DataCentreId, Incarnation, InstanceId, MemberView, Now};

use super::figures::estimated_bytes;
use super::tree::{Peer, Topology};
use super::{FairShare, FairShareOptions};

/// Who made the last totals of a data centre, and when they were heard.
#[derive(Clone, Debug)]
pub(super) struct Source {
    pub(super) root: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) round: u64,
    pub(super) heard_ms: u64,
}

impl Source {
    pub(super) fn is_run_of(&self, peer: &Peer) -> bool {
        self.root == peer.instance && self.incarnation == peer.incarnation
    }

    pub(super) fn is_same_run(&self, totals: &ServiceTotals) -> bool {
        self.root == totals.root && self.incarnation == totals.incarnation
    }
}

/// The state of the exchange.
#[derive(Debug, Default)]
pub(super) struct Spread {
    pub(super) sources: IndexMap<DataCentreId, Source>,
    /// The last roots of this data centre, other than this router.
    pub(super) home_sources: VecDeque<Source>,
    /// Routers that got all totals once.
    pub(super) informed: IndexSet<(InstanceId, Incarnation)>,
    pub(super) round: u64,
    pub(super) period_ms: u64,
    next_round_ms: u64,
    last_round_ms: u64,
    next_idle_ms: u64,
    refresh_position: usize,
    /// The bytes sent since the last round.
    round_bytes: u64,
    /// Since when this router has been root without knowing totals.
    recovering_since_ms: Option<u64>,
}

impl Spread {
    pub(super) fn heard_ms(&self, data_centre: &DataCentreId) -> u64 {
        self.sources
            .get(data_centre)
            .map_or(0, |source| source.heard_ms)
    }

    pub(super) fn period_ms(&self, options: &FairShareOptions) -> u64 {
        self.period_ms.max(options.service_round_ms)
    }

    /// Whether totals are newer than all heard of their data centre. Those of another root,
    /// or of another run of it, are.
    pub(super) fn is_newer(&self, totals: &ServiceTotals) -> bool {
        match self.sources.get(&totals.data_centre) {
            Some(source) if source.is_same_run(totals) => totals.round > source.round,
            _ => true,
        }
    }

    /// Plans the next report so that it arrives just before the root begins a round.
    pub(super) fn align(&mut self, totals: &ServiceTotals, lead_ms: u64, now: Now) {
        let period_ms = u64::from(totals.period_ms);
        self.period_ms = period_ms;
        self.next_round_ms = now.steady_ms + period_ms.saturating_sub(lead_ms);
    }
}

impl FairShare {
    /// Follows the members and, once a round, reports to the parent or spreads totals. To
    /// be called every few milliseconds.
    pub fn tick(&mut self, view: &MemberView, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let mut messages = Vec::new();
        if self.view != view.live {
            self.view.clone_from(&view.live);
            self.topology = Topology::of(view, self.options.fan_in);
            self.note_absent_children(now);
            if self.follow_parent(now) {
                messages.extend(self.inform_new_parent());
            }
        }
        if now.steady_ms < self.spread.next_round_ms || self.names.is_empty() {
            self.count_bytes(&messages);
            return messages;
        }
        self.forgive_debts(now);
        self.add_refresh(now);
        if let Some(parent) = self.topology.parent.clone() {
            self.spread.recovering_since_ms = None;
            messages.extend(self.report(&parent, now));
        } else if self.has_recovered(now) {
            let period_ms = self.plan_period();
            messages.extend(self.spread_home_totals(period_ms, now));
        }
        messages.extend(self.inform_newcomers());
        self.count_bytes(&messages);
        self.spread.last_round_ms = now.steady_ms;
        self.spread.next_round_ms = now.steady_ms + self.spread.period_ms(&self.options);
        messages
    }

    /// How much earlier than the root this router begins its round.
    pub(super) fn lead_ms(&self) -> u64 {
        self.options.hop_ms * u64::try_from(self.topology.depth).unwrap_or(1)
    }

    /// The accounts to send now. Accounts without a backlog concern nobody at once and are
    /// sent less often.
    pub(super) fn take_changed(&mut self, now: Now) -> IndexSet<AccountId> {
        let mut changed = std::mem::take(&mut self.changed);
        if now.steady_ms >= self.spread.next_idle_ms {
            self.spread.next_idle_ms = now.steady_ms + self.options.idle_round_ms;
            return changed;
        }
        let mut later = IndexSet::new();
        changed.retain(|id| {
            let is_urgent = self.is_urgent(id, now);
            if !is_urgent {
                later.insert(id.clone());
            }
            is_urgent
        });
        self.changed = later;
        changed
    }

    fn is_urgent(&self, id: &AccountId, now: Now) -> bool {
        let is_new = self
            .accounts
            .get(id)
            .is_some_and(|account| account.backlog_sent || account.lift_unsent);
        is_new || self.is_backlogged(id, now)
    }

    /// Sends everything again.
    pub(super) fn repeat_all(&mut self) {
        self.changed.extend(self.accounts.keys().cloned());
        self.spread.next_idle_ms = 0;
        for account in self.accounts.values_mut() {
            account.lift_unsent = account.lift_milliunits > 0;
        }
    }

    /// Counts what is sent against the byte budget.
    pub(super) fn count_bytes(&mut self, messages: &[(InstanceId, PeerMessage)]) {
        let bytes = messages.iter().map(|(_, message)| match message {
            PeerMessage::ServiceReport(report) => estimated_bytes(&report.figures),
            PeerMessage::ServiceTotals(totals) => estimated_bytes(&totals.figures),
            _ => 0,
        });
        self.spread.round_bytes += bytes.sum::<u64>();
    }

    /// Stretches the period when the last round took more than its part of the budget.
    fn plan_period(&mut self) -> u64 {
        let options = &self.options;
        let bytes = std::mem::take(&mut self.spread.round_bytes);
        let needed_ms = bytes * 1_000 / options.budget_bytes_per_s.max(1);
        self.spread.period_ms = needed_ms.clamp(options.service_round_ms, options.longest_round_ms);
        self.spread.period_ms
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

    /// Adds some unchanged accounts, so that lost messages are mended in time.
    fn add_refresh(&mut self, now: Now) {
        let total = self.accounts.len();
        let elapsed_ms = now.since_ms(self.spread.last_round_ms);
        let part_ms = self.options.refresh_ms.max(1);
        let due = u64::try_from(total).unwrap_or(u64::MAX) * elapsed_ms.min(part_ms) / part_ms;
        for _ in 0..due {
            self.spread.refresh_position = (self.spread.refresh_position + 1) % total;
            let position = self.spread.refresh_position;
            let Some((id, account)) = self.accounts.get_index_mut(position) else {
                break;
            };
            if account.subtree() != 0 || !account.totals.is_empty() {
                account.lift_unsent = account.lift_milliunits > 0;
                self.changed.insert(id.clone());
            }
        }
    }
}
