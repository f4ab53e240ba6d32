//! What a fleet consists of.

use curranttrestle::state::settings::{LoadReports, PolicyKind};

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerPlan {
    /// Its name.
    pub name: String,
    /// Its share.
    pub share: u32,
}

/// What a fleet consists of.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPlan {
    /// How many data centres there are.
    pub data_centre_count: usize,
    /// Routers in each data centre.
    pub routers: usize,
    /// Engines in each data centre.
    pub engines: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// The time of one token when one stream runs.
    pub token_interval_ms: f64,
    /// How much each further stream of an engine adds to the time of a token, as a fraction.
    pub batch_slowdown: f64,
    /// How old the state is that a load report shows.
    pub load_lag_ms: u64,
    /// How long an engine goes on with a stream that nobody reads.
    pub grace_ms: u64,
    /// The customers.
    pub customers: Vec<CustomerPlan>,
    /// How many requests of a customer may wait at a router.
    pub queue_per_customer: u32,
    /// The policy of the routers.
    pub policy: PolicyKind,
    /// Whether slow requests may get a second attempt.
    pub hedging: bool,
    /// What a load report counts for.
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

    /// How many routers there are.
    pub fn router_count(&self) -> usize {
        self.data_centre_count * self.routers
    }

    /// How many slots there are.
    pub fn slot_count(&self) -> u64 {
        let engines = self.data_centre_count * self.engines;
        engines as u64 * u64::from(self.slots)
    }

    /// The time of one token when all slots of an engine are busy.
    pub fn full_interval_ms(&self) -> f64 {
        self.token_interval_ms * (1.0 + self.batch_slowdown * f64::from(self.slots - 1))
    }

    /// Tokens that all slots together make in a second.
    pub fn tokens_per_s(&self) -> f64 {
        crate::statistics::float(self.slot_count()) * 1_000.0 / self.full_interval_ms()
    }
}

/// Customers of whom the first few are large.
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
