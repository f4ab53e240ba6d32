use curranttrestle::coordination::gateway::control::ControlOptions;
use curranttrestle::coordination::gateway::request_quarantine::RequestQuarantine;

use super::support::{at, lookup};

fn quarantine() -> RequestQuarantine {
    RequestQuarantine::new(ControlOptions::default().quarantine)
}

/// Completed lookups at the same path used to hide that one of them crashes endpoints.
#[test]
fn crashing_lookup_is_refused_while_others_at_its_path_finish() {
    let mut quarantine = quarantine();
    for (round, endpoint) in (0..).zip(["m1", "m2", "m3"]) {
        let now = at(round * 4_000);
        quarantine.record_finished(&lookup("item=lens"), now);
        assert!(!quarantine.is_refused(&lookup("item=cam"), now));
        quarantine.record_crash(&endpoint.into(), &lookup("item=cam"), now);
    }
    assert!(quarantine.is_refused(&lookup("item=cam"), at(8_001)));
    assert!(!quarantine.is_refused(&lookup("item=lens"), at(8_001)));
}

#[test]
fn crashing_lookup_does_not_get_others_at_its_path_refused() {
    let mut quarantine = quarantine();
    for (round, endpoint) in (0..).zip(["m1", "m2", "m3", "m1", "m2", "m3"]) {
        let now = at(round * 4_000);
        quarantine.record_crash(&endpoint.into(), &lookup("item=cam"), now);
    }
    assert!(!quarantine.is_refused(&lookup("item=lens"), at(20_001)));
}

#[test]
fn crashing_lookups_that_vary_their_query_are_refused() {
    let mut quarantine = quarantine();
    for (round, endpoint) in (0..).zip(["m1", "m2", "m3"]) {
        let now = at(round * 4_000);
        let request = lookup(&format!("at={round}"));
        assert!(!quarantine.is_refused(&request, now));
        quarantine.record_crash(&endpoint.into(), &request, now);
    }
    assert!(quarantine.is_refused(&lookup("at=3"), at(8_001)));
}

/// A completed run used to exempt a request from refusal for ten minutes.
#[test]
fn request_that_completed_and_crashes_endpoints_since_is_refused() {
    let mut quarantine = quarantine();
    let request = lookup("item=cam");
    quarantine.record_finished(&request, at(0));
    for round in 1..=3 {
        let now = at(round * 4_000);
        assert!(!quarantine.is_refused(&request, now));
        quarantine.record_crash(&"m1".into(), &request, now);
        quarantine.record_crash(&"m2".into(), &request, now.plus_ms(2));
    }
    assert!(quarantine.is_refused(&request, at(12_001)));
}

#[test]
fn outage_of_many_endpoints_does_not_get_a_completed_request_refused() {
    let mut quarantine = quarantine();
    let request = lookup("item=cam");
    quarantine.record_finished(&request, at(0));
    for number in 0..12_u64 {
        let endpoint = format!("m{number}");
        quarantine.record_crash(&endpoint.as_str().into(), &request, at(500 + 60 * number));
    }
    assert!(!quarantine.is_refused(&request, at(1_300)));
}

#[test]
fn completed_run_at_another_gateway_clears_a_request() {
    let (mut first, mut second) = (quarantine(), quarantine());
    let request = lookup("item=cam");
    let send = |from: &mut RequestQuarantine, to: &mut RequestQuarantine, now| {
        let changes = from.suspects.take_changes();
        to.suspects.receive(&changes.unwrap_or_default(), now);
    };
    for round in 0..6 {
        let now = at(round * 4_000);
        first.record_crash(&"m1".into(), &request, now);
        send(&mut first, &mut second, now);
        second.record_finished(&request, now.plus_ms(50));
        send(&mut second, &mut first, now.plus_ms(100));
    }
    assert!(!first.is_refused(&request, at(20_200)));
    assert!(!second.is_refused(&request, at(20_200)));
}
