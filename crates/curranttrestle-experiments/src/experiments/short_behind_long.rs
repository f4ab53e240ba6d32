//! The wait of short requests among a few much longer ones.

use super::compare::compare;
use super::measures::{
    percentile_cells, received_tokens, refused_count, samples_of_class, waits_ms,
};
use crate::fleet::FleetPlan;
use crate::load::{ArrivalPlan, Class, RatePoint, Sizes, Workload, open_loop};
use crate::report::{Check, Plot, Report, Series, Table};
use crate::statistics::{float, percentile, ratio};
use crate::{ExperimentOptions, Result};

/// Sizes of short requests in tokens.
const SHORT: Sizes = Sizes { min: 10, max: 30 };
/// Sizes of long requests in tokens: 20 to 50 times the mean of the short ones.
const LONG: Sizes = Sizes {
    min: 400,
    max: 1_000,
};
/// The fraction of requests that are long.
const LONG_FRACTION: f64 = 0.05;
/// Largest factor by which cost hints are wrong.
const HINT_ERROR: f64 = 4.0;
/// The load as a fraction of the capacity.
const LOAD: f64 = 0.95;
/// Additional length of the run in milliseconds, so that long requests can complete.
const EXTRA_MS: u64 = 6_000;

/// Runs the experiment.
pub fn run(seed: u64, options: &ExperimentOptions) -> Result<Report> {
    let plan = FleetPlan::default();
    let duration_ms = options.duration_ms + EXTRA_MS;
    let workload = workload(&plan, seed, duration_ms);
    let compared = compare(&plan, &workload, duration_ms)?;
    let columns = [
        "policy",
        "class",
        "requests",
        "completed",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "tokens",
        "refused",
    ];
    let mut table = Table::new("wait until the response begins", &columns);
    let mut series = Vec::new();
    let mut short_p99 = Vec::new();
    let mut long_tokens = Vec::new();
    for (policy, observations) in compared.each() {
        for (class, name) in [(Class::Short, "short"), (Class::Long, "long")] {
            let waits = waits_ms(observations, &workload, class, duration_ms);
            let completed =
                samples_of_class(observations, class).filter(|sample| sample.done_ms.is_some());
            let [p50, p95, p99] = percentile_cells(&waits);
            table.push([
                policy.to_owned(),
                name.to_owned(),
                waits.len().to_string(),
                completed.count().to_string(),
                p50,
                p95,
                p99,
                format!("{:.0}", received_tokens(observations, class)),
                refused_count(observations).to_string(),
            ]);
        }
        let short = waits_ms(observations, &workload, Class::Short, duration_ms);
        short_p99.push(percentile(&short, 99.0));
        long_tokens.push(received_tokens(observations, Class::Long));
        series.push(percentile_series(policy, &short));
    }
    let mut report = Report::new("short-behind-long", seed);
    report.checks = vec![
        Check::at_most(
            "p99 wait of short requests, relative to naive",
            ratio(short_p99[1], short_p99[0]),
            0.1,
        ),
        Check::at_least(
            "tokens of long requests, relative to naive",
            ratio(long_tokens[1], long_tokens[0]),
            0.9,
        ),
    ];
    report.tables = vec![table];
    report.plot = Some(Plot {
        title: "Wait of short requests by percentile".into(),
        x_label: "percentile".into(),
        y_label: "wait in ms".into(),
        series,
    });
    Ok(report)
}

fn workload(plan: &FleetPlan, seed: u64, duration_ms: u64) -> Workload {
    let mean_tokens = SHORT.mean() * (1.0 - LONG_FRACTION) + LONG.mean() * LONG_FRACTION;
    let arrivals = ArrivalPlan {
        rates: vec![RatePoint {
            at_ms: 0.0,
            per_s: LOAD * plan.tokens_per_s() / mean_tokens,
        }],
        end_ms: float(duration_ms),
        weights: plan
            .customers
            .iter()
            .map(|customer| f64::from(customer.share))
            .collect(),
        short: SHORT,
        long: LONG,
        long_fraction: LONG_FRACTION,
        hint_error: Some(HINT_ERROR),
    };
    Workload {
        arrivals: open_loop(plan, &arrivals, seed),
        deadline_ms: 30_000,
        ..Workload::default()
    }
}

/// The percentiles of `values`, as a plot series.
pub fn percentile_series(name: &str, values: &[f64]) -> Series {
    let points = (0..=100).map(|percent| {
        let percent = f64::from(percent);
        (percent, percentile(values, percent))
    });
    Series {
        name: name.to_owned(),
        points: points.collect(),
    }
}
