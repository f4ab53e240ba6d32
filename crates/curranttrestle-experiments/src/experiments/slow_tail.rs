//! Latency while some engines are slow.

use curranttrestle::state::settings::PolicyKind;
use curranttrestle_standins::engine::EngineFault;
use rand::SeedableRng;
use rand::seq::index::sample;
use rand_chacha::ChaCha8Rng;

use super::compare::observe;
use super::measures::{latencies_ms, percentile_cells, received_tokens};
use super::short_behind_long::percentile_series;
use crate::fleet::{FleetPlan, TruthSample};
use crate::load::{
    ArrivalPlan, Class, Observations, RatePoint, ScheduledFault, Sizes, Workload, open_loop,
};
use crate::report::{Check, Plot, Report, Table};
use crate::statistics::{float, percentile, ratio};
use crate::{ExperimentOptions, Result};

/// Sizes of requests in tokens.
const SIZES: Sizes = Sizes { min: 20, max: 60 };
/// The load as a fraction of the capacity.
const LOAD: f64 = 0.6;
/// Number of slowed engines.
const SLOWED_ENGINES: usize = 2;
/// Factor by which they are slowed.
const SLOW_FACTOR: f64 = 5.0;
/// When they become slow, in milliseconds.
const SLOW_FROM_MS: u64 = 3_000;
/// How long they stay slow, in milliseconds.
const SLOW_MS: u64 = 10_000;
/// Age of the state in load reports, in milliseconds.
const LOAD_LAG_MS: u64 = 1_000;

/// Largest allowed ratio of the 99th percentile to that of the undisturbed run.
const TAIL_FACTOR: f64 = 1.5;

/// Runs the experiment.
pub fn run(seed: u64, options: &ExperimentOptions) -> Result<Report> {
    let plan = FleetPlan {
        load_lag_ms: LOAD_LAG_MS,
        ..FleetPlan::default()
    };
    let duration_ms = options.duration_ms.max(SLOW_FROM_MS + SLOW_MS + 2_000);
    let undisturbed = workload(&plan, seed, duration_ms, Vec::new());
    let slowed = workload(&plan, seed, duration_ms, scheduled_faults(&plan, seed));
    let runs = [
        ("fair, undisturbed", PolicyKind::Fair, &undisturbed),
        ("fair, slowed", PolicyKind::Fair, &slowed),
        ("naive, slowed", PolicyKind::Naive, &slowed),
    ];
    let columns = ["run", "p50 ms", "p95 ms", "p99 ms", "extra work"];
    let mut table = Table::new("time until the response is complete", &columns);
    let columns = [
        "run",
        "before",
        "first second",
        "rest of the slow period",
        "after",
    ];
    let mut late_table = Table::new(
        "responses slower than 1.5 times the undisturbed p99, by when the request was sent",
        &columns,
    );
    let mut p99 = Vec::new();
    let mut extra = Vec::new();
    let mut series = Vec::new();
    for (name, policy, workload) in runs {
        let observations = observe(&plan, policy, workload, duration_ms)?;
        let latencies = latencies_ms(&observations, workload, duration_ms);
        let [p50_cell, p95_cell, p99_cell] = percentile_cells(&latencies);
        let extra_work = extra_work(&observations);
        table.push([
            name.to_owned(),
            p50_cell,
            p95_cell,
            p99_cell,
            format!("{extra_work:.4}"),
        ]);
        p99.push(percentile(&latencies, 99.0));
        let late = late_responses(&observations, workload, duration_ms, TAIL_FACTOR * p99[0]);
        late_table.push(std::iter::once(name.to_owned()).chain(late));
        extra.push(extra_work);
        series.push(percentile_series(name, &latencies));
    }
    let mut report = Report::new("slow-tail", seed);
    report.checks = vec![
        Check::at_most(
            "p99, relative to the undisturbed run",
            ratio(p99[1], p99[0]),
            TAIL_FACTOR,
        ),
        Check::at_most("extra work", extra[1], 0.03),
    ];
    report.tables = vec![table, late_table];
    report.plot = Some(Plot {
        title: "Time until the response is complete, by percentile".into(),
        x_label: "percentile".into(),
        y_label: "ms".into(),
        series,
    });
    Ok(report)
}

/// Counts the requests whose response took longer than `limit_ms`, by when they were sent: before
/// the slow period, in its first second, in the rest of it, and after it.
fn late_responses(
    observations: &Observations,
    workload: &Workload,
    duration_ms: u64,
    limit_ms: f64,
) -> [String; 4] {
    let mut counts = [0_u32; 4];
    let latencies = latencies_ms(observations, workload, duration_ms);
    for (sample, latency_ms) in observations.samples.iter().zip(latencies) {
        let since_slow_ms = sample.sent_ms - float(SLOW_FROM_MS);
        let phase = match since_slow_ms {
            _ if since_slow_ms < 0.0 => 0,
            _ if since_slow_ms < 1_000.0 => 1,
            _ if since_slow_ms < float(SLOW_MS) => 2,
            _ => 3,
        };
        counts[phase] += u32::from(latency_ms > limit_ms);
    }
    counts.map(|count| count.to_string())
}

/// The fraction of the engines' tokens that no caller received.
fn extra_work(observations: &Observations) -> f64 {
    let generated = observations
        .truth
        .last()
        .map_or(0, TruthSample::total_tokens);
    let received = received_tokens(observations, Class::Short);
    ratio(float(generated) - received, float(generated)).max(0.0)
}

fn scheduled_faults(plan: &FleetPlan, seed: u64) -> Vec<ScheduledFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 7);
    let engines = plan.data_centre_count * plan.engines;
    let mut faults = Vec::new();
    for engine in sample(&mut rng, engines, SLOWED_ENGINES) {
        faults.push(ScheduledFault {
            at_ms: SLOW_FROM_MS,
            engine,
            fault: EngineFault::Slow {
                factor: SLOW_FACTOR,
            },
        });
        faults.push(ScheduledFault {
            at_ms: SLOW_FROM_MS + SLOW_MS,
            engine,
            fault: EngineFault::Heal,
        });
    }
    faults.sort_by_key(|scheduled| scheduled.at_ms);
    faults
}

fn workload(
    plan: &FleetPlan,
    seed: u64,
    duration_ms: u64,
    faults: Vec<ScheduledFault>,
) -> Workload {
    let arrivals = ArrivalPlan {
        rates: vec![RatePoint {
            at_ms: 0.0,
            per_s: LOAD * plan.tokens_per_s() / SIZES.mean(),
        }],
        // Leaves the last requests time to complete.
        end_ms: float(duration_ms - 2_000),
        weights: vec![1.0; plan.customers.len()],
        short: SIZES,
        long: SIZES,
        long_fraction: 0.0,
        hint_error: Some(2.0),
    };
    Workload {
        arrivals: open_loop(plan, &arrivals, seed),
        deadline_ms: 30_000,
        faults,
        ..Workload::default()
    }
}
