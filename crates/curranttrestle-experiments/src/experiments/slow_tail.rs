//! Latency while some engines are slowed.

use curranttrestle::state::settings::PolicyKind;
use curranttrestle_standins::engine::EngineFault;
use rand::SeedableRng;
use rand::seq::index::sample;
use rand_chacha::ChaCha8Rng;

use super::compare::observe;
use super::measures::{latencies_ms, percentile_cells, received_tokens};
use super::short_behind_long::quantiles;
use crate::fleet::{FleetPlan, TruthSample};
use crate::load::{
    ArrivalPlan, Class, Disturbance, Observations, RatePoint, Sizes, Workload, open_loop,
};
use crate::report::{Check, Plot, Report, Table};
use crate::statistics::{float, percentile, ratio};
use crate::{ExperimentOptions, Result};

/// The sizes of requests in tokens.
const SIZES: Sizes = Sizes {
    least: 20,
    greatest: 60,
};
/// The load as a part of the capacity.
const LOAD: f64 = 0.6;
/// How many engines are slowed, and by which factor.
const SLOWED: usize = 2;
/// The factor by which they are slowed.
const FACTOR: f64 = 5.0;
/// When they are slowed, and for how long.
const SLOW_FROM_MS: u64 = 3_000;
/// For how long they are slowed.
const SLOW_MS: u64 = 10_000;
/// How late load reports are.
const LOAD_LAG_MS: u64 = 1_000;

/// How much greater the 99th percentile may be than in the undisturbed run.
const TAIL_FACTOR: f64 = 1.5;

/// Runs the experiment.
pub fn run(seed: u64, options: &ExperimentOptions) -> Result<Report> {
    let plan = FleetPlan {
        load_lag_ms: LOAD_LAG_MS,
        ..FleetPlan::default()
    };
    let duration_ms = options.duration_ms.max(SLOW_FROM_MS + SLOW_MS + 2_000);
    let quiet = workload(&plan, seed, duration_ms, Vec::new());
    let slowed = workload(&plan, seed, duration_ms, disturbances(&plan, seed));
    let runs = [
        ("fair, undisturbed", PolicyKind::Fair, &quiet),
        ("fair, slowed", PolicyKind::Fair, &slowed),
        ("naive, slowed", PolicyKind::Naive, &slowed),
    ];
    let columns = ["run", "p50 ms", "p95 ms", "p99 ms", "extra work"];
    let mut table = Table::new("time until the answer is whole", &columns);
    let columns = [
        "run",
        "before",
        "first second",
        "rest of the slow time",
        "after",
    ];
    let mut late_table = Table::new(
        "answers later than 1.5 times the undisturbed p99, by when they were asked for",
        &columns,
    );
    let mut p99 = Vec::new();
    let mut extra = Vec::new();
    let mut series = Vec::new();
    for (name, policy, workload) in runs {
        let observed = observe(&plan, policy, workload, duration_ms)?;
        let latencies = latencies_ms(&observed, workload, duration_ms);
        let [median, high, highest] = percentile_cells(&latencies);
        let extra_work = extra_work(&observed);
        table.push([
            name.to_owned(),
            median,
            high,
            highest,
            format!("{extra_work:.4}"),
        ]);
        p99.push(percentile(&latencies, 99.0));
        let late = late_answers(&observed, workload, duration_ms, TAIL_FACTOR * p99[0]);
        late_table.push(std::iter::once(name.to_owned()).chain(late));
        extra.push(extra_work);
        series.push(quantiles(name, &latencies));
    }
    let mut report = Report::new("slow-tail", seed);
    report.checks = vec![
        Check::at_most(
            "p99 over the undisturbed run's",
            ratio(p99[1], p99[0]),
            TAIL_FACTOR,
        ),
        Check::at_most("extra work", extra[1], 0.03),
    ];
    report.tables = vec![table, late_table];
    report.plot = Some(Plot {
        title: "Time until the answer is whole, by percentile".into(),
        x_label: "percentile".into(),
        y_label: "ms".into(),
        series,
    });
    Ok(report)
}

/// How many answers took longer than `limit_ms`: of requests sent before the slow time, in
/// its first second, in the rest of it, and after it.
fn late_answers(
    seen: &Observations,
    workload: &Workload,
    duration_ms: u64,
    limit_ms: f64,
) -> [String; 4] {
    let mut counts = [0_u32; 4];
    let latencies = latencies_ms(seen, workload, duration_ms);
    for (sample, latency_ms) in seen.samples.iter().zip(latencies) {
        let slow_ms = sample.sent_ms - float(SLOW_FROM_MS);
        let phase = match slow_ms {
            _ if slow_ms < 0.0 => 0,
            _ if slow_ms < 1_000.0 => 1,
            _ if slow_ms < float(SLOW_MS) => 2,
            _ => 3,
        };
        counts[phase] += u32::from(latency_ms > limit_ms);
    }
    counts.map(|count| count.to_string())
}

/// The part of the engines' tokens that no caller received.
fn extra_work(seen: &Observations) -> f64 {
    let made = seen.truth.last().map_or(0, TruthSample::total_tokens);
    let received = received_tokens(seen, Class::Short);
    ratio(float(made) - received, float(made)).max(0.0)
}

fn disturbances(plan: &FleetPlan, seed: u64) -> Vec<Disturbance> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 7);
    let engines = plan.data_centre_count * plan.engines;
    let mut disturbances = Vec::new();
    for engine in sample(&mut rng, engines, SLOWED) {
        disturbances.push(Disturbance {
            at_ms: SLOW_FROM_MS,
            engine,
            fault: EngineFault::Slow { factor: FACTOR },
        });
        disturbances.push(Disturbance {
            at_ms: SLOW_FROM_MS + SLOW_MS,
            engine,
            fault: EngineFault::Heal,
        });
    }
    disturbances.sort_by_key(|disturbance| disturbance.at_ms);
    disturbances
}

fn workload(
    plan: &FleetPlan,
    seed: u64,
    duration_ms: u64,
    disturbances: Vec<Disturbance>,
) -> Workload {
    let arrivals = ArrivalPlan {
        rates: vec![RatePoint {
            at_ms: 0.0,
            per_s: LOAD * plan.tokens_per_s() / SIZES.mean(),
        }],
        // The last requests have time to be answered.
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
        disturbances,
        ..Workload::default()
    }
}
