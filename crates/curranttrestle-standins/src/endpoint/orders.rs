//! Orders with fencing numbers, and the state of an endpoint that is leaving.

use curranttrestle::protocol::endpoint::{Order, OrderKind, OrderResponse};
use serde::{Deserialize, Serialize};

/// Ground truth about orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderTruth {
    /// The applied orders, oldest first.
    pub applied: Vec<Order>,
    /// Number of orders applied although a greater fencing number had been applied before.
    pub stale_applied: u64,
    /// Number of orders refused because of a stale fencing number.
    pub stale_refused: u64,
    /// Number of orders refused because they were for another incarnation.
    pub other_incarnation: u64,
    /// The greatest fencing number of all applied orders, across restarts.
    pub greatest_fencing: u64,
    /// Time at which a stop order was applied.
    pub stopped_unix_ms: Option<u64>,
    /// Number of requests aborted by a stop order.
    pub cut_by_stop: u64,
}

/// Validates and applies orders, and holds the state they set.
#[derive(Debug)]
pub(crate) struct OrderLog {
    checks_fencing: bool,
    checks_incarnation: bool,
    fencing_watermark: u64,
    pub(crate) model: String,
    pub(crate) role: String,
    pub(crate) truth: OrderTruth,
}

impl OrderLog {
    pub(crate) fn new(checks_fencing: bool, checks_incarnation: bool, model: &str) -> Self {
        Self {
            checks_fencing,
            checks_incarnation,
            fencing_watermark: 0,
            model: model.to_owned(),
            role: String::from("serve"),
            truth: OrderTruth::default(),
        }
    }

    /// Validates and applies an order. A stop order is only recorded: if the response is `Applied`,
    /// the caller must execute it.
    pub(crate) fn receive(&mut self, order: &Order, incarnation: u64) -> OrderResponse {
        if self.checks_incarnation && order.incarnation != incarnation {
            self.truth.other_incarnation += 1;
            return OrderResponse::OtherIncarnation { incarnation };
        }
        if self.checks_fencing && order.fencing < self.fencing_watermark {
            self.truth.stale_refused += 1;
            return OrderResponse::Stale {
                greatest: self.fencing_watermark,
            };
        }
        let greatest = self.truth.greatest_fencing;
        self.truth.stale_applied += u64::from(order.fencing < greatest);
        self.truth.greatest_fencing = greatest.max(order.fencing);
        self.fencing_watermark = self.fencing_watermark.max(order.fencing);
        self.truth.applied.push(order.clone());
        self.apply(&order.kind);
        OrderResponse::Applied
    }

    fn apply(&mut self, kind: &OrderKind) {
        match kind {
            OrderKind::Load { model } => self.model.clone_from(model),
            OrderKind::Role { role } => self.role.clone_from(role),
            OrderKind::Stop => {}
        }
    }

    /// Resets the fencing watermark, as the restart of a process does.
    pub(crate) fn reset_fencing(&mut self) {
        self.fencing_watermark = 0;
    }

    /// Records that a stop order was executed and how many requests it aborted.
    pub(crate) fn record_stop(&mut self, unix_ms: u64, aborted: u64) {
        self.truth.stopped_unix_ms.get_or_insert(unix_ms);
        self.truth.cut_by_stop += aborted;
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.truth.stopped_unix_ms.is_some()
    }
}

/// Ground truth about requests admitted after the endpoint was marked as leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingTruth {
    /// Time at which the endpoint was marked as leaving.
    pub marked_unix_ms: Option<u64>,
    /// For each request admitted since: the time between the mark and its admission.
    pub admitted_after_ms: Vec<u64>,
}

/// Records the requests admitted after the endpoint was marked as leaving. The mark doesn't
/// affect how requests are served.
#[derive(Debug, Default)]
pub(crate) struct LeavingLog {
    pub(crate) truth: LeavingTruth,
}

impl LeavingLog {
    pub(crate) fn mark(&mut self, unix_ms: u64) {
        self.truth.marked_unix_ms.get_or_insert(unix_ms);
    }

    pub(crate) fn record_admission(&mut self, unix_ms: u64) {
        if let Some(marked) = self.truth.marked_unix_ms {
            let elapsed_ms = unix_ms.saturating_sub(marked);
            self.truth.admitted_after_ms.push(elapsed_ms);
        }
    }
}
