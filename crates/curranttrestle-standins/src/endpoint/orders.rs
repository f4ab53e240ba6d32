//! Orders, fencing numbers and the mark of an endpoint that is leaving.

use curranttrestle::protocol::endpoint::{Order, OrderAnswer, OrderKind};
use serde::{Deserialize, Serialize};

/// What became of the orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderTruth {
    /// The orders that took effect, in order.
    pub applied: Vec<Order>,
    /// How many orders took effect although a greater fencing number had been seen.
    pub stale_applied: u64,
    /// How many orders were refused for their fencing number.
    pub stale_refused: u64,
    /// How many orders were refused since they named another run.
    pub other_incarnation: u64,
    /// The greatest fencing number seen.
    pub greatest_fencing: u64,
    /// When a stop order took effect.
    pub stopped_unix_ms: Option<u64>,
    /// How many requests a stop order cut.
    pub cut_by_stop: u64,
}

/// Takes orders and keeps what they set.
#[derive(Debug)]
pub(crate) struct OrderLog {
    checks_fencing: bool,
    checks_incarnation: bool,
    remembered_fencing: u64,
    pub(crate) model: String,
    pub(crate) role: String,
    pub(crate) truth: OrderTruth,
}

impl OrderLog {
    pub(crate) fn new(checks_fencing: bool, checks_incarnation: bool, model: &str) -> Self {
        Self {
            checks_fencing,
            checks_incarnation,
            remembered_fencing: 0,
            model: model.to_owned(),
            role: String::from("serve"),
            truth: OrderTruth::default(),
        }
    }

    /// Takes an order. The caller carries out a stop order that was applied.
    pub(crate) fn take(&mut self, order: &Order, incarnation: u64) -> OrderAnswer {
        if self.checks_incarnation && order.incarnation != incarnation {
            self.truth.other_incarnation += 1;
            return OrderAnswer::OtherIncarnation { incarnation };
        }
        if self.checks_fencing && order.fencing < self.remembered_fencing {
            self.truth.stale_refused += 1;
            return OrderAnswer::Stale {
                greatest: self.remembered_fencing,
            };
        }
        let greatest = self.truth.greatest_fencing;
        self.truth.stale_applied += u64::from(order.fencing < greatest);
        self.truth.greatest_fencing = greatest.max(order.fencing);
        self.remembered_fencing = self.remembered_fencing.max(order.fencing);
        self.truth.applied.push(order.clone());
        self.apply(&order.kind);
        OrderAnswer::Applied
    }

    fn apply(&mut self, kind: &OrderKind) {
        match kind {
            OrderKind::Load { model } => self.model.clone_from(model),
            OrderKind::Role { role } => self.role.clone_from(role),
            OrderKind::Stop => {}
        }
    }

    /// Forgets the fencing numbers seen, as a restarted process does.
    pub(crate) fn forget(&mut self) {
        self.remembered_fencing = 0;
    }

    /// Notes that a stop order was carried out.
    pub(crate) fn stop(&mut self, unix_ms: u64, cut: u64) {
        self.truth.stopped_unix_ms.get_or_insert(unix_ms);
        self.truth.cut_by_stop += cut;
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.truth.stopped_unix_ms.is_some()
    }
}

/// What arrived after the leaving mark.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingTruth {
    /// When the mark was set.
    pub marked_unix_ms: Option<u64>,
    /// How long after the mark each later request was admitted.
    pub admitted_after_ms: Vec<u64>,
}

/// The mark of an endpoint that is leaving. It changes nothing but what is recorded.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    pub(crate) truth: LeavingTruth,
}

impl Leaving {
    pub(crate) fn mark(&mut self, unix_ms: u64) {
        self.truth.marked_unix_ms.get_or_insert(unix_ms);
    }

    pub(crate) fn admitted(&mut self, unix_ms: u64) {
        if let Some(marked) = self.truth.marked_unix_ms {
            let after_ms = unix_ms.saturating_sub(marked);
            self.truth.admitted_after_ms.push(after_ms);
        }
    }
}
