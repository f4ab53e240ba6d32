//! Service while demand swings from one to three times the capacity.

use super::compare::compare;
use super::measures::{busy_fraction, percentile_cells, refused, waits_ms};
use super::water_filling::fair_parts;
use crate::fleet::{FleetPlan, TruthSample};
use crate::load::{ArrivalPlan, Class, Observations, RatePoint, Sizes, Workload, open_loop};
use crate::report::{Check, Plot, Report, Series, Table};
use crate::statistics::{float, percentile, ratio};
use crate::{ExperimentOptions, Result};

/// The sizes of short requests in tokens.
const SHORT: Sizes = Sizes {
    least: 10,
    greatest: 30,
};
/// The sizes of long requests in tokens.
const LONG: Sizes = Sizes {
    least: 80,
    greatest: 160,
};
/// The fraction of requests that are long.
const LONG_FRACTION: f64 = 0.3;
/// Hints are wrong by up to this factor.
const HINT_ERROR: f64 = 2.0;
/// When the swing begins, and when it is at its height.
const RISE_MS: [f64; 2] = [3_000.0, 5_000.0];
/// When it ends.
const FALL_MS: f64 = 15_000.0;
/// The end of the run.
const END_MS: u64 = 18_000;
/// How much a customer asks for in relation to its share, by its index.
const APPETITES: [f64; 4] = [0.25, 1.0, 1.0, 2.0];

/// Runs the experiment. Its duration is fixed.
pub fn run(seed: u64, _options: &ExperimentOptions) -> Result<Report> {
    let plan = FleetPlan::default();
    let workload = workload(&plan, seed);
    let compared = compare(&plan, &workload, END_MS)?;
    let columns = [
        "policy",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "refused",
        "least part",
        "busy while waiting",
    ];
    let mut table = Table::new("short requests, and service during the crest", &columns);
    let columns = ["policy", "customer", "share", "served", "fair", "part"];
    let mut parts_table = Table::new("tokens of each customer during the crest", &columns);
    let mut series = Vec::new();
    let mut p95 = Vec::new();
    let mut least_part = Vec::new();
    for (policy, seen) in compared.each() {
        let waits = waits_ms(seen, &workload, Class::Short, END_MS);
        let parts = parts(&plan, &workload, seen);
        let least = parts
            .iter()
            .map(Part::fraction)
            .fold(f64::INFINITY, f64::min);
        let (busy, _) = busy_fraction(seen, plan.slot_count());
        let [median, high, highest] = percentile_cells(&waits);
        table.push([
            policy.to_owned(),
            median,
            high,
            highest,
            refused(seen).to_string(),
            format!("{least:.3}"),
            format!("{busy:.3}"),
        ]);
        for (customer, part) in plan.customers.iter().zip(&parts) {
            parts_table.push([
                policy.to_owned(),
                customer.name.clone(),
                customer.share.to_string(),
                format!("{:.0}", part.served),
                format!("{:.0}", part.fair),
                format!("{:.3}", part.fraction()),
            ]);
        }
        p95.push(percentile(&waits, 95.0));
        least_part.push(least);
        series.push(busy_series(policy, seen));
    }
    let mut report = Report::new("crest", seed);
    report.checks = vec![
        Check::at_least("least part of a fair share", least_part[1], 0.95),
        Check::at_most(
            "p95 wait of short requests over naive's",
            ratio(p95[1], p95[0]),
            0.2,
        ),
    ];
    report.tables = vec![table, parts_table];
    report.plot = Some(Plot {
        title: "Busy slots during a swing".into(),
        x_label: "time in s".into(),
        y_label: "busy slots".into(),
        series,
    });
    Ok(report)
}

fn workload(plan: &FleetPlan, seed: u64) -> Workload {
    let mean_tokens = SHORT.mean() * (1.0 - LONG_FRACTION) + LONG.mean() * LONG_FRACTION;
    let capacity_per_s = plan.tokens_per_s() / mean_tokens;
    let [rise_ms, height_ms] = RISE_MS;
    let rates = [
        (0.0, 1.0),
        (rise_ms, 1.0),
        (height_ms, 3.0),
        (FALL_MS, 3.0),
        (FALL_MS + 1.0, 0.3),
    ];
    let arrivals = ArrivalPlan {
        rates: rates
            .map(|(at_ms, load)| RatePoint {
                at_ms,
                per_s: load * capacity_per_s,
            })
            .to_vec(),
        end_ms: float(END_MS),
        weights: plan
            .customers
            .iter()
            .zip(APPETITES.iter().cycle())
            .map(|(customer, appetite)| f64::from(customer.share) * appetite)
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

/// What a customer got during the crest, and its fair part of what all got.
struct Part {
    served: f64,
    fair: f64,
}

impl Part {
    fn fraction(&self) -> f64 {
        if self.fair > 0.0 {
            self.served / self.fair
        } else {
            1.0
        }
    }
}

fn parts(plan: &FleetPlan, workload: &Workload, seen: &Observations) -> Vec<Part> {
    let (Some(from), Some(to)) = (sample_at(seen, RISE_MS[1]), sample_at(seen, FALL_MS)) else {
        return Vec::new();
    };
    let served: Vec<f64> = plan
        .customers
        .iter()
        .map(|customer| float(to.tokens_of(&customer.name) - from.tokens_of(&customer.name)))
        .collect();
    let demands: Vec<f64> = plan
        .customers
        .iter()
        .enumerate()
        .map(|(index, customer)| {
            let asked = workload
                .arrivals
                .iter()
                .filter(|arrival| arrival.customer == index && arrival.at_ms < FALL_MS)
                .map(|arrival| u64::from(arrival.tokens));
            float(
                asked
                    .sum::<u64>()
                    .saturating_sub(from.tokens_of(&customer.name)),
            )
        })
        .collect();
    let shares: Vec<f64> = plan
        .customers
        .iter()
        .map(|customer| f64::from(customer.share))
        .collect();
    let fair = fair_parts(served.iter().sum(), &demands, &shares);
    served
        .into_iter()
        .zip(fair)
        .map(|(served, fair)| Part { served, fair })
        .collect()
}

fn sample_at(seen: &Observations, at_ms: f64) -> Option<&TruthSample> {
    seen.truth.iter().find(|sample| sample.at_ms >= at_ms)
}

/// The busy slots over time, as a line.
pub fn busy_series(name: &str, seen: &Observations) -> Series {
    let points = seen
        .truth
        .iter()
        .map(|sample| (sample.at_ms / 1_000.0, float(sample.busy_slots)));
    Series {
        name: name.to_owned(),
        points: points.collect(),
    }
}
