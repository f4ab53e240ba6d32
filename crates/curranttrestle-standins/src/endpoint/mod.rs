//! Endpoint logic shared by the engine and service stand-ins.

mod load_log;
mod orders;

pub(crate) use load_log::LoadLog;
pub(crate) use orders::{LeavingLog, OrderLog};
pub use orders::{LeavingTruth, OrderTruth};

use curranttrestle::protocol::endpoint::{LoadReport, OrderResponse, running_digest};
use curranttrestle::protocol::outcome::{OUTCOME_HEADER, Outcome};
use curranttrestle::state::EndpointId;
use trillium_http::Status;

use crate::server::{Reply, unix_ms};

/// A 503 response that marks the request as not run.
pub(crate) fn not_run_reply() -> Reply {
    Reply::text(Status::ServiceUnavailable, "refused before it began")
        .with_header(OUTCOME_HEADER, Outcome::NotRun.as_str())
}

/// The endpoint's own data in a load report.
#[derive(Debug)]
pub(crate) struct Identity<'a> {
    /// The endpoint's name.
    pub(crate) name: &'a str,
    /// The endpoint's incarnation.
    pub(crate) incarnation: u64,
    /// Number of requests the endpoint is designed to run concurrently.
    pub(crate) slots: u32,
}

/// Returns a load report with the state of `lag_ms` ago. If `hides_age` is set, the
/// report's timestamp claims that the state is current.
pub(crate) fn load_reply(
    identity: &Identity<'_>,
    load: &LoadLog,
    orders: &OrderLog,
    lag_ms: u64,
    hides_age: bool,
) -> Reply {
    let now_unix_ms = unix_ms();
    let seen_unix_ms = now_unix_ms.saturating_sub(lag_ms);
    let running = load.running_at(seen_unix_ms);
    let report = LoadReport {
        endpoint: EndpointId::new(identity.name),
        incarnation: identity.incarnation,
        taken_unix_ms: if hides_age { now_unix_ms } else { seen_unix_ms },
        running_digest: running_digest(running.iter().map(String::as_str)),
        running,
        slots: identity.slots,
        draining: orders.is_stopped(),
        model: orders.model.clone(),
        role: orders.role.clone(),
    };
    Reply::json(Status::Ok, &report)
}

/// The response to an order.
pub(crate) fn order_reply(response: OrderResponse) -> Reply {
    Reply::json(Status::Ok, &response)
}
