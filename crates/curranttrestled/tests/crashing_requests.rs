//! A request that crashes every engine that runs it may crash at most two engines of the fleet.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use curranttrestle_standins::engine::CRASH_MARKER;
use support::client::{Reply, ask, call};
use support::fleet::{Fleet, FleetPlan, Router, key_of, truth, wait_for};
use support::load::Load;
use uuid::Uuid;

/// Maximum engine crashes that one request may cause across the fleet.
const MAX_CRASHES: u64 = 2;
/// How often the caller sends its request through each router.
const ROUNDS: usize = 3;
/// Copies of the request sent to one router concurrently.
const COPIES: usize = 20;
/// Delay between a reply and the kill of its router.
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

fn send_crashing_request(router: SocketAddr, label: &str) -> Reply {
    let headers = [("Idempotency-Key", Uuid::now_v7().to_string())];
    let prompt = format!("draft {CRASH_MARKER} {label}");
    let body = serde_json::json!({ "prompt": prompt, "max_tokens": 40 }).to_string();
    let key = key_of("auditor");
    smol::block_on(call(router, &key, "draft-report", &headers, &body))
}

/// Asserts that every engine admits requests again after its restart.
fn assert_all_engines_serve(fleet: &Fleet) {
    let before: Vec<u64> = admitted(fleet);
    let load = Load::start(&callers(fleet), &key_of("roofer"), 4, 20);
    wait_for("every engine to admit a request", || {
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
fn crashes_at_most_two_engines_when_retried_through_every_router() {
    let fleet = Fleet::start_with_sheet("crashers_repeated", plan());
    let routers = callers(&fleet);
    let background_load = Load::start(&routers, &key_of("roofer"), 2, 30);
    std::thread::sleep(Duration::from_secs(2));
    for round in 0..ROUNDS {
        for router in &routers {
            let reply = send_crashing_request(*router, "repeated");
            assert!(
                ["not-run", "unknown"].contains(&reply.outcome.as_str()),
                "round {round}: {reply:?}"
            );
            let crashes = crashes(&fleet);
            assert!(crashes <= MAX_CRASHES, "round {round}: {crashes} crashes");
        }
    }
    let received = background_load.stop();
    println!("crashes {} background load {received:?}", crashes(&fleet));
    received.assert_all_answered();
    assert!(crashes(&fleet) > 0, "no engine ran the request");
    assert_all_engines_serve(&fleet);
}

#[test]
fn crashes_at_most_two_engines_when_its_routers_are_killed() {
    let mut fleet = Fleet::start_with_sheet("crashers_killed", plan());
    let key = key_of("roofer");
    // Waits until the first leases are granted.
    smol::block_on(ask(
        fleet.routers[0].callers(),
        &key,
        "draft-report",
        "first",
    ));
    for index in 0..fleet.routers.len() {
        send_crashing_request(fleet.routers[index].callers(), "killed");
        // Routers send the crash report to their peers along with the reply; the report may
        // be lost if the router is killed at once.
        std::thread::sleep(KILL_AFTER);
        fleet.restart_router(index);
        fleet.wait_for_sheet(1);
        let crashes = crashes(&fleet);
        assert!(crashes <= MAX_CRASHES, "router {index}: {crashes} crashes");
    }
    assert!(crashes(&fleet) > 0, "no engine ran the request");
    assert_all_engines_serve(&fleet);
}

#[test]
fn crashes_at_most_two_engines_when_copies_arrive_concurrently() {
    let fleet = Fleet::start_with_sheet("crashers_copies", plan());
    let routers = callers(&fleet);
    let background_load = Load::start(&routers, &key_of("roofer"), 2, 30);
    std::thread::sleep(Duration::from_secs(3));
    std::thread::scope(|scope| {
        for _ in 0..COPIES {
            scope.spawn(|| send_crashing_request(routers[0], "copies"));
        }
    });
    let received = background_load.stop();
    let crashes = crashes(&fleet);
    println!("crashes {crashes} background load {received:?}");
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    assert!(crashes > 0, "no engine ran the request");
    received.assert_all_answered();
}
