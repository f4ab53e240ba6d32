//! Answers a request to a plain service.

use std::sync::Arc;

use curranttrestle::coordination::router::AttemptResult;
use curranttrestle::protocol::Refusal;
use curranttrestle::protocol::peer::{StoredBody, StoredResponse};
use curranttrestle::state::Now;
use curranttrestle::transport::endpoint::ServiceResponse;

use super::attempts::{Attempts, First, Opened};
use crate::shared::Shared;

/// The content type of an answer whose service names none.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// The whole answer to a request, or why there is none.
pub type WholeAnswer = Result<StoredResponse, Refusal>;

/// Runs a request to its end, also when its caller stops waiting.
pub async fn answer(shared: Arc<Shared>, attempts: Attempts) -> Option<WholeAnswer> {
    let (sender, receiver) = async_channel::bounded(1);
    let running = run(shared, attempts, sender);
    smol::spawn(running).detach();
    receiver.recv().await.ok()
}

async fn run(
    shared: Arc<Shared>,
    mut attempts: Attempts,
    answers: async_channel::Sender<WholeAnswer>,
) {
    let started = shared.clock.now();
    let answer = match attempts.first().await {
        First::Refused(refusal) => Err(refusal),
        First::Replayed(answer) => Ok(answer),
        First::Opened(dispatch, Opened::Service(answer)) => {
            let stored = stored_answer(answer);
            let result = AttemptResult::Completed {
                units: elapsed_units(started, shared.clock.now()),
                stored_response: Some(stored.clone()),
            };
            attempts.report(&dispatch, result).await;
            Ok(stored)
        }
        First::Opened(_, Opened::Stream(..)) => return,
    };
    let _ = answers.send(answer).await;
}

fn stored_answer(answer: ServiceResponse) -> StoredResponse {
    StoredResponse {
        status: answer.status,
        content_type: answer
            .content_type
            .unwrap_or_else(|| DEFAULT_CONTENT_TYPE.into()),
        body: StoredBody::Whole(answer.body),
    }
}

/// The unit of a plain service is a millisecond of its time.
#[allow(clippy::cast_precision_loss)]
fn elapsed_units(started: Now, now: Now) -> f64 {
    now.since_ms(started.steady_ms).max(1) as f64
}
