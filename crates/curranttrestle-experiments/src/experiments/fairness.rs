//! The service gap between customers that are always backlogged, one of which floods.

use curranttrestle::coordination::fair_share::{FairShareOptions, GapTerms, gap_bound};
use curranttrestle::state::settings::Timing;

use super::compare::compare;
use crate::fleet::{FleetPlan, TruthSample};
use crate::load::{Caller, Observations, Sizes, Workload};
use crate::report::{Check, Plot, Report, Series, Table};
use crate::statistics::{float, ratio};
use crate::{ExperimentOptions, Result};

/// The sizes of requests in tokens.
const SIZES: Sizes = Sizes {
    least: 20,
    greatest: 60,
};
/// The index of the customer that floods.
const FLOODER: usize = 15;
/// How many requests the flooding customer keeps outstanding.
const FLOOD: usize = 180;
/// Each customer keeps this many requests outstanding beyond twice its fair slots.
const SPARE: usize = 4;
/// The longest time of one message on loopback.
const MESSAGE_MS: f64 = 5.0;

/// Runs the experiment.
pub fn run(seed: u64, options: &ExperimentOptions) -> Result<Report> {
    let plan = FleetPlan::default();
    let workload = workload(&plan, seed);
    let compared = compare(&plan, &workload, options.duration_ms)?;
    let mut report = Report::new("fairness", seed);
    let columns = ["policy", "greatest gap", "end gap", "worst/best", "starved"];
    let mut table = Table::new("service per share, in tokens", &columns);
    let mut by_customer = Table::new(
        "tokens per share of each customer at the end",
        &["policy", "customer", "share", "tokens", "tokens per share"],
    );
    let mut series = Vec::new();
    let mut greatest = Vec::new();
    for (policy, seen) in compared.each() {
        let levels = seen
            .truth
            .last()
            .map_or_else(Vec::new, |last| levels(&plan, last));
        let worst = levels.iter().copied().fold(f64::INFINITY, f64::min);
        let best = levels.iter().copied().fold(0.0, f64::max);
        let greatest_gap = greatest_gap(&plan, seen);
        let starved = levels.iter().filter(|level| **level == 0.0).count();
        table.push([
            policy.to_owned(),
            format!("{greatest_gap:.0}"),
            format!("{:.0}", best - worst),
            format!("{:.3}", ratio(worst, best)),
            starved.to_string(),
        ]);
        for (customer, level) in plan.customers.iter().zip(&levels) {
            by_customer.push([
                policy.to_owned(),
                customer.name.clone(),
                customer.share.to_string(),
                format!("{:.0}", level * f64::from(customer.share)),
                format!("{level:.0}"),
            ]);
        }
        greatest.push(greatest_gap);
        series.push(Series {
            name: policy.to_owned(),
            points: spreads(&plan, seen),
        });
    }
    let bound = bound(&plan);
    report.checks = vec![
        Check::at_most("greatest gap in tokens per share", greatest[1], bound),
        Check::at_most(
            "greatest gap over naive's",
            ratio(greatest[1], greatest[0]),
            0.1,
        ),
    ];
    report.tables = vec![table, by_customer];
    report.plot = Some(Plot {
        title: "Service gap between backlogged customers".into(),
        x_label: "time in s".into(),
        y_label: "tokens per share".into(),
        series,
    });
    Ok(report)
}

/// Each customer keeps more requests outstanding than its fair part of the slots.
pub fn workload(plan: &FleetPlan, seed: u64) -> Workload {
    let shares: u32 = plan.customers.iter().map(|customer| customer.share).sum();
    let mut callers = Vec::new();
    for (customer, row) in plan.customers.iter().enumerate() {
        let slots = plan.slot_count() * u64::from(row.share) / u64::from(shares);
        let count = match customer {
            FLOODER => FLOOD,
            _ => usize::try_from(slots).unwrap_or_default() * 2 + SPARE,
        };
        for number in 0..count {
            callers.push(Caller {
                router: router_of(plan, customer, number),
                customer,
                sizes: SIZES,
                seed: seed * 10_000 + callers.len() as u64,
            });
        }
    }
    Workload {
        callers,
        deadline_ms: 60_000,
        ..Workload::default()
    }
}

/// The flooding customer calls all routers, each other one only one or two.
fn router_of(plan: &FleetPlan, customer: usize, number: usize) -> usize {
    let routers = plan.router_count();
    if customer == FLOODER {
        return number % routers;
    }
    let spread = usize::from(number % 3 == 2);
    (customer * customer + spread) % routers
}

/// The spread of service per share over time.
fn spreads(plan: &FleetPlan, seen: &Observations) -> Vec<(f64, f64)> {
    let spread = |sample: &TruthSample| {
        let levels = levels(plan, sample);
        let least = levels.iter().copied().fold(f64::INFINITY, f64::min);
        let greatest = levels.iter().copied().fold(0.0, f64::max);
        (sample.at_ms / 1_000.0, greatest - least)
    };
    seen.truth.iter().map(spread).collect()
}

/// The greatest gap between two customers over any part of the run: what one gained over the
/// other from any moment to any later one.
fn greatest_gap(plan: &FleetPlan, seen: &Observations) -> f64 {
    let count = plan.customers.len();
    let mut lowest = vec![0.0_f64; count * count];
    let mut greatest = 0.0_f64;
    for sample in &seen.truth {
        let levels = levels(plan, sample);
        for (index, lowest) in lowest.iter_mut().enumerate() {
            let lead = levels[index / count] - levels[index % count];
            greatest = greatest.max(lead - *lowest);
            *lowest = lowest.min(lead);
        }
    }
    greatest
}

/// Tokens per share of each customer so far.
fn levels(plan: &FleetPlan, sample: &TruthSample) -> Vec<f64> {
    let customers = plan.customers.iter();
    customers
        .map(|customer| float(sample.tokens_of(&customer.name)) / f64::from(customer.share))
        .collect()
}

/// The documented bound for this fleet.
fn bound(plan: &FleetPlan) -> f64 {
    let shares: Vec<f64> = plan
        .customers
        .iter()
        .map(|customer| f64::from(customer.share))
        .collect();
    gap_bound(&GapTerms {
        slots: float(plan.slot_count()),
        max_request_cost: f64::from(SIZES.greatest),
        units_per_slot_per_s: 1_000.0 / plan.full_interval_ms(),
        exchange_period_ms: float(Timing::default().service_round_ms),
        hop_ms: float(FairShareOptions::default().hop_ms),
        depth: 1.0,
        max_message_delay_ms: MESSAGE_MS,
        min_share: shares.iter().copied().fold(f64::INFINITY, f64::min),
        tolerance_requests: 1.0,
    })
}
