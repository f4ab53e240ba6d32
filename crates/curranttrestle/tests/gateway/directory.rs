use curranttrestle::coordination::gateway::directory::{
    Directory, DirectoryChange, DirectoryOptions,
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
fn an_entry_that_is_removed_is_gone() {
    let mut directory = loaded(2);
    let gone = entry("model", 0).endpoint;
    let change = directory.remove(&gone, at(10_000));
    assert_eq!(change, Some(DirectoryChange::Gone(gone)));
    assert_eq!(usable(&directory), 1);
}

#[test]
fn entries_that_lapsed_in_an_outage_stay_until_they_had_time_to_come_back() {
    let mut directory = loaded(3);
    directory.store_failed();
    // The store is back without the entries; one comes back in time.
    assert!(directory.replace(Vec::new(), at(20_000)).is_empty());
    assert_eq!(usable(&directory), 3);
    directory.set(entry("model", 1));
    assert!(directory.sweep(at(21_900)).is_empty());
    let gone = directory.sweep(at(22_000));
    assert_eq!(gone.len(), 2);
    assert_eq!(usable(&directory), 1);
}

#[test]
fn removals_right_after_an_outage_are_lapses_and_later_ones_are_not() {
    let mut directory = loaded(2);
    directory.store_failed();
    let entries = (0..2).map(|index| entry("model", index)).collect();
    directory.replace(entries, at(10_000));
    assert_eq!(
        directory.remove(&entry("model", 0).endpoint, at(11_000)),
        None
    );
    assert_eq!(usable(&directory), 2);
    assert!(
        directory
            .remove(&entry("model", 1).endpoint, at(12_000))
            .is_some()
    );
    assert_eq!(usable(&directory), 1);
}

#[test]
fn nothing_is_swept_while_the_store_is_away_again() {
    let mut directory = loaded(1);
    directory.store_failed();
    directory.replace(Vec::new(), at(10_000));
    directory.store_failed();
    assert!(directory.sweep(at(60_000)).is_empty());
    assert_eq!(usable(&directory), 1);
}

#[test]
fn an_endpoint_that_leaves_takes_no_work() {
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
fn a_displaced_endpoint_takes_no_work_until_it_starts_anew() {
    let mut directory = loaded(1);
    let endpoint = entry("model", 0).endpoint;
    directory.displaced(&endpoint);
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
fn removals_that_are_heard_while_the_store_is_away_are_lapses() {
    let mut directory = loaded(1);
    let endpoint = entry("model", 0).endpoint;
    // One call failed, and a watch that was waiting brings the removal.
    directory.store_failed();
    assert_eq!(directory.remove(&endpoint, at(10_000)), None);
    assert_eq!(usable(&directory), 1);
    directory.store_answered(at(15_000));
    assert!(directory.sweep(at(16_900)).is_empty());
    assert_eq!(directory.sweep(at(17_000)).len(), 1);
}
