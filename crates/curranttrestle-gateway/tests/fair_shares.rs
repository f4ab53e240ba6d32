//! Fair shares in a simulated fleet, by what callers requested and engines ran.

mod simulation;

use simulation::{Demand, Fleet, FleetOptions};

const GATEWAYS: usize = 48;
const ENGINES: usize = 96;

/// Time before demand rises.
const WARM_UP_S: u64 = 4;

/// Time with more demand than the engines serve.
const CREST_S: u64 = 10;

fn fleet(seed: u64) -> Fleet {
    Fleet::new(fleet_options(seed))
}

fn fleet_options(seed: u64) -> FleetOptions {
    FleetOptions {
        gateways: GATEWAYS,
        engines: ENGINES,
        prefill_tokens_per_ms: 20.0,
        response_ms: 400,
        nominal_tokens_per_s: ENGINES as u64 * 50_700,
        seed,
    }
}

/// One customer whose requests all arrive at one gateway, and others with requests everywhere.
fn demands(one: f64, all: f64, small: f64) -> [Demand; 3] {
    let demand = |customer, requests_per_s, gateways| Demand {
        customer,
        requests_per_s,
        gateways,
    };
    [
        demand("one", one, 0..1),
        demand("all", all, 0..GATEWAYS),
        demand("small", small, 0..GATEWAYS),
    ]
}

#[test]
fn customer_at_one_gateway_gets_less_than_half_of_its_share() {
    for seed in 1..=3 {
        let mut fleet = fleet(seed);
        fleet.run(WARM_UP_S * 1_000, &demands(60.0, 60.0, 20.0));
        fleet.run(CREST_S * 1_000, &demands(250.0, 1_600.0, 20.0));
        for customer in ["one", "all", "small"] {
            let crest = WARM_UP_S..WARM_UP_S + CREST_S;
            if let Some(violation) = fleet.record.violations(customer, crest).first() {
                panic!("seed {seed}, {customer}: {violation}");
            }
        }
    }
}

#[test]
fn share_reports_of_a_busy_gateway_expire_at_its_peers() {
    let mut fleet = fleet(1);
    fleet.run(WARM_UP_S * 1_000, &demands(60.0, 60.0, 20.0));
    for second in 0..CREST_S {
        fleet.run(1_000, &demands(250.0, 1_600.0, 20.0));
        let incomplete = fleet.gateways_without_all_shares();
        assert_eq!(incomplete, 0, "second {second} of the crest");
    }
}

#[test]
fn flood_takes_the_slots_of_a_customer_within_its_share() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(FleetOptions {
            prefill_tokens_per_ms: 40.0,
            response_ms: 2_500,
            ..fleet_options(seed)
        });
        fleet.run(WARM_UP_S * 1_000, &demands(30.0, 100.0, 20.0));
        fleet.run(CREST_S * 1_000, &demands(60.0, 6_000.0, 20.0));
        let crest = WARM_UP_S..WARM_UP_S + CREST_S;
        for customer in ["one", "all", "small"] {
            if let Some(violation) = fleet.record.violations(customer, crest.clone()).first() {
                panic!("seed {seed}, {customer}: {violation}");
            }
        }
    }
}
