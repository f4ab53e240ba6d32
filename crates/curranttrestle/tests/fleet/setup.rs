//! Configuration of a simulated fleet.

use super::*;

/// Configuration of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    pub seed: u64,
    pub data_centres: usize,
    pub routers: usize,
    pub endpoints: usize,
    pub slots: u32,
    /// Share and load of each customer.
    pub customers: Vec<(u32, Load)>,
    /// Number of routers that each customer's callers use.
    pub routers_per_customer: usize,
    pub mean_cost: f64,
    pub straggler_probability: f64,
    /// Cost hints are off by up to this factor.
    pub hint_factor: f64,
    pub link_ms: u64,
    pub loss: f64,
    /// Maximum time for which an endpoint continues a request after its router has failed.
    pub abandoned_run_ms: u64,
    pub report_lag_ms: u64,
    pub slot_options: SlotOptions,
    pub share_options: FairShareOptions,
}

/// How the requests of one customer arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// This many requests are waiting at each of its routers at all times.
    Backlog(usize),
    /// Random arrivals with this mean rate per second, fleet-wide.
    PerSecond(f64),
    /// One arrival per period of this many milliseconds.
    EveryMs(u64),
}

impl Default for FleetSetup {
    fn default() -> Self {
        let customers = (0..16)
            .map(|index| match index % 3 {
                0 => (1, Load::PerSecond(5.0)),
                _ => (1 + index % 4, Load::Backlog(4)),
            })
            .collect();
        Self {
            seed: 1,
            data_centres: 1,
            routers: 6,
            endpoints: 12,
            slots: 8,
            customers,
            routers_per_customer: 2,
            mean_cost: 100.0,
            straggler_probability: 0.05,
            hint_factor: 4.0,
            link_ms: 1,
            loss: 0.0,
            abandoned_run_ms: 500,
            report_lag_ms: 200,
            slot_options: SlotOptions::default(),
            share_options: FairShareOptions::default(),
        }
    }
}

pub const POOL: &str = "model";

pub fn customer(index: usize) -> CustomerId {
    CustomerId::new(&format!("c{index}"))
}

pub fn account(index: usize) -> AccountId {
    AccountId {
        pool: PoolId::new(POOL),
        customer: customer(index),
    }
}

pub fn data_centre(index: usize) -> DataCentreId {
    DataCentreId::new(&format!("dc{index}"))
}

pub fn sheet(setup: &FleetSetup) -> Sheet {
    let mut sheet = Sheet {
        number: 1,
        ..Sheet::default()
    };
    for (index, (share, _)) in setup.customers.iter().enumerate() {
        let row = Customer {
            share: *share,
            key_digest: KeyDigest([0; 32]),
            queue_limit: 1_000,
        };
        sheet.customers.insert(customer(index), row);
    }
    for index in 0..setup.endpoints {
        let endpoint = Endpoint {
            pool: PoolId::new(POOL),
            kind: EndpointKind::Model,
            data_centre: data_centre(index % setup.data_centres),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: setup.slots,
            checks_fencing: true,
            leaving: false,
        };
        sheet
            .endpoints
            .insert(EndpointId::new(&format!("e{index}")), endpoint);
    }
    sheet
}
