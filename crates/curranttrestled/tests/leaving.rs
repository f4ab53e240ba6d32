//! A leaving endpoint receives no new requests, and a planned stop interrupts no stream.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranttrestle_standins::relay::{Direction, RelayFault};
use support::client::post;
use support::fleet::{Endpoint, Fleet, FleetPlan, TOKEN, inject_fault, key_of, truth, wait_for};
use support::load::Load;

/// Time after the mark from which a leaving endpoint may admit no request, in milliseconds.
const LEAVE_BOUND_MS: u64 = 5_000;
const PARTITION: RelayFault = RelayFault::Cut {
    direction: Direction::Both,
};

fn plan() -> FleetPlan {
    FleetPlan {
        engines: 2,
        services: 0,
        slots: 3,
        ..FleetPlan::default()
    }
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet
        .routers
        .iter()
        .map(support::fleet::Router::callers)
        .collect()
}

/// Sets an operator's mark and makes the endpoint record when it was set.
fn mark(fleet: &Fleet, endpoint: &Endpoint, mark: &str) {
    inject_fault(
        &endpoint.process,
        &serde_json::json!({ "fault": "leaving" }),
    );
    let body = serde_json::json!({ "endpoint": endpoint.name, "mark": mark });
    let router = &fleet.routers[0];
    let reply = smol::block_on(post(
        router.operators(),
        "/v1/marks",
        TOKEN,
        &body.to_string(),
    ));
    assert_eq!(reply.status, 200, "the mark was refused: {reply:?}");
}

fn assert_left_in_time(endpoint: &Endpoint) {
    let admitted: Vec<u64> = truth(&endpoint.process)["leaving"]["admitted_after_ms"]
        .as_array()
        .unwrap()
        .iter()
        .filter_map(serde_json::Value::as_u64)
        .collect();
    let late: Vec<&u64> = admitted
        .iter()
        .filter(|after_ms| **after_ms > LEAVE_BOUND_MS)
        .collect();
    assert!(
        late.is_empty(),
        "requests admitted too long after the mark: {late:?} ms"
    );
}

fn wait_stopped(endpoint: &Endpoint) {
    wait_for(&format!("{} to stop", endpoint.name), || {
        truth(&endpoint.process)["orders"]["stopped_unix_ms"].is_u64()
    });
}

#[test]
fn a_marked_endpoint_receives_no_new_requests() {
    let fleet = Fleet::start_with_sheet("leaving_mark", plan());
    let load = Load::start(&callers(&fleet), &key_of("roofer"), 4, 20);
    std::thread::sleep(Duration::from_secs(2));
    mark(&fleet, &fleet.engines[0], "leaving");
    std::thread::sleep(Duration::from_millis(LEAVE_BOUND_MS + 2_000));
    load.stop().assert_all_answered();
    assert_left_in_time(&fleet.engines[0]);
    assert!(truth(&fleet.engines[0].process)["admitted"].as_u64() > Some(0));
}

#[test]
fn a_leaving_status_in_the_platforms_list_is_propagated_by_peers() {
    let fleet = Fleet::start_with_sheet("leaving_list", plan());
    // The routers in the endpoint's data centre cannot reach the platform.
    let endpoint = &fleet.engines[0];
    fleet.inject_platform(endpoint.data_centre, PARTITION);
    let load = Load::start(&callers(&fleet), &key_of("roofer"), 4, 20);
    std::thread::sleep(Duration::from_secs(2));
    let lag = serde_json::json!({ "fault": "instance-lag", "lag_ms": 500 });
    inject_fault(&fleet.platform, &lag);
    let status = serde_json::json!({
        "name": endpoint.name,
        "address": endpoint.process.address("address").to_string(),
        "data_centre": endpoint.data_centre,
        "leaving": true,
    });
    inject_fault(
        &endpoint.process,
        &serde_json::json!({ "fault": "leaving" }),
    );
    support::client::put_instance(fleet.platform.address("address"), &status);
    std::thread::sleep(Duration::from_millis(LEAVE_BOUND_MS + 2_000));
    load.stop().assert_all_answered();
    assert_left_in_time(endpoint);
}

#[test]
fn a_paused_router_dispatches_nothing_on_expired_leases() {
    let fleet = Fleet::start_with_sheet("leaving_paused", plan());
    let load = Load::start(&callers(&fleet), &key_of("roofer"), 4, 20);
    std::thread::sleep(Duration::from_secs(2));
    let paused = &fleet.routers[1];
    for _ in 0..2 {
        paused.process.pause();
        mark(&fleet, &fleet.engines[0], "leaving");
        std::thread::sleep(Duration::from_millis(LEAVE_BOUND_MS + 1_000));
        paused.process.resume();
        std::thread::sleep(Duration::from_secs(2));
    }
    load.stop();
    assert_left_in_time(&fleet.engines[0]);
}

#[test]
fn a_stopped_endpoint_finishes_its_streams() {
    let fleet = Fleet::start_with_sheet("leaving_stop", plan());
    // Streams that last several seconds are in flight when the stop is ordered.
    let load = Load::start(&callers(&fleet), &key_of("roofer"), 3, 400);
    std::thread::sleep(Duration::from_secs(2));
    let misreporting = &fleet.engines[1].process;
    inject_fault(
        misreporting,
        &serde_json::json!({ "fault": "load-lag", "lag_ms": 3_000 }),
    );
    inject_fault(misreporting, &serde_json::json!({ "fault": "lying-load" }));
    mark(&fleet, &fleet.engines[0], "stop");
    mark(&fleet, &fleet.engines[1], "stop");
    wait_stopped(&fleet.engines[0]);
    wait_stopped(&fleet.engines[1]);
    load.stop().assert_all_answered();
    for engine in &fleet.engines[..2] {
        let orders = &truth(&engine.process)["orders"];
        assert_eq!(orders["cut_by_stop"], 0, "{}: {orders}", engine.name);
        assert_left_in_time(engine);
    }
}

#[test]
fn a_stopped_router_finishes_its_streams_and_exits() {
    let mut fleet = Fleet::start_with_sheet("leaving_router", plan());
    let leaving = fleet.routers.len() - 1;
    let stopped = [fleet.routers[leaving].callers()];
    let streams: Vec<_> = (0..6)
        .map(|number| {
            let router = stopped[0];
            let key = key_of("roofer");
            std::thread::spawn(move || {
                let prompt = format!("long report {number}");
                let body = serde_json::json!({ "prompt": prompt, "max_tokens": 400 }).to_string();
                let request = support::client::call(router, &key, "draft-report", &[], &body);
                let reply = smol::block_on(request);
                assert_eq!(reply.status, 200, "{reply:?}");
                let response = support::client::read_events(&reply.body);
                let expected = curranttrestle_standins::engine::expected_response(&prompt, 400);
                assert!(response.done, "the stream was interrupted: {response:?}");
                assert_eq!(response.text, expected);
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    fleet.routers[leaving].process.terminate();
    std::thread::sleep(Duration::from_millis(300));
    let refused = smol::block_on(support::client::call(
        stopped[0],
        &key_of("roofer"),
        "draft-report",
        &[],
        "{\"prompt\": \"late\"}",
    ));
    assert_ne!(
        refused.status, 200,
        "a stopping router accepted a new request"
    );
    for stream in streams {
        stream.join().expect("no stream is interrupted");
    }
    let started = Instant::now();
    let code = fleet.routers[leaving].process.wait(Duration::from_secs(20));
    assert_eq!(code, Some(0), "after {:?}", started.elapsed());
}
