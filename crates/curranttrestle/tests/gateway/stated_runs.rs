use curranttrestle::coordination::gateway::control::{Control, ControlOptions, PlacementRequest};
use curranttrestle::coordination::gateway::directory::endpoint_run;
use curranttrestle::coordination::gateway::served_versions::{StoredRecord, VersionRecord};
use curranttrestle::coordination::gateway::software_version::VersionKey;
use curranttrestle::state::gateway::EndpointEntry;

use super::support::{at, config, entry, prompt, route};

/// A gateway with two endpoints of version `1`.
fn control() -> Control {
    let mut control = Control::new(ControlOptions::default());
    control.apply_config(config(5), 10, at(0).steady_ms);
    let entries = vec![entry("model", 0), entry("model", 1)];
    control.directory.replace(entries, at(0));
    let record = StoredRecord::Current(VersionRecord::new());
    control.streams.served.apply(&record, at(0), at(0));
    control
}

/// The endpoints at which a stream of a version may go on.
fn eligible(control: &Control, version: VersionKey) -> Vec<String> {
    let (route, hints) = (
        route("drafts", "host.example", "/drafts/"),
        prompt(1, 10, 10),
    );
    let request = PlacementRequest {
        route: &route,
        service: "model",
        customer: "customer",
        hints: &hints,
        excluded: &[],
        is_retry: false,
        is_resumed: true,
        required_version: Some(version),
    };
    let endpoints = control.eligible(request, at(0));
    endpoints
        .map(|entry| entry.endpoint.as_str().to_owned())
        .collect()
}

#[test]
fn stream_goes_on_at_an_endpoint_that_stated_a_later_run_than_the_listed_one() {
    let mut control = control();
    let version = VersionKey::of(&entry("model", 0));
    assert_eq!(eligible(&control, version), ["model-0", "model-1"]);
    assert!(control.record_stated_start(&"model-1".into(), 2, at(0)));
    assert_eq!(eligible(&control, version), ["model-0"]);
}

#[test]
fn stream_of_an_unlisted_run_cannot_go_on_once_its_version_is_listed() {
    let mut control = control();
    let begun = VersionKey::of_unlisted_run(endpoint_run(&"model-1".into(), 2));
    control.record_stated_start(&"model-1".into(), 2, at(0));
    assert_eq!(eligible(&control, begun), ["model-1"]);
    let listed = |endpoint| EndpointEntry {
        software_version: "2".to_owned(),
        started_unix_ms: 2,
        ..entry("model", endpoint)
    };
    control.directory.set(listed(0));
    control.directory.set(listed(1));
    assert_eq!(eligible(&control, begun), ["model-0", "model-1"]);
}

#[test]
fn unknown_version_counts_as_that_of_a_listed_endpoint() {
    assert!(eligible(&control(), VersionKey::UNKNOWN).is_empty());
}

#[test]
fn endpoint_that_did_not_state_its_run_is_never_asked_again() {
    let mut control = control();
    let entry = entry("model", 0);
    control.stated_runs.record_unanswered_report(&entry, at(0));
    assert!(control.stated_runs.skips_report(&entry, at(9_000)));
    assert!(!control.stated_runs.skips_report(&entry, at(10_000)));
}

#[test]
fn stated_run_that_is_never_listed_counts_for_good() {
    let restarted = |started_unix_ms| EndpointEntry {
        started_unix_ms,
        ..entry("model", 0)
    };
    // The clock was set back before the next start.
    let mut listed = control();
    listed.record_stated_start(&"model-0".into(), 10, at(0));
    listed.directory.set(restarted(8));
    listed.observe_versions(at(1_000));
    assert!(listed.streams.served.only_version(at(1_000)).is_some());
    let mut stated_again = control();
    stated_again.record_stated_start(&"model-0".into(), 10, at(0));
    stated_again.record_stated_start(&"model-0".into(), 1, at(1_000));
    stated_again.observe_versions(at(1_000));
    let only = stated_again.streams.served.only_version(at(1_000));
    assert!(only.is_some());
    let mut old = control();
    old.record_stated_start(&"model-0".into(), 10, at(0));
    assert_eq!(old.streams.served.only_version(at(1_000)), None);
    old.observe_versions(at(30_000));
    assert!(old.streams.served.only_version(at(30_000)).is_some());
}

#[test]
fn endpoint_gets_requests_although_its_unlisted_run_asked_for_none() {
    let version = VersionKey::of_unlisted_run(endpoint_run(&"model-1".into(), 2));
    let run = endpoint_run(&"model-1".into(), 2);
    let mut paused = control();
    paused.record_stated_start(&"model-1".into(), 2, at(0));
    paused.pauses.record_pause(run, 1_000, at(0));
    assert!(eligible(&paused, version).is_empty());
    let mut leaving = control();
    leaving.record_stated_start(&"model-1".into(), 2, at(0));
    leaving.directory.record_leaving(run);
    assert!(eligible(&leaving, version).is_empty());
}

#[test]
fn connection_that_is_younger_than_the_entry_is_taken_for_the_listed_run() {
    let control = control();
    assert!(!control.directory.confirms_connection(at(0).steady_ms));
    let opened_ms = at(0).steady_ms - 3_000;
    assert!(control.directory.confirms_connection(opened_ms));
    assert!(!control.directory.confirms_connection(opened_ms + 1));
}
