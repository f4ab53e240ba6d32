//! The service counters of one account.

use indexmap::IndexMap;

use crate::state::DataCentreId;

/// The last known total of one data centre for an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Total {
    pub(super) units: i64,
    pub(super) backlogged: bool,
}

/// The state of one account at one router.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    pub(super) share: u32,
    /// Units charged at this router.
    pub(super) own_units: f64,
    /// Units reported by the children of this router.
    pub(super) child_units: i64,
    /// The part of the subtree's units that the total of the local data centre includes.
    pub(super) included_units: i64,
    /// The part of the subtree's units that another router forwards or has counted.
    pub(super) handed_off_units: i64,
    /// The subtree's units at which the counters of the link to the parent start.
    pub(super) link_start_units: i64,
    /// The lift, in thousandths of a unit per share.
    pub(super) lift_milliunits: u64,
    /// Whether the lift has changed since it was last sent.
    pub(super) lift_unsent: bool,
    /// Since when the account has exceeded the maximum lag; `None` if it does not.
    pub(super) lagging_since_ms: Option<u64>,
    pub(super) has_own_backlog: bool,
    /// Whether the last report or totals sent marked the account as backlogged.
    pub(super) backlog_sent: bool,
    /// Number of children that report a backlog.
    pub(super) backlogged_children: u32,
    pub(super) totals: IndexMap<DataCentreId, Total>,
}

impl Account {
    /// Returns the units charged at this router and its descendants.
    #[allow(clippy::cast_possible_truncation)]
    pub(super) fn subtree_units(&self) -> i64 {
        self.own_units.round() as i64 + self.child_units
    }

    /// Returns the fleet-wide units known to this router.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn units(&self) -> f64 {
        let totals: i64 = self.totals.values().map(|total| total.units).sum();
        (totals + self.child_units - self.included_units) as f64 + self.own_units
    }

    /// Returns the service per share without the lift.
    pub(super) fn unlifted_level(&self) -> f64 {
        self.units() / f64::from(self.share.max(1))
    }

    /// Returns the service per share including the lift.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn level(&self) -> f64 {
        self.unlifted_level() + self.lift_milliunits as f64 / 1_000.0
    }

    /// Raises the lift so that the level is at least `level`. Returns whether it was raised.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn lift_to(&mut self, level: f64) -> bool {
        let required_lift = ((level - self.unlifted_level()) * 1_000.0).floor() as u64;
        let raised = required_lift > self.lift_milliunits;
        self.merge_lift(Some(required_lift));
        raised
    }

    /// Merges a received lift by maximum.
    pub(super) fn merge_lift(&mut self, lift_milliunits: Option<u64>) {
        if let Some(lift) = lift_milliunits.filter(|lift| *lift > self.lift_milliunits) {
            self.lift_milliunits = lift;
            self.lift_unsent = true;
        }
    }

    /// Returns the lift if it has changed since it was last sent, and marks it as sent.
    pub(super) fn take_unsent_lift(&mut self) -> Option<u64> {
        std::mem::take(&mut self.lift_unsent).then_some(self.lift_milliunits)
    }

    /// Adds the units of this root's subtree that its data centre's total does not include
    /// yet.
    pub(super) fn add_to_total(&mut self, local_data_centre: &DataCentreId) {
        let subtree_units = self.subtree_units();
        let backlogged = self.backlogged_in_subtree();
        let total = self.totals.entry(local_data_centre.clone()).or_default();
        total.units += subtree_units - self.included_units;
        total.backlogged = backlogged;
        self.included_units = subtree_units;
        self.backlog_sent = backlogged;
    }

    /// Returns whether requests are waiting at this router or its descendants.
    pub(super) fn backlogged_in_subtree(&self) -> bool {
        self.has_own_backlog || self.backlogged_children > 0
    }
}
