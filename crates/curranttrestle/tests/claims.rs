//! Claims: several routers over one store that loses answers, delays and goes down.
//!
//! `CURRANTTRESTLE_CLAIMS_SEEDS=10000 cargo test --release -p curranttrestle --test claims` makes
//! a long run of that many seeds.

#[path = "claims_support/mod.rs"]
mod claims_support;
#[path = "support/mod.rs"]
mod support;

use claims_support::{Fault, Report, run};

/// Seeds of the randomised runs, unless the environment names another number.
const SEEDS: u64 = 100;
const SEEDS_VARIABLE: &str = "CURRANTTRESTLE_CLAIMS_SEEDS";

fn seeds() -> std::ops::Range<u64> {
    let wanted = std::env::var(SEEDS_VARIABLE).ok();
    0..wanted.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// The first seed at which a run with `fault` dispatches a booking twice.
fn first_double(fault: Fault) -> Option<u64> {
    let (seed, report) = (0..50)
        .map(|seed| (seed, run(seed, fault)))
        .find(|(_, report)| report.max_dispatches > 1)?;
    println!("{fault:?} seed {seed}: {report:?}");
    Some(seed)
}

#[test]
fn no_booking_runs_twice_and_each_caller_gets_one_true_outcome() {
    let mut total = Report::default();
    for seed in seeds() {
        let report = run(seed, Fault::None);
        assert!(report.is_sound(), "seed {seed}: {report:?}");
        total.add(&report);
    }
    println!("{total:?}");
    // The runs must reach each outcome, or they prove nothing.
    assert!(total.dispatches > 0 && total.answered > 0);
    assert!(total.unknown > 0 && total.not_run > 0 && total.deleted_objects > 0);
}

#[test]
fn a_wall_clock_read_before_a_freeze_runs_a_booking_twice() {
    assert!(first_double(Fault::StaleClock).is_some());
}

#[test]
fn taking_a_lost_answer_for_success_runs_a_booking_twice() {
    assert!(first_double(Fault::TrustLostAnswers).is_some());
}

#[test]
fn updates_without_a_condition_run_a_booking_twice() {
    assert!(first_double(Fault::UnconditionalUpdates).is_some());
}
