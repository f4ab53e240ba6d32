//! Measures idle and over-committed slots when load reports are late and a router is lost, for each
//! way of using the reports. Runs in a simulated fleet.

use curranttrestle::state::settings::LoadReports;

use crate::report::{Report, Table};
use crate::simulation::{SimulatedFleet, SimulationPlan};
use crate::statistics::float;

/// Ages of the state in load reports, in milliseconds.
const LAGS_MS: [u64; 3] = [200, 1_000, 5_000];
/// Time for the routers to discover each other and load the sheet, in milliseconds.
const SETTLE_MS: u64 = 8_000;
/// Length of each of two periods under load before a router is lost, in milliseconds: the first is
/// not measured, the second is.
const BEFORE_LOSS_MS: u64 = 3_000;
/// Measured time after the loss, in milliseconds.
const AFTER_LOSS_MS: u64 = 10_000;
/// Interval between two samples of the endpoints, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 50;
/// Index of the router that is lost.
const LOST_ROUTER: usize = 1;

/// Slot counts, summed over all samples and endpoints. `over_committed` counts the attempts that run
/// beyond an endpoint's slots; `max_over_committed` is the largest such excess at one endpoint in
/// one sample.
#[derive(Default)]
struct SlotCounts {
    slots: u64,
    idle: u64,
    over_committed: u64,
    max_over_committed: u64,
}

/// Runs the experiment in simulated time.
pub fn run(seed: u64) -> Report {
    let columns = [
        "lag ms",
        "reports",
        "phase",
        "idle slots %",
        "over-committed slots %",
        "largest over-commitment",
    ];
    let mut table = Table::new(
        "idle and over-committed slots while requests wait at all routers",
        &columns,
    );
    for lag_ms in LAGS_MS {
        for mode in [
            LoadReports::Reconcile,
            LoadReports::Trust,
            LoadReports::Ignore,
        ] {
            let mut fleet = SimulatedFleet::with_reports(&plan(), seed, mode, lag_ms);
            fleet.run(SETTLE_MS);
            fleet.start_load();
            fleet.run(BEFORE_LOSS_MS);
            let before = sample_slots(&mut fleet, BEFORE_LOSS_MS);
            fleet.stop_router(LOST_ROUTER);
            let after = sample_slots(&mut fleet, AFTER_LOSS_MS);
            for (phase, counts) in [("undisturbed", before), ("router lost", after)] {
                let percent = |count| format!("{:.2}", float(count) * 100.0 / float(counts.slots));
                table.push([
                    lag_ms.to_string(),
                    format!("{mode:?}").to_lowercase(),
                    phase.to_owned(),
                    percent(counts.idle),
                    percent(counts.over_committed),
                    counts.max_over_committed.to_string(),
                ]);
            }
        }
    }
    let mut report = Report::new("load-reports", seed);
    report.tables = vec![table];
    report
}

/// A small fleet in which each customer keeps a backlog at one in two routers.
fn plan() -> SimulationPlan {
    SimulationPlan {
        routers: 6,
        data_centres: 3,
        endpoints: 12,
        slots: 4,
        customers: 4,
        backlogged: 4,
        backlog_spread: 2,
        mean_tokens: 100.0,
        token_ms: 31.0,
        bookings_per_s: 0.0,
    }
}

fn sample_slots(fleet: &mut SimulatedFleet, duration_ms: u64) -> SlotCounts {
    let mut counts = SlotCounts::default();
    for _ in 0..duration_ms / SAMPLE_INTERVAL_MS {
        fleet.run(SAMPLE_INTERVAL_MS);
        for (slots, running) in fleet.model_endpoints() {
            let over_committed = running.saturating_sub(slots);
            counts.slots += slots;
            counts.idle += slots.saturating_sub(running);
            counts.over_committed += over_committed;
            counts.max_over_committed = counts.max_over_committed.max(over_committed);
        }
    }
    counts
}
