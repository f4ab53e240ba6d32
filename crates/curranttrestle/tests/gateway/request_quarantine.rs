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
