//! Options of draining.

/// When endpoints are stopped, and how updates spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainOptions {
    /// The maximum duration of a slot lease.
    pub lease_ms: u64,
    /// How long an update takes to reach every router that is not partitioned.
    pub propagation_ms: u64,
    /// The maximum clock skew between a router and an endpoint that load reports do not reveal, plus
    /// the maximum time that a dispatched request takes to arrive at the endpoint.
    pub clock_margin_ms: u64,
    /// The minimum time between two load reports that both count as idle.
    pub min_report_spacing_ms: u64,
    /// How many consecutive load reports must show nothing running.
    pub min_idle_reports: u32,
    /// How long an endpoint counts as busy after attempts of this or another router were last known
    /// to run on it.
    pub busy_ttl_ms: u64,
    /// How long after its creation an order may still be sent.
    pub order_valid_ms: u64,
    /// The minimum time between two stop orders, or between two orders for one desired state.
    pub order_interval_ms: u64,
    /// The interval between two anti-entropy messages.
    pub notice_interval_ms: u64,
    /// The number of routers to which a router forwards an update.
    pub notice_fanout: usize,
    /// The maximum number of endpoints in one message.
    pub max_notices: usize,
    /// Whether a violated invariant panics.
    pub fatal_invariants: bool,
}

impl Default for DrainOptions {
    fn default() -> Self {
        Self {
            lease_ms: 2_500,
            propagation_ms: 5_000,
            clock_margin_ms: 1_000,
            min_report_spacing_ms: 500,
            min_idle_reports: 2,
            busy_ttl_ms: 10_000,
            order_valid_ms: 1_000,
            order_interval_ms: 2_000,
            notice_interval_ms: 1_000,
            notice_fanout: 4,
            max_notices: 32,
            fatal_invariants: false,
        }
    }
}
