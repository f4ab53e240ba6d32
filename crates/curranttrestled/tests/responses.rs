//! Every caller receives the complete response to its own request despite connection, frame,
//! engine and router faults.

mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use curranttrestle_standins::engine::expected_response;
use support::client::call;
use support::fleet::{Fleet, FleetPlan, Router, inject_fault, key_of, status, truth, wait_for};
use support::load::Load;
use support::raw::RawCaller;

/// Time allowed after the caller's deadline until the reply arrives on a busy machine.
const DEADLINE_SLACK: Duration = Duration::from_secs(2);

fn plan() -> FleetPlan {
    FleetPlan {
        routers: 1,
        services: 0,
        ..FleetPlan::default()
    }
}

fn callers(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.routers.iter().map(Router::callers).collect()
}

fn inject_into_all_engines(fleet: &Fleet, fault: &serde_json::Value) {
    for engine in &fleet.engines {
        inject_fault(&engine.process, fault);
    }
}

fn total(fleet: &Fleet, field: &str) -> u64 {
    let counts = fleet.engines.iter();
    counts
        .map(|engine| truth(&engine.process)[field].as_u64().unwrap_or_default())
        .sum()
}

fn wait_idle(router: &Router) {
    wait_for(
        &format!("{} to have no running attempts", router.name),
        || {
            let status = status(router);
            status["running_attempts"] == 0 && status["active_requests"] == 0
        },
    );
}

#[test]
fn late_duplicate_reordered_foreign_or_missing_frames_do_not_corrupt_responses() {
    let fleet = Fleet::start_with_sheet("answers_frames", plan());
    let frames = serde_json::json!({
        "duplicate_every": 3, "reorder_every": 5, "foreign_every": 4, "late_every": 7,
        "drop_every": 11,
    });
    inject_into_all_engines(
        &fleet,
        &serde_json::json!({ "fault": "frames", "frames": frames }),
    );
    let load = Load::start(&callers(&fleet), &key_of("roofer"), 3, 60);
    std::thread::sleep(Duration::from_secs(6));
    let received = load.stop();
    received.assert_all_answered();
    assert!(
        total(&fleet, "resumed") > 0,
        "no stream was resumed after a missing frame"
    );
}

#[test]
fn silent_connections_are_replaced() {
    let fleet = Fleet::start_with_sheet("answers_silent", plan());
    let load = Load::start(&callers(&fleet), &key_of("roofer"), 3, 150);
    for _ in 0..2 {
        std::thread::sleep(Duration::from_secs(1));
        inject_into_all_engines(
            &fleet,
            &serde_json::json!({ "fault": "silence-connections" }),
        );
        std::thread::sleep(Duration::from_secs(5));
    }
    load.stop().assert_all_answered();
    assert!(total(&fleet, "resumed") > 0, "no stream was resumed");
}

#[test]
fn connections_closed_mid_stream_are_replaced() {
    let fleet = Fleet::start_with_sheet("answers_closed", plan());
    let load = Load::start(&callers(&fleet), &key_of("roofer"), 3, 150);
    for _ in 0..4 {
        std::thread::sleep(Duration::from_secs(1));
        inject_into_all_engines(&fleet, &serde_json::json!({ "fault": "close-connections" }));
    }
    load.stop().assert_all_answered();
    assert!(total(&fleet, "resumed") > 0, "no stream was resumed");
}

#[test]
fn streams_of_a_frozen_engine_resume_on_another() {
    let fleet = Fleet::start_with_sheet("answers_frozen", plan());
    let load = Load::start(&callers(&fleet), &key_of("roofer"), 1, 150);
    std::thread::sleep(Duration::from_secs(2));
    inject_fault(
        &fleet.engines[0].process,
        &serde_json::json!({ "fault": "freeze" }),
    );
    std::thread::sleep(Duration::from_secs(12));
    let before = load.received.answered.load(Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(2));
    let after = load.received.answered.load(Ordering::Relaxed);
    inject_fault(
        &fleet.engines[0].process,
        &serde_json::json!({ "fault": "heal" }),
    );
    std::thread::sleep(Duration::from_secs(2));
    load.stop().assert_all_answered();
    assert!(
        after > before,
        "no request was answered while one engine was frozen"
    );
}

#[test]
fn a_caller_resumes_through_another_router_after_its_router_is_killed() {
    let mut fleet = Fleet::start_with_sheet("answers_killed", plan());
    let key = key_of("roofer");
    for round in 0..3 {
        let victim = round % fleet.routers.len();
        let other = (victim + 1) % fleet.routers.len();
        let prompt = format!("a long report {round}");
        let expected = expected_response(&prompt, 400);
        let mut caller = RawCaller::ask(fleet.routers[victim].callers(), &key, &prompt, 400);
        let first = caller.read_until(100);
        assert!(!first.done && first.text.len() >= 100, "{first:?}");
        fleet.routers[victim].process.kill();
        let first = caller.read_to_end();
        assert!(
            !first.done,
            "the response completed before the router was killed"
        );
        assert!(expected.starts_with(&first.text));
        let router = fleet.routers[other].callers();

        let stranger = key_of("auditor");
        let mut refused =
            RawCaller::resume(router, &stranger, &first.resume_token, first.text.len());
        refused.read_to_end();
        assert!((400..500).contains(&refused.status()), "{}", refused.text());
        assert!(refused.text().contains("not-run"), "{}", refused.text());

        let mut resumed = RawCaller::resume(router, &key, &first.resume_token, first.text.len());
        wait_for("the rest of the response", || {
            resumed.read_some();
            resumed.text().contains("event: done") || resumed.text().contains("event: error")
        });
        assert_eq!(resumed.status(), 200, "{}", resumed.text());
        assert_eq!(resumed.rest(), expected[first.text.len()..]);
        fleet.restart_router(victim);
        fleet.wait_for_sheet(1);
    }
}

#[test]
fn a_disconnected_caller_frees_its_slot() {
    let fleet = Fleet::start_with_sheet("answers_gone", plan());
    let key = key_of("roofer");
    let load = Load::start(&callers(&fleet), &key_of("auditor"), 1, 20);
    for round in 0..3 {
        let disconnecting: Vec<RawCaller> = fleet
            .routers
            .iter()
            .map(|router| {
                let prompt = format!("nobody waits for this {round}");
                let mut caller = RawCaller::ask(router.callers(), &key, &prompt, 2_000);
                caller.read_until(20);
                caller
            })
            .collect();
        drop(disconnecting);
        std::thread::sleep(Duration::from_secs(1));
    }
    load.stop().assert_all_answered();
    fleet.routers.iter().for_each(wait_idle);
    // The engines stop these streams long before the responses would have completed.
    wait_for("all engines to be idle", || total(&fleet, "running") == 0);
    assert_eq!(total(&fleet, "abandoned") + total(&fleet, "cancelled"), 9);
}

#[test]
fn a_deadline_is_enforced_while_a_request_is_queued() {
    let fleet = Fleet::start_with_sheet("answers_deadline_queued", plan());
    let key = key_of("roofer");
    // Long responses occupy every slot of the fleet.
    let busy: Vec<RawCaller> = fleet
        .routers
        .iter()
        .flat_map(|router| (0..8).map(move |number| (router.callers(), number)))
        .map(|(router, number)| {
            RawCaller::ask(router, &key, &format!("busy {router} {number}"), 3_000)
        })
        .collect();
    wait_for("all engine slots to be busy", || {
        total(&fleet, "running") == 12
    });
    let admitted = total(&fleet, "admitted");
    let started = Instant::now();
    let headers = [("Deadline-Ms", "1000".to_owned())];
    let body = "{\"prompt\": \"in a hurry\"}";
    let router = fleet.routers[0].callers();
    let auditor = key_of("auditor");
    let replies: Vec<_> = std::thread::scope(|scope| {
        let asking: Vec<_> = (0..4)
            .map(|_| {
                scope.spawn(|| {
                    smol::block_on(call(router, &auditor, "draft-report", &headers, body))
                })
            })
            .collect();
        asking
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    let elapsed = started.elapsed();
    for reply in &replies {
        assert_eq!(reply.outcome, "not-run", "{reply:?}");
        assert_eq!(reply.status, 504, "{reply:?}");
    }
    assert_eq!(total(&fleet, "admitted"), admitted, "a refused request ran");
    assert!(
        elapsed < Duration::from_secs(1) + DEADLINE_SLACK,
        "{elapsed:?}"
    );
    drop(busy);
}

#[test]
fn a_deadline_is_enforced_mid_stream_and_before_the_first_byte() {
    let fleet = Fleet::start_with_sheet("answers_deadline_stream", plan());
    let key = key_of("roofer");
    let headers = [("Deadline-Ms", "1000".to_owned())];
    let body = serde_json::json!({ "prompt": "a long report", "max_tokens": 2_000 }).to_string();
    let router = fleet.routers[0].callers();
    let ask = || {
        let started = Instant::now();
        let reply = smol::block_on(call(router, &key, "draft-report", &headers, &body));
        (reply, started.elapsed())
    };
    // A new slot owner grants no leases for one lease duration; this request waits for that.
    smol::block_on(support::client::ask(router, &key, "draft-report", "first"));
    let (reply, elapsed) = ask();
    assert!(
        elapsed < Duration::from_secs(1) + DEADLINE_SLACK,
        "{elapsed:?}"
    );
    let response = support::client::read_events(&reply.body);
    assert!(response.error.is_some(), "{reply:?}");
    assert!(expected_response("a long report", 2_000).starts_with(&response.text));
    let error = response.error.expect("the stream ends with an error");
    assert!(error.contains("\"outcome\":\"unknown\""), "{error}");
    wait_idle(&fleet.routers[0]);

    // Frozen engines accept requests and send no bytes.
    inject_into_all_engines(&fleet, &serde_json::json!({ "fault": "freeze" }));
    let (reply, elapsed) = ask();
    assert!(
        elapsed < Duration::from_secs(1) + DEADLINE_SLACK,
        "{elapsed:?} {reply:?}"
    );
    assert_ne!(reply.outcome, "answered", "{reply:?}");
    inject_into_all_engines(&fleet, &serde_json::json!({ "fault": "heal" }));
    wait_idle(&fleet.routers[0]);
}

#[test]
fn a_request_refused_once_by_every_engine_is_answered() {
    let fleet = Fleet::start_with_sheet("answers_refused", plan());
    let key = key_of("roofer");
    let router = fleet.routers[0].callers();
    // Waits until the first leases are granted.
    smol::block_on(support::client::ask(router, &key, "draft-report", "first"));
    inject_into_all_engines(
        &fleet,
        &serde_json::json!({ "fault": "refuse-next", "count": 1 }),
    );
    let headers = [("Deadline-Ms", "15000".to_owned())];
    let body = "{\"prompt\": \"refused everywhere\", \"max_tokens\": 20}";
    let reply = smol::block_on(call(router, &key, "draft-report", &headers, body));
    assert_eq!(reply.status, 200, "{reply:?}");
    let response = support::client::read_events(&reply.body);
    assert_eq!(response.text, expected_response("refused everywhere", 20));
    assert_eq!(total(&fleet, "refused"), 3);
}
