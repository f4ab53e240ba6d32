//! The service gap between customers that are always backlogged, while one of them floods the
//! fleet.

use curranttrestle::coordination::fair_share::{FairShareOptions, GapTerms, gap_bound};
use curranttrestle::state::settings::Timing;

use super::compare::compare;
use crate::fleet::{FleetPlan, TruthSample};
use crate::load::{Caller, Observations, Sizes, Workload};
use crate::report::{Check, Plot, Report, Series, Table};
use crate::statistics::{float, ratio};
use crate::{ExperimentOptions, Result};

/// Sizes of requests in tokens.
const SIZES: Sizes = Sizes { min: 20, max: 60 };
/// Index of the customer that floods the fleet.
const FLOODING_CUSTOMER: usize = 15;
/// Number of requests that the flooding customer keeps outstanding.
const FLOOD_REQUESTS: usize = 180;
/// Number of requests that each other customer keeps outstanding in addition to twice its fair
/// share of slots.
const EXTRA_REQUESTS: usize = 4;
/// Upper bound of the delay of a message on loopback, in milliseconds.
const MESSAGE_MS: f64 = 5.0;

/// Runs the experiment.
pub fn run(seed: u64, options: &ExperimentOptions) -> Result<Report> {
    let plan = FleetPlan::default();
    let workload = workload(&plan, seed);
    let compared = compare(&plan, &workload, options.duration_ms)?;
    let mut report = Report::new("fairness", seed);
    let columns = [
        "policy",
        "largest gap",
        "final gap",
        "worst/best",
        "starved",
    ];
    let mut table = Table::new("service gap in tokens per share", &columns);
    let mut by_customer = Table::new(
        "tokens per share of each customer at the end of the run",
        &["policy", "customer", "share", "tokens", "tokens per share"],
    );
    let mut series = Vec::new();
    let mut largest_gaps = Vec::new();
    for (policy, observations) in compared.each() {
        let service_levels = observations
            .truth
            .last()
            .map_or_else(Vec::new, |last| service_levels(&plan, last));
        let worst = service_levels.iter().copied().fold(f64::INFINITY, f64::min);
        let best = service_levels.iter().copied().fold(0.0, f64::max);
        let largest_gap = largest_gap(&plan, observations);
        let starved = service_levels.iter().filter(|level| **level == 0.0).count();
        table.push([
            policy.to_owned(),
            format!("{largest_gap:.0}"),
            format!("{:.0}", best - worst),
            format!("{:.3}", ratio(worst, best)),
            starved.to_string(),
        ]);
        for (customer, level) in plan.customers.iter().zip(&service_levels) {
            by_customer.push([
                policy.to_owned(),
                customer.name.clone(),
                customer.share.to_string(),
                format!("{:.0}", level * f64::from(customer.share)),
                format!("{level:.0}"),
            ]);
        }
        largest_gaps.push(largest_gap);
        series.push(Series {
            name: policy.to_owned(),
            points: spreads(&plan, observations),
        });
    }
    let bound = service_gap_bound(&plan);
    report.checks = vec![
        Check::at_most("largest gap in tokens per share", largest_gaps[1], bound),
        Check::at_most(
            "largest gap, relative to naive",
            ratio(largest_gaps[1], largest_gaps[0]),
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

/// Closed-loop callers: each customer keeps more requests outstanding than its fair share of slots.
pub fn workload(plan: &FleetPlan, seed: u64) -> Workload {
    let shares: u32 = plan.customers.iter().map(|customer| customer.share).sum();
    let mut callers = Vec::new();
    for (customer, row) in plan.customers.iter().enumerate() {
        let slots = plan.slot_count() * u64::from(row.share) / u64::from(shares);
        let count = match customer {
            FLOODING_CUSTOMER => FLOOD_REQUESTS,
            _ => usize::try_from(slots).unwrap_or_default() * 2 + EXTRA_REQUESTS,
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

/// Chooses the router of a caller. The flooding customer calls all routers, each other customer
/// one or two.
fn router_of(plan: &FleetPlan, customer: usize, number: usize) -> usize {
    let routers = plan.router_count();
    if customer == FLOODING_CUSTOMER {
        return number % routers;
    }
    let offset = usize::from(number % 3 == 2);
    (customer * customer + offset) % routers
}

/// The difference between the highest and lowest service per share, over time.
fn spreads(plan: &FleetPlan, observations: &Observations) -> Vec<(f64, f64)> {
    let spread = |sample: &TruthSample| {
        let service_levels = service_levels(plan, sample);
        let smallest = service_levels.iter().copied().fold(f64::INFINITY, f64::min);
        let largest = service_levels.iter().copied().fold(0.0, f64::max);
        (sample.at_ms / 1_000.0, largest - smallest)
    };
    observations.truth.iter().map(spread).collect()
}

/// The largest service gap between any two customers over any interval of the run: how much more
/// service per share one received than the other between two samples.
fn largest_gap(plan: &FleetPlan, observations: &Observations) -> f64 {
    let count = plan.customers.len();
    let mut lowest = vec![0.0_f64; count * count];
    let mut largest = 0.0_f64;
    for sample in &observations.truth {
        let service_levels = service_levels(plan, sample);
        for (index, lowest) in lowest.iter_mut().enumerate() {
            let difference = service_levels[index / count] - service_levels[index % count];
            largest = largest.max(difference - *lowest);
            *lowest = lowest.min(difference);
        }
    }
    largest
}

/// Tokens per share that each customer has received so far.
fn service_levels(plan: &FleetPlan, sample: &TruthSample) -> Vec<f64> {
    let customers = plan.customers.iter();
    customers
        .map(|customer| float(sample.tokens_of(&customer.name)) / f64::from(customer.share))
        .collect()
}

/// The upper bound of the service gap that the fair policy guarantees for this fleet.
fn service_gap_bound(plan: &FleetPlan) -> f64 {
    let shares: Vec<f64> = plan
        .customers
        .iter()
        .map(|customer| f64::from(customer.share))
        .collect();
    gap_bound(&GapTerms {
        slots: float(plan.slot_count()),
        max_request_cost: f64::from(SIZES.max),
        units_per_slot_per_s: 1_000.0 / plan.full_interval_ms(),
        exchange_period_ms: float(Timing::default().service_round_ms),
        hop_ms: float(FairShareOptions::default().hop_ms),
        depth: 1.0,
        max_message_delay_ms: MESSAGE_MS,
        min_share: shares.iter().copied().fold(f64::INFINITY, f64::min),
        tolerance_requests: 1.0,
    })
}
