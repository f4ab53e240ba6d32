//! The sheet of a fleet.

use std::fmt::Write as _;

use curranttrestle::state::sheet::KeyDigest;
use curranttrestle_standins::engine::EngineHandle;

use super::FleetPlan;

/// The operation of all requests.
pub const OPERATION: &str = "draft-report";

/// The API key of a customer.
pub fn key_of(customer: &str) -> String {
    format!("key-of-{customer}")
}

/// Writes the sheet with all customers and engines of a fleet.
pub fn write(plan: &FleetPlan, engines: &[EngineHandle]) -> String {
    let mut sheet = String::new();
    for customer in &plan.customers {
        let digest = hex::encode(KeyDigest::of(&key_of(&customer.name)).0);
        let _ = writeln!(
            sheet,
            "customer,{},{},{digest},",
            customer.name, customer.share
        );
    }
    let _ = writeln!(sheet, "operation,{OPERATION},model,yes,0,40");
    let data_centres = plan.data_centres();
    for (index, engine) in engines.iter().enumerate() {
        let data_centre = &data_centres[index / plan.engines];
        let number = index % plan.engines;
        let _ = writeln!(
            sheet,
            "endpoint,engine-{data_centre}-{number},model,model,{data_centre},{},{},yes,no",
            engine.address(),
            plan.slots,
        );
    }
    sheet
}
