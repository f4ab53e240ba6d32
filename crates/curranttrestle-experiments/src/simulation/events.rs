//! The cost of single events and loads: memory per sheet size, changes of the sheet, a store
//! outage, the loss of a data centre, and bookings at high rates.

use super::counts::Counts;
use super::fleet::{SimulatedFleet, SimulationPlan};
use super::memory::resident_bytes;
use super::sheet::object_text;
use crate::report::Table;
use crate::statistics::{float, ratio};

/// Time for the routers to discover each other and load the sheet, in milliseconds.
const SETTLE_MS: u64 = 8_000;
/// Interval between two samples in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 50;
/// Observed time after the loss of a data centre, in milliseconds.
const OBSERVE_MS: u64 = 30_000;
/// Number of measured changes of the sheet.
const CHANGES: u64 = 5;
/// Time between two changes of the sheet in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 7_200;
/// Length of the store outage in milliseconds.
const OUTAGE_MS: u64 = 30_000;
/// Measured time after the store outage, in milliseconds.
const AFTER_OUTAGE_MS: u64 = 60_000;
/// Measured time of bookings in milliseconds.
const BOOKINGS_MS: u64 = 10_000;
/// Bytes in a kilobyte.
const BYTES_PER_KB: f64 = 1_000.0;

fn plan_without_load(routers: usize, endpoints: usize) -> SimulationPlan {
    SimulationPlan {
        routers,
        data_centres: 3,
        endpoints,
        slots: 12,
        customers: 240,
        backlogged: 0,
        backlog_spread: 6,
        mean_tokens: 353.0,
        token_ms: 31.0,
        bookings_per_s: 0.0,
    }
}

fn start_settled(plan: &SimulationPlan, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(plan, seed);
    fleet.run(SETTLE_MS);
    fleet.reset_counts();
    fleet
}

fn total_counts(fleet: &SimulatedFleet) -> Counts {
    let mut all = Counts::default();
    for node in &fleet.nodes {
        all.merge(&node.counts);
    }
    all
}

/// Measures the resident memory of one router without load, for growing sheets.
pub fn memory_table(seed: u64) -> Table {
    let columns = ["routers", "endpoints", "sheet object KB", "MB per router"];
    let mut table = Table::new("memory of a router without load", &columns);
    for endpoints in [100, 500, 1_000, 2_000, 4_000] {
        let plan = plan_without_load(12, endpoints);
        let before = resident_bytes();
        let fleet = start_settled(&plan, seed);
        let grown = resident_bytes().saturating_sub(before);
        table.push([
            plan.routers.to_string(),
            endpoints.to_string(),
            format!(
                "{:.0}",
                float(object_text(&plan, 1).len() as u64) / BYTES_PER_KB
            ),
            format!(
                "{:.2}",
                float(grown) / float(fleet.nodes.len() as u64) / 1e6
            ),
        ]);
        // Leaked, so that the next fleet can't reuse its memory and appear smaller.
        std::mem::forget(fleet);
    }
    table
}

/// Measures the time until a change of the sheet is in force at all routers, and its cost.
pub fn sheet_change_table(seed: u64) -> Table {
    let columns = [
        "routers",
        "endpoints",
        "longest ms until in force",
        "bytes per change and node",
        "of which config",
        "store calls per change",
    ];
    let mut table = Table::new("changes of the sheet", &columns);
    for (routers, endpoints) in [(6, 100), (12, 500), (24, 500), (48, 500), (24, 2_000)] {
        let plan = plan_without_load(routers, endpoints);
        let mut fleet = start_settled(&plan, seed);
        fleet.run(CHANGES * CHANGE_INTERVAL_MS);
        let without_changes = total_counts(&fleet);
        fleet.reset_counts();
        let mut longest_ms = 0;
        for number in 2..2 + CHANGES {
            longest_ms = longest_ms.max(change_sheet(&mut fleet, number));
        }
        let with_changes = total_counts(&fleet);
        let changes = float(CHANGES);
        let nodes = float(routers as u64);
        let per_change = |after: u64, before: u64| (float(after) - float(before)) / changes;
        let config_bytes = |counts: &Counts| {
            let kinds = counts.kinds.iter();
            let config = kinds.filter(|(kind, _)| kind.starts_with("config-"));
            config.map(|(_, count)| count.bytes).sum::<u64>()
        };
        table.push([
            routers.to_string(),
            endpoints.to_string(),
            longest_ms.to_string(),
            format!(
                "{:.0}",
                per_change(with_changes.bytes(), without_changes.bytes()) / nodes
            ),
            format!(
                "{:.0}",
                per_change(config_bytes(&with_changes), config_bytes(&without_changes)) / nodes
            ),
            format!(
                "{:.1}",
                per_change(
                    with_changes.store_reads + with_changes.store_writes,
                    without_changes.store_reads + without_changes.store_writes
                )
            ),
        ]);
    }
    table
}

/// Changes the sheet and returns the time in milliseconds until it is in force at all routers, at
/// most [`CHANGE_INTERVAL_MS`].
fn change_sheet(fleet: &mut SimulatedFleet, number: u64) -> u64 {
    fleet.change_sheet(number);
    let mut in_force_ms = None;
    let mut elapsed_ms = 0;
    while elapsed_ms < CHANGE_INTERVAL_MS {
        fleet.run(SAMPLE_INTERVAL_MS);
        elapsed_ms += SAMPLE_INTERVAL_MS;
        let now = fleet.now();
        let at_all_routers = || {
            let mut nodes = fleet.nodes.iter();
            nodes.all(|node| node.sheet_number(now) >= number)
        };
        if in_force_ms.is_none() && at_all_routers() {
            in_force_ms = Some(elapsed_ms);
        }
    }
    in_force_ms.unwrap_or(CHANGE_INTERVAL_MS)
}

/// Measures the store calls of all routers before, during and after a store outage.
pub fn store_outage_table(seed: u64) -> Table {
    let columns = [
        "routers",
        "before: calls/s",
        "during: calls/s",
        "first minute after: calls/s",
        "most calls in a second after",
    ];
    let mut table = Table::new("store calls of all routers around a store outage", &columns);
    for routers in [6, 12, 24, 48] {
        let mut fleet = start_settled(&plan_without_load(routers, 100), seed);
        let begin = fleet.now();
        fleet.run(OUTAGE_MS);
        let before = fleet.store_calls_since(begin);
        fleet.set_store_down(true);
        let begin = fleet.now();
        fleet.run(OUTAGE_MS);
        let during = fleet.store_calls_since(begin);
        fleet.set_store_down(false);
        let begin = fleet.now();
        fleet.run(AFTER_OUTAGE_MS);
        let after = fleet.store_calls_since(begin);
        table.push([
            routers.to_string(),
            per_s(&before),
            per_s(&during),
            per_s(&after),
            after.iter().max().copied().unwrap_or_default().to_string(),
        ]);
    }
    table
}

fn per_s(calls: &[u64]) -> String {
    let sum = calls.iter().sum();
    format!("{:.1}", ratio(float(sum), float(calls.len() as u64)))
}

/// Measures the messages and store calls of the remaining routers when a data
/// centre is lost.
pub fn data_centre_loss_table(seed: u64) -> Table {
    let columns = [
        "routers",
        "lost",
        "ms until all noticed",
        "KB/s per node before",
        "KB/s per node after",
        "store calls/s before",
        "most calls in a second after",
    ];
    let mut table = Table::new("loss of a data centre", &columns);
    for routers in [12, 24, 48] {
        let plan = plan_without_load(routers, 500);
        let mut fleet = start_settled(&plan, seed);
        let begin = fleet.now();
        fleet.run(10_000);
        let kilobytes_before = kilobytes_per_s(&fleet, routers, 10_000);
        let calls_before = fleet.store_calls_since(begin);
        let lost: Vec<usize> = (0..routers).step_by(plan.data_centres).collect();
        for node in &lost {
            fleet.stop_router(*node);
        }
        fleet.reset_counts();
        let begin = fleet.now();
        let remaining = routers - lost.len();
        let noticed_ms = until_noticed(&mut fleet, remaining);
        let calls_after = fleet.store_calls_since(begin);
        table.push([
            routers.to_string(),
            lost.len().to_string(),
            noticed_ms.to_string(),
            format!("{kilobytes_before:.2}"),
            format!("{:.2}", kilobytes_per_s(&fleet, remaining, OBSERVE_MS)),
            per_s(&calls_before),
            calls_after
                .iter()
                .max()
                .copied()
                .unwrap_or_default()
                .to_string(),
        ]);
    }
    table
}

fn kilobytes_per_s(fleet: &SimulatedFleet, nodes: usize, duration_ms: u64) -> f64 {
    let node_seconds = float(nodes as u64) * float(duration_ms) / 1_000.0;
    ratio(float(total_counts(fleet).bytes()), node_seconds) / BYTES_PER_KB
}

/// Runs for [`OBSERVE_MS`]. Returns the time in milliseconds until each remaining router considers
/// exactly the remaining routers alive, at most [`OBSERVE_MS`].
fn until_noticed(fleet: &mut SimulatedFleet, remaining: usize) -> u64 {
    let mut noticed_ms = None;
    let mut elapsed_ms = 0;
    while elapsed_ms < OBSERVE_MS {
        fleet.run(SAMPLE_INTERVAL_MS);
        elapsed_ms += SAMPLE_INTERVAL_MS;
        let now = fleet.now();
        let all_noticed = || {
            let mut nodes = fleet.nodes.iter().filter(|node| node.alive);
            nodes.all(|node| node.alive_members(now) + 1 == remaining)
        };
        if noticed_ms.is_none() && all_noticed() {
            noticed_ms = Some(elapsed_ms);
        }
    }
    noticed_ms.unwrap_or(OBSERVE_MS)
}

/// Measures the store calls of bookings, up to the rate of the planned fleet size.
pub fn booking_table(seed: u64) -> Table {
    let columns = [
        "routers",
        "bookings/s",
        "claims dispatched/s",
        "refused/s",
        "store writes/s",
        "store reads/s",
        "writes per booking",
        "claim KB/s per node",
    ];
    let mut table = Table::new("store calls of all routers for bookings", &columns);
    for per_router_s in [2.0, 10.0, 35.4] {
        let routers = 12;
        let plan = SimulationPlan {
            bookings_per_s: per_router_s,
            endpoints: 3,
            slots: 1,
            ..plan_without_load(routers, 3)
        };
        let mut fleet = start_settled(&plan, seed);
        fleet.start_load();
        fleet.run(SETTLE_MS);
        fleet.reset_counts();
        fleet.run(BOOKINGS_MS);
        let all = total_counts(&fleet);
        let seconds = float(BOOKINGS_MS) / 1_000.0;
        let claim_bytes: u64 = ["claim-request", "claim-answer"]
            .iter()
            .filter_map(|kind| all.kinds.get(kind))
            .map(|count| count.bytes)
            .sum();
        let nodes = float(routers as u64);
        table.push([
            routers.to_string(),
            format!("{:.0}", per_router_s * nodes),
            format!("{:.0}", float(all.dispatched) / seconds),
            format!("{:.1}", float(all.refused) / seconds),
            format!("{:.0}", float(all.store_writes) / seconds),
            format!("{:.0}", float(all.store_reads) / seconds),
            format!(
                "{:.2}",
                ratio(float(all.store_writes), float(all.dispatched))
            ),
            format!("{:.2}", float(claim_bytes) / seconds / nodes / BYTES_PER_KB),
        ]);
    }
    table
}

/// Measures the size of the store object that holds the sheet.
pub fn sheet_size_table() -> Table {
    let columns = ["endpoints", "customers", "KB"];
    let mut table = Table::new(
        "size of the sheet object (none: exceeds the store's limit)",
        &columns,
    );
    for endpoints in [500, 2_000, 4_000, 6_000, 7_900] {
        let bytes = object_text(&plan_without_load(1, endpoints), 1).len() as u64;
        let size = match bytes {
            0 => "none".to_owned(),
            bytes => format!("{:.0}", float(bytes) / BYTES_PER_KB),
        };
        table.push([endpoints.to_string(), "240".to_owned(), size]);
    }
    table
}
