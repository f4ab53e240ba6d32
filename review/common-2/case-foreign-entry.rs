//! Another writer leaves an entry in the list of replicas whose bytes cannot be read.

#[allow(dead_code, reason = "each case uses a part of them")]
mod standins;

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use standins::*;

/// How long after the acknowledgement of the draining a request may still reach the replica.
const DRAIN_MS: u64 = 2_000;
/// The replica goes on serving for `DRAIN_MS` and a little longer, and exits.
const EXIT_MS: u64 = 5_000;
const CLIENTS: usize = 4;

fn main() -> ExitCode {
    let record = open_case();
    let store = Store::start();
    let replicas: Vec<Replica> = (1..=3)
        .map(|number| Replica::start(&format!("i-{number}"), 800, 100, &record))
        .collect();
    for replica in &replicas {
        store.set_server(
            &replica.name,
            &server_spec("guichet", replica.address, "ready", 1_000),
        );
    }
    store.set_config(&config(
        1,
        &route("/book/", "non_idempotent", 1_500, 1, true),
        "",
    ));
    let Some(gateway) = ready_gateway(store.address, &record) else {
        return ExitCode::from(2);
    };

    let address = gateway.settings.clients;
    let is_over = AtomicBool::new(false);
    let (served, lost) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let late = thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (record, is_over, served, lost) = (&record, &is_over, &served, &lost);
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("booking-{client}-{number}");
                    let Ok(mut connection) = Client::connect(address) else {
                        continue;
                    };
                    if connection.send("POST", "/book/1", &id, 1_500).is_ok() {
                        let answer = connection.receive(2_000);
                        record.line(&format!("client: {id}: {}", answer.status));
                        match answer.status {
                            200 => served.fetch_add(1, Ordering::Relaxed),
                            429 | 503 => 0,
                            _ => lost.fetch_add(1, Ordering::Relaxed),
                        };
                    }
                    sleep_ms(20);
                }
            });
        }
        sleep_ms(1_000);
        if !is_without_trouble() {
            // A text in ISO 8859-1.
            store.set_server(
                "i-other",
                b"{\"service\":\"mod\xe8le\",\"state\":\"ready\"}",
            );
            record.line("the store acknowledges an entry of another writer");
        }
        sleep_ms(2_000);
        let leaving = &replicas[0];
        let spec = server_spec("guichet", leaving.address, "draining", 1_000);
        let acknowledged_ms = store.set_server(&leaving.name, &spec);
        record.line(&format!(
            "the store acknowledges that {} is draining",
            leaving.name
        ));
        sleep_until(acknowledged_ms + EXIT_MS);
        leaving.exit();
        store.remove_server(&leaving.name);
        record.line(&format!("{} has exited", leaving.name));
        sleep_ms(1_000);
        is_over.store(true, Ordering::Relaxed);
        let arrivals = leaving.arrivals.lock().expect("not poisoned");
        arrivals
            .iter()
            .filter(|arrival| arrival.at_ms > acknowledged_ms + DRAIN_MS)
            .count()
    });
    // For information only: a gateway that starts now.
    let second = Gateway::start(GatewaySettings::new(store.address));
    let is_second_ready = second.is_ok_and(|second| second.wait_until_ready(8_000));
    gateway.record_warnings(&record);
    let (served, lost) = (served.into_inner(), lost.into_inner());
    record.line(&format!(
        "another gateway, started after that, gets ready within 8 s: {is_second_ready}"
    ));
    record.line(&format!(
        "{served} bookings answered, {lost} ended without an answer or with 502"
    ));
    record.line(&format!("{late} requests reached i-1 later than drainMs"));
    if served < 50 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(late > 0))
}
