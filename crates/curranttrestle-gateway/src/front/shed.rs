//! Refuses requests from their head while the gateway lacks processor time.

use std::rc::Rc;

use curranttrestle::coordination::gateway::load_shedding::SheddingChange;
use curranttrestle::coordination::gateway::route_table::RouteTable;
use curranttrestle::coordination::gateway::shares::ShareStatus;
use curranttrestle::state::Now;
use curranttrestle::state::gateway::RequestHints;
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::http::request::Parts;

use super::body::discard;
use super::request::host;
use super::response::LocalResponse;
use crate::gateway::Gateway;
use crate::metrics::GATEWAY_BUSY;

/// Records the scheduling delay that is known now, and logs when refusing starts and ends.
pub fn record_delay(gateway: &Gateway, now: Now) {
    let control = gateway.control.borrow();
    let target_ms = control.routes().and_then(RouteTable::smallest_target_ms);
    let delay_ms = control.load.own_delay.delay_ms(now);
    drop(control);
    let mut shedder = gateway.shedder.borrow_mut();
    match shedder.record_delay(delay_ms, target_ms, now) {
        Some(SheddingChange::Started { delay_ms }) => {
            let bound_ms = shedder.bound_ms(target_ms);
            let open_requests = gateway.open_requests.get();
            log::warn!(
                "kind=shedding-started delay_ms={delay_ms} bound_ms={bound_ms:.0} open_requests={open_requests}"
            );
        }
        Some(SheddingChange::Ended {
            refused,
            duration_ms,
        }) => log::info!("kind=shedding-ended refused={refused} ms={duration_ms}"),
        None => {}
    }
}

/// The refusal of a request that has just arrived; `None` if it is served.
pub fn refusal(gateway: &Gateway, parts: &Parts, now: Now) -> Option<LocalResponse> {
    if !gateway.shedder.borrow().is_active() || !has_route(gateway, parts) {
        return None;
    }
    // Unreadable headers are answered as always if the request is not refused here.
    let hints = gateway.dialect.read_request(&parts.headers).ok();
    let customer = hints.as_ref().and_then(|hints| customer(gateway, hints));
    let is_over_share = customer
        .as_ref()
        .is_some_and(|customer| is_over_share(gateway, customer, now));
    if !gateway.shedder.borrow_mut().refuses(is_over_share) {
        return None;
    }
    if let Some((hints, customer)) = hints.zip(customer) {
        let mut control = gateway.control.borrow_mut();
        control.record_requested(&customer, &hints, now);
    }
    gateway.metrics.shed_requests.inc();
    let retry_after_ms = gateway.settings.shedding.retry_after_ms;
    Some(LocalResponse::refused(GATEWAY_BUSY, retry_after_ms))
}

/// Whether the configuration has a route for a request. Without one the final answer is as cheap as
/// a refusal, and the client does not retry.
fn has_route(gateway: &Gateway, parts: &Parts) -> bool {
    let control = gateway.control.borrow();
    let table = control.routes();
    host(parts)
        .zip(table)
        .is_some_and(|(host, table)| table.route(&host, parts.uri.path()).is_some())
}

/// The customer of a request; `None` if its key is missing or unknown.
fn customer(gateway: &Gateway, hints: &RequestHints) -> Option<String> {
    let control = gateway.control.borrow();
    let customer = control.routes()?.customer(hints.credential.as_deref()?)?;
    Some(customer.name.clone())
}

fn is_over_share(gateway: &Gateway, customer: &str, now: Now) -> bool {
    let control = gateway.control.borrow();
    let limits = control.client_limits();
    let mut shedder = gateway.shedder.borrow_mut();
    shedder.is_over_share(customer, now, || {
        let status = control.shares.status(customer, limits.tokens_per_s, now);
        matches!(status, ShareStatus::Over { .. })
    })
}

/// Reads the body of a refused request behind its response. A connection that is closed with unread
/// bytes is reset, and the client might not see the response.
pub fn discard_body(gateway: &Rc<Gateway>, parts: &Parts, body: Incoming) {
    // Reading would ask a client that expects `100 Continue` for the body.
    if body.is_end_stream() || parts.headers.contains_key(header::EXPECT) {
        return;
    }
    gateway.executors().traffic().spawn(discard(body)).detach();
}
