//! The service stand-in and its client.

use std::net::SocketAddr;

use curranttrestle::protocol::endpoint::{Order, OrderKind, OrderResponse};
use curranttrestle::transport::endpoint::{
    AttemptError, EndpointClient, EndpointClientOptions, InterruptCause, NotRunReason, Result,
    ServiceCall, ServiceResponse,
};
use curranttrestle_standins::service::{ServiceFault, ServiceOptions, expected_response, start};

use crate::common::{attempt, client, pause};

const KEY: &str = "01890000-0000-7000-8000-000000000001";

async fn book(address: SocketAddr, sequence: u64) -> Result<ServiceResponse> {
    let call = ServiceCall {
        operation: "book",
        body: b"camera 7",
        attempt: &attempt(sequence),
        idempotency_key: Some(KEY),
    };
    client().call_service(address, call).await
}

#[test]
fn a_booking_returns_a_response_and_is_counted() {
    let service = start(ServiceOptions::default()).unwrap();
    let response = smol::block_on(book(service.address(), 1)).unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(
        String::from_utf8(response.body).unwrap(),
        expected_response("book", b"camera 7")
    );
    let truth = service.truth();
    assert_eq!(truth.runs_by_key.get(KEY), Some(&1));
    assert_eq!(truth.finished, 1);
}

/// Makes one booking with an active fault. Returns the result and how often the booking ran.
fn book_with_fault(fault: ServiceFault) -> (Result<ServiceResponse>, u64) {
    let service = start(ServiceOptions::default()).unwrap();
    service.inject(fault);
    let response = smol::block_on(book(service.address(), 1));
    let runs = service.truth().runs_by_key.get(KEY).copied();
    (response, runs.unwrap_or(0))
}

fn connection_lost() -> Result<ServiceResponse> {
    Err(AttemptError::Interrupted {
        offset: 0,
        cause: InterruptCause::ConnectionLost,
    })
}

#[test]
fn a_call_closed_before_it_is_read_did_not_run() {
    let fault = ServiceFault::CloseBeforeReading { count: 1 };
    assert_eq!(book_with_fault(fault), (connection_lost(), 0));
}

#[test]
fn a_call_closed_after_it_is_read_did_not_run() {
    let fault = ServiceFault::CloseWithoutRunning { count: 1 };
    assert_eq!(book_with_fault(fault), (connection_lost(), 0));
}

#[test]
fn a_call_closed_after_it_ran_did_run() {
    let fault = ServiceFault::CloseAfterRunning { count: 1 };
    assert_eq!(book_with_fault(fault), (connection_lost(), 1));
}

#[test]
fn a_refused_call_is_reported_as_not_run() {
    let refused = Err(AttemptError::NotRun {
        reason: NotRunReason::Refused,
    });
    let fault = ServiceFault::RefuseNext { count: 1 };
    assert_eq!(book_with_fault(fault), (refused, 0));
}

#[test]
fn a_frozen_service_runs_calls_after_unfreezing() {
    let service = start(ServiceOptions::default()).unwrap();
    service.inject(ServiceFault::Freeze);
    let address = service.address();
    let short_timeout_client = EndpointClient::new(EndpointClientOptions {
        service_timeout_ms: 300,
        ..EndpointClientOptions::default()
    });
    let call = ServiceCall {
        operation: "book",
        body: b"camera 7",
        attempt: &attempt(1),
        idempotency_key: Some(KEY),
    };
    smol::block_on(async {
        let response = short_timeout_client.call_service(address, call).await;
        let silent = AttemptError::Interrupted {
            offset: 0,
            cause: InterruptCause::TimedOut,
        };
        assert_eq!(response, Err(silent));
        assert_eq!(service.truth().started, 0);
        service.inject(ServiceFault::Heal);
        book(address, 2).await.unwrap();
    });
}

#[test]
fn a_stopped_service_counts_aborted_calls() {
    let service = start(ServiceOptions {
        work_ms: 2_000,
        load_lag_ms: 0,
        ..ServiceOptions::default()
    })
    .unwrap();
    let address = service.address();
    smol::block_on(async {
        let booking = smol::spawn(book(address, 1));
        while service.truth().running == 0 {
            pause().await;
        }
        let report = client().load(address).await.unwrap();
        assert_eq!(report.running, vec![attempt(1).to_string()]);
        let order = Order {
            kind: OrderKind::Stop,
            fencing: 1,
            incarnation: report.incarnation,
        };
        let response = client().order(address, &order).await.unwrap();
        assert_eq!(response, OrderResponse::Applied);
        assert_eq!(booking.await, connection_lost());
        let later = book(address, 2).await.unwrap_err();
        assert!(matches!(later, AttemptError::NotRun { .. }));
    });
    assert_eq!(service.truth().orders.cut_by_stop, 1);
}
