use curranttrestle::coordination::gateway::control::{
    Control, ControlOptions, Placement, PlacementRequest,
};
use curranttrestle::coordination::gateway::outlier_detection::FailureKind;
use curranttrestle::coordination::gateway::warmup::{
    ColdCause, ColdChange, ColdEndpoints, ColdStatus, RatePart,
};
use curranttrestle::state::gateway::{EndpointEntry, RequestHints, Route, ServiceConfig};
use curranttrestle::state::{EndpointId, Now};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::support::{at, config, entry, prompt, route};
use super::warmup_simulation::{BOUND, Course, OPTIONS, Start, WARMUP, arrivals, most_in_a_second};

/// When a gateway that started at time zero knows its peers.
const KNOWN_MS: u64 = 10_000;

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        failure_persistence: None,
        ..Config::with_cases(cases)
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn course() -> impl Strategy<Value = Course> {
    let starts = prop_oneof![Just(Start::New), Just(Start::AfterCrash)];
    let joins = prop::collection::vec((0_u64..34_000, any::<bool>()), 0..25);
    let partition = prop::option::of(0_u64..40);
    let stops = (0_usize..6, 0_u64..33_000);
    let times = 12_000_u64..33_000;
    let gateways = 6_usize..62;
    (
        gateways,
        partition,
        joins,
        stops,
        starts,
        times,
        any::<u64>(),
    )
        .prop_map(
            |(gateways, partition, joins, stops, start, start_ms, seed)| Course {
                gateways,
                partition_ms: partition.map(|half_seconds| half_seconds * 500),
                joins,
                stops,
                start,
                start_ms,
                seed,
            },
        )
}

/// Gateways that disagree on who is in the fleet together sent more than a cold endpoint can take.
#[test]
fn no_second_exceeds_the_bound_whatever_the_gateways_know_of_each_other() {
    let played = runner(2_000).run(&course(), |course| {
        let most = most_in_a_second(&arrivals(&course, Some(OPTIONS)));
        prop_assert!(f64::from(most) <= BOUND, "{most} requests in a second");
        Ok(())
    });
    played.unwrap();
}

/// A limit that allows no request would also stay within the bound.
#[test]
fn cold_endpoint_receives_requests_while_the_fleet_is_calm() {
    let calm = (6_usize..62, any::<u64>()).prop_map(|(gateways, seed)| Course {
        gateways,
        partition_ms: None,
        joins: Vec::new(),
        stops: (0, 0),
        start: Start::New,
        start_ms: 12_000,
        seed,
    });
    let played = runner(200).run(&calm, |course| {
        let arrivals = arrivals(&course, Some(OPTIONS));
        prop_assert!(!arrivals.is_empty());
        Ok(())
    });
    played.unwrap();
}

#[test]
fn parts_of_three_groups_of_gateways_are_within_the_bound() {
    for bound in 3..400_u32 {
        let part = RatePart::new(f64::from(bound) / 1.5, OPTIONS);
        let allowed = f64::from(bound) + OPTIONS.burst;
        let most = u32::try_from(3 * part.gateways * part.requests).unwrap();
        assert!(f64::from(most) <= allowed);
        assert!(part.gateways > 0 && part.requests > 0);
    }
}

fn warmup_config() -> ServiceConfig {
    let mut config = config(1);
    config.services[0].warmup = Some(WARMUP);
    config
}

/// A gateway that has read `count` endpoints in its first list and is alone in the fleet.
fn gateway(count: u16) -> Control {
    gateway_with(
        ControlOptions {
            warmup: Some(OPTIONS),
            ..ControlOptions::default()
        },
        count,
    )
}

fn gateway_with(options: ControlOptions, count: u16) -> Control {
    let mut control = Control::new(options);
    control.apply_config(warmup_config(), 1, at(0).steady_ms);
    let entries = (0..count).map(|index| entry("model", index)).collect();
    control.directory.replace(entries, at(0));
    control.apply_sightings(at(0));
    control
        .cold
        .set_own_address(entry("gateway", 0).address, at(0));
    control.cold.observe_live_peers(0, at(0));
    control.cold.observe_live_peers(0, at(KNOWN_MS));
    control
}

/// Makes a gateway one of those that have no part of the rate of any endpoint.
fn without_part(mut control: Control) -> Control {
    for index in 0..4_000 {
        let address = entry("peer", 1_000 + index).address;
        control.cold.record_gateway(address, at(0));
    }
    control
}

fn write(control: &mut Control, entry: EndpointEntry, now: Now) {
    control.directory.set(entry);
    control.apply_sightings(now);
}

fn status(control: &Control, index: u16, now: Now) -> ColdStatus {
    control.cold_status(&entry("model", index), now)
}

fn is_warm(control: &Control, index: u16, now: Now) -> bool {
    status(control, index, now) == ColdStatus::Warm
}

fn take(control: &mut Control, index: u16, now: Now) -> bool {
    control.take_permit("model", &entry("model", index).endpoint, now)
}

fn place(control: &Control, excluded: &[EndpointId], now: Now) -> Placement {
    let route = route("drafts", "host.example", "/drafts/");
    let hints = prompt(1, 100, 100);
    control.place(request(&route, &hints, excluded), now)
}

fn request<'a>(
    route: &'a Route,
    hints: &'a RequestHints,
    excluded: &'a [EndpointId],
) -> PlacementRequest<'a> {
    PlacementRequest {
        route,
        service: "model",
        customer: "customer",
        hints,
        excluded,
        is_retry: false,
        is_resumed: false,
        required_version: None,
    }
}

/// After a restart, a gateway took every endpoint of the fleet for a new one.
#[test]
fn endpoint_of_the_first_list_is_cold_only_if_its_entry_says_so() {
    let mut control = Control::new(ControlOptions {
        warmup: Some(OPTIONS),
        ..ControlOptions::default()
    });
    control.apply_config(warmup_config(), 1, at(0).steady_ms);
    let cold = EndpointEntry {
        warmup_left_ms: 1_800,
        ..entry("model", 1)
    };
    control
        .directory
        .replace(vec![entry("model", 0), cold], at(0));
    control.apply_sightings(at(0));
    assert!(is_warm(&control, 0, at(0)));
    assert!(!is_warm(&control, 1, at(1_799)));
    assert!(is_warm(&control, 1, at(1_800)));
    write(&mut control, entry("model", 2), at(5_000));
    assert!(!is_warm(&control, 2, at(7_999)));
    assert!(is_warm(&control, 2, at(8_000)));
}

/// A gateway that knows no peers yet would take a part that others have.
#[test]
fn gateway_that_does_not_know_its_peers_sends_nothing_to_cold_endpoints() {
    let mut control = gateway(0);
    control.cold = ColdEndpoints::new(Some(OPTIONS));
    control
        .cold
        .set_own_address(entry("gateway", 0).address, at(0));
    control.cold.record_gateway(entry("peer", 1).address, at(0));
    write(&mut control, entry("model", 0), at(30_000));
    // It receives nothing from peers, so it may be cut off from all of them.
    control.cold.observe_live_peers(0, at(30_000));
    assert!(!take(&mut control, 0, at(30_000)));
    control.cold.observe_live_peers(1, at(30_000));
    control.cold.observe_live_peers(1, at(KNOWN_MS + 30_000));
    write(&mut control, entry("model", 1), at(KNOWN_MS + 30_000));
    assert!(take(&mut control, 1, at(KNOWN_MS + 30_000)));
}

/// The store is unavailable: no later entry ends the time that the last one gave.
#[test]
fn last_known_time_expires_without_the_store() {
    let mut control = gateway(1);
    let cold = EndpointEntry {
        warmup_left_ms: 2_500,
        ..entry("model", 0)
    };
    write(&mut control, cold, at(20_000));
    control.directory.record_store_failure();
    assert!(!is_warm(&control, 0, at(22_499)));
    assert!(is_warm(&control, 0, at(22_500)));
}

#[test]
fn reused_id_is_another_run_and_cold_again() {
    let mut control = gateway(1);
    assert!(is_warm(&control, 0, at(20_000)));
    let restarted = EndpointEntry {
        started_unix_ms: 2,
        ..entry("model", 0)
    };
    write(&mut control, restarted.clone(), at(20_000));
    assert!(!is_warm(&control, 0, at(22_999)));
    assert!(is_warm(&control, 0, at(23_000)));
    // Its entry is written again while it is cold and says how long it stays so.
    let written = EndpointEntry {
        warmup_left_ms: 1_900,
        ..restarted
    };
    write(&mut control, written, at(22_000));
    assert!(is_warm(&control, 0, at(23_900)) && !is_warm(&control, 0, at(23_899)));
}

#[test]
fn removed_endpoint_that_returns_is_cold() {
    let mut control = gateway(2);
    control
        .directory
        .remove(&entry("model", 0).endpoint, at(20_000));
    control.apply_sightings(at(20_000));
    write(&mut control, entry("model", 0), at(21_000));
    assert!(!is_warm(&control, 0, at(23_999)));
    assert!(is_warm(&control, 0, at(24_000)) && is_warm(&control, 1, at(21_000)));
}

/// All entries lapse in an outage of the store. If they counted as cold when they are written
/// again, the fleet would have no endpoint for seconds.
#[test]
fn entry_that_lapsed_in_an_outage_and_names_the_same_run_says_whether_it_is_cold() {
    let mut control = gateway(2);
    control.directory.record_store_failure();
    control.directory.replace(Vec::new(), at(20_000));
    write(&mut control, entry("model", 0), at(21_000));
    assert!(is_warm(&control, 0, at(21_000)));
    let restarted = EndpointEntry {
        started_unix_ms: 2,
        ..entry("model", 1)
    };
    write(&mut control, restarted, at(21_000));
    assert!(!is_warm(&control, 1, at(23_999)));
}

/// A crashed endpoint was back under the same id, cold, before its new entry was read.
#[test]
fn lost_endpoint_is_cold_for_the_warm_up_time_after_its_first_answer() {
    let mut control = gateway(1);
    let endpoint = entry("model", 0).endpoint;
    control.cold.record_connection_lost(&endpoint, at(20_000));
    assert!(take(&mut control, 0, at(21_000)));
    let sent_ms = at(21_000).steady_ms;
    control.cold.record_answer(&endpoint, sent_ms, at(21_100));
    assert!(!is_warm(&control, 0, at(24_099)));
    assert!(is_warm(&control, 0, at(24_100)));
}

/// Endpoints that lose responses reset connections all the time. When each reset counted as a possible
/// restart, the fleet stopped using most of its warm endpoints.
#[test]
fn lost_response_does_not_make_an_endpoint_cold() {
    let mut control = without_part(gateway(1));
    let endpoint = entry("model", 0).endpoint;
    control.record_failure(&endpoint, FailureKind::ConnectionLost, at(20_000));
    assert!(is_warm(&control, 0, at(20_000)));
    assert!(take(&mut control, 0, at(20_001)));
}

/// Sixty gateways saw one connection error, and most of them may not send to find out more.
#[test]
fn gateway_without_a_part_uses_a_lost_endpoint_again_once_the_same_run_writes_its_entry() {
    let mut control = without_part(gateway(1));
    let endpoint = entry("model", 0).endpoint;
    control.cold.record_connection_lost(&endpoint, at(20_000));
    assert!(!take(&mut control, 0, at(20_001)));
    // This entry may have been written before the crash.
    write(&mut control, entry("model", 0), at(21_200));
    assert!(!is_warm(&control, 0, at(21_200)));
    write(&mut control, entry("model", 0), at(23_600));
    assert!(is_warm(&control, 0, at(23_600)));
    // Without the store, the time is bounded.
    control.cold.record_connection_lost(&endpoint, at(30_000));
    assert!(!is_warm(&control, 0, at(38_999)));
    assert!(is_warm(&control, 0, at(39_000)));
}

/// Without a start time, the entry may have been written by the next run.
#[test]
fn entry_without_a_start_time_does_not_show_that_a_lost_endpoint_is_the_same_run() {
    let undated = EndpointEntry {
        started_unix_ms: 0,
        ..entry("model", 0)
    };
    let mut control = gateway(0);
    write(&mut control, undated.clone(), at(15_000));
    let endpoint = undated.endpoint.clone();
    control.cold.record_connection_lost(&endpoint, at(20_000));
    write(&mut control, undated, at(23_600));
    assert!(!is_warm(&control, 0, at(23_600)));
}

#[test]
fn data_on_an_older_connection_shows_that_a_lost_endpoint_did_not_crash() {
    let mut control = without_part(gateway(1));
    let endpoint = entry("model", 0).endpoint;
    let connected_ms = at(19_000).steady_ms;
    control.cold.record_connection_lost(&endpoint, at(20_000));
    // This data may have been received before the crash.
    control
        .cold
        .record_answer(&endpoint, connected_ms, at(20_500));
    assert!(!is_warm(&control, 0, at(20_500)));
    control
        .cold
        .record_answer(&endpoint, connected_ms, at(21_000));
    assert!(is_warm(&control, 0, at(21_000)));
    // It does not show that an endpoint that was not used is still warm.
    control.record_possibly_cold(&endpoint, at(30_000));
    control
        .cold
        .record_answer(&endpoint, connected_ms, at(32_000));
    assert!(!is_warm(&control, 0, at(32_000)));
}

/// A plain endpoint reset one connection in a hundred, and gateways left it out for seconds each time.
#[test]
fn kept_connection_that_stays_open_shows_that_a_lost_endpoint_did_not_crash() {
    let mut control = without_part(gateway(1));
    let endpoint = entry("model", 0).endpoint;
    control.cold.record_connection_lost(&endpoint, at(20_000));
    assert!(control.cold.lost_endpoints(at(20_999)).is_empty());
    assert_eq!(
        control.cold.lost_endpoints(at(21_000)),
        std::slice::from_ref(&endpoint)
    );
    let [before, after] = [19_999, 20_001].map(|opened_ms| at(opened_ms).steady_ms);
    for (opened_ms, now_ms) in [(before, 20_999), (after, 21_000)] {
        control
            .cold
            .record_open_connection(&endpoint, opened_ms, at(now_ms));
        assert!(!is_warm(&control, 0, at(now_ms)));
    }
    control
        .cold
        .record_open_connection(&endpoint, before, at(21_000));
    assert!(is_warm(&control, 0, at(21_000)));
}

/// Requests that waited for their connections were sent together.
#[test]
fn permit_is_taken_when_the_request_is_sent() {
    let mut control = gateway(0);
    write(&mut control, entry("model", 0), at(20_000));
    let Placement::Send(choice) = place(&control, &[], at(20_000)) else {
        panic!("the endpoint may be used");
    };
    let route = route("drafts", "host.example", "/drafts/");
    let hints = prompt(1, 100, 100);
    control.record_start(&choice, request(&route, &hints, &[]), at(20_000));
    // The next request is placed elsewhere before the first one is sent.
    assert!(matches!(
        place(&control, &[], at(20_100)),
        Placement::Refuse { .. }
    ));
    assert!(take(&mut control, 0, at(20_900)));
    assert!(!take(&mut control, 0, at(22_149)));
    assert!(take(&mut control, 0, at(22_150)));
    let endpoint = entry("model", 0).endpoint;
    control.cold.return_permit(&endpoint, at(22_150).steady_ms);
    assert!(take(&mut control, 0, at(22_200)));
}

#[test]
fn request_is_refused_with_the_time_until_it_may_be_sent_if_only_cold_endpoints_are_left() {
    let mut control = without_part(gateway(0));
    write(&mut control, entry("model", 0), at(20_000));
    write(&mut control, entry("model", 1), at(20_500));
    let Placement::Refuse {
        reason,
        retry_after_ms,
        ..
    } = place(&control, &[], at(21_000))
    else {
        panic!("a cold endpoint was chosen");
    };
    assert_eq!((reason, retry_after_ms), ("endpoints-cold", 2_000.0));
    assert!(matches!(
        place(&control, &[], at(23_000)),
        Placement::Send(_)
    ));
}

#[test]
fn cold_endpoint_ranks_behind_warm_ones_and_is_predicted_as_slow() {
    let mut control = gateway(1);
    write(&mut control, entry("model", 1), at(20_000));
    let warm = entry("model", 0).endpoint;
    let Placement::Send(choice) = place(&control, &[], at(20_000)) else {
        panic!("the warm endpoint may be used");
    };
    assert_eq!(choice.entry.endpoint, warm);
    let Placement::Send(cold) = place(&control, &[warm], at(20_000)) else {
        panic!("the cold endpoint may be used");
    };
    assert!(cold.predicted_ms > choice.predicted_ms);
}

#[test]
fn nothing_changes_without_the_limit() {
    let mut control = gateway_with(ControlOptions::default(), 1);
    write(&mut control, entry("model", 1), at(20_000));
    assert!(is_warm(&control, 1, at(20_000)));
    assert!((0..100).all(|_| take(&mut control, 1, at(20_000))));
    assert!(control.update_cold(at(20_000)).is_empty());
    let mut control = gateway(0);
    control.apply_config(config(2), 2, at(0).steady_ms);
    write(&mut control, entry("model", 0), at(20_000));
    assert!((0..100).all(|_| take(&mut control, 0, at(20_000))));
}

#[test]
fn changes_are_reported_once() {
    let mut control = gateway(0);
    write(&mut control, entry("model", 0), at(20_000));
    let endpoint = entry("model", 0).endpoint;
    let cold = ColdChange::Cold {
        endpoint: endpoint.clone(),
        cause: ColdCause::New,
        left_ms: 2_950,
        has_part: true,
    };
    assert_eq!(control.update_cold(at(20_050)), [cold]);
    assert_eq!(control.cold.count(), 1);
    assert!(control.update_cold(at(22_999)).is_empty());
    assert_eq!(
        control.update_cold(at(23_000)),
        [ColdChange::Warm(endpoint)]
    );
}
