//! What rare events cost: changes of the sheet, an outage of the store, the loss of a data
//! centre, bookings at a high rate.

use super::cell::{Cell, CellPlan};
use super::counts::Counts;
use super::memory::resident_bytes;
use super::sheet::object_text;
use crate::report::Table;
use crate::statistics::{float, ratio};

/// Time in which the routers find each other and the sheet.
const SETTLE_MS: u64 = 8_000;
/// The interval between two looks.
const LOOK_MS: u64 = 50;
/// The longest that an event is followed.
const FOLLOW_MS: u64 = 30_000;
/// Changes of the sheet that are measured, and the time between them.
const CHANGES: u64 = 5;
/// The time between two changes of the sheet.
const CHANGE_MS: u64 = 7_200;
/// How long the store is down.
const OUTAGE_MS: u64 = 30_000;
/// How long the store is watched after its outage.
const AFTER_OUTAGE_MS: u64 = 60_000;
/// How long bookings are measured.
const BOOKINGS_MS: u64 = 10_000;
/// Bytes in a kilobyte.
const BYTES_PER_KB: f64 = 1_000.0;

fn quiet_plan(routers: usize, endpoints: usize) -> CellPlan {
    CellPlan {
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

fn settled(plan: &CellPlan, seed: u64) -> Cell {
    let mut cell = Cell::new(plan, seed);
    cell.run(SETTLE_MS);
    cell.clear_counts();
    cell
}

fn total(cell: &Cell) -> Counts {
    let mut all = Counts::default();
    for node in &cell.nodes {
        all.add(&node.counts);
    }
    all
}

/// Resident memory of one router in a quiet fleet, for growing sheets.
pub fn memory(seed: u64) -> Table {
    let columns = [
        "routers",
        "endpoints",
        "sheet object KB",
        "MB for each router",
    ];
    let mut table = Table::new("memory of a quiet router", &columns);
    for endpoints in [100, 500, 1_000, 2_000, 4_000] {
        let plan = quiet_plan(12, endpoints);
        let before = resident_bytes();
        let cell = settled(&plan, seed);
        let grown = resident_bytes().saturating_sub(before);
        table.push([
            plan.routers.to_string(),
            endpoints.to_string(),
            format!(
                "{:.0}",
                float(object_text(&plan, 1).len() as u64) / BYTES_PER_KB
            ),
            format!("{:.2}", float(grown) / float(cell.nodes.len() as u64) / 1e6),
        ]);
        // Kept, so that the next cell does not use its memory again.
        std::mem::forget(cell);
    }
    table
}

/// How long a change of the sheet takes to be in force everywhere, and what it costs.
pub fn sheet_changes(seed: u64) -> Table {
    let columns = [
        "routers",
        "endpoints",
        "greatest ms",
        "bytes a change and node",
        "of which config",
        "store calls a change",
    ];
    let mut table = Table::new("changes of the sheet", &columns);
    for (routers, endpoints) in [(6, 100), (12, 500), (24, 500), (48, 500), (24, 2_000)] {
        let plan = quiet_plan(routers, endpoints);
        let mut cell = settled(&plan, seed);
        cell.run(CHANGES * CHANGE_MS);
        let idle = total(&cell);
        cell.clear_counts();
        let mut greatest_ms = 0;
        for number in 2..2 + CHANGES {
            greatest_ms = greatest_ms.max(change(&mut cell, number));
        }
        let busy = total(&cell);
        let changes = float(CHANGES);
        let nodes = float(routers as u64);
        let more = |after: u64, before: u64| (float(after) - float(before)) / changes;
        let config_bytes = |counts: &Counts| {
            let kinds = counts.kinds.iter();
            let config = kinds.filter(|(kind, _)| kind.starts_with("config-"));
            config.map(|(_, count)| count.bytes).sum::<u64>()
        };
        table.push([
            routers.to_string(),
            endpoints.to_string(),
            greatest_ms.to_string(),
            format!("{:.0}", more(busy.bytes(), idle.bytes()) / nodes),
            format!(
                "{:.0}",
                more(config_bytes(&busy), config_bytes(&idle)) / nodes
            ),
            format!(
                "{:.1}",
                more(
                    busy.store_reads + busy.store_writes,
                    idle.store_reads + idle.store_writes
                )
            ),
        ]);
    }
    table
}

/// Changes the sheet; returns the time until it is in force everywhere.
fn change(cell: &mut Cell, number: u64) -> u64 {
    cell.change_sheet(number);
    let mut in_force_ms = None;
    let mut passed_ms = 0;
    while passed_ms < CHANGE_MS {
        cell.run(LOOK_MS);
        passed_ms += LOOK_MS;
        let now = cell.now();
        let everywhere = || {
            let mut nodes = cell.nodes.iter();
            nodes.all(|node| node.sheet_number(now) >= number)
        };
        if in_force_ms.is_none() && everywhere() {
            in_force_ms = Some(passed_ms);
        }
    }
    in_force_ms.unwrap_or(CHANGE_MS)
}

/// The calls of a whole fleet to the store around an outage.
pub fn store_outage(seed: u64) -> Table {
    let columns = [
        "routers",
        "before: calls/s",
        "in the outage: calls/s",
        "first minute after: calls/s",
        "greatest second after",
    ];
    let mut table = Table::new(
        "calls of the whole fleet around an outage of the store",
        &columns,
    );
    for routers in [6, 12, 24, 48] {
        let mut cell = settled(&quiet_plan(routers, 100), seed);
        let begin = cell.now();
        cell.run(OUTAGE_MS);
        let before = cell.store_calls_since(begin);
        cell.set_store_down(true);
        let begin = cell.now();
        cell.run(OUTAGE_MS);
        let during = cell.store_calls_since(begin);
        cell.set_store_down(false);
        let begin = cell.now();
        cell.run(AFTER_OUTAGE_MS);
        let after = cell.store_calls_since(begin);
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

/// What the other routers send and call when a whole data centre is lost.
pub fn data_centre_lost(seed: u64) -> Table {
    let columns = [
        "routers",
        "lost",
        "all noticed after ms",
        "KB/s of a node before",
        "KB/s of a node after",
        "store calls/s before",
        "greatest second after",
    ];
    let mut table = Table::new("a data centre is lost", &columns);
    for routers in [12, 24, 48] {
        let plan = quiet_plan(routers, 500);
        let mut cell = settled(&plan, seed);
        let begin = cell.now();
        cell.run(10_000);
        let kilobytes_before = kilobytes_per_s(&cell, routers, 10_000);
        let calls_before = cell.store_calls_since(begin);
        let lost: Vec<usize> = (0..routers).step_by(plan.data_centres).collect();
        for node in &lost {
            cell.lose_router(*node);
        }
        cell.clear_counts();
        let begin = cell.now();
        let left = routers - lost.len();
        let noticed_ms = until_noticed(&mut cell, left);
        let calls_after = cell.store_calls_since(begin);
        table.push([
            routers.to_string(),
            lost.len().to_string(),
            noticed_ms.to_string(),
            format!("{kilobytes_before:.2}"),
            format!("{:.2}", kilobytes_per_s(&cell, left, FOLLOW_MS)),
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

fn kilobytes_per_s(cell: &Cell, nodes: usize, duration_ms: u64) -> f64 {
    let node_seconds = float(nodes as u64) * float(duration_ms) / 1_000.0;
    ratio(float(total(cell).bytes()), node_seconds) / BYTES_PER_KB
}

/// Follows the event; returns when all routers that are left believe that just they are.
fn until_noticed(cell: &mut Cell, left: usize) -> u64 {
    let mut noticed_ms = None;
    let mut passed_ms = 0;
    while passed_ms < FOLLOW_MS {
        cell.run(LOOK_MS);
        passed_ms += LOOK_MS;
        let now = cell.now();
        let all_noticed = || {
            let mut nodes = cell.nodes.iter().filter(|node| node.alive);
            nodes.all(|node| node.alive_members(now) + 1 == left)
        };
        if noticed_ms.is_none() && all_noticed() {
            noticed_ms = Some(passed_ms);
        }
    }
    noticed_ms.unwrap_or(FOLLOW_MS)
}

/// Store calls of bookings, up to the rate of the size to come.
pub fn bookings(seed: u64) -> Table {
    let columns = [
        "routers",
        "bookings/s",
        "claims dispatched/s",
        "refused/s",
        "store writes/s",
        "store reads/s",
        "writes a booking",
        "claim KB/s of a node",
    ];
    let mut table = Table::new("store calls of the whole fleet for bookings", &columns);
    for per_router_s in [2.0, 10.0, 35.4] {
        let routers = 12;
        let plan = CellPlan {
            bookings_per_s: per_router_s,
            endpoints: 3,
            slots: 1,
            ..quiet_plan(routers, 3)
        };
        let mut cell = settled(&plan, seed);
        cell.begin_load();
        cell.run(SETTLE_MS);
        cell.clear_counts();
        cell.run(BOOKINGS_MS);
        let all = total(&cell);
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

/// The size of the store's object with the sheet.
pub fn sheet_sizes() -> Table {
    let columns = ["endpoints", "customers", "KB"];
    let mut table = Table::new(
        "the sheet's object; none where it exceeds the store's limit",
        &columns,
    );
    for endpoints in [500, 2_000, 4_000, 6_000, 7_900] {
        let bytes = object_text(&quiet_plan(1, endpoints), 1).len() as u64;
        let size = match bytes {
            0 => "none".to_owned(),
            bytes => format!("{:.0}", float(bytes) / BYTES_PER_KB),
        };
        table.push([endpoints.to_string(), "240".to_owned(), size]);
    }
    table
}
