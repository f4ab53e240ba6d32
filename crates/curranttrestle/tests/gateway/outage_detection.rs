use curranttrestle::coordination::gateway::outage_detection::CallFailure::{
    NoResponse, NotServed, WatchLost,
};
use curranttrestle::coordination::gateway::outage_detection::OutageDetector;

#[test]
fn lost_connection_is_no_outage_if_the_next_call_succeeds() {
    let mut detector = OutageDetector::default();
    assert!(!detector.record_failure(WatchLost));
    assert!(!detector.record_success());
    assert!(detector.record_failure(NoResponse));
    assert!(detector.record_success());
    // Nothing is retracted twice.
    assert!(!detector.record_success());
}

#[test]
fn two_failures_in_a_row_are_an_outage() {
    for first in [WatchLost, NoResponse, NotServed] {
        for second in [NoResponse, NotServed] {
            let mut detector = OutageDetector::default();
            detector.record_failure(first);
            assert!(detector.record_failure(second));
            assert!(!detector.record_success(), "{first:?}, {second:?}");
        }
    }
}

#[test]
fn store_that_does_not_serve_a_call_is_unavailable() {
    let mut detector = OutageDetector::default();
    assert!(detector.record_failure(NotServed));
    assert!(!detector.record_success());
}
