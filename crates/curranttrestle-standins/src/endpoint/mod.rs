//! What the stand-ins of model engines and plain services share.

mod load_log;
mod orders;

pub(crate) use load_log::LoadLog;
pub(crate) use orders::{Leaving, OrderLog};
pub use orders::{LeavingTruth, OrderTruth};

use curranttrestle::protocol::endpoint::OrderAnswer;
use curranttrestle::protocol::outcome::{OUTCOME_HEADER, Outcome};
use trillium_http::Status;

use crate::server::Reply;

/// How long the answer to a stop order may take before the listener closes.
pub(crate) const STOP_LINGER_MS: u64 = 50;

/// Refuses a request before it begins.
pub(crate) fn not_run_reply() -> Reply {
    Reply::text(Status::ServiceUnavailable, "refused before it began")
        .with_header(OUTCOME_HEADER, Outcome::NotRun.as_str())
}

/// The reply to an order.
pub(crate) fn order_reply(answer: OrderAnswer) -> Reply {
    Reply::json(Status::Ok, &answer)
}
