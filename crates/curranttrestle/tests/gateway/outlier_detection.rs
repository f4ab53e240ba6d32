use curranttrestle::coordination::gateway::endpoint_load::EndpointKey;
use curranttrestle::coordination::gateway::outlier_detection::{
    FailureKind, OutlierDetector, OutlierOptions,
};

use super::support::at;

fn key() -> EndpointKey {
    EndpointKey::of(&"m1".into())
}

#[test]
fn a_few_failures_among_many_successes_are_tolerated() {
    let mut detector = OutlierDetector::new(OutlierOptions::default());
    // One in seven requests to a healthy service fails.
    for round in 0..200_u64 {
        let now = at(round * 20);
        if round % 7 == 0 {
            detector.record_failure(key(), FailureKind::Failed, now);
        } else {
            detector.record_success(key(), now);
        }
        assert!(!detector.is_avoided(key(), now), "after {round} requests");
    }
}

#[test]
fn an_endpoint_that_fails_most_requests_is_avoided_and_probed() {
    let mut detector = OutlierDetector::new(OutlierOptions::default());
    let mut attempts = 0;
    for round in 0..100_u64 {
        let now = at(round * 20);
        if !detector.is_avoided(key(), now) {
            attempts += 1;
            detector.record_attempt(key(), now);
            detector.record_failure(key(), FailureKind::ConnectionLost, now);
        }
    }
    assert!(
        (2..=8).contains(&attempts),
        "{attempts} requests in two seconds"
    );
    // The endpoint has recovered: a few successful probes are enough.
    for round in 0..4_u64 {
        detector.record_success(key(), at(2_000 + round * 500));
    }
    assert!(!detector.is_avoided(key(), at(4_000)));
}
