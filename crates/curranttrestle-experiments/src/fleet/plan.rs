//! The size and configuration of a fleet.

use curranttrestle::state::settings::{LoadReports, PolicyKind};

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerPlan {
    /// The name.
    pub name: String,
    /// The fair share, relative to those of other customers.
    pub share: u32,
}

/// The size and configuration of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPlan {
    /// The number of data centres.
    pub data_centre_count: usize,
    /// Routers in each data centre.
    pub routers: usize,
    /// Engines in each data centre.
    pub engines: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// The time per token in milliseconds while an engine runs a single stream.
    pub token_interval_ms: f64,
    /// The fraction by which each further stream on an engine increases the time per token.
    pub batch_slowdown: f64,
    /// The age of the state in a load report, in milliseconds.
    pub load_lag_ms: u64,
    /// How long an engine continues a stream that nobody reads, in milliseconds.
    pub grace_ms: u64,
    /// The customers.
    pub customers: Vec<CustomerPlan>,
    /// The limit of queued requests per customer at each router.
    pub queue_per_customer: u32,
    /// The policy of the routers.
    pub policy: PolicyKind,
    /// Whether slow requests may be hedged with a second attempt.
    pub hedging: bool,
    /// How routers use load reports.
    pub load_reports: LoadReports,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            data_centre_count: 3,
            routers: 2,
            engines: 4,
            slots: 6,
            token_interval_ms: 12.0,
            batch_slowdown: 0.02,
            load_lag_ms: 300,
            grace_ms: 500,
            customers: customers(16),
            queue_per_customer: 400,
            policy: PolicyKind::Fair,
            hedging: true,
            load_reports: LoadReports::Reconcile,
        }
    }
}

impl FleetPlan {
    /// The names of the data centres.
    pub fn data_centres(&self) -> Vec<String> {
        (0..self.data_centre_count)
            .map(|number| format!("dc{number}"))
            .collect()
    }

    /// The number of routers in all data centres.
    pub fn router_count(&self) -> usize {
        self.data_centre_count * self.routers
    }

    /// The number of slots on all engines.
    pub fn slot_count(&self) -> u64 {
        let engines = self.data_centre_count * self.engines;
        engines as u64 * u64::from(self.slots)
    }

    /// The time per token in milliseconds while all slots of an engine are busy.
    pub fn full_interval_ms(&self) -> f64 {
        self.token_interval_ms * (1.0 + self.batch_slowdown * f64::from(self.slots - 1))
    }

    /// The token throughput per second of all slots together.
    pub fn tokens_per_s(&self) -> f64 {
        crate::statistics::float(self.slot_count()) * 1_000.0 / self.full_interval_ms()
    }
}

/// Creates customers of which the first four have larger shares.
fn customers(count: usize) -> Vec<CustomerPlan> {
    let share_of = |index| match index {
        0 | 1 => 8,
        2 | 3 => 4,
        _ => 1,
    };
    (0..count)
        .map(|index| CustomerPlan {
            name: format!("customer-{index:02}"),
            share: share_of(index),
        })
        .collect()
}
