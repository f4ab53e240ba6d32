//! The settings of leaving and stopping endpoints.

/// How endpoints leave and are stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainOptions {
    /// The longest time a slot lease lasts.
    pub lease_ms: u64,
    /// How long news takes to reach every router that is not cut off.
    pub spread_ms: u64,
    /// The largest difference between the clocks of a router and an endpoint that is not
    /// seen from its reports, with the time a request may be under way.
    pub clock_margin_ms: u64,
    /// The shortest time between two load reports that both show nothing running.
    pub report_spacing_ms: u64,
    /// How many load reports in a row must show nothing running.
    pub empty_reports: u32,
    /// How long another router's word holds that its attempts run on an endpoint.
    pub busy_hold_ms: u64,
    /// How long a sent order may be under way before it must not be sent any more.
    pub order_valid_ms: u64,
    /// The time between two equal orders.
    pub order_interval_ms: u64,
    /// The time between two messages that repeat what is known.
    pub notice_interval_ms: u64,
    /// How many routers are told of news at once.
    pub notice_fanout: usize,
    /// The most endpoints in one message.
    pub max_notices: usize,
    /// Whether a violated invariant panics.
    pub fatal_invariants: bool,
}

impl Default for DrainOptions {
    fn default() -> Self {
        Self {
            lease_ms: 2_500,
            spread_ms: 5_000,
            clock_margin_ms: 1_000,
            report_spacing_ms: 500,
            empty_reports: 2,
            busy_hold_ms: 10_000,
            order_valid_ms: 1_000,
            order_interval_ms: 2_000,
            notice_interval_ms: 1_000,
            notice_fanout: 4,
            max_notices: 32,
            fatal_invariants: false,
        }
    }
}
