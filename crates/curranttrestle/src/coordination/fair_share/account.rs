//! The service figures of one account.

use indexmap::IndexMap;

use crate::state::DataCentreId;

/// The known total of one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Total {
    pub(super) units: i64,
    pub(super) backlogged: bool,
}

/// What one router knows of one account.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    pub(super) share: u32,
    /// Charged at this router.
    pub(super) own: f64,
    /// Reported by the children of this router.
    pub(super) below: i64,
    /// The part of `own` and `below` that the total of the home data centre includes.
    pub(super) reflected: i64,
    /// The part of `own` and `below` that another router passes on or counted.
    pub(super) handed: i64,
    /// The value of `own` and `below` where the link to the parent began.
    pub(super) link_start: i64,
    pub(super) lift_milliunits: u64,
    /// The lift was not sent since it changed.
    pub(super) lift_unsent: bool,
    /// Since when it has lagged by more than the cap on debts.
    pub(super) lagging_since_ms: Option<u64>,
    pub(super) backlogged_here: bool,
    /// The last report or totals said that it is backlogged.
    pub(super) backlog_sent: bool,
    /// How many children report a backlog.
    pub(super) backlogged_below: u32,
    pub(super) totals: IndexMap<DataCentreId, Total>,
}

impl Account {
    /// Units charged at this router and in its subtree.
    #[allow(clippy::cast_possible_truncation)]
    pub(super) fn subtree(&self) -> i64 {
        self.own.round() as i64 + self.below
    }

    /// All units that this router knows of.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn units(&self) -> f64 {
        let totals: i64 = self.totals.values().map(|total| total.units).sum();
        (totals + self.below - self.reflected) as f64 + self.own
    }

    /// Service per share without the lift.
    pub(super) fn unlifted_level(&self) -> f64 {
        self.units() / f64::from(self.share.max(1))
    }

    /// Service per share with the lift.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn level(&self) -> f64 {
        self.unlifted_level() + self.lift_milliunits as f64 / 1_000.0
    }

    /// Raises the lift so that the level is at least `level`. Says whether it was lower.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn lift_to(&mut self, level: f64) -> bool {
        let wanted = ((level - self.unlifted_level()) * 1_000.0).floor() as u64;
        let raised = wanted > self.lift_milliunits;
        self.merge_lift(Some(wanted));
        raised
    }

    /// Takes the greater one of two lifts.
    pub(super) fn merge_lift(&mut self, lift_milliunits: Option<u64>) {
        if let Some(lift) = lift_milliunits.filter(|lift| *lift > self.lift_milliunits) {
            self.lift_milliunits = lift;
            self.lift_unsent = true;
        }
    }

    /// The lift, if it was not sent since it changed.
    pub(super) fn take_unsent_lift(&mut self) -> Option<u64> {
        std::mem::take(&mut self.lift_unsent).then_some(self.lift_milliunits)
    }

    /// Adds what is new in the subtree of a root to the total of its data centre.
    pub(super) fn add_to_total(&mut self, home: &DataCentreId) {
        let subtree = self.subtree();
        let backlogged = self.backlogged_in_subtree();
        let total = self.totals.entry(home.clone()).or_default();
        total.units += subtree - self.reflected;
        total.backlogged = backlogged;
        self.reflected = subtree;
        self.backlog_sent = backlogged;
    }

    /// Whether requests wait in the subtree of this router.
    pub(super) fn backlogged_in_subtree(&self) -> bool {
        self.backlogged_here || self.backlogged_below > 0
    }
}
