//! The fraction of busy slots while requests wait and demand swings.

use super::compare::compare;
use super::crest::busy_series;
use super::measures::busy_fraction;
use crate::fleet::{FleetPlan, TruthSample};
use crate::load::{ArrivalPlan, RatePoint, Sizes, Workload, open_loop};
use crate::report::{Check, Plot, Report, Table};
use crate::statistics::float;
use crate::{ExperimentOptions, Result};

/// Sizes of requests in tokens.
const SIZES: Sizes = Sizes { min: 20, max: 60 };
/// Time between two swings in milliseconds.
const SWING_MS: u64 = 2_000;
/// Demand as a fraction of the capacity: first high, so that a backlog builds up, then alternately
/// low and high.
const LOADS: [f64; 3] = [2.0, 0.4, 1.7];
/// Index of the customer whose demand is much higher than its share.
const FLOODING_CUSTOMER: usize = 15;

/// Runs the experiment.
pub fn run(seed: u64, options: &ExperimentOptions) -> Result<Report> {
    let plan = FleetPlan::default();
    let workload = workload(&plan, seed, options.duration_ms);
    let compared = compare(&plan, &workload, options.duration_ms)?;
    let columns = [
        "policy",
        "busy slots while requests wait",
        "fraction of time with waiting requests",
        "tokens",
    ];
    let mut table = Table::new("slots", &columns);
    let mut busy = Vec::new();
    let mut series = Vec::new();
    for (policy, observations) in compared.each() {
        let (fraction, waiting_fraction) = busy_fraction(observations, plan.slot_count());
        let tokens = observations
            .truth
            .last()
            .map_or(0, TruthSample::total_tokens);
        table.push([
            policy.to_owned(),
            format!("{fraction:.3}"),
            format!("{waiting_fraction:.2}"),
            tokens.to_string(),
        ]);
        busy.push(fraction);
        series.push(busy_series(policy, observations));
    }
    let mut report = Report::new("utilisation", seed);
    report.checks = vec![Check::at_least(
        "busy slots while requests wait",
        busy[1],
        0.97,
    )];
    report.tables = vec![table];
    report.plot = Some(Plot {
        title: "Busy slots while demand swings".into(),
        x_label: "time in s".into(),
        y_label: "busy slots".into(),
        series,
    });
    Ok(report)
}

fn workload(plan: &FleetPlan, seed: u64, duration_ms: u64) -> Workload {
    let capacity_per_s = plan.tokens_per_s() / SIZES.mean();
    let [first, low, high] = LOADS;
    let point = |at_ms: u64, load: f64| RatePoint {
        at_ms: float(at_ms),
        per_s: load * capacity_per_s,
    };
    let mut rates = vec![point(0, first)];
    for (index, at_ms) in (SWING_MS..duration_ms).step_by(2_000).enumerate() {
        let (before, after) = match (index, index % 2) {
            (0, _) => (first, low),
            (_, 0) => (high, low),
            _ => (low, high),
        };
        rates.push(point(at_ms, before));
        rates.push(point(at_ms + 1, after));
    }
    let arrivals = ArrivalPlan {
        rates,
        end_ms: float(duration_ms),
        weights: plan
            .customers
            .iter()
            .enumerate()
            .map(|(index, customer)| match index {
                FLOODING_CUSTOMER => 15.0,
                _ => f64::from(customer.share),
            })
            .collect(),
        short: SIZES,
        long: SIZES,
        long_fraction: 0.0,
        hint_error: None,
    };
    Workload {
        arrivals: open_loop(plan, &arrivals, seed),
        deadline_ms: 60_000,
        ..Workload::default()
    }
}
