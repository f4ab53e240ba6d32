use std::net::SocketAddr;

use curranttrestle::coordination::gateway::load_relay::{DataCentreKey, LivePeer, data_centre_key};
use curranttrestle::coordination::gateway::served_versions::{StoredRecord, VersionRecord};
use curranttrestle::coordination::gateway::software_version::VersionKey;
use curranttrestle::coordination::gateway::stream_versions::{
    ResumedFrom, StreamKey, StreamOrigin, StreamReply, StreamVersionOptions, StreamVersions,
};
use curranttrestle::state::Now;
use curranttrestle::state::gateway::EndpointEntry;

use super::support::{at, entry};

fn of_version(version: &str) -> EndpointEntry {
    EndpointEntry {
        software_version: version.to_owned(),
        ..entry("model", 0)
    }
}

fn key(version: &str) -> VersionKey {
    VersionKey::of(&of_version(version))
}

fn versions(seen: &[&str]) -> StreamVersions {
    let mut versions = StreamVersions::new(StreamVersionOptions::default());
    let entries: Vec<EndpointEntry> = seen.iter().map(|version| of_version(version)).collect();
    versions.served.observe(entries.iter(), &[], at(0));
    // The gateway has not read the record since, and knows from an earlier read what served before.
    let record = StoredRecord::Current(VersionRecord::new());
    versions.served.apply(&record, at(0), at(0));
    versions
}

/// A time after the last read of the record.
fn after_last_read(now: Now) -> Now {
    Now {
        steady_ms: now.steady_ms + 1,
        ..now
    }
}

fn peer(index: u16, data_centre: &str) -> LivePeer {
    LivePeer {
        address: SocketAddr::from(([10, 0, 0, 1], index)),
        data_centre: data_centre_key(data_centre),
    }
}

#[test]
fn streams_are_announced_only_once_a_second_version_serves() {
    let stream = StreamKey::of("a");
    let mut versions = versions(&["1"]);
    versions.record_begun(stream, key("1"), at(0));
    assert!(versions.take_announcements(at(50)).is_empty());
    versions
        .served
        .observe([of_version("1"), of_version("2")].iter(), &[], at(100));
    let origin = StreamOrigin {
        stream,
        version: key("1"),
    };
    assert_eq!(versions.take_announcements(at(150)), [origin]);
    assert!(versions.take_announcements(at(200)).is_empty());
}

#[test]
fn a_version_that_no_longer_serves_still_counts_for_streams_that_began_there() {
    let mut versions = versions(&["1", "2"]);
    // The gateway notices its removal.
    versions
        .served
        .observe([of_version("2")].iter(), &[], at(1_000));
    versions
        .served
        .observe([of_version("2")].iter(), &[], at(20_000));
    let resumed = versions.resolve(None, Some(0), after_last_read(at(20_000)), at(20_000));
    assert_eq!(resumed, ResumedFrom::Unknown);
    versions
        .served
        .observe([of_version("2")].iter(), &[], at(40_000));
    let resumed = versions.resolve(None, Some(0), after_last_read(at(40_000)), at(40_000));
    assert_eq!(resumed, ResumedFrom::OnlyVersion(key("2")));
}

#[test]
fn a_gateway_that_hears_no_peer_does_not_rely_on_its_directory() {
    let stream = StreamKey::of("a");
    let peers = [peer(1, "a").address, peer(2, "a").address];
    let mut versions = versions(&["1"]);
    versions.record_query(stream, &peers);
    assert!(!versions.is_answered(stream, at(0)));
    let resumed = versions.resolve(Some(stream), Some(0), after_last_read(at(0)), at(0));
    assert_eq!(resumed, ResumedFrom::Unknown);
}

#[test]
fn a_peer_that_sees_another_version_is_believed() {
    let stream = StreamKey::of("a");
    let peers = [peer(1, "a").address, peer(2, "a").address];
    for (only_version, expected) in [
        (Some(key("1")), ResumedFrom::OnlyVersion(key("1"))),
        (Some(key("2")), ResumedFrom::Unknown),
        (None, ResumedFrom::Unknown),
    ] {
        let mut versions = versions(&["1"]);
        versions.record_query(stream, &peers);
        let reply = StreamReply {
            stream,
            version: None,
            only_version,
        };
        versions.receive_reply(peers[0], reply, at(0));
        let resumed = versions.resolve(Some(stream), Some(0), after_last_read(at(0)), at(0));
        assert_eq!(resumed, expected);
    }
}

#[test]
fn every_data_centre_has_a_peer_that_knows_a_stream_that_began_there() {
    let own: DataCentreKey = data_centre_key("a");
    let peers: Vec<LivePeer> = (0..30)
        .map(|index| peer(index, if index < 10 { "a" } else { "b" }))
        .collect();
    let versions = versions(&["1"]);
    for number in 0..100 {
        let stream = StreamKey::of(&format!("stream-{number}"));
        let told = versions.announcement_targets(stream, own, &peers);
        let near = peers[..10].iter();
        let near = near.filter(|peer| told.contains(&peer.address)).count();
        assert!(near >= 2);
        // A third of the gateways is gone, other ones than all that were told.
        let left: Vec<LivePeer> = peers
            .iter()
            .enumerate()
            .filter(|(index, _)| index % 3 != number % 3)
            .map(|(_, peer)| *peer)
            .collect();
        let asked = versions.query_targets(stream, own, &left);
        let survivors = told
            .iter()
            .filter(|address| left.iter().any(|peer| peer.address == **address));
        assert!(survivors.clone().all(|address| asked.contains(address)));
    }
}

#[test]
fn stream_goes_on_at_any_version_while_a_run_of_its_service_is_not_listed() {
    let mut versions = versions(&["1"]);
    let unlisted = VersionKey::of_unlisted_run(7);
    let entries = [of_version("1")];
    versions
        .served
        .observe(entries.iter(), &[("model", 7)], at(0));
    let resumed = versions.resolve(None, Some(0), after_last_read(at(0)), at(0));
    assert_eq!(resumed, ResumedFrom::Unknown);
    let stream = StreamKey::of("a");
    versions.record_begun(stream, unlisted, at(0));
    assert_eq!(versions.take_announcements(at(50)).len(), 1);
}

#[test]
fn stream_that_began_at_an_unknown_version_is_not_announced() {
    let mut versions = versions(&["1"]);
    let stream = StreamKey::of("a");
    versions.record_begun(stream, VersionKey::UNKNOWN, at(0));
    let origin = StreamOrigin {
        stream,
        version: VersionKey::UNKNOWN,
    };
    assert_eq!(versions.take_announcements(at(50)), [origin]);
}

#[test]
fn stream_of_the_only_recorded_version_cannot_be_resumed_while_peers_are_silent() {
    let stream = StreamKey::of("a");
    let peers = [peer(1, "a").address, peer(2, "a").address];
    for (only_version, expected) in [
        (None, ResumedFrom::OnlyVersion(key("1"))),
        (Some(key("2")), ResumedFrom::Unknown),
    ] {
        let mut versions = versions(&["1"]);
        versions.record_query(stream, &peers);
        if only_version.is_some() {
            let reply = StreamReply {
                stream,
                version: None,
                only_version,
            };
            versions.receive_reply(peers[0], reply, at(0));
        }
        // The record was read after the request arrived.
        let resumed = versions.resolve(Some(stream), Some(0), at(0), at(0));
        assert_eq!(resumed, expected);
    }
}
