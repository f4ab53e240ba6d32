//! The settings file changes without a signal: the bound on revocations becomes shorter.

#[allow(dead_code, reason = "each case uses a part of them")]
mod standins;

use std::process::ExitCode;

use standins::*;

const NEW_REVOKE_MS: u64 = 2_000;
/// How long the gateway has had the new settings file when the key is taken away.
const SETTLE_MS: u64 = 10_000;
/// How long the gateway is cut off from the store.
const CUT_MS: u64 = 5_500;

fn main() -> ExitCode {
    let record = open_case();
    let store = Store::start();
    let link = Link::start(store.address);
    let replica = Replica::start("i-1", 800, 30, &record);
    store.set_server("i-1", &server_spec("guichet", replica.address, "ready", 1));
    let config = |version, keys: &str| {
        let tenants = format!(r#""tenants":[{{"name":"hule930","apiKeys":[{keys}]}}],"#);
        config(
            version,
            &route("/stock/", "idempotent", 800, 2, false),
            &tenants,
        )
    };
    store.set_config(&config(
        1,
        r#""asnmgkcuyj8pjbvk9m68","q1b7xkcuyj8pjbvk9m68""#,
    ));
    let Some(gateway) = ready_gateway(link.address, &record) else {
        return ExitCode::from(2);
    };

    let mut sent: Vec<(String, u64)> = Vec::new();
    let mut send_until = |until_ms: u64| {
        while now_ms() < until_ms {
            let id = format!("stock-{}", sent.len());
            let Ok(mut client) = Client::connect(gateway.settings.clients) else {
                continue;
            };
            let at_ms = now_ms();
            let key = "X-Curranttrestle-Credential: asnmgkcuyj8pjbvk9m68\r\n";
            if client.send_with("GET", "/stock/1", &id, 1_500, key).is_ok() {
                let answer = client.receive(1_500);
                record.line(&format!(
                    "client: {id}, sent at {at_ms} ms: {}",
                    answer.status
                ));
                sent.push((id, at_ms));
            }
            sleep_ms(50);
        }
    };
    send_until(now_ms() + 1_000);
    let new = format!("revokeMs = {NEW_REVOKE_MS}");
    gateway.replace_settings(&gateway.settings.text.replace("revokeMs = 5000", &new));
    record.line(&format!("the settings file says {new}"));
    if is_without_trouble() {
        if !send_signal("HUP", gateway.pid()) {
            return ExitCode::from(2);
        }
        record.line("the gateway gets SIGHUP");
    }
    send_until(now_ms() + SETTLE_MS);
    link.cut();
    record.line("the gateway is cut off from the store");
    let cut_ms = now_ms();
    let acknowledged_ms = store.set_config(&config(2, r#""q1b7xkcuyj8pjbvk9m68""#));
    record.line("the store acknowledges that the key is taken away");
    send_until(cut_ms + CUT_MS);
    link.heal();
    record.line("the gateway reaches the store again");
    send_until(now_ms() + 2_000);
    gateway.record_warnings(&record);
    let arrivals = replica.arrivals.lock().expect("not poisoned");
    let has_run = |id: &str| {
        arrivals
            .iter()
            .any(|arrival| arrival.id == id && arrival.has_run)
    };
    let before = sent
        .iter()
        .filter(|(id, at_ms)| *at_ms < acknowledged_ms && has_run(id))
        .count();
    let is_late = |at_ms: u64| at_ms > acknowledged_ms + NEW_REVOKE_MS;
    let late = sent
        .iter()
        .filter(|(id, at_ms)| is_late(*at_ms) && has_run(id))
        .count();
    record.line(&format!("{before} requests ran that were sent before"));
    record.line(&format!(
        "{late} ran that were sent later than revokeMs after"
    ));
    if before < 50 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(late > 0))
}
