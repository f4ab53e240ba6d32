use curranttrestle::coordination::gateway::freshness::{Freshness, FreshnessOptions};

use super::support::at;

fn without_proof() -> Freshness {
    Freshness::new(FreshnessOptions {
        revoke_ms: 5_000,
        margin_ms: 500,
    })
}

#[test]
fn a_proof_is_dated_by_its_send_time() {
    let mut freshness = without_proof();
    let sent = at(0);
    // The response took three seconds, so the proof is three seconds old when it arrives.
    freshness.record_proof(1, sent.steady_ms);
    assert_eq!(freshness.age_ms(at(3_000)), Some(3_000));
    assert!(freshness.is_fresh(at(4_499)));
    assert!(!freshness.is_fresh(at(4_500)));
}

#[test]
fn an_older_revision_proves_nothing() {
    let mut freshness = without_proof();
    freshness.record_proof(2, at(0).steady_ms);
    freshness.record_proof(1, at(4_000).steady_ms);
    assert!(!freshness.is_fresh(at(4_600)));
}

#[test]
fn a_late_proof_does_not_replace_a_newer_one() {
    let mut freshness = without_proof();
    freshness.record_proof(2, at(2_000).steady_ms);
    freshness.record_proof(2, at(1_000).steady_ms);
    assert_eq!(freshness.age_ms(at(3_000)), Some(1_000));
}

#[test]
fn a_new_revision_replaces_the_proof_of_the_old_one() {
    let mut freshness = without_proof();
    freshness.record_proof(1, at(3_000).steady_ms);
    freshness.record_proof(2, at(1_000).steady_ms);
    assert_eq!(freshness.age_ms(at(3_000)), Some(2_000));
}

#[test]
fn without_a_bound_any_proof_is_sufficient() {
    let mut freshness = Freshness::new(FreshnessOptions {
        revoke_ms: 0,
        ..FreshnessOptions::default()
    });
    assert!(!freshness.is_fresh(at(0)));
    freshness.record_proof(1, at(0).steady_ms);
    assert!(freshness.is_fresh(at(600_000)));
}
