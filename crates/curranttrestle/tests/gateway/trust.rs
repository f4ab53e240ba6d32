use curranttrestle::coordination::gateway::endpoint_load::EndpointKey;
use curranttrestle::coordination::gateway::trust::{FailureKind, Trust, TrustOptions};

use super::support::at;

fn key() -> EndpointKey {
    EndpointKey::of(&"m1".into())
}

#[test]
fn a_few_failures_among_many_successes_are_borne() {
    let mut trust = Trust::new(TrustOptions::default());
    // One in seven requests of a sound service fails.
    for round in 0..200_u64 {
        let now = at(round * 20);
        if round % 7 == 0 {
            trust.failed(key(), FailureKind::Failed, now);
        } else {
            trust.succeeded(key(), now);
        }
        assert!(!trust.is_avoided(key(), now), "after {round} requests");
    }
}

#[test]
fn an_endpoint_that_fails_most_requests_is_avoided_and_tried_now_and_then() {
    let mut trust = Trust::new(TrustOptions::default());
    let mut tried = 0;
    for round in 0..100_u64 {
        let now = at(round * 20);
        if !trust.is_avoided(key(), now) {
            tried += 1;
            trust.tried(key(), now);
            trust.failed(key(), FailureKind::Broken, now);
        }
    }
    assert!((2..=8).contains(&tried), "{tried} requests in two seconds");
    // Well again: a few successes at the trials are enough.
    for round in 0..4_u64 {
        trust.succeeded(key(), at(2_000 + round * 500));
    }
    assert!(!trust.is_avoided(key(), at(4_000)));
}
