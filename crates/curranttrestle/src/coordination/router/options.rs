//! Options of a router.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::coordination::claims::ClaimOptions;
use crate::coordination::config::ConfigSettings;
use crate::coordination::cost::CostOptions;
use crate::coordination::drain::DrainOptions;
use crate::coordination::fair_share::FairShareOptions;
use crate::coordination::membership::MembershipOptions;
use crate::coordination::quarantine::QuarantineOptions;
use crate::coordination::queue::QueueOptions;
use crate::coordination::retry_budget::RetryBudgetOptions;
use crate::coordination::slots::SlotOptions;
use crate::coordination::slow_endpoints::{HedgeBudget, HedgeOptions, SlowEndpointOptions};
use crate::coordination::store_call_limiter::StoreCallLimiterOptions;
use crate::state::InstanceId;

/// Policy by which queued requests are assigned to endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Owners lease slots to the least-served customers.
    #[default]
    Fair,
    /// Round robin over all endpoints, first come first served, with local concurrency limits.
    /// The baseline in experiments.
    Naive,
}

/// Options of a router, with a group for each module.
#[derive(Clone, Debug, Default)]
pub struct RouterOptions {
    /// Policy by which queued requests are assigned to endpoints.
    pub policy: Policy,
    /// Whether slow idempotent requests get a second attempt on another endpoint.
    pub hedging: bool,
    /// Addresses of routers through which the fleet is joined.
    pub seeds: Vec<SocketAddr>,
    /// Addresses to use for routers instead of the ones they announce.
    pub address_overrides: IndexMap<InstanceId, SocketAddr>,
    /// Whether a violated invariant panics.
    pub fatal_invariants: bool,
    /// Interval at which an owned endpoint is polled for its load.
    pub load_report_interval_ms: u64,
    /// Interval at which the platform's list of instances is read.
    pub instance_poll_interval_ms: u64,
    /// How long a stopping router without active requests waits for the store to accept claim
    /// results.
    pub result_flush_timeout_ms: u64,
    /// Limit on the store calls per second of all routers together.
    pub fleet_store_calls_per_s: u64,
    /// Limit on a customer's queued requests at this router if the sheet sets none.
    pub queue_per_customer: u32,
    /// Distribution of the sheet and the marks.
    pub config: ConfigSettings,
    /// Membership and failure detection.
    pub membership: MembershipOptions,
    /// Request queues.
    pub queue: QueueOptions,
    /// Fair-share accounting.
    pub fair_share: FairShareOptions,
    /// Slot leases.
    pub slots: SlotOptions,
    /// Claims of non-idempotent requests.
    pub claims: ClaimOptions,
    /// Rate limit and backoff of store calls.
    pub store_call_limiter: StoreCallLimiterOptions,
    /// Draining and stopping of endpoints.
    pub drain: DrainOptions,
    /// Quarantine of requests that crash endpoints.
    pub quarantine: QuarantineOptions,
    /// Retry budget.
    pub retries: RetryBudgetOptions,
    /// Hedging.
    pub hedges: HedgeOptions,
    /// Budget for hedges.
    pub hedge_budget: HedgeBudget,
    /// Cost estimation.
    pub cost: CostOptions,
    /// Detection of slow endpoints.
    pub slow_endpoints: SlowEndpointOptions,
}
