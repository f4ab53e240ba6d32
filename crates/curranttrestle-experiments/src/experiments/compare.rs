//! Runs the same load with each policy.

use curranttrestle::state::settings::PolicyKind;

use crate::Result;
use crate::fleet::{Fleet, FleetPlan};
use crate::load::{Observations, Workload, run_load};

/// The measurements with each policy.
pub struct Comparison {
    /// With the naive policy.
    pub naive: Observations,
    /// With the fair policy.
    pub fair: Observations,
}

impl Comparison {
    /// Both measurements with the names of their policies, naive first.
    pub fn each(&self) -> [(&'static str, &Observations); 2] {
        [("naive", &self.naive), ("fair", &self.fair)]
    }
}

/// Runs `workload` against a fresh fleet for each policy, one after the other.
pub fn compare(plan: &FleetPlan, workload: &Workload, duration_ms: u64) -> Result<Comparison> {
    Ok(Comparison {
        naive: observe(plan, PolicyKind::Naive, workload, duration_ms)?,
        fair: observe(plan, PolicyKind::Fair, workload, duration_ms)?,
    })
}

/// Runs `workload` against a fresh fleet with the given policy.
pub fn observe(
    plan: &FleetPlan,
    policy: PolicyKind,
    workload: &Workload,
    duration_ms: u64,
) -> Result<Observations> {
    let fleet = Fleet::start(FleetPlan {
        policy,
        ..plan.clone()
    })?;
    let observations = run_load(&fleet, workload, duration_ms);
    fleet.stop();
    observations
}
