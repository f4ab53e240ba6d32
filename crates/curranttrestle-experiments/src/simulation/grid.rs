//! The `slopes` experiment: measures coordination for a grid of fleet sizes.

use super::counts::Counts;
use super::events;
use super::fleet::{SimulatedFleet, SimulationPlan};
use super::memory::resident_bytes;
use crate::report::{Report, Table};
use crate::statistics::{float, ratio};

/// Time for the routers to find each other and the sheet, in milliseconds.
const SETTLE_MS: u64 = 8_000;
/// Measured time without load, in milliseconds.
const NO_LOAD_MS: u64 = 10_000;
/// Time under load before measurement starts, in milliseconds.
const WARM_UP_MS: u64 = 4_000;
/// Measured time under load, in milliseconds.
const LOADED_MS: u64 = 3_000;
/// Bytes in a kilobyte, as the traffic budget counts them.
const BYTES_PER_KB: f64 = 1_000.0;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("slopes", seed);
    let columns = [
        "routers",
        "endpoints",
        "customers",
        "backlogged",
        "bookings/s",
        "phase",
        "KB/s",
        "highest KB/s",
        "messages/s",
        "envelopes/s",
        "busy %",
        "inputs/s",
        "requests/s",
        "refused/s",
        "store reads/s",
        "store writes/s",
        "MB/node",
        "violations",
    ];
    let mut table = Table::new("per node", &columns);
    let mut kinds = Table::new(
        "bytes and messages per node and second by kind",
        &[
            "routers",
            "endpoints",
            "customers",
            "bookings/s",
            "phase",
            "kind",
            "messages/s",
            "bytes/s",
        ],
    );
    report.tables = vec![
        events::memory_table(seed),
        events::sheet_size_table(),
        events::sheet_change_table(seed),
        events::store_outage_table(seed),
        events::data_centre_loss_table(seed),
        events::booking_table(seed),
    ];
    let before_bytes = resident_bytes();
    for plan in plans() {
        measure(&plan, seed, before_bytes, &mut table, &mut kinds);
        eprintln!("{table}");
    }
    report.tables.extend([table, kinds]);
    report
}

/// The fleets to measure, smallest first: a small fleet would otherwise appear to use the memory of
/// a larger one before it.
fn plans() -> Vec<SimulationPlan> {
    let plan_of = |routers: usize, endpoints_per_router: usize, customers: usize| SimulationPlan {
        routers,
        data_centres: 3,
        endpoints: routers * endpoints_per_router,
        slots: 12,
        customers,
        backlogged: (customers / 10).max(2),
        backlog_spread: 6,
        mean_tokens: 353.0,
        token_ms: 31.0,
        bookings_per_s: 0.0,
    };
    vec![
        plan_of(6, 8, 16),
        plan_of(6, 22, 16),
        plan_of(6, 22, 60),
        plan_of(6, 22, 240),
        plan_of(12, 22, 16),
        plan_of(12, 22, 240),
        plan_of(24, 22, 16),
        plan_of(24, 22, 240),
        plan_of(48, 10, 240),
    ]
}

fn measure(
    plan: &SimulationPlan,
    seed: u64,
    before_bytes: u64,
    table: &mut Table,
    kinds: &mut Table,
) {
    let mut fleet = SimulatedFleet::new(plan, seed);
    fleet.run(SETTLE_MS);
    fleet.reset_counts();
    fleet.run(NO_LOAD_MS);
    add_rows(
        plan,
        &fleet,
        ("quiet", NO_LOAD_MS),
        before_bytes,
        table,
        kinds,
    );
    fleet.start_load();
    fleet.run(WARM_UP_MS);
    fleet.reset_counts();
    fleet.run(LOADED_MS);
    add_rows(
        plan,
        &fleet,
        ("loaded", LOADED_MS),
        before_bytes,
        table,
        kinds,
    );
}

fn add_rows(
    plan: &SimulationPlan,
    fleet: &SimulatedFleet,
    (phase, duration_ms): (&str, u64),
    before_bytes: u64,
    table: &mut Table,
    kinds: &mut Table,
) {
    let mut all = Counts::default();
    let mut violations = 0;
    for node in &fleet.nodes {
        all.merge(&node.counts);
        violations += node.violations();
    }
    let nodes = float(plan.routers as u64);
    let node_seconds = nodes * float(duration_ms) / 1_000.0;
    let per_s = |count: u64| float(count) / node_seconds;
    let most_bytes = fleet.nodes.iter().map(|node| node.counts.bytes()).max();
    let highest_per_s = per_s(most_bytes.unwrap_or_default()) * nodes;
    let resident = resident_bytes().saturating_sub(before_bytes);
    let known = fleet
        .nodes
        .iter()
        .filter(|node| node.known_members(fleet.now()) + 1 == plan.routers)
        .count();
    if known < plan.routers {
        eprintln!(
            "warning: only {known} of {} routers know all others",
            plan.routers
        );
    }
    table.push([
        plan.routers.to_string(),
        plan.endpoints.to_string(),
        plan.customers.to_string(),
        plan.backlogged.to_string(),
        format!("{:.1}", plan.bookings_per_s),
        phase.to_owned(),
        format!("{:.2}", per_s(all.bytes()) / BYTES_PER_KB),
        format!("{:.2}", highest_per_s / BYTES_PER_KB),
        format!("{:.1}", per_s(all.messages())),
        format!("{:.1}", per_s(all.envelopes)),
        format!("{:.2}", ratio(all.busy.as_secs_f64(), node_seconds) * 100.0),
        format!("{:.0}", per_s(all.inputs)),
        format!("{:.1}", per_s(all.dispatched)),
        format!("{:.2}", per_s(all.refused)),
        format!("{:.2}", per_s(all.store_reads)),
        format!("{:.2}", per_s(all.store_writes)),
        format!("{:.2}", float(resident) / nodes / 1e6),
        violations.to_string(),
    ]);
    all.kinds.sort_keys();
    for (kind, count) in &all.kinds {
        kinds.push([
            plan.routers.to_string(),
            plan.endpoints.to_string(),
            plan.customers.to_string(),
            format!("{:.1}", plan.bookings_per_s),
            phase.to_owned(),
            (*kind).to_owned(),
            format!("{:.2}", per_s(count.messages)),
            format!("{:.1}", per_s(count.bytes)),
        ]);
    }
}
