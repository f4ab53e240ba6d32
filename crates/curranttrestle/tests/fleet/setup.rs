//! What a run is made of.

use super::*;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub data_centres: usize,
    pub routers: usize,
    pub endpoints: usize,
    pub slots: u32,
    /// Shares of the customers, and the arrivals of each.
    pub customers: Vec<(u32, Load)>,
    /// On how many routers each customer's callers are.
    pub spread: usize,
    pub mean_cost: f64,
    pub straggler_part: f64,
    /// Costs are estimated wrong by up to this factor.
    pub hint_factor: f64,
    pub link_ms: u64,
    pub loss: f64,
    /// How long an engine runs on for a router that is gone.
    pub unnoticed_ms: u64,
    pub report_lag_ms: u64,
    pub slots_options: SlotOptions,
    pub share_options: FairShareOptions,
}

/// How the requests of one customer arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// So many requests wait at each of its routers at all times.
    Backlog(usize),
    /// The mean number of arrivals each second, fleet-wide.
    PerSecond(f64),
    /// One arrival each period.
    EveryMs(u64),
}

impl Default for Setup {
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
            spread: 2,
            mean_cost: 100.0,
            straggler_part: 0.05,
            hint_factor: 4.0,
            link_ms: 1,
            loss: 0.0,
            unnoticed_ms: 500,
            report_lag_ms: 200,
            slots_options: SlotOptions::default(),
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

pub fn sheet(setup: &Setup) -> Sheet {
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
