//! A booking runs at most once, and a request reported as `not-run` did not run.

mod support;

use std::time::Duration;

use support::client::{Reply, ask, book, book_in_background, call};
use support::fleet::{Fleet, FleetPlan, inject_fault, key_of};
use uuid::Uuid;

/// Delays between sending a booking and the failure of its router, in milliseconds.
const FAILURE_MOMENTS_MS: [u64; 6] = [0, 2, 5, 12, 40, 120];

fn plan() -> FleetPlan {
    FleetPlan {
        service_arguments: vec!["--work-ms", "150"],
        ..FleetPlan::default()
    }
}

fn new_booking() -> String {
    Uuid::now_v7().to_string()
}

/// Asserts that the reply states an outcome, unless the connection broke without a reply.
fn assert_outcome_stated(reply: &Reply) {
    let is_stated = ["answered", "not-run", "unknown"].contains(&reply.outcome.as_str());
    assert!(
        is_stated || reply.status == 0,
        "the reply states no outcome: {reply:?}"
    );
}

#[test]
fn a_booking_runs_once_when_its_router_is_killed() {
    let mut fleet = Fleet::start_with_sheet("booking_killed", plan());
    let key = key_of("roofer");
    for (round, moment_ms) in FAILURE_MOMENTS_MS.into_iter().enumerate() {
        let victim = round % fleet.routers.len();
        let booking = new_booking();
        let first = book_in_background(fleet.routers[victim].callers(), &key, &booking);
        std::thread::sleep(Duration::from_millis(moment_ms));
        fleet.routers[victim].process.kill();
        assert_outcome_stated(&first.join().unwrap());
        let others = fleet.routers.iter().enumerate();
        let retries: Vec<_> = others
            .filter(|(index, _)| *index != victim)
            .map(|(_, router)| book_in_background(router.callers(), &key, &booking))
            .collect();
        for retry in retries {
            let reply = retry.join().unwrap();
            assert_outcome_stated(&reply);
            assert_ne!(reply.outcome, "", "a running router must reply: {reply:?}");
        }
        assert!(
            fleet.runs(&booking) <= 1,
            "the booking ran more than once; router killed after {moment_ms} ms"
        );
        fleet.restart_router(victim);
        fleet.wait_for_sheet(1);
    }
}

#[test]
fn a_booking_runs_once_when_its_router_is_paused_beyond_all_timeouts() {
    let fleet = Fleet::start_with_sheet("booking_paused", plan());
    let key = key_of("roofer");
    let mut running = Vec::new();
    for (round, moment_ms) in FAILURE_MOMENTS_MS.into_iter().enumerate() {
        // The first router is never paused, because the retries go through it.
        let paused = &fleet.routers[1 + round % (fleet.routers.len() - 1)];
        let booking = new_booking();
        let first = book_in_background(paused.callers(), &key, &booking);
        std::thread::sleep(Duration::from_millis(moment_ms));
        paused.process.pause();
        std::thread::sleep(Duration::from_secs(4));
        let reply = smol::block_on(book(fleet.routers[0].callers(), &key, &booking, "camera 7"));
        assert_outcome_stated(&reply);
        paused.process.resume();
        running.push((booking, reply, first));
    }
    for (booking, reply, first) in running {
        let first = first.join().unwrap();
        assert_outcome_stated(&first);
        let runs = fleet.runs(&booking);
        assert!(runs <= 1, "the booking ran {runs} times");
        for reply in [&reply, &first] {
            assert!(
                reply.outcome != "answered" || runs == 1,
                "answered although the booking did not run: {reply:?}"
            );
        }
    }
}

#[test]
fn a_booking_runs_once_when_sent_through_all_routers_concurrently() {
    let fleet = Fleet::start_with_sheet("booking_raced", plan());
    let key = key_of("roofer");
    for _ in 0..5 {
        let booking = new_booking();
        let racing: Vec<_> = fleet
            .routers
            .iter()
            .map(|router| book_in_background(router.callers(), &key, &booking))
            .collect();
        let replies: Vec<Reply> = racing
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect();
        replies.iter().for_each(assert_outcome_stated);
        let answered = replies.iter().any(|reply| reply.outcome == "answered");
        assert!(answered, "no caller was answered: {replies:?}");
        assert_eq!(fleet.runs(&booking), 1);
    }
}

#[test]
fn a_booking_runs_once_when_store_responses_are_lost() {
    let fleet = Fleet::start_with_sheet("booking_lost_answers", plan());
    let key = key_of("roofer");
    for router in &fleet.routers {
        let lost = serde_json::json!({ "fault": "lose-answers", "count": 3 });
        inject_fault(&fleet.platform, &lost);
        let booking = new_booking();
        let reply = smol::block_on(book(router.callers(), &key, &booking, "camera 7"));
        assert_eq!(reply.outcome, "answered", "{reply:?}");
        assert_eq!(fleet.runs(&booking), 1);
        let second = smol::block_on(book(fleet.routers[0].callers(), &key, &booking, "camera 7"));
        assert_eq!(second.outcome, "answered", "{second:?}");
        assert_eq!(second.body, reply.body);
        assert_eq!(fleet.runs(&booking), 1);
    }
}

#[test]
fn bookings_are_refused_during_a_store_outage_and_models_still_serve() {
    let fleet = Fleet::start_with_sheet("booking_outage", plan());
    let key = key_of("roofer");
    let outage = serde_json::json!({ "fault": "outage", "outage": "unavailable" });
    inject_fault(&fleet.platform, &outage);
    let booking = new_booking();
    let headers = [
        ("Idempotency-Key", booking.clone()),
        ("Deadline-Ms", "3000".to_owned()),
    ];
    let router = fleet.routers[0].callers();
    let reply = smol::block_on(call(router, &key, "book-camera", &headers, "camera 7"));
    assert_eq!(reply.outcome, "not-run", "{reply:?}");
    let response = smol::block_on(ask(router, &key, "draft-report", "the roof"));
    assert!(response.done);
    assert_eq!(fleet.runs(&booking), 0);

    inject_fault(&fleet.platform, &serde_json::json!({ "fault": "heal" }));
    let retried = smol::block_on(book(fleet.routers[3].callers(), &key, &booking, "camera 7"));
    assert_ne!(retried.outcome, "", "{retried:?}");
    assert!(fleet.runs(&booking) <= 1);
}

#[test]
fn a_not_run_outcome_means_that_the_request_did_not_run() {
    let fleet = Fleet::start_with_sheet("booking_not_run", plan());
    let router = fleet.routers[0].callers();
    let key = key_of("roofer");
    let refused = |key: &str, operation: &str, headers: &[(&'static str, String)], status| {
        let reply = smol::block_on(call(router, key, operation, headers, "camera 7"));
        assert_eq!(reply.status, status, "{reply:?}");
        assert_eq!(reply.outcome, "not-run", "{reply:?}");
        let problem: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
        assert_eq!(problem["outcome"], "not-run");
    };
    let with_key = |booking: &str| [("Idempotency-Key", booking.to_owned())];
    // Outside the time window in which an idempotency key is accepted.
    let hours_7 = Duration::from_hours(7);
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let at = |time: Duration| {
        let stamp = uuid::Timestamp::from_unix(uuid::NoContext, time.as_secs(), 0);
        Uuid::new_v7(stamp).to_string()
    };
    refused("wrong", "book-camera", &with_key(&new_booking()), 401);
    refused(&key, "no-such-thing", &with_key(&new_booking()), 404);
    refused(&key, "book-camera", &[], 400);
    refused(&key, "book-camera", &with_key("not-a-uuid"), 400);
    let version_4 = "d9428888-122b-41e1-b85c-61d3f0f0c0de";
    refused(&key, "book-camera", &with_key(version_4), 400);
    refused(
        &key,
        "book-camera",
        &with_key(&at(since_epoch.saturating_sub(hours_7))),
        400,
    );
    refused(
        &key,
        "book-camera",
        &with_key(&at(since_epoch + hours_7)),
        400,
    );
    assert_eq!(fleet.service_runs(), 0);

    // The same idempotency key with another body is refused; the first booking is unaffected.
    let booking = new_booking();
    let reply = smol::block_on(book(router, &key, &booking, "camera 7"));
    assert_eq!(reply.outcome, "answered", "{reply:?}");
    let second = smol::block_on(book(router, &key, &booking, "camera 8"));
    assert_eq!((second.status, second.outcome.as_str()), (422, "not-run"));
    assert_eq!(fleet.runs(&booking), 1);
}

#[test]
fn an_uncertain_service_call_is_reported_as_unknown_and_not_rerun() {
    let fleet = Fleet::start_with_sheet("booking_doubt", plan());
    let key = key_of("roofer");
    for kind in ["close-without-running", "close-after-running"] {
        for service in &fleet.services {
            let closing = serde_json::json!({ "fault": kind, "count": 1 });
            inject_fault(&service.process, &closing);
        }
        let booking = new_booking();
        for router in &fleet.routers {
            let reply = smol::block_on(book(router.callers(), &key, &booking, "camera 7"));
            assert_eq!(reply.outcome, "unknown", "{kind}: {reply:?}");
        }
        assert!(fleet.runs(&booking) <= 1, "{kind}");
        for service in &fleet.services {
            inject_fault(&service.process, &serde_json::json!({ "fault": "heal" }));
        }
    }

    // A call that a service refused before it began is retried at another service.
    let refusal = serde_json::json!({ "fault": "refuse-next", "count": 1 });
    inject_fault(&fleet.services[0].process, &refusal);
    let booking = new_booking();
    let reply = smol::block_on(book(fleet.routers[0].callers(), &key, &booking, "camera 7"));
    assert_eq!(reply.outcome, "answered", "{reply:?}");
    assert_eq!(fleet.runs(&booking), 1);
}
