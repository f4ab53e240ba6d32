//! A lookup crashes each replica that runs it; lookups of other things at the same path do not.

#[path = "../common/mod.rs"]
mod common;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use common::{
    CONTACT_MS, Call, Outcome, Replica, Store, Work, config, copy_log, finish, has_trouble, log,
    now_ms, one_tenant, route, say, send_once, sleep_ms, sleep_until, start_gateways,
    start_record,
};

/// The lookup that crashes replicas.
const CRASHING: &str = "/stock/2f?item=cam-13";

/// How long a replica is away after a crash.
const AWAY_MS: u64 = 2_000;

/// The time between two times that the lookup comes.
const AGAIN_MS: u64 = 4_000;

/// How often it comes.
const TIMES: u64 = 9;

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or("review/1".into()));
    start_record(&folder, 110);
    let store = Store::start();
    let replicas: Vec<Arc<Replica>> = ["i-7f3a91c2", "i-02d9e6b4", "i-51c07ae9"]
        .into_iter()
        .map(|id| Replica::start(id, work))
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
    let crashes = Arc::new(AtomicU64::new(0));
    for replica in &replicas {
        let (replica, store) = (Arc::clone(replica), Arc::clone(&store));
        let crashes = Arc::clone(&crashes);
        thread::spawn(move || start_again_after_crashes(&replica, &store, &crashes));
    }

    // Other clients look up other things at the same path, and book.
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4_u64)
        .map(|number| {
            let address = gateways[usize::try_from(number % 2).unwrap_or(0)].clients;
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || other_client(address, number, &is_over))
        })
        .collect();
    sleep_ms(2_000);
    let started = now_ms();
    let mut third_crash_ms = None;
    for number in 0..TIMES {
        sleep_until(started + AGAIN_MS * number);
        let path = if has_trouble() { CRASHING } else { "/stock/2f?item=cam-12" };
        let call = Call::new("GET", path, &format!("{:016x}", 0xc0_0000 + number), 1_500);
        let gateway = &gateways[usize::try_from(number % 2).unwrap_or(0)];
        let outcome = send_once(gateway.clients, &call);
        log(&format!("the lookup came again: {}", outcome.text()));
        if third_crash_ms.is_none() && crashes.load(Ordering::SeqCst) >= 3 {
            third_crash_ms = Some(now_ms());
        }
    }
    sleep_ms(1_500);
    is_over.store(true, Ordering::SeqCst);
    let outcomes: Vec<Outcome> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();

    let limit_ms = third_crash_ms.map(|crash_ms| crash_ms + CONTACT_MS);
    let late: Vec<_> = replicas
        .iter()
        .flat_map(|replica| replica.runs())
        .filter(|run| run.id.starts_with("0000000000c0"))
        .filter(|run| limit_ms.is_some_and(|limit_ms| run.at_ms > limit_ms))
        .collect();
    for run in &late {
        log(&format!("too late: id={} reached {} at {}", run.id, run.replica, run.at_ms));
    }
    let bookings = outcomes.iter().filter(|outcome| outcome.id.starts_with('b'));
    let lost = bookings.filter(|outcome| matches!(outcome.status, 0 | 502 | 504));
    for gateway in &gateways {
        copy_log(gateway, &["kind=request-quarantined"]);
    }
    say(&format!(
        "crashes {}, the lookup reached replicas {} times later than {CONTACT_MS} ms after the third crash (at most 3 allowed); other requests {}, served {}, bookings without a known result {}",
        crashes.load(Ordering::SeqCst),
        late.len(),
        outcomes.len(),
        outcomes.iter().filter(|outcome| outcome.status == 200).count(),
        lost.count()
    ));
    if outcomes.len() < 100 {
        common::cannot_run("too few requests");
    }
    finish(i32::from(late.len() > 3));
}

fn work(_replica: &Replica, request: &common::Message) -> Option<Work> {
    if request.first.contains(CRASHING) {
        return Some(Work::Crash);
    }
    Some(Work::Answer { work_ms: 30 })
}

/// Starts a replica again some time after each crash; it writes its entry anew.
fn start_again_after_crashes(replica: &Replica, store: &Store, crashes: &AtomicU64) {
    let mut sequence = 1;
    loop {
        sleep_ms(5);
        if !replica.has_exited() {
            continue;
        }
        crashes.fetch_add(1, Ordering::SeqCst);
        sleep_ms(AWAY_MS);
        replica.start_again();
        sleep_ms(50);
        sequence += 1;
        store.put_server(&replica.id, &replica.entry("guichet", "ready", sequence));
    }
}

fn other_client(
    address: std::net::SocketAddr,
    number: u64,
    is_over: &AtomicBool,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for turn in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let call = if number % 2 == 0 {
            let path = format!("/stock/2f?item=lens-{turn}");
            Call::new("GET", &path, &format!("a{number:03x}{turn:012x}"), 1_500)
        } else {
            let mut call = Call::new(
                "POST",
                "/book/2f",
                &format!("b{number:03x}{turn:012x}"),
                1_500,
            );
            call.body = format!("booking {turn} of client {number}");
            call
        };
        outcomes.push(send_once(address, &call));
        sleep_ms(50);
    }
    outcomes
}
