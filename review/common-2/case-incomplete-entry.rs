//! Another writer leaves an entry in the list of replicas in which fields are missing.

#[allow(dead_code, reason = "each case uses a part of them")]
mod standins;

use std::process::ExitCode;
use std::thread;

use standins::*;

/// Requests are sent for this long after the entry was acknowledged.
const OBSERVED_MS: u64 = 5_000;
const CLIENTS: usize = 8;

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

    // A server of another system. It knows itself by the name of its entry.
    let other = Replica::start("i-other", 800, 30, &record);
    if !is_without_trouble() {
        let spec = format!(
            r#"{{"service":"guichet","address":"{}","zone":"rennes","state":"ready"}}"#,
            other.address
        );
        store.set_server("i-other", spec.as_bytes());
        record.line("the store acknowledges an entry of another writer");
    }
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
                        let answer = connection.receive(1_500, None);
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
    gateway.record_warnings(&record);
    let arrivals = other.arrivals.lock().expect("not poisoned");
    let foreign = arrivals.iter().filter(|arrival| arrival.has_run).count();
    record.line(&format!(
        "{served} bookings answered, {foreign} of them run by i-other"
    ));
    if served < 20 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(foreign > 0))
}
