//! Another writer replaces the entry of a replica of one service by one in which fields are missing and
//! that names the other service.

#[allow(dead_code, reason = "each case uses a part of them")]
mod standins;

use std::process::ExitCode;
use std::thread;

use standins::*;

/// Requests are sent for this long.
const OBSERVED_MS: u64 = 5_000;
/// The other writer writes so long after the first request.
const WRITTEN_AFTER_MS: u64 = 1_500;
/// `heartbeatMs`: the replica writes its own entry again after this time.
const HEARTBEAT_MS: u64 = 1_200;
const CLIENTS: usize = 20;

fn main() -> ExitCode {
    let record = open_case();
    let store = Store::start();
    let replicas: Vec<Replica> = (1..=3)
        .map(|number| Replica::start(&format!("i-{number}"), 800, 30, &record))
        .collect();
    for replica in &replicas {
        let spec = server_spec("guichet", replica.address, "ready", 1_000);
        store.set_server(&replica.name, &spec);
    }
    store.set_config(&config(
        1,
        &route("/book/", "non_idempotent", 800, 1, true),
        "",
    ));
    let Some(gateway) = ready_gateway(store.address, &record) else {
        return ExitCode::from(2);
    };

    // A replica of another service, to which no route leads.
    let other = Replica::start("i-9", 800, 30, &record);
    let own_spec = server_spec("atelier-modele", other.address, "ready", 1_000);
    store.set_server(&other.name, &own_spec);
    let writing = {
        let (store, record, address) = (store.clone(), record.clone(), other.address);
        thread::spawn(move || {
            sleep_ms(WRITTEN_AFTER_MS);
            if !is_without_trouble() {
                let spec = format!(
                    r#"{{"service":"guichet","address":"{address}","zone":"rennes","state":"ready"}}"#
                );
                store.set_server("i-9", spec.as_bytes());
                record.line("the store acknowledges an entry of another writer under i-9");
            }
            sleep_ms(HEARTBEAT_MS);
            store.set_server("i-9", &own_spec);
            record.line("i-9 has written its own entry again");
        })
    };
    let until_ms = now_ms() + OBSERVED_MS;
    let address = gateway.settings.clients;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                let mut served = 0;
                for number in 0.. {
                    if now_ms() >= until_ms {
                        break;
                    }
                    let id = format!("booking-{client}-{number}");
                    let Ok(mut connection) = Client::connect(address) else {
                        continue;
                    };
                    if connection.send("POST", "/book/1", &id, 1_500).is_ok() {
                        let answer = connection.receive(1_500);
                        record.line(&format!("client: {id}: {}", answer.status));
                        served += usize::from(answer.status == 200);
                    }
                    sleep_ms(20);
                }
                served
            })
        })
        .collect();
    let served: usize = clients
        .into_iter()
        .map(|client| client.join().unwrap_or_default())
        .sum();
    writing.join().expect("the writer does not fail");
    gateway.record_warnings(&record);
    let arrivals = other.arrivals.lock().expect("not poisoned");
    let foreign = arrivals.iter().filter(|arrival| arrival.has_run).count();
    record.line(&format!(
        "{served} bookings answered, {foreign} of them run by i-9"
    ));
    if served < 20 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(foreign > 0))
}
