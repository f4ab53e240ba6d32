use curranttrestle::coordination::gateway::control::{
    Control, ControlOptions, FleetRetryOptions, Placement, PlacementRequest,
};
use curranttrestle::coordination::gateway::directory::endpoint_run;
use curranttrestle::coordination::gateway::outlier_detection::FailureKind;
use curranttrestle::state::gateway::{RequestHints, Route};
use curranttrestle::state::{EndpointId, Now};

use super::support::{at, config, entry, lookup, prompt, route};

fn ready(count: u16) -> Control {
    let mut control = Control::new(ControlOptions::default());
    assert!(!control.is_ready());
    assert!(control.apply_config(config(5), 10, at(0).steady_ms));
    let entries = (0..count).map(|index| entry("model", index)).collect();
    control.directory.replace(entries, at(0));
    assert!(control.is_ready());
    control
}

fn place(control: &Control, hints: &RequestHints, excluded: &[EndpointId]) -> Placement {
    let route = route("drafts", "host.example", "/drafts/");
    let request = PlacementRequest {
        excluded,
        ..request(&route, hints)
    };
    control.place(request, at(0))
}

/// Whether a request may be sent to an endpoint.
fn may_send(control: &Control, endpoint: &EndpointId, now: Now) -> bool {
    let (route, hints) = (
        route("drafts", "host.example", "/drafts/"),
        prompt(1, 10, 10),
    );
    let request = request(&route, &hints);
    control.may_send(endpoint, endpoint_run(endpoint, 1), request, now)
}

fn request<'a>(route: &'a Route, hints: &'a RequestHints) -> PlacementRequest<'a> {
    PlacementRequest {
        route,
        service: "model",
        customer: "customer",
        hints,
        excluded: &[],
        is_retry: false,
        is_resumed: false,
        required_version: None,
    }
}

fn chosen(placement: Placement) -> EndpointId {
    match placement {
        Placement::Send(choice) => choice.entry.endpoint,
        Placement::Refuse { reason, .. } => panic!("refused: {reason}"),
    }
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut control = ready(1);
    let version = |control: &Control| control.routes().map(|table| table.config().version);
    assert!(control.apply_config(config(7), 12, at(100).steady_ms));
    assert!(!control.apply_config(config(5), 10, at(200).steady_ms));
    assert_eq!(version(&control), Some(7));
    // The late response is no proof of freshness either.
    assert_eq!(control.config_freshness.age_ms(at(200)), Some(100));
}

#[test]
fn an_endpoint_that_failed_the_request_is_not_chosen_again() {
    let control = ready(2);
    let hints = prompt(1, 3_780, 2_890);
    let first = chosen(place(&control, &hints, &[]));
    let second = chosen(place(&control, &hints, std::slice::from_ref(&first)));
    assert_ne!(first, second);
    let none = place(&control, &hints, &[first, second]);
    assert!(matches!(
        none,
        Placement::Refuse {
            reason: "no-endpoint",
            ..
        }
    ));
}

#[test]
fn an_avoided_endpoint_is_used_if_there_is_no_other() {
    let mut control = ready(2);
    let hints = prompt(1, 3_780, 2_890);
    let first = chosen(place(&control, &hints, &[]));
    control.record_failure(&first, FailureKind::Unreachable, at(0));
    let second = chosen(place(&control, &hints, &[]));
    assert_ne!(first, second);
    control.record_failure(&second, FailureKind::Unreachable, at(0));
    chosen(place(&control, &hints, &[]));
}

#[test]
fn the_fleet_stays_within_its_retry_budget() {
    let min_retries = 58.0;
    let mut granted = 0;
    for _ in 0..9 {
        let mut control = Control::new(ControlOptions {
            retries: FleetRetryOptions {
                ratio: 0.2,
                min_retries,
                ..FleetRetryOptions::default()
            },
            ..ControlOptions::default()
        });
        control.observe_fleet_size(9);
        // Gateways that are partitioned also spend their part of the budget.
        control.observe_fleet_size(4);
        for step in 0..100 {
            control.record_arrival("model", "customer", &RequestHints::default(), at(step * 10));
            // Every request fails at every endpoint and would be retried twice.
            for _ in 0..2 {
                granted += u32::from(control.try_retry("model", at(step * 10)));
            }
        }
    }
    let allowed = 0.2 * 900.0 + min_retries;
    assert!(
        f64::from(granted) <= allowed,
        "{granted} retries, limit {allowed}"
    );
    assert!(granted >= 90, "{granted} retries");
}

#[test]
fn a_request_that_crashed_three_endpoints_is_refused() {
    let mut quarantine = ready(3).quarantine;
    let request = lookup("7");
    for (number, crashed) in [1_u64, 2, 3].iter().zip(["m1", "m2", "m3"]) {
        let now = at(number * 3_000);
        assert!(!quarantine.is_refused(&request, now));
        quarantine.record_crash(&crashed.into(), &request, now);
    }
    assert!(quarantine.is_refused(&request, at(10_000)));
    assert!(!quarantine.is_refused(&lookup("8"), at(10_000)));
}

/// Guards against idle connections using up the endpoints' connection limit: 69 gateways kept up
/// to 64 idle connections each to endpoints that accept 540 in total, and further requests were
/// reset.
#[test]
fn idle_connections_of_all_gateways_leave_connections_for_requests() {
    let mut control = ready(1);
    control.observe_fleet_size(69);
    assert!(69 * control.max_idle_connections("model") <= 370 / 2);
    assert!(control.max_idle_connections("model") >= 1);
    assert_eq!(control.max_idle_connections("unknown"), usize::MAX);
}

fn pause(control: &mut Control, endpoint: &EndpointId, started_unix_ms: u64, pause_ms: u64) {
    let run = endpoint_run(endpoint, started_unix_ms);
    control.pauses.record_pause(run, pause_ms, at(0));
}

#[test]
fn paused_endpoint_is_chosen_neither_for_new_nor_for_resumed_requests() {
    let mut control = ready(2);
    let hints = prompt(1, 3_780, 2_890);
    let first = chosen(place(&control, &hints, &[]));
    pause(&mut control, &first, 1, 2_000);
    let second = chosen(place(&control, &hints, &[]));
    assert_ne!(first, second);
    assert!(!may_send(&control, &first, at(1_999)));
    assert!(may_send(&control, &first, at(2_000)));
    // A stream that broke off at the second endpoint is not resumed at the paused one, although
    // its response can no longer be refused.
    let route = route("drafts", "host.example", "/drafts/");
    let request = PlacementRequest {
        route: &route,
        service: "model",
        customer: "customer",
        hints: &hints,
        excluded: std::slice::from_ref(&second),
        is_retry: true,
        is_resumed: true,
        required_version: None,
    };
    let placement = control.place(request, at(0));
    assert!(matches!(placement, Placement::Refuse { .. }));
}

#[test]
fn paused_service_is_refused_until_the_first_pause_ends() {
    let mut control = ready(2);
    let hints = prompt(1, 3_780, 2_890);
    pause(&mut control, &entry("model", 0).endpoint, 1, 9_000);
    pause(&mut control, &entry("model", 0).endpoint, 1, 300);
    pause(&mut control, &entry("model", 1).endpoint, 1, 4_000);
    let Placement::Refuse {
        reason,
        retry_after_ms,
        ..
    } = place(&control, &hints, &[])
    else {
        panic!("a paused endpoint was chosen");
    };
    assert_eq!((reason, retry_after_ms), ("endpoints-paused", 4_000.0));
    let route = route("drafts", "host.example", "/drafts/");
    let request = request(&route, &hints);
    assert_eq!(control.service_pause_ms(request, at(4_000)), None);
}

#[test]
fn pause_ends_with_the_run_that_asked_for_it() {
    let mut control = ready(1);
    let hints = prompt(1, 3_780, 2_890);
    let mut restarted = entry("model", 0);
    pause(&mut control, &restarted.endpoint, 1, 60_000);
    restarted.started_unix_ms = 2;
    let endpoint = restarted.endpoint.clone();
    control.directory.set(restarted);
    assert_eq!(chosen(place(&control, &hints, &[])), endpoint);
}

/// A control whose probe is late by `delay_ms`.
fn late_by(delay_ms: u64) -> Control {
    let mut control = ready(1);
    let due_ms = at(0).steady_ms - delay_ms;
    control.load.own_delay.expect_probe(due_ms);
    control.load.own_delay.record_probe(at(0));
    control
}

#[test]
fn late_gateway_refuses_what_it_cannot_start_within_the_target() {
    let target_ms = route("drafts", "host.example", "/drafts/").target_latency_ms;
    for (delay_ms, is_admitted) in [(0, true), (target_ms / 2, true), (target_ms, false)] {
        match place(&late_by(delay_ms), &prompt(1, 10, 10), &[]) {
            Placement::Send(_) => assert!(is_admitted, "admitted {delay_ms} ms late"),
            Placement::Refuse { retry_after_ms, .. } => {
                assert!(!is_admitted, "refused {delay_ms} ms late");
                #[expect(clippy::cast_precision_loss, reason = "a short duration")]
                let shortest_ms = delay_ms as f64;
                assert!(retry_after_ms >= shortest_ms, "{retry_after_ms} ms");
            }
        }
    }
}

#[test]
fn late_gateway_sends_a_request_without_a_target_to_an_idle_endpoint() {
    let route = Route {
        target_latency_ms: 0,
        ..route("drafts", "host.example", "/drafts/")
    };
    let hints = prompt(1, 10, 10);
    let placement = late_by(1_000).place(request(&route, &hints), at(0));
    assert!(matches!(placement, Placement::Send(_)), "{placement:?}");
}
