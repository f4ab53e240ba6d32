//! Orders that bring an endpoint to the state it should have.

use crate::protocol::endpoint::{LoadReport, Order, OrderKind};
use crate::state::Now;

use super::DrainOptions;

/// What an endpoint should be doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredState {
    /// The model that should be loaded.
    pub model: Option<String>,
    /// The role it should have.
    pub role: Option<String>,
    /// The version of the platform's object that says so, the fencing number of the orders.
    pub fencing: u64,
}

/// A desired state and the last order for it.
#[derive(Clone, Debug)]
pub(super) struct Desired {
    pub state: DesiredState,
    /// When the last order was sent, as steady and as wall clock time.
    ordered: Option<Now>,
}

impl Desired {
    pub(super) fn new(state: DesiredState) -> Self {
        Self {
            state,
            ordered: None,
        }
    }

    /// The next order, if the endpoint reports another state than the desired one.
    ///
    /// Endpoints that ignore fencing numbers may take an old order after a newer one, so
    /// that the report decides and not the answer to an order.
    pub(super) fn order(
        &mut self,
        report: &LoadReport,
        now: Now,
        options: &DrainOptions,
    ) -> Option<Order> {
        let is_early = self.ordered.is_some_and(|ordered| {
            now.since_ms(ordered.steady_ms) < options.order_interval_ms
                || report.taken_unix_ms < ordered.unix_ms
        });
        if is_early {
            return None;
        }
        let kind = self.missing(report)?;
        self.ordered = Some(now);
        Some(Order {
            kind,
            fencing: self.state.fencing,
            incarnation: report.incarnation,
        })
    }

    fn missing(&self, report: &LoadReport) -> Option<OrderKind> {
        if let Some(model) = &self.state.model
            && *model != report.model
        {
            return Some(OrderKind::Load {
                model: model.clone(),
            });
        }
        if let Some(role) = &self.state.role
            && *role != report.role
        {
            return Some(OrderKind::Role { role: role.clone() });
        }
        None
    }
}
