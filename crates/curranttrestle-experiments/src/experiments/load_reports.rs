//! What an owner does with late load reports when a router is lost: coordination only.

use curranttrestle::state::settings::LoadReports;

use crate::report::{Report, Table};
use crate::slopes::{Cell, CellPlan};
use crate::statistics::float;

/// How late load reports are.
const LAGS_MS: [u64; 3] = [200, 1_000, 5_000];
/// Time in which the routers find each other and the sheet.
const SETTLE_MS: u64 = 8_000;
/// Time under load before a router is lost.
const BEFORE_MS: u64 = 3_000;
/// Time that is measured after it.
const AFTER_MS: u64 = 10_000;
/// The interval between two looks at the endpoints.
const LOOK_MS: u64 = 50;
/// The index of the router that is lost.
const LOST: usize = 1;

/// Slots and attempts, summed over the looks.
#[derive(Default)]
struct Looks {
    slots: u64,
    idle: u64,
    beyond: u64,
    greatest: u64,
}

/// Runs the experiment, in stepped time.
pub fn run(seed: u64) -> Report {
    let columns = [
        "lag ms",
        "reports",
        "phase",
        "idle slots %",
        "beyond slots %",
        "greatest beyond",
    ];
    let mut table = Table::new("slots while work waits at all routers", &columns);
    for lag_ms in LAGS_MS {
        for mode in [
            LoadReports::Reconcile,
            LoadReports::Trust,
            LoadReports::Ignore,
        ] {
            let mut cell = Cell::with_reports(&plan(), seed, mode, lag_ms);
            cell.run(SETTLE_MS);
            cell.begin_load();
            cell.run(BEFORE_MS);
            let before = look(&mut cell, BEFORE_MS);
            cell.lose_router(LOST);
            let after = look(&mut cell, AFTER_MS);
            for (phase, looks) in [("undisturbed", before), ("router lost", after)] {
                let percent = |count| format!("{:.2}", float(count) * 100.0 / float(looks.slots));
                table.push([
                    lag_ms.to_string(),
                    format!("{mode:?}").to_lowercase(),
                    phase.to_owned(),
                    percent(looks.idle),
                    percent(looks.beyond),
                    looks.greatest.to_string(),
                ]);
            }
        }
    }
    let mut report = Report::new("load-reports", seed);
    report.tables = vec![table];
    report
}

/// Every customer is backlogged at every other router.
fn plan() -> CellPlan {
    CellPlan {
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

fn look(cell: &mut Cell, duration_ms: u64) -> Looks {
    let mut looks = Looks::default();
    for _ in 0..duration_ms / LOOK_MS {
        cell.run(LOOK_MS);
        for (slots, running) in cell.model_endpoints() {
            let beyond = running.saturating_sub(slots);
            looks.slots += slots;
            looks.idle += slots.saturating_sub(running);
            looks.beyond += beyond;
            looks.greatest = looks.greatest.max(beyond);
        }
    }
    looks
}
