//! Service while demand rises from one to three times the capacity and falls again.

use super::compare::compare;
use super::measures::{busy_fraction, percentile_cells, refused_count, waits_ms};
use super::water_filling::fair_allocation;
use crate::fleet::{FleetPlan, TruthSample};
use crate::load::{ArrivalPlan, Class, Observations, RatePoint, Sizes, Workload, open_loop};
use crate::report::{Check, Plot, Report, Series, Table};
use crate::statistics::{float, percentile, ratio};
use crate::{ExperimentOptions, Result};

/// Sizes of short requests in tokens.
const SHORT: Sizes = Sizes { min: 10, max: 30 };
/// Sizes of long requests in tokens.
const LONG: Sizes = Sizes { min: 80, max: 160 };
/// The fraction of requests that are long.
const LONG_FRACTION: f64 = 0.3;
/// Largest factor by which cost hints are wrong.
const HINT_ERROR: f64 = 2.0;
/// When demand starts to rise and when it reaches its peak, in milliseconds.
const RISE_MS: [f64; 2] = [3_000.0, 5_000.0];
/// When the peak ends, in milliseconds.
const FALL_MS: f64 = 15_000.0;
/// Length of the run in milliseconds.
const END_MS: u64 = 18_000;
/// Demand of a customer in relation to its share; repeats over the customers' indices.
const DEMAND_PER_SHARE: [f64; 4] = [0.25, 1.0, 1.0, 2.0];

/// Runs the experiment. Ignores the duration in the options, because the swing is fixed.
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
        "lowest fraction of fair share",
        "busy slots while requests wait",
    ];
    let mut table = Table::new(
        "waits of short requests, and service at peak demand",
        &columns,
    );
    let columns = ["policy", "customer", "share", "served", "fair", "part"];
    let mut service_table = Table::new("tokens per customer at peak demand", &columns);
    let mut series = Vec::new();
    let mut p95 = Vec::new();
    let mut lowest_fraction = Vec::new();
    for (policy, observations) in compared.each() {
        let waits = waits_ms(observations, &workload, Class::Short, END_MS);
        let services = customer_service(&plan, &workload, observations);
        let lowest = services
            .iter()
            .map(CustomerService::fraction)
            .fold(f64::INFINITY, f64::min);
        let (busy, _) = busy_fraction(observations, plan.slot_count());
        let [p50_cell, p95_cell, p99_cell] = percentile_cells(&waits);
        table.push([
            policy.to_owned(),
            p50_cell,
            p95_cell,
            p99_cell,
            refused_count(observations).to_string(),
            format!("{lowest:.3}"),
            format!("{busy:.3}"),
        ]);
        for (customer, service) in plan.customers.iter().zip(&services) {
            service_table.push([
                policy.to_owned(),
                customer.name.clone(),
                customer.share.to_string(),
                format!("{:.0}", service.served),
                format!("{:.0}", service.fair),
                format!("{:.3}", service.fraction()),
            ]);
        }
        p95.push(percentile(&waits, 95.0));
        lowest_fraction.push(lowest);
        series.push(busy_series(policy, observations));
    }
    let mut report = Report::new("crest", seed);
    report.checks = vec![
        Check::at_least("lowest fraction of a fair share", lowest_fraction[1], 0.95),
        Check::at_most(
            "p95 wait of short requests, relative to naive",
            ratio(p95[1], p95[0]),
            0.2,
        ),
    ];
    report.tables = vec![table, service_table];
    report.plot = Some(Plot {
        title: "Busy slots as demand rises and falls".into(),
        x_label: "time in s".into(),
        y_label: "busy slots".into(),
        series,
    });
    Ok(report)
}

fn workload(plan: &FleetPlan, seed: u64) -> Workload {
    let mean_tokens = SHORT.mean() * (1.0 - LONG_FRACTION) + LONG.mean() * LONG_FRACTION;
    let capacity_per_s = plan.tokens_per_s() / mean_tokens;
    let [rise_ms, peak_ms] = RISE_MS;
    let rates = [
        (0.0, 1.0),
        (rise_ms, 1.0),
        (peak_ms, 3.0),
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
            .zip(DEMAND_PER_SHARE.iter().cycle())
            .map(|(customer, demand)| f64::from(customer.share) * demand)
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

/// The tokens that a customer received at peak demand, and its max-min fair share of the tokens
/// that all customers received.
struct CustomerService {
    served: f64,
    fair: f64,
}

impl CustomerService {
    fn fraction(&self) -> f64 {
        if self.fair > 0.0 {
            self.served / self.fair
        } else {
            1.0
        }
    }
}

fn customer_service(
    plan: &FleetPlan,
    workload: &Workload,
    observations: &Observations,
) -> Vec<CustomerService> {
    let (Some(from), Some(to)) = (
        sample_at(observations, RISE_MS[1]),
        sample_at(observations, FALL_MS),
    ) else {
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
            let requested = workload
                .arrivals
                .iter()
                .filter(|arrival| arrival.customer == index && arrival.at_ms < FALL_MS)
                .map(|arrival| u64::from(arrival.tokens));
            float(
                requested
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
    let fair = fair_allocation(served.iter().sum(), &demands, &shares);
    served
        .into_iter()
        .zip(fair)
        .map(|(served, fair)| CustomerService { served, fair })
        .collect()
}

fn sample_at(observations: &Observations, at_ms: f64) -> Option<&TruthSample> {
    observations
        .truth
        .iter()
        .find(|sample| sample.at_ms >= at_ms)
}

/// The number of busy slots over time, as a plot series.
pub fn busy_series(name: &str, observations: &Observations) -> Series {
    let points = observations
        .truth
        .iter()
        .map(|sample| (sample.at_ms / 1_000.0, float(sample.busy_slots)));
    Series {
        name: name.to_owned(),
        points: points.collect(),
    }
}
