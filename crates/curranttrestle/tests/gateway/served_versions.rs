use curranttrestle::coordination::gateway::control::{Control, ControlOptions};
use curranttrestle::coordination::gateway::directory::endpoint_run;
use curranttrestle::coordination::gateway::served_versions::{
    RecordDue, RecordRole, ServedVersions, StoredRecord, StreamSource, VersionRecord,
};
use curranttrestle::coordination::gateway::software_version::VersionKey;
use curranttrestle::coordination::gateway::stream_versions::StreamVersionOptions;
use curranttrestle::state::gateway::EndpointEntry;

use super::support::{at, config, entry};

const PRIMARY: RecordRole = RecordRole::Primary;

/// How long a version stays recorded after it was last listed.
const KEPT_MS: u64 = 35_000;

fn of_version(version: &str) -> EndpointEntry {
    EndpointEntry {
        software_version: version.to_owned(),
        ..entry("model", 0)
    }
}

fn record(versions: &[&str]) -> VersionRecord {
    let sources = versions.iter();
    let sources = sources.map(|version| StreamSource::Version((*version).to_owned()));
    VersionRecord::from([("model".to_owned(), sources.collect())])
}

/// A gateway that has just started and whose directory lists a version.
fn started(version: &str, options: StreamVersionOptions) -> ServedVersions {
    let mut served = ServedVersions::new(options);
    list(&mut served, version, 0);
    served
}

fn list(served: &mut ServedVersions, version: &str, steady_ms: u64) {
    served.observe([of_version(version)].iter(), &[], at(steady_ms));
}

/// Lists a version every second from the start on.
fn list_until(served: &mut ServedVersions, version: &str, end_ms: u64) {
    for steady_ms in (0..=end_ms).step_by(1_000) {
        list(served, version, steady_ms);
    }
}

fn only_version(served: &ServedVersions, steady_ms: u64) -> Option<VersionKey> {
    served.only_version(at(steady_ms))
}

#[test]
fn gateway_that_has_just_started_takes_the_listed_version_for_the_only_one() {
    let mut served = started("2", StreamVersionOptions::default());
    assert_eq!(only_version(&served, 0), None);
    let recorded = StoredRecord::Current(record(&["1", "2"]));
    served.apply(&recorded, at(0), at(0));
    assert_eq!(only_version(&served, 0), None);
    let recorded = StoredRecord::Current(record(&["2"]));
    served.apply(&recorded, at(100), at(100));
    let version = VersionKey::of(&of_version("2"));
    assert_eq!(only_version(&served, 100), Some(version));
}

#[test]
fn missing_record_says_that_nothing_served_before() {
    for is_first_start in [false, true] {
        let options = StreamVersionOptions {
            is_first_start,
            ..StreamVersionOptions::default()
        };
        let mut served = started("2", options);
        served.apply(&StoredRecord::Missing, at(0), at(0));
        let next = served.next_record(&StoredRecord::Missing, PRIMARY, Some(0), at(0));
        assert_eq!(only_version(&served, 0).is_some(), is_first_start);
        assert_eq!(next.is_some(), is_first_start);
        list_until(&mut served, "2", 30_000);
        let next = served.next_record(&StoredRecord::Missing, PRIMARY, Some(0), at(30_000));
        assert_eq!(next, Some(record(&["2"])));
    }
}

#[test]
fn record_from_before_the_store_came_back_from_a_copy_counts_as_complete() {
    let outdated = StoredRecord::Outdated(record(&["1"]));
    let mut served = started("1", StreamVersionOptions::default());
    served.apply(&outdated, at(0), at(0));
    assert_eq!(only_version(&served, 0), None);
    assert_eq!(served.next_record(&outdated, PRIMARY, Some(0), at(0)), None);
    // Another gateway read the record before.
    let mut served = started("1", StreamVersionOptions::default());
    let current = StoredRecord::Current(record(&["1", "2"]));
    served.apply(&current, at(0), at(0));
    served.apply(&outdated, at(100), at(100));
    let next = served.next_record(&outdated, PRIMARY, Some(0), at(100));
    assert_eq!(next, Some(record(&["1", "2"])));
}

#[test]
fn record_from_before_the_store_came_back_from_a_copy_is_never_written_again() {
    let outdated = StoredRecord::Outdated(record(&["1"]));
    let mut served = started("1", StreamVersionOptions::default());
    served.apply(&outdated, at(0), at(0));
    list_until(&mut served, "1", 30_000);
    assert_ne!(served.due(RecordRole::Secondary, at(30_000)), RecordDue::No);
    let next = served.next_record(&outdated, PRIMARY, Some(0), at(30_000));
    assert_eq!(next, Some(record(&["1"])));
}

#[test]
fn version_is_removed_from_the_record_while_clients_may_resume_its_streams() {
    let current = StoredRecord::Current(record(&["1", "2"]));
    let mut served = started("2", StreamVersionOptions::default());
    served.apply(&current, at(0), at(0));
    list_until(&mut served, "2", KEPT_MS);
    let next =
        |role, age_ms, steady_ms| served.next_record(&current, role, Some(age_ms), at(steady_ms));
    assert_eq!(next(PRIMARY, 0, KEPT_MS - 1), None);
    // A directory that is too old does not show that the version is gone.
    assert_eq!(next(PRIMARY, 4_000, KEPT_MS), None);
    assert_eq!(next(RecordRole::Secondary, 0, KEPT_MS), None);
    assert_eq!(next(PRIMARY, 0, KEPT_MS), Some(record(&["2"])));
    assert_eq!(served.due(PRIMARY, at(KEPT_MS)), RecordDue::Refresh);
}

#[test]
fn removed_version_is_added_again_by_a_gateway_that_only_read_it() {
    let mut served = started("2", StreamVersionOptions::default());
    served.apply(&StoredRecord::Current(record(&["1", "2"])), at(0), at(0));
    let without = StoredRecord::Current(record(&["2"]));
    served.apply(&without, at(1_000), at(1_000));
    assert_eq!(
        served.next_record(&without, PRIMARY, Some(0), at(1_000)),
        None
    );
    assert_eq!(served.due(PRIMARY, at(1_000)), RecordDue::No);
}

#[test]
fn stream_of_a_run_that_is_not_listed_goes_on_at_the_only_listed_version() {
    let run = endpoint_run(&"model-0".into(), 2);
    let current = StoredRecord::Current(record(&["1"]));
    let mut served = started("1", StreamVersionOptions::default());
    served.apply(&current, at(0), at(0));
    served.observe([of_version("1")].iter(), &[("model", run)], at(0));
    assert_eq!(only_version(&served, 0), None);
    assert_eq!(served.due(RecordRole::Secondary, at(0)), RecordDue::No);
    assert!(served.record_begun(VersionKey::of_unlisted_run(run)));
    assert_eq!(served.due(RecordRole::Secondary, at(0)), RecordDue::Now);
    let next = served.next_record(&current, PRIMARY, Some(0), at(0));
    let with_run = StoredRecord::Current(next.expect("the run is added"));
    let mut other = started("1", StreamVersionOptions::default());
    other.apply(&with_run, at(0), at(0));
    assert_eq!(only_version(&other, 0), None);
    let listed = EndpointEntry {
        started_unix_ms: 2,
        ..of_version("1")
    };
    other.observe([listed].iter(), &[], at(700));
    assert!(only_version(&other, 700).is_some());
    let next = other.next_record(&with_run, PRIMARY, Some(0), at(700));
    assert_eq!(next, Some(record(&["1"])));
}

#[test]
fn version_that_served_during_a_pause_of_the_gateway_is_removed_at_its_end() {
    let current = StoredRecord::Current(record(&["1", "2"]));
    let mut served = started("1", StreamVersionOptions::default());
    served.observe([of_version("1"), of_version("2")].iter(), &[], at(0));
    served.apply(&current, at(0), at(0));
    // The first list after the pause.
    list(&mut served, "1", KEPT_MS);
    let next = served.next_record(&current, PRIMARY, Some(0), at(KEPT_MS));
    assert_eq!(next, None);
}

#[test]
fn version_that_returns_while_another_gateway_removes_it_stays_out_of_the_record() {
    let current = StoredRecord::Current(record(&["1", "2"]));
    let mut served = started("2", StreamVersionOptions::default());
    served.apply(&current, at(0), at(0));
    list(&mut served, "2", KEPT_MS);
    let both = [of_version("1"), of_version("2")];
    served.observe(both.iter(), &[], at(KEPT_MS + 100));
    let due = served.due(RecordRole::Secondary, at(KEPT_MS + 100));
    assert_ne!(due, RecordDue::No);
}

#[test]
fn run_that_was_never_listed_is_forgotten_while_clients_may_resume_its_streams() {
    let run = endpoint_run(&"model-0".into(), 2);
    let mut served = started("1", StreamVersionOptions::default());
    served.apply(&StoredRecord::Current(record(&["1"])), at(0), at(0));
    served.observe([of_version("1")].iter(), &[("model", run)], at(0));
    let next_run = EndpointEntry {
        started_unix_ms: 3,
        ..of_version("1")
    };
    served.observe([next_run].iter(), &[], at(700));
    assert_eq!(only_version(&served, 700), None);
}

#[test]
fn version_that_is_known_from_the_record_alone_is_removed_after_a_time_without_the_directory() {
    let current = StoredRecord::Current(record(&["1", "2"]));
    let mut control = Control::new(ControlOptions::default());
    control.apply_config(config(5), 10, at(0).steady_ms);
    for steady_ms in [0, KEPT_MS] {
        let now = at(steady_ms);
        control.directory.replace(vec![of_version("1")], now);
        control.observe_versions(now);
        control.streams.served.apply(&current, now, now);
    }
    let (now, age_ms) = (at(KEPT_MS), control.directory.age_ms(at(KEPT_MS)));
    let next = control
        .streams
        .served
        .next_record(&current, PRIMARY, age_ms, now);
    assert_eq!(next, None);
}
