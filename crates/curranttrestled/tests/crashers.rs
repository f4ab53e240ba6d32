//! A request that crashes each engine that runs it costs at most two of them.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use curranttrestle_standins::engine::CRASH_MARKER;
use support::client::{Reply, ask, call};
use support::fleet::{Fleet, FleetPlan, Router, key_of, truth, wait_for};
use support::load::Load;
use uuid::Uuid;

/// The most engines that one request may cost the whole fleet.
const MAX_CRASHES: u64 = 2;
/// How often the caller sends its request again through each router.
const REPEATS: usize = 3;
/// Copies of it that are sent to one router at once.
const COPIES: usize = 20;
/// How soon after a reply its router is killed.
const KILL_AFTER: Duration = Duration::from_millis(200);

fn plan() -> FleetPlan {
    FleetPlan {
        routers: 2,
        engines: 3,
        services: 0,
        slots: 3,
        engine_arguments: vec!["--restart-ms", "700"],
        ..FleetPlan::default()
    }
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.routers.iter().map(Router::callers).collect()
}

fn crashes(fleet: &Fleet) -> u64 {
    let engines = fleet.engines.iter();
    engines
        .map(|engine| {
            truth(&engine.process)["crashes"]
                .as_u64()
                .unwrap_or_default()
        })
        .sum()
}

fn send_crasher(router: SocketAddr, marker: &str) -> Reply {
    let headers = [("Idempotency-Key", Uuid::now_v7().to_string())];
    let prompt = format!("draft {CRASH_MARKER} {marker}");
    let body = serde_json::json!({ "prompt": prompt, "max_tokens": 40 }).to_string();
    let key = key_of("auditor");
    smol::block_on(call(router, &key, "draft-report", &headers, &body))
}

/// Every engine serves again after its restart.
fn assert_all_engines_serve(fleet: &Fleet) {
    let before: Vec<u64> = admitted(fleet);
    let load = Load::start(&callers(fleet), &key_of("roofer"), 4, 20);
    wait_for("work at every engine", || {
        let now = admitted(fleet);
        now.iter().zip(&before).all(|(now, before)| now > before)
    });
    load.stop().assert_all_answered();
}

fn admitted(fleet: &Fleet) -> Vec<u64> {
    let engines = fleet.engines.iter();
    engines
        .map(|engine| {
            truth(&engine.process)["admitted"]
                .as_u64()
                .unwrap_or_default()
        })
        .collect()
}

#[test]
fn costs_at_most_two_engines_when_its_caller_repeats_it_everywhere() {
    let fleet = Fleet::start_with_sheet("crashers_repeated", plan());
    let routers = callers(&fleet);
    let innocents = Load::start(&routers, &key_of("roofer"), 2, 30);
    std::thread::sleep(Duration::from_secs(2));
    for round in 0..REPEATS {
        for router in &routers {
            let reply = send_crasher(*router, "repeated");
            assert!(
                ["not-run", "unknown"].contains(&reply.outcome.as_str()),
                "round {round}: {reply:?}"
            );
            let crashes = crashes(&fleet);
            assert!(crashes <= MAX_CRASHES, "round {round}: {crashes} crashes");
        }
    }
    let received = innocents.stop();
    println!("crashes {} innocents {received:?}", crashes(&fleet));
    received.assert_all_answered();
    assert!(crashes(&fleet) > 0, "no engine ran the request");
    assert_all_engines_serve(&fleet);
}

#[test]
fn costs_at_most_two_engines_when_its_routers_are_killed() {
    let mut fleet = Fleet::start_with_sheet("crashers_killed", plan());
    let key = key_of("roofer");
    smol::block_on(ask(
        fleet.routers[0].callers(),
        &key,
        "draft-report",
        "first",
    ));
    for index in 0..fleet.routers.len() {
        send_crasher(fleet.routers[index].callers(), "killed");
        // News of a death is sent with the reply; a kill in the same instant may lose it.
        std::thread::sleep(KILL_AFTER);
        fleet.restart_router(index);
        fleet.wait_in_force(1);
        let crashes = crashes(&fleet);
        assert!(crashes <= MAX_CRASHES, "router {index}: {crashes} crashes");
    }
    assert!(crashes(&fleet) > 0, "no engine ran the request");
    assert_all_engines_serve(&fleet);
}

#[test]
fn costs_at_most_two_engines_when_many_copies_come_at_once() {
    let fleet = Fleet::start_with_sheet("crashers_copies", plan());
    let routers = callers(&fleet);
    let innocents = Load::start(&routers, &key_of("roofer"), 2, 30);
    std::thread::sleep(Duration::from_secs(3));
    std::thread::scope(|scope| {
        for _ in 0..COPIES {
            scope.spawn(|| send_crasher(routers[0], "copies"));
        }
    });
    let received = innocents.stop();
    let crashes = crashes(&fleet);
    println!("crashes {crashes} innocents {received:?}");
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    assert!(crashes > 0, "no engine ran the request");
    received.assert_all_answered();
}
