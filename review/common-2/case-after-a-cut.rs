//! A gateway is cut off from the store for some seconds. Just after that, a replica leaves without
//! reporting `draining`.

#[allow(dead_code, reason = "each case uses a part of them")]
mod standins;

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;

use standins::*;

const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
/// How long the cut lasts at least and at most.
const MIN_CUT_MS: u64 = 3_500;
const MAX_CUT_MS: u64 = 5_500;
/// How often the gateway is cut off, until one cut ends at such a moment as the case needs.
const MAX_CUTS: usize = 11;
/// The replica leaves so long after the end of the cut.
const LEAVES_AFTER_MS: u64 = 100;
/// It goes on serving for `DRAIN_MS` and a little longer, and exits.
const EXIT_MS: u64 = 6_000;
const CLIENTS: usize = 4;
/// A call to the store takes so long at most; the gateway gives up then.
const CALL_MS: u64 = 700;
/// The gateway pauses for so long at most before it calls again.
const BACKOFF_MS: u64 = 500;

/// Ends the cut while a read of the configuration is under way that ends later than the next list of the
/// replicas begins, or after the longest time. Returns whether there was such a moment.
fn wait_for_end_of_cut(link: &Link, cut_ms: u64) -> bool {
    while now_ms() < cut_ms + MAX_CUT_MS {
        let config = link.lost_call_age_ms("/objects/config").unwrap_or(u64::MAX);
        let list = link.lost_call_age_ms("/objects/servers").unwrap_or(0);
        let is_under_way = config < CALL_MS;
        let list_in_ms = (CALL_MS + BACKOFF_MS).saturating_sub(list);
        if now_ms() >= cut_ms + MIN_CUT_MS && is_under_way && list_in_ms + config < CALL_MS {
            return true;
        }
        sleep_ms(5);
    }
    false
}

fn main() -> ExitCode {
    let record = open_case();
    let store = Store::start();
    let link = Link::start(store.address);
    let replicas: Vec<Replica> = (1..=3)
        .map(|number| Replica::start(&format!("i-{number}"), 800, 50, &record))
        .collect();
    for replica in &replicas {
        let spec = server_spec("guichet", replica.address, "ready", 1_000);
        store.set_server(&replica.name, &spec);
    }
    let book = route("/book/", "non_idempotent", 1_500, 1, true);
    store.set_config(&config(1, &book, ""));
    let Some(gateway) = ready_gateway(link.address, &record) else {
        return ExitCode::from(2);
    };

    let address = gateway.settings.clients;
    let is_over = AtomicBool::new(false);
    let served = AtomicUsize::new(0);
    let late = thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (record, is_over, served) = (&record, &is_over, &served);
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
                        served.fetch_add(usize::from(answer.status == 200), Ordering::Relaxed);
                    }
                    sleep_ms(30);
                }
            });
        }
        sleep_ms(1_000);
        if is_without_trouble() {
            sleep_ms(MIN_CUT_MS);
        }
        let mut is_between = is_without_trouble();
        for _ in 0..MAX_CUTS {
            if is_between {
                break;
            }
            link.cut();
            record.line("the gateway is cut off from the store");
            is_between = wait_for_end_of_cut(&link, now_ms());
            link.heal();
            record.line("the gateway reaches the store again");
            if !is_between {
                sleep_ms(2_000);
            }
        }
        if !is_between {
            record.line("no cut ended at such a moment");
            is_over.store(true, Ordering::Relaxed);
            return None;
        }
        let healed_ms = now_ms();
        sleep_ms(LEAVES_AFTER_MS);
        let leaving = &replicas[0];
        let acknowledged_ms = store.remove_server(&leaving.name);
        record.line(&format!(
            "the store acknowledges that {} is gone",
            leaving.name
        ));
        sleep_until(acknowledged_ms + EXIT_MS);
        leaving.exit();
        record.line(&format!("{} has exited", leaving.name));
        is_over.store(true, Ordering::Relaxed);
        let arrivals = leaving.arrivals.lock().expect("not poisoned");
        // The gateway is in touch again, also when the client began to send.
        let from_ms = (acknowledged_ms + DRAIN_MS).max(healed_ms + CONTACT_MS + 100);
        let late: Vec<u64> = arrivals
            .iter()
            .map(|arrival| arrival.at_ms)
            .filter(|at_ms| *at_ms > from_ms)
            .collect();
        if let Some(last_ms) = late.last() {
            let after_ms = last_ms - acknowledged_ms;
            record.line(&format!("the last request reached i-1 {after_ms} ms after"));
        }
        Some(late.len())
    });
    let Some(late) = late else {
        return ExitCode::from(2);
    };
    gateway.record_warnings(&record);
    record.line(&format!(
        "{} bookings answered",
        served.load(Ordering::Relaxed)
    ));
    record.line(&format!("{late} requests reached i-1 later than drainMs"));
    if served.into_inner() < 50 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(late > 0))
}
