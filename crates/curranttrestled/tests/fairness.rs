//! The service gap between two customers with a constant backlog stays bounded. It is measured in
//! the tokens that the engines generated for each.

mod support;

use std::time::{Duration, Instant};

use curranttrestle::coordination::fair_share::{GapTerms, gap_bound};
use curranttrestle_standins::relay::{Direction, RelayFault};
use support::fleet::{Fleet, FleetPlan, Router, key_of, truth};
use support::load::Load;

const PARTITION: RelayFault = RelayFault::Cut {
    direction: Direction::Both,
};
/// Tokens of each response.
const TOKENS: u32 = 20;
/// Time until both customers have a backlog.
const WARM_UP: Duration = Duration::from_secs(4);
/// How long the gap is measured.
const MEASUREMENT: Duration = Duration::from_secs(6);
/// How long one data centre is partitioned.
const PARTITION_DURATION: Duration = Duration::from_secs(3);
/// How long the gap may exceed its bound after the partition.
const RECOVERY: Duration = Duration::from_secs(5);
/// Interval between two reads of the engines' token counts.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the tokens generated for each customer, summed over all engines.
fn tokens(fleet: &Fleet) -> [u64; 2] {
    let mut sums = [0; 2];
    for engine in &fleet.engines {
        let truth = truth(&engine.process);
        for (sum, customer) in sums.iter_mut().zip(["narrow", "wide"]) {
            *sum += truth["tokens_by_customer"][customer]
                .as_u64()
                .unwrap_or_default();
        }
    }
    sums
}

/// Returns the largest service gap in tokens during the measurement and the tokens per second.
#[allow(clippy::cast_precision_loss)]
fn measure_gap(fleet: &Fleet) -> (f64, f64) {
    let started = Instant::now();
    let first = tokens(fleet);
    let mut last = first;
    let mut differences = vec![0.0];
    while started.elapsed() < MEASUREMENT {
        std::thread::sleep(POLL_INTERVAL);
        last = tokens(fleet);
        let [narrow, wide] = [0, 1].map(|customer| (last[customer] - first[customer]) as f64);
        differences.push(narrow - wide);
    }
    let greatest = differences.iter().copied().fold(f64::MIN, f64::max);
    let smallest = differences.iter().copied().fold(f64::MAX, f64::min);
    let generated = (last[0] + last[1] - first[0] - first[1]) as f64;
    (
        greatest - smallest,
        generated / started.elapsed().as_secs_f64(),
    )
}

/// Returns the bound of the gap in tokens. Both customers have a share of one.
fn bound(fleet: &Fleet, tokens_per_s: f64) -> f64 {
    let slots = f64::from(fleet.plan.slots) * 3.0;
    gap_bound(&GapTerms {
        slots,
        max_request_cost: f64::from(TOKENS),
        units_per_slot_per_s: tokens_per_s / slots,
        exchange_period_ms: 250.0,
        depth: 1.0,
        hop_ms: 10.0,
        max_message_delay_ms: 10.0,
        min_share: 1.0,
        tolerance_requests: 1.0,
    })
}

#[test]
fn the_service_gap_is_bounded_before_and_after_a_partition() {
    let fleet = Fleet::start_with_sheet(
        "fairness",
        FleetPlan {
            services: 0,
            customers: vec![("narrow", 1), ("wide", 1)],
            ..FleetPlan::default()
        },
    );
    // One customer calls a single data centre, the other calls all of them with more callers.
    let all: Vec<_> = fleet.routers.iter().map(Router::callers).collect();
    let narrow = Load::start(&all[..2], &key_of("narrow"), 10, TOKENS);
    let wide = Load::start(&all, &key_of("wide"), 8, TOKENS);
    std::thread::sleep(WARM_UP);
    let (gap, rate) = measure_gap(&fleet);
    let bound_before = bound(&fleet, rate);
    println!("gap {gap:.0} bound {bound_before:.0} tokens per second {rate:.0}");

    for other in ["rennes", "brest"] {
        fleet.inject_between("vannes", other, PARTITION);
    }
    std::thread::sleep(PARTITION_DURATION);
    for other in ["rennes", "brest"] {
        fleet.inject_between("vannes", other, RelayFault::Heal);
    }
    let at_partition_end = tokens(&fleet);
    std::thread::sleep(RECOVERY);
    let recovered = tokens(&fleet);
    let (gap_after, rate_after) = measure_gap(&fleet);
    let bound_after = bound(&fleet, rate_after);
    println!(
        "after the partition: gap {gap_after:.0} bound {bound_after:.0} tokens per second {rate_after:.0}"
    );
    narrow.stop();
    wide.stop();
    assert!(
        gap <= bound_before,
        "the service gap of {gap} tokens exceeds its bound of {bound_before}"
    );
    assert!(
        gap_after <= bound_after,
        "the service gap of {gap_after} tokens after the partition \
         exceeds its bound of {bound_after}"
    );
    for customer in 0..2 {
        let served = recovered[customer] - at_partition_end[customer];
        println!("customer {customer} received {served} tokens during recovery");
        assert!(
            served > 0,
            "customer {customer} was starved during recovery"
        );
    }
}
