//! The service stand-in and the client that calls it.

use std::net::SocketAddr;

use crate::common::{attempt, client};
use curranttrestle::transport::endpoint::{Result, ServiceAnswer, ServiceCall};
use curranttrestle_standins::service::{ServiceOptions, expected_answer, start};

const KEY: &str = "01890000-0000-7000-8000-000000000001";

async fn book(address: SocketAddr, sequence: u64) -> Result<ServiceAnswer> {
    let call = ServiceCall {
        operation: "book",
        body: b"camera 7",
        attempt: &attempt(sequence),
        idempotency_key: Some(KEY),
    };
    client().call_service(address, call).await
}

#[test]
fn a_booking_is_answered_and_counted() {
    let service = start(ServiceOptions::default()).unwrap();
    let answer = smol::block_on(book(service.address(), 1)).unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(
        String::from_utf8(answer.body).unwrap(),
        expected_answer("book", b"camera 7")
    );
    let truth = service.truth();
    assert_eq!(truth.runs_by_key.get(KEY), Some(&1));
    assert_eq!(truth.finished, 1);
}
