//! The rounds of the exchange of service counters.
//!
//! The root of a data centre starts a round every period. Its totals state the period, and
//! every other router sends its report shortly before the next round is due: the deeper it
//! is in the tree, the earlier. So the age of the counters in a round is about the sum of
//! the message delays on their path, without a period per level of the tree.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::protocol::peer::{PeerMessage, ServiceTotals};
use crate::state::{AccountId, DataCentreId, Incarnation, InstanceId, MemberView, Now};

use super::counters::estimated_bytes;
use super::tree::{Peer, Topology};
use super::{FairShare, FairShareOptions};

/// The origin of the last totals of a data centre, and when they were received.
#[derive(Clone, Debug)]
pub(super) struct TotalsSource {
    pub(super) root: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) round: u64,
    pub(super) received_ms: u64,
}

impl TotalsSource {
    pub(super) fn is_from(&self, peer: &Peer) -> bool {
        self.root == peer.instance && self.incarnation == peer.incarnation
    }

    pub(super) fn is_same_incarnation(&self, totals: &ServiceTotals) -> bool {
        self.root == totals.root && self.incarnation == totals.incarnation
    }
}

/// The state of the exchange at one router.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    pub(super) sources: IndexMap<DataCentreId, TotalsSource>,
    /// The last roots of the local data centre, other than this router.
    pub(super) local_sources: VecDeque<TotalsSource>,
    /// Children and remote roots that were sent the known totals.
    pub(super) synced_peers: IndexSet<(InstanceId, Incarnation)>,
    pub(super) round: u64,
    pub(super) period_ms: u64,
    next_round_ms: u64,
    last_round_ms: u64,
    /// When changed accounts without a backlog are sent next.
    next_idle_ms: u64,
    /// Index of the account that was last marked to be resent by the refresh.
    refresh_position: usize,
    /// Bytes sent since the last round.
    round_bytes: u64,
    /// Since when this router has been the root without having any totals.
    recovering_since_ms: Option<u64>,
}

impl Exchange {
    pub(super) fn received_ms(&self, data_centre: &DataCentreId) -> u64 {
        self.sources
            .get(data_centre)
            .map_or(0, |source| source.received_ms)
    }

    pub(super) fn period_ms(&self, options: &FairShareOptions) -> u64 {
        self.period_ms.max(options.service_round_ms)
    }

    /// Returns whether totals are newer than the last ones received for their data centre.
    /// Totals of another root or another incarnation always count as newer.
    pub(super) fn is_newer(&self, totals: &ServiceTotals) -> bool {
        match self.sources.get(&totals.data_centre) {
            Some(source) if source.is_same_incarnation(totals) => totals.round > source.round,
            _ => true,
        }
    }

    /// Schedules the next report so that it arrives just before the root starts a round.
    pub(super) fn schedule_report(&mut self, totals: &ServiceTotals, lead_ms: u64, now: Now) {
        let period_ms = u64::from(totals.period_ms);
        self.period_ms = period_ms;
        self.next_round_ms = now.steady_ms + period_ms.saturating_sub(lead_ms);
    }
}

impl FairShare {
    /// Applies membership changes and, once per round, sends a report to the parent or, as
    /// the root, the totals. Call it every few milliseconds.
    pub fn tick(&mut self, view: &MemberView, now: Now) -> Vec<(InstanceId, PeerMessage)> {
        let mut messages = Vec::new();
        if self.live_members != view.live {
            self.live_members.clone_from(&view.live);
            self.topology = Topology::from_view(view, self.options.fan_in);
            self.expire_absent_children(now);
            if self.update_parent(now) {
                messages.extend(self.sync_new_parent());
            }
        }
        if now.steady_ms < self.exchange.next_round_ms || self.index_tables.is_empty() {
            self.count_bytes(&messages);
            return messages;
        }
        self.cap_lags(now);
        self.schedule_refresh(now);
        if let Some(parent) = self.topology.parent.clone() {
            self.exchange.recovering_since_ms = None;
            messages.extend(self.report(&parent, now));
        } else if self.has_recovered(now) {
            let period_ms = self.update_period();
            messages.extend(self.broadcast_local_totals(period_ms, now));
        }
        messages.extend(self.sync_new_peers());
        self.count_bytes(&messages);
        self.exchange.last_round_ms = now.steady_ms;
        self.exchange.next_round_ms = now.steady_ms + self.exchange.period_ms(&self.options);
        messages
    }

    /// Returns how much earlier than the root this router starts its round.
    pub(super) fn lead_ms(&self) -> u64 {
        self.options.hop_ms * u64::try_from(self.topology.depth).unwrap_or(1)
    }

    /// Takes the changed accounts that are due to be sent. Accounts without a backlog affect
    /// no scheduling decision yet and are sent less often.
    pub(super) fn take_due(&mut self, now: Now) -> IndexSet<AccountId> {
        let mut changed = std::mem::take(&mut self.changed);
        if now.steady_ms >= self.exchange.next_idle_ms {
            self.exchange.next_idle_ms = now.steady_ms + self.options.idle_round_ms;
            return changed;
        }
        let mut deferred = IndexSet::new();
        changed.retain(|id| {
            let is_urgent = self.is_urgent(id, now);
            if !is_urgent {
                deferred.insert(id.clone());
            }
            is_urgent
        });
        self.changed = deferred;
        changed
    }

    fn is_urgent(&self, id: &AccountId, now: Now) -> bool {
        // The other routers need to learn that a backlog ended, so an account that was last sent
        // as backlogged is urgent too.
        let may_be_outdated = self
            .accounts
            .get(id)
            .is_some_and(|account| account.backlog_sent || account.lift_unsent);
        may_be_outdated || self.is_backlogged(id, now)
    }

    /// Marks all accounts and lifts to be resent.
    pub(super) fn resend_all(&mut self) {
        self.changed.extend(self.accounts.keys().cloned());
        self.exchange.next_idle_ms = 0;
        for account in self.accounts.values_mut() {
            account.lift_unsent = account.lift_milliunits > 0;
        }
    }

    /// Counts sent messages against the byte budget.
    pub(super) fn count_bytes(&mut self, messages: &[(InstanceId, PeerMessage)]) {
        let bytes = messages.iter().map(|(_, message)| match message {
            PeerMessage::ServiceReport(report) => estimated_bytes(&report.figures),
            PeerMessage::ServiceTotals(totals) => estimated_bytes(&totals.figures),
            _ => 0,
        });
        self.exchange.round_bytes += bytes.sum::<u64>();
    }

    /// Extends the period if the last round exceeded its part of the byte budget.
    fn update_period(&mut self) -> u64 {
        let options = &self.options;
        let bytes = std::mem::take(&mut self.exchange.round_bytes);
        let needed_ms = bytes * 1_000 / options.budget_bytes_per_s.max(1);
        self.exchange.period_ms =
            needed_ms.clamp(options.service_round_ms, options.longest_round_ms);
        self.exchange.period_ms
    }

    /// Returns whether this root has totals, or has waited long enough to receive them.
    fn has_recovered(&mut self, now: Now) -> bool {
        let local_data_centre = &self.local_member.data_centre;
        let has_totals = self
            .accounts
            .values()
            .any(|account| account.totals.contains_key(local_data_centre));
        if has_totals || self.topology.size == 1 {
            self.exchange.recovering_since_ms = None;
            return true;
        }
        let since_ms = *self
            .exchange
            .recovering_since_ms
            .get_or_insert(now.steady_ms);
        now.since_ms(since_ms) >= self.options.recovery_ms
    }

    /// Marks some unchanged accounts to be resent, to recover from lost messages.
    fn schedule_refresh(&mut self, now: Now) {
        let total = self.accounts.len();
        let elapsed_ms = now.since_ms(self.exchange.last_round_ms);
        let refresh_ms = self.options.refresh_ms.max(1);
        let due =
            u64::try_from(total).unwrap_or(u64::MAX) * elapsed_ms.min(refresh_ms) / refresh_ms;
        for _ in 0..due {
            self.exchange.refresh_position = (self.exchange.refresh_position + 1) % total;
            let position = self.exchange.refresh_position;
            let Some((id, account)) = self.accounts.get_index_mut(position) else {
                break;
            };
            if account.subtree_units() != 0 || !account.totals.is_empty() {
                account.lift_unsent = account.lift_milliunits > 0;
                self.changed.insert(id.clone());
            }
        }
    }
}
