//! The options of a router.

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
use crate::coordination::speed::{HedgeBudget, HedgeOptions, SpeedOptions};
use crate::coordination::store_gate::StoreGateOptions;
use crate::state::InstanceId;

/// How waiting requests are matched with endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Slots are lent by their owners to the least-served customers.
    #[default]
    Fair,
    /// Round robin over all endpoints, first come first served, with local limits. Serves
    /// as the baseline of experiments.
    Naive,
}

/// The options of a router, one group for each module.
#[derive(Clone, Debug, Default)]
pub struct RouterOptions {
    /// How waiting requests are matched with endpoints.
    pub policy: Policy,
    /// Whether slow idempotent requests are started a second time elsewhere.
    pub hedging: bool,
    /// Addresses at which the fleet may be joined.
    pub seeds: Vec<SocketAddr>,
    /// Addresses at which routers are reached in place of those that they announce.
    pub via: IndexMap<InstanceId, SocketAddr>,
    /// A violated invariant ends the process.
    pub fatal_invariants: bool,
    /// Time between two load reports of an owned endpoint.
    pub load_report_interval_ms: u64,
    /// Time between two readings of the platform's list of instances.
    pub instances_interval_ms: u64,
    /// How long a stopping router without requests waits for the store to take results.
    pub settle_timeout_ms: u64,
    /// Store calls that all routers together may make in a second.
    pub fleet_store_calls_per_s: u64,
    /// How many requests of a customer may wait here when the sheet gives no limit.
    pub queue_per_customer: u32,
    /// The sheet and the marks.
    pub config: ConfigSettings,
    /// Membership.
    pub membership: MembershipOptions,
    /// Queues.
    pub queue: QueueOptions,
    /// The service each customer got.
    pub fair_share: FairShareOptions,
    /// Slot leases.
    pub slots: SlotOptions,
    /// Claims of requests that may not run twice.
    pub claims: ClaimOptions,
    /// Store calls.
    pub store_gate: StoreGateOptions,
    /// Leaving and stopping endpoints.
    pub drain: DrainOptions,
    /// Requests that crash endpoints.
    pub quarantine: QuarantineOptions,
    /// Retries.
    pub retries: RetryBudgetOptions,
    /// Second attempts beside slow first ones.
    pub hedges: HedgeOptions,
    /// How many of them may be made.
    pub hedge_budget: HedgeBudget,
    /// Expected costs.
    pub cost: CostOptions,
    /// Slow endpoints.
    pub speed: SpeedOptions,
}
