//! A small fleet in this process: the platform, engines and routers of three data centres.

mod metrics;
mod plan;
mod routers;
mod sheet;
mod truth;

use std::net::SocketAddr;

use curranttrestle::state::settings::Settings;
use curranttrestle_standins::engine::{self, EngineHandle, EngineOptions};
use curranttrestle_standins::platform::{self, PlatformHandle, PlatformOptions};

use crate::Result;
use routers::Routers;

pub use metrics::Metrics;
pub use plan::FleetPlan;
pub use sheet::{OPERATION, key_of};
pub use truth::{Sampler, TruthSample};

/// The operators' token of the fleets of experiments.
const OPERATORS_TOKEN: &str = "experiment-operators-token";

/// A running fleet. It ends when it is dropped.
pub struct Fleet {
    /// What it consists of.
    pub plan: FleetPlan,
    /// The engines.
    pub engines: Vec<EngineHandle>,
    platform: PlatformHandle,
    routers: Routers,
}

impl Fleet {
    /// Starts a fleet and waits until its sheet is in force and its slots are lent.
    pub fn start(plan: FleetPlan) -> Result<Self> {
        let platform = platform::start(PlatformOptions::default())?;
        let engines = start_engines(&plan)?;
        let routers = Routers::start(&plan, platform.address())?;
        let fleet = Self {
            plan,
            engines,
            platform,
            routers,
        };
        let sheet = sheet::write(&fleet.plan, &fleet.engines);
        fleet.routers.submit(&sheet)?;
        fleet.routers.wait_ready()?;
        Ok(fleet)
    }

    /// Where callers are served, a router each.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.routers.callers()
    }

    /// The metrics of all routers.
    pub fn metrics(&self) -> Vec<Metrics> {
        self.routers.metrics()
    }

    /// How many calls the platform counted.
    pub fn store_calls(&self) -> u64 {
        self.platform.truth().total.calls()
    }

    /// Ends all routers and stand-ins.
    pub fn stop(self) {
        self.routers.stop();
        for engine in self.engines {
            engine.stop();
        }
        self.platform.stop();
    }
}

fn start_engines(plan: &FleetPlan) -> Result<Vec<EngineHandle>> {
    let mut engines = Vec::new();
    for data_centre in plan.data_centres() {
        for number in 0..plan.engines {
            let options = EngineOptions {
                name: format!("engine-{data_centre}-{number}"),
                data_centre: data_centre.clone(),
                slots: plan.slots,
                token_interval_ms: plan.token_interval_ms,
                batch_slowdown: plan.batch_slowdown,
                load_lag_ms: plan.load_lag_ms,
                grace_ms: plan.grace_ms,
                ..EngineOptions::default()
            };
            engines.push(engine::start(options)?);
        }
    }
    Ok(engines)
}

/// The settings of one router, without its seeds.
fn settings(plan: &FleetPlan, name: &str, data_centre: &str, platform: SocketAddr) -> Settings {
    use curranttrestle::state::settings::{
        Fleet, Instance, Limits, Operators, Platform, Policy, Secret,
    };
    use curranttrestle::state::sheet::KeyDigest;
    Settings {
        instance: Instance {
            name: name.into(),
            data_centre: data_centre.into(),
        },
        platform: Platform {
            address: platform,
            ..Platform::default()
        },
        fleet: Fleet {
            key: Secret::new("experiment-fleet-key"),
            ..Fleet::default()
        },
        operators: Operators {
            token_digest: KeyDigest::of(OPERATORS_TOKEN),
        },
        limits: Limits {
            queue_per_customer: plan.queue_per_customer,
            ..Limits::default()
        },
        policy: Policy {
            kind: plan.policy,
            hedging: plan.hedging,
            load_reports: plan.load_reports,
        },
        ..Settings::default()
    }
}
