//! A small fleet in this process: a stand-in platform, stand-in engines and real routers, by
//! default in three data centres.

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

/// The operators' token of all routers.
const OPERATORS_TOKEN: &str = "experiment-operators-token";

/// A running fleet. It ends when it is dropped; [`Fleet::stop`] shuts it down gracefully.
pub struct Fleet {
    /// The plan it was started from.
    pub plan: FleetPlan,
    /// The engines, ordered by data centre.
    pub engines: Vec<EngineHandle>,
    platform: PlatformHandle,
    routers: Routers,
}

impl Fleet {
    /// Starts a fleet and waits until its sheet is in force and slots can be leased.
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

    /// The caller-facing address of each router.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.routers.callers()
    }

    /// The metrics of all routers.
    pub fn metrics(&self) -> Vec<Metrics> {
        self.routers.metrics()
    }

    /// The number of store calls that the platform has counted.
    pub fn store_calls(&self) -> u64 {
        self.platform.truth().total.calls()
    }

    /// Stops all routers and stand-ins.
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

/// The settings of one router, without its seed peers.
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
