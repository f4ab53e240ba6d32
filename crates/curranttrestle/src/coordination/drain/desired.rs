//! Orders that bring an endpoint to its desired state.

use crate::protocol::endpoint::{LoadReport, Order, OrderKind};
use crate::state::Now;

use super::DrainOptions;

/// The desired state of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredState {
    /// The model that should be loaded; `None` for any.
    pub model: Option<String>,
    /// The role that the endpoint should have; `None` for any.
    pub role: Option<String>,
    /// The fencing number of the orders: the version of the platform's object that sets this state.
    pub fencing: u64,
}

/// A desired state and the last order sent for it.
#[derive(Clone, Debug)]
pub(super) struct Desired {
    pub state: DesiredState,
    /// When the last order was sent, on the steady clock and the wall clock.
    last_order: Option<Now>,
}

impl Desired {
    pub(super) fn new(state: DesiredState) -> Self {
        Self {
            state,
            last_order: None,
        }
    }

    /// The next order, if the reported state differs from the desired one.
    ///
    /// Endpoints that ignore fencing numbers may apply an old order after a newer one, so the next
    /// order depends on the endpoint's report, not on the response to the previous order.
    pub(super) fn order(
        &mut self,
        report: &LoadReport,
        now: Now,
        options: &DrainOptions,
    ) -> Option<Order> {
        let is_early = self.last_order.is_some_and(|last_order| {
            now.since_ms(last_order.steady_ms) < options.order_interval_ms
                || report.taken_unix_ms < last_order.unix_ms
        });
        if is_early {
            return None;
        }
        let kind = self.next_order_kind(report)?;
        self.last_order = Some(now);
        Some(Order {
            kind,
            fencing: self.state.fencing,
            incarnation: report.incarnation,
        })
    }

    fn next_order_kind(&self, report: &LoadReport) -> Option<OrderKind> {
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
