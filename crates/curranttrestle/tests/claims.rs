//! Claims of several routers on one store that loses responses, delays them and has outages.
//!
//! `CURRANTTRESTLE_CLAIMS_SEEDS=10000 cargo test --release -p curranttrestle --test claims` runs
//! 10000 seeds.

#[path = "claims_support/mod.rs"]
mod claims_support;
#[path = "support/mod.rs"]
mod support;

use claims_support::{Fault, Report, run};

/// The number of seeds to run, unless `CURRANTTRESTLE_CLAIMS_SEEDS` sets another.
const DEFAULT_SEEDS: u64 = 100;
const SEEDS_VARIABLE: &str = "CURRANTTRESTLE_CLAIMS_SEEDS";

fn seeds() -> std::ops::Range<u64> {
    let value = std::env::var(SEEDS_VARIABLE).ok();
    0..value
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS)
}

/// The first seed at which a run with `fault` dispatches a key twice.
fn first_double_dispatch(fault: Fault) -> Option<u64> {
    let (seed, report) = (0..50)
        .map(|seed| (seed, run(seed, fault)))
        .find(|(_, report)| report.max_dispatches > 1)?;
    println!("{fault:?} seed {seed}: {report:?}");
    Some(seed)
}

#[test]
fn requests_run_at_most_once_and_get_one_correct_outcome() {
    let mut total = Report::default();
    for seed in seeds() {
        let report = run(seed, Fault::None);
        assert!(report.is_correct(), "seed {seed}: {report:?}");
        total.add(&report);
    }
    println!("{total:?}");
    // The runs must reach each outcome for the test to be meaningful.
    assert!(total.dispatches > 0 && total.answered > 0);
    assert!(total.unknown > 0 && total.not_run > 0 && total.deleted_objects > 0);
}

#[test]
fn stale_wall_clock_causes_double_dispatch() {
    assert!(first_double_dispatch(Fault::StaleClock).is_some());
}

#[test]
fn assuming_lost_updates_succeeded_causes_double_dispatch() {
    assert!(first_double_dispatch(Fault::TrustLostResponses).is_some());
}

#[test]
fn unconditional_updates_cause_double_dispatch() {
    assert!(first_double_dispatch(Fault::UnconditionalUpdates).is_some());
}
