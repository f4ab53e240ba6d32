//! Open connections to the store go silent; a replica leaves without reporting `draining`.

#[path = "../common/mod.rs"]
mod common;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use common::{
    CONTACT_MS, Call, Connection, DRAIN_MS, Outcome, Replica, Store, Work, config, copy_log,
    finish, has_trouble, log, one_tenant, route, say, sleep_until, start_gateways, start_record,
};

/// How late a request may reach the replica beyond the bound before it counts.
const TOLERANCE_MS: u64 = 150;

/// How long the replica that leaves goes on serving after its entry was removed: `drainMs` and a
/// little longer.
const SERVES_ON_MS: u64 = DRAIN_MS + 1_500;

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or("review/2".into()));
    start_record(&folder, 100);
    let store = Store::start();
    let replicas: Vec<Arc<Replica>> = ["i-7f3a91c2", "i-02d9e6b4", "i-51c07ae9"]
        .into_iter()
        .map(|id| Replica::start(id, |_, _| Some(Work::Answer { work_ms: 100 })))
        .collect();
    for replica in &replicas {
        store.put_server(&replica.id, &replica.entry("guichet", "ready", 1));
    }
    let routes = [
        route("book", "non_idempotent", "guichet", 800, true),
        route("stock", "idempotent", "guichet", 800, true),
    ];
    store.put_config(&config(7, &routes, &one_tenant()));
    let gateways = start_gateways(2, &store);

    let started = common::now_ms();
    let is_over = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..16)
        .map(|number| {
            let address = gateways[number % gateways.len()].clients;
            let (is_over, next_id) = (Arc::clone(&is_over), Arc::clone(&next_id));
            thread::spawn(move || client(address, &is_over, &next_id))
        })
        .collect();

    let silent_ms = started + 4_300;
    sleep_until(silent_ms);
    let in_touch_ms = if has_trouble() {
        store.silence_open_connections() + CONTACT_MS
    } else {
        0
    };
    sleep_until(silent_ms + 500);
    let leaving = &replicas[2];
    let gone_ms = store.remove_server(&leaving.id);
    sleep_until(gone_ms + SERVES_ON_MS);
    let exit_ms = leaving.exit();
    sleep_until(gone_ms + 7_000);
    is_over.store(true, Ordering::SeqCst);
    let outcomes: Vec<Outcome> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();

    let limit_ms = (gone_ms + DRAIN_MS).max(in_touch_ms);
    log(&format!(
        "gone={gone_ms}, bound={}, in touch again={in_touch_ms}, exit={exit_ms}",
        gone_ms + DRAIN_MS
    ));
    let sent_ms = |id: &str| {
        let outcome = outcomes.iter().find(|outcome| outcome.id == id);
        outcome.map_or(0, |outcome| outcome.sent_ms)
    };
    // Taken from the client and sent on while in touch, and later than the bound.
    let late: Vec<_> = leaving
        .runs()
        .into_iter()
        .filter(|run| run.at_ms > limit_ms + TOLERANCE_MS && sent_ms(&run.id) >= in_touch_ms)
        .collect();
    for run in &late {
        log(&format!(
            "late: id={} reached {} {} ms after it was gone",
            run.id,
            run.replica,
            run.at_ms - gone_ms
        ));
    }
    for gateway in &gateways {
        copy_log(gateway, &["kind=dependency", "kind=endpoint-gone"]);
    }
    let cut: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| outcome.status != 200 && outcome.sent_ms >= in_touch_ms.max(gone_ms))
        .collect();
    for outcome in &cut {
        log(&format!("not served: {}", outcome.text()));
    }
    let last_ms = late.iter().map(|run| run.at_ms - gone_ms).max();
    say(&format!(
        "requests {}, not served {}, requests that reached the replica too late {}, the last {} ms after it was gone (bound {DRAIN_MS})",
        outcomes.len(),
        cut.len(),
        late.len(),
        last_ms.unwrap_or(0)
    ));
    if outcomes.len() < 200 || leaving.runs().is_empty() {
        common::cannot_run("too few requests");
    }
    finish(i32::from(!late.is_empty()));
}

/// Sends bookings and lookups one after the other over a kept connection.
fn client(
    address: std::net::SocketAddr,
    is_over: &AtomicBool,
    next_id: &AtomicU64,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let mut connection: Option<Connection> = None;
    while !is_over.load(Ordering::SeqCst) {
        let number = next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:016x}");
        let call = match number % 3 {
            0 => Call::new("GET", "/stock/2f", &id, 1_500),
            _ => Call::new("POST", "/book/2f", &id, 1_500),
        };
        let Some(mut open) = connection.take().or_else(|| Connection::open(address)) else {
            common::sleep_ms(50);
            continue;
        };
        let outcome = open.send(&call);
        if outcome.is_complete && outcome.status == 200 {
            connection = Some(open);
        }
        outcomes.push(outcome);
        common::sleep_ms(10 + number * 37 % 60);
    }
    outcomes
}
