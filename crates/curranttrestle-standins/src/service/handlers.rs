//! HTTP request handlers of the service stand-in.

use std::sync::Arc;
use std::time::Duration;

use curranttrestle::protocol::endpoint::{
    ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER, Order, OrderKind, OrderResponse,
};
use smol::Timer;
use trillium_http::{Method, Status};
use xxhash_rust::xxh3::xxh3_64;

use super::Service;
use super::fault::consume_one;
use crate::endpoint::{Identity, load_reply, not_run_reply, order_reply};
use crate::server::{Reply, Request, unix_ms};

/// Returns the response to a call, which depends on the operation and the body only.
///
/// ```
/// use curranttrestle_standins::service::expected_response;
/// assert_eq!(expected_response("stock", b"7"), expected_response("stock", b"7"));
/// assert_ne!(expected_response("stock", b"7"), expected_response("stock", b"8"));
/// ```
#[must_use]
pub fn expected_response(operation: &str, body: &[u8]) -> String {
    format!(
        "{{\"operation\":\"{operation}\",\"bytes\":{},\"digest\":\"{:016x}\"}}",
        body.len(),
        xxh3_64(body)
    )
}

/// Handles one request.
pub(super) async fn handle(service: &Arc<Service>, request: Request) -> Reply {
    let segments: Vec<&str> = request.segments.iter().map(String::as_str).collect();
    match (request.method, segments.as_slice()) {
        (Method::Post, ["operations", operation]) => run_call(service, &request, operation).await,
        (Method::Get, ["v1", "load"]) => load_report(service),
        (Method::Post, ["v1", "orders"]) => handle_order(service, &request),
        _ => Reply::empty(Status::NotFound),
    }
}

/// The decision about a call that arrived.
enum Admission {
    Run,
    Refuse,
    CloseWithoutRunning,
}

async fn run_call(service: &Service, request: &Request, operation: &str) -> Reply {
    let header = |name: &str| request.headers.get_str(name).map(str::to_owned);
    let Some(attempt) = header(ATTEMPT_HEADER) else {
        return Reply::text(Status::BadRequest, "the attempt is missing");
    };
    service.control.wait_unfrozen().await;
    match admit(service) {
        Admission::Run => {}
        Admission::Refuse => return not_run_reply(),
        Admission::CloseWithoutRunning => {
            request.link.close();
            return Reply::empty(Status::BadGateway);
        }
    }
    let call = RunningCall::begin(service, &attempt);
    record_start(service, operation, &attempt, header(IDEMPOTENCY_KEY_HEADER));
    simulate_work(service).await;
    drop(call);
    if record_finish(service) {
        request.link.close();
    }
    Reply {
        content_type: "application/json",
        ..Reply::text(Status::Ok, expected_response(operation, &request.body))
    }
}

fn admit(service: &Service) -> Admission {
    let mut state = service.state();
    state.truth.arrived += 1;
    if state.orders.is_stopped() || consume_one(&mut state.faults.refuse_next) {
        state.truth.refused += 1;
        return Admission::Refuse;
    }
    if consume_one(&mut state.faults.close_without_running) {
        return Admission::CloseWithoutRunning;
    }
    Admission::Run
}

fn record_start(service: &Service, operation: &str, attempt: &str, key: Option<String>) {
    let mut state = service.state();
    state.leaving.record_admission(unix_ms());
    let running = state.load.len() as u64;
    let truth = &mut state.truth;
    truth.started += 1;
    truth.over_admitted += u64::from(running > u64::from(service.options.slots));
    *truth.runs_by_attempt.entry(attempt.to_owned()).or_default() += 1;
    *truth
        .runs_by_operation
        .entry(operation.to_owned())
        .or_default() += 1;
    if let Some(key) = key {
        *truth.runs_by_key.entry(key).or_default() += 1;
    }
}

async fn simulate_work(service: &Service) {
    let factor = u64::from(service.state().faults.slow_factor);
    Timer::after(Duration::from_millis(service.options.work_ms * factor)).await;
    service.control.wait_unfrozen().await;
}

/// Counts a call that finished. Returns whether to drop its response.
fn record_finish(service: &Service) -> bool {
    let mut state = service.state();
    state.truth.finished += 1;
    consume_one(&mut state.faults.close_after_running)
}

/// Includes a call in the load reports until dropped.
struct RunningCall<'a> {
    service: &'a Service,
    attempt: &'a str,
}

impl<'a> RunningCall<'a> {
    fn begin(service: &'a Service, attempt: &'a str) -> Self {
        service.state().load.begin(unix_ms(), attempt);
        Self { service, attempt }
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.service.state().load.end(unix_ms(), self.attempt);
    }
}

fn load_report(service: &Service) -> Reply {
    let identity = Identity {
        name: &service.options.name,
        incarnation: service.incarnation,
        slots: service.options.slots,
    };
    let state = service.state();
    let faults = &state.faults;
    load_reply(
        &identity,
        &state.load,
        &state.orders,
        faults.load_lag_ms,
        faults.lying_load,
    )
}

fn handle_order(service: &Service, request: &Request) -> Reply {
    let order: Order = match request.json() {
        Ok(order) => order,
        Err(reply) => return reply,
    };
    let mut state = service.state();
    let response = state.orders.receive(&order, service.incarnation);
    let stops = order.kind == OrderKind::Stop && response == OrderResponse::Applied;
    if stops && !state.orders.is_stopped() {
        service.stop(&mut state);
    }
    order_reply(response)
}
