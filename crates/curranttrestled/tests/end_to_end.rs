//! Serves requests end to end through separate processes.

mod support;

use curranttrestle_standins::engine::expected_response;
use support::client::{ask, call, get_json};
use support::fleet::{Fleet, FleetPlan, TOKEN, key_of, truth};
use uuid::Uuid;

/// Tokens that [`ask`] requests.
const TOKENS: u32 = 40;

#[test]
fn a_request_is_served_from_end_to_end() {
    let fleet = Fleet::start_with_sheet("end_to_end", FleetPlan::default());
    let key = key_of("roofer");

    // Every router streams the model's response byte for byte.
    for router in &fleet.routers {
        let prompt = format!("the report for the roof in {}", router.name);
        let response = smol::block_on(ask(router.callers(), &key, "draft-report", &prompt));
        assert!(response.done, "the response is incomplete: {response:?}");
        assert_eq!(response.text, expected_response(&prompt, TOKENS));
    }

    // A booking runs once when it is retried at every router.
    let booking = Uuid::now_v7().to_string();
    for router in &fleet.routers {
        let headers = [("Idempotency-Key", booking.clone())];
        let reply = smol::block_on(call(
            router.callers(),
            &key,
            "book-camera",
            &headers,
            "camera 7",
        ));
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.outcome, "answered");
    }
    let runs: u64 = fleet
        .services
        .iter()
        .map(|service| {
            truth(&service.process)["runs_by_key"][&booking]
                .as_u64()
                .unwrap_or(0)
        })
        .sum();
    assert_eq!(runs, 1);

    // The event log contains every event kind of the requests.
    let events = smol::block_on(get_json(fleet.routers[0].operators(), "/v1/events", TOKEN));
    let kinds: Vec<&str> = events
        .as_array()
        .unwrap()
        .iter()
        .filter(|event| !event["request"].is_null())
        .map(|event| event["kind"].as_str().unwrap())
        .collect();
    for kind in [
        "arrived",
        "queued",
        "dispatched",
        "attempt-ended",
        "answered",
    ] {
        assert!(kinds.contains(&kind), "no event {kind} in {kinds:?}");
    }
}
