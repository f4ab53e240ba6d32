use curranttrestle::coordination::gateway::directory::{
    Directory, DirectoryChange, DirectoryOptions, endpoint_run,
};
use curranttrestle::state::gateway::{EndpointEntry, EntryState};

use super::support::{at, entry};

fn loaded(count: u16) -> Directory {
    let mut directory = Directory::new(DirectoryOptions::default());
    let entries = (0..count).map(|index| entry("model", index)).collect();
    assert_eq!(directory.replace(entries, at(0)).len(), usize::from(count));
    directory
}

fn usable(directory: &Directory) -> usize {
    directory.accepting("model").count()
}

#[test]
fn a_removed_entry_is_no_longer_used() {
    let mut directory = loaded(2);
    let removed = entry("model", 0).endpoint;
    let change = directory.remove(&removed, at(10_000));
    assert_eq!(change, Some(DirectoryChange::Removed(removed)));
    assert_eq!(usable(&directory), 1);
}

#[test]
fn entries_that_lapsed_in_an_outage_stay_during_the_grace_period() {
    let mut directory = loaded(3);
    directory.record_store_failure();
    // The store recovers without the entries; one is written again within the grace period.
    let lapsed = (0..3).map(|index| DirectoryChange::Lapsed(entry("model", index).endpoint));
    let changes = directory.replace(Vec::new(), at(20_000));
    assert_eq!(changes, lapsed.collect::<Vec<_>>());
    assert!(directory.replace(Vec::new(), at(20_001)).is_empty());
    assert_eq!(usable(&directory), 3);
    directory.set(entry("model", 1));
    assert!(directory.remove_lapsed(at(21_900)).is_empty());
    let removed = directory.remove_lapsed(at(22_000));
    assert_eq!(removed.len(), 2);
    assert_eq!(usable(&directory), 1);
}

#[test]
fn removals_are_treated_as_lapses_until_the_grace_period_ends() {
    let mut directory = loaded(2);
    directory.record_store_failure();
    let entries = (0..2).map(|index| entry("model", index)).collect();
    directory.replace(entries, at(10_000));
    let lapsed = entry("model", 0).endpoint;
    assert_eq!(
        directory.remove(&lapsed, at(11_000)),
        Some(DirectoryChange::Lapsed(lapsed))
    );
    assert_eq!(usable(&directory), 2);
    assert!(
        directory
            .remove(&entry("model", 1).endpoint, at(12_000))
            .is_some()
    );
    assert_eq!(usable(&directory), 1);
}

/// A connection that went silent used to count as an outage, after which entries stay in use.
#[test]
fn entry_that_is_missing_after_a_lost_connection_is_removed() {
    let mut directory = loaded(2);
    let endpoint = |index| entry("model", index).endpoint;
    directory.record_store_failure();
    assert!(directory.remove(&endpoint(0), at(9_000)).is_some());
    directory.retract_store_failure();
    assert_eq!(
        directory.remove(&endpoint(1), at(10_000)),
        Some(DirectoryChange::Removed(endpoint(1)))
    );
    let lapsed = directory.remove_lapsed(at(10_050));
    assert_eq!(lapsed, [DirectoryChange::Removed(endpoint(0))]);
}

#[test]
fn no_entry_is_removed_during_another_outage() {
    let mut directory = loaded(1);
    directory.record_store_failure();
    directory.replace(Vec::new(), at(10_000));
    directory.record_store_failure();
    assert!(directory.remove_lapsed(at(60_000)).is_empty());
    assert_eq!(usable(&directory), 1);
}

#[test]
fn a_leaving_endpoint_accepts_no_requests() {
    let mut directory = loaded(1);
    let leaving = EndpointEntry {
        state: EntryState::Leaving,
        ..entry("model", 0)
    };
    let endpoint = leaving.endpoint.clone();
    let change = directory.set(leaving);
    assert_eq!(change, Some(DirectoryChange::Leaving(endpoint.clone())));
    assert!(!directory.accepts_requests(&endpoint));
}

#[test]
fn a_displaced_endpoint_accepts_no_requests_until_it_restarts() {
    let mut directory = loaded(1);
    let endpoint = entry("model", 0).endpoint;
    directory.mark_displaced(&endpoint);
    directory.set(entry("model", 0));
    assert!(!directory.accepts_requests(&endpoint));
    let restarted = EndpointEntry {
        started_unix_ms: 2,
        ..entry("model", 0)
    };
    let change = directory.set(restarted);
    assert_eq!(change, Some(DirectoryChange::Restarted(endpoint.clone())));
    assert!(directory.accepts_requests(&endpoint));
}

#[test]
fn removals_received_during_an_outage_are_treated_as_lapses() {
    let mut directory = loaded(1);
    let endpoint = entry("model", 0).endpoint;
    // One call to the store failed, and a pending watch reports the removal.
    directory.record_store_failure();
    assert_eq!(
        directory.remove(&endpoint, at(10_000)),
        Some(DirectoryChange::Lapsed(endpoint))
    );
    assert_eq!(usable(&directory), 1);
    directory.record_store_success(at(15_000));
    assert!(directory.remove_lapsed(at(16_900)).is_empty());
    assert_eq!(directory.remove_lapsed(at(17_000)).len(), 1);
}

#[test]
fn announced_leaving_run_accepts_no_requests_whatever_an_older_answer_says() {
    let mut directory = Directory::new(DirectoryOptions::default());
    let ready = entry("desk", 0);
    let endpoint = ready.endpoint.clone();
    directory.set(ready.clone());
    let run = endpoint_run(&endpoint, ready.started_unix_ms);
    let changes = directory.receive_leaving(&[run, run], false);
    assert_eq!(changes, [DirectoryChange::Leaving(endpoint.clone())]);
    assert!(directory.leaving_to_announce().is_empty());
    directory.replace(vec![ready.clone()], at(0));
    assert!(!directory.accepts_requests(&endpoint));
    directory.set(EndpointEntry {
        started_unix_ms: ready.started_unix_ms + 1,
        ..ready
    });
    assert!(directory.accepts_requests(&endpoint));
}

#[test]
fn leaving_run_from_the_store_is_announced_twice() {
    let mut directory = Directory::new(DirectoryOptions::default());
    let leaving = EndpointEntry {
        state: EntryState::Leaving,
        ..entry("desk", 0)
    };
    let run = endpoint_run(&leaving.endpoint, leaving.started_unix_ms);
    directory.set(leaving.clone());
    directory.set(leaving);
    assert_eq!(directory.leaving_to_announce(), [run]);
    assert_eq!(directory.leaving_to_announce(), [run]);
    assert!(directory.leaving_to_announce().is_empty());
}

#[test]
fn leaving_run_that_is_still_listed_is_not_forgotten_when_many_others_leave() {
    let mut directory = loaded(1);
    let listed = entry("model", 0);
    let run = endpoint_run(&listed.endpoint, listed.started_unix_ms);
    let change = directory.record_leaving(run);
    assert_eq!(
        change,
        Some(DirectoryChange::Leaving(listed.endpoint.clone()))
    );
    let others: Vec<_> = (0..1_100_u64)
        .map(|number| endpoint_run(&"gone".into(), number))
        .collect();
    directory.receive_leaving(&others, false);
    directory.replace(vec![listed.clone()], at(0));
    assert!(!directory.accepts_requests(&listed.endpoint));
    directory.set(EndpointEntry {
        started_unix_ms: listed.started_unix_ms + 1,
        ..listed.clone()
    });
    assert!(directory.accepts_requests(&listed.endpoint));
}

#[test]
fn leaving_run_without_a_start_time_is_not_used_again() {
    let mut directory = Directory::new(DirectoryOptions::default());
    let undated = EndpointEntry {
        started_unix_ms: 0,
        ..entry("model", 0)
    };
    directory.set(undated.clone());
    directory.record_leaving(endpoint_run(&undated.endpoint, 0));
    directory.set(undated.clone());
    assert!(!directory.accepts_requests(&undated.endpoint));
}

#[test]
fn leaving_run_that_lapsed_and_is_listed_again_accepts_no_requests() {
    let mut directory = loaded(1);
    let ready = entry("model", 0);
    directory.record_leaving(endpoint_run(&ready.endpoint, ready.started_unix_ms));
    assert!(directory.remove(&ready.endpoint, at(10_000)).is_some());
    directory.set(ready.clone());
    assert!(!directory.accepts_requests(&ready.endpoint));
}
