//! A replica sends additional bytes after a complete response, at the point where the next response is
//! expected: that response once more, without an id.

#[allow(dead_code, reason = "each case uses a part of them")]
mod standins;

use std::process::ExitCode;

use standins::*;

const REQUESTS: usize = 220;
/// One answer in so many of one replica of two is sent again.
const EXTRA_EVERY: usize = 34;

fn main() -> ExitCode {
    let record = open_case();
    let store = Store::start();
    let mut replica = Replica::new("i-1", 800, 10);
    replica.extra_every = (!is_without_trouble()).then_some(EXTRA_EVERY);
    let replica = replica.run(&record);
    store.set_server("i-1", &server_spec("guichet", replica.address, "ready", 1));
    let sound = Replica::start("i-2", 800, 10, &record);
    store.set_server("i-2", &server_spec("guichet", sound.address, "ready", 1));
    store.set_config(&config(
        1,
        &route("/stock/", "idempotent", 800, 2, true),
        "",
    ));
    let Some(gateway) = ready_gateway(store.address, &record) else {
        return ExitCode::from(2);
    };

    let (mut whole, mut foreign) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("stock-{number}");
        let Ok(mut client) = Client::connect(gateway.settings.clients) else {
            continue;
        };
        if client
            .send("GET", &format!("/stock/{number}"), &id, 1_500)
            .is_err()
        {
            continue;
        }
        let answer = client.receive(1_500);
        let owner = String::from_utf8_lossy(&answer.body);
        let owner = owner.split(' ').next().unwrap_or_default();
        let (status, is_signed) = (answer.status, answer.is_signed);
        record.line(&format!(
            "client: {id}: {status}, signed: {is_signed}, body of {owner:?}"
        ));
        if status == 200 && answer.is_whole() {
            whole += 1;
            foreign += usize::from(owner != id);
        }
        sleep_ms(10);
    }
    gateway.record_warnings(&record);
    record.line(&format!(
        "{whole} successes, {foreign} of them with the body of another answer"
    ));
    if whole < REQUESTS / 2 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(foreign > 0))
}
