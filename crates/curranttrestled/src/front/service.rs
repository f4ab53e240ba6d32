//! Responds to a request for a service operation.

use std::sync::Arc;

use curranttrestle::coordination::router::AttemptResult;
use curranttrestle::protocol::Refusal;
use curranttrestle::protocol::peer::{StoredAnswer, StoredBody};
use curranttrestle::state::Now;
use curranttrestle::transport::endpoint::ServiceAnswer;

use super::attempts::{Attempts, FirstData, FirstOutcome};
use crate::shared::Shared;

/// The content type of a response if the service sends none.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// The complete response to a request, or its refusal.
pub type ServiceResult = Result<StoredAnswer, Refusal>;

/// Runs a request and waits for its result. The request runs to its end even if the returned
/// future is dropped because the caller has gone. Returns `None` if the request ended without a
/// result.
pub async fn respond(shared: Arc<Shared>, attempts: Attempts) -> Option<ServiceResult> {
    let (sender, receiver) = async_channel::bounded(1);
    let running = run(shared, attempts, sender);
    smol::spawn(running).detach();
    receiver.recv().await.ok()
}

async fn run(
    shared: Arc<Shared>,
    mut attempts: Attempts,
    results: async_channel::Sender<ServiceResult>,
) {
    let started = shared.clock.now();
    let result = match attempts.first_outcome().await {
        FirstOutcome::Refused(refusal) => Err(refusal),
        FirstOutcome::Replayed(response) => Ok(response),
        FirstOutcome::Opened(dispatch, FirstData::Service(response)) => {
            let stored = stored_response(response);
            let attempt_result = AttemptResult::Answered {
                units: elapsed_units(started, shared.clock.now()),
                stored: Some(stored.clone()),
            };
            attempts.report_result(&dispatch, attempt_result).await;
            Ok(stored)
        }
        FirstOutcome::Opened(_, FirstData::Stream(..)) => return,
    };
    let _ = results.send(result).await;
}

fn stored_response(response: ServiceAnswer) -> StoredAnswer {
    StoredAnswer {
        status: response.status,
        content_type: response
            .content_type
            .unwrap_or_else(|| DEFAULT_CONTENT_TYPE.into()),
        body: StoredBody::Whole(response.body),
    }
}

/// The cost of a service call: one unit for each elapsed millisecond, at least one.
#[allow(clippy::cast_precision_loss)]
fn elapsed_units(started: Now, now: Now) -> f64 {
    now.since_ms(started.steady_ms).max(1) as f64
}
