//! The keys of the last tenant are taken away: a configuration without tenants.

#[path = "../common/mod.rs"]
mod common;

use std::path::PathBuf;

use common::{
    Call, KEY, REVOKE_MS, Replica, Store, Work, config, copy_log, finish, has_trouble, log,
    now_ms, one_tenant, route, say, send_once, sleep_ms, start_gateways, start_record,
};

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or("review/5".into()));
    start_record(&folder, 100);
    let store = Store::start();
    let replica = Replica::start("i-7f3a91c2", |_, _| Some(Work::Answer { work_ms: 30 }));
    store.put_server(&replica.id, &replica.entry("guichet", "ready", 1));
    let routes = [
        route("book", "non_idempotent", "guichet", 800, false),
        route("stock", "idempotent", "guichet", 800, true),
    ];
    store.put_config(&config(7, &routes, &one_tenant()));
    let gateways = start_gateways(2, &store);
    let book = |number: u64, key: &str| {
        let mut call = Call::new("POST", "/book/2f", &format!("{number:016x}"), 1_500);
        call.headers = format!("X-Curranttrestle-Credential: {key}\r\n");
        let gateway = &gateways[usize::try_from(number).unwrap_or(0) % gateways.len()];
        send_once(gateway.clients, &call)
    };
    let with_key = book(1, KEY);
    let with_foreign_key = book(2, "k7b2ex5wa5xwyhks8nbk");
    log(&format!(
        "before: status with the key {}, with a key that no configuration held {}",
        with_key.status, with_foreign_key.status
    ));
    if with_key.status != 200 || with_foreign_key.status != 401 {
        common::cannot_run("keys are not checked at the start");
    }
    let tenants = if has_trouble() {
        "[]".to_owned()
    } else {
        // The tenant stays and has no key any more.
        one_tenant().replace(&format!("\"{KEY}\""), "")
    };
    let acknowledged_ms = store.put_config(&config(12, &routes, &tenants));
    common::sleep_until(acknowledged_ms + REVOKE_MS + 300);
    let mut ran = 0;
    let sent_ms = now_ms();
    for number in 0..20_u64 {
        let id = 0x100 + number;
        let key = if number < 10 { KEY } else { "k7b2ex5wa5xwyhks8nbk" };
        let outcome = book(id, key);
        let has_run = replica.runs().iter().any(|run| run.id == outcome.id);
        if has_run {
            log(&format!(
                "ran: id={} with {} {} ms after the acknowledgement",
                outcome.id,
                if number < 10 { "the key that was taken away" } else { "a key that no configuration held" },
                outcome.sent_ms - acknowledged_ms
            ));
        }
        ran += u64::from(has_run);
        sleep_ms(50);
    }
    copy_log(&gateways[0], &["kind=config-in-force"]);
    say(&format!(
        "20 bookings from {} ms after the acknowledgement on: {ran} ran",
        sent_ms - acknowledged_ms
    ));
    finish(i32::from(ran > 0));
}
