//! Runs the attempts of one request and reports their results to the control thread.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use curranttrestle::coordination::router::{AttemptResult, Decision, Dispatch, Input};
use curranttrestle::protocol::Refusal;
use curranttrestle::protocol::endpoint::StreamRequest;
use curranttrestle::protocol::outcome::RefusalReason;
use curranttrestle::protocol::peer::StoredResponse;
use curranttrestle::state::sheet::EndpointKind;
use curranttrestle::transport::endpoint::{
    AttemptError, InterruptCause, NotRunReason, ServiceCall, ServiceResponse,
};
use curranttrestle::transport::frames::{Chunk, FrameStream};
use futures_lite::{FutureExt, StreamExt};
use futures_util::stream::FuturesUnordered;

use super::prompt::Prompt;
use super::request::CallerRequest;
use crate::shared::Shared;

/// The first data that an attempt received from its endpoint.
pub enum FirstData {
    /// A stream and its first chunk, or `None` if the response is empty.
    Stream(Box<FrameStream>, Option<Chunk>),
    /// The complete response of a service.
    Service(ServiceResponse),
}

/// The result of waiting for the first data of a request or of its retry. Before a retry, earlier
/// attempts may have sent part of the response to the caller.
pub enum FirstOutcome {
    /// An attempt has received its first data.
    Opened(Dispatch, FirstData),
    /// The request is refused.
    Refused(Refusal),
    /// The stored response of an earlier request with the same idempotency key.
    Replayed(StoredResponse),
}

/// A future that starts an attempt and resolves at its first data or its failure.
pub type OpeningAttempt =
    Pin<Box<dyn Future<Output = (Dispatch, Result<FirstData, AttemptError>)> + Send>>;

/// An event while [`Attempts::first_outcome`] waits for the first data.
enum OpeningEvent {
    /// The caller's deadline passed.
    Expired,
    /// A decision of the control thread, or `None` if the thread has ended.
    Decision(Option<Decision>),
    /// An attempt received its first data or failed.
    Opening(Dispatch, Result<FirstData, AttemptError>),
}

/// The attempts of one request.
pub struct Attempts {
    shared: Arc<Shared>,
    caller: Arc<CallerRequest>,
    prompt: Option<Prompt>,
    decisions: Receiver<Decision>,
}

impl Attempts {
    /// Runs attempts for `caller` as the control thread orders them through `decisions`.
    pub fn new(
        shared: Arc<Shared>,
        caller: Arc<CallerRequest>,
        prompt: Option<Prompt>,
        decisions: Receiver<Decision>,
    ) -> Self {
        Self {
            shared,
            caller,
            prompt,
            decisions,
        }
    }

    /// Follows decisions until an attempt receives its first data or the request ends.
    pub async fn first_outcome(&mut self) -> FirstOutcome {
        let mut openings: FuturesUnordered<OpeningAttempt> = FuturesUnordered::new();
        let mut open: Vec<Dispatch> = Vec::new();
        loop {
            match self.next_event(&mut openings).await {
                OpeningEvent::Expired => return self.refuse_expired(&open).await,
                OpeningEvent::Decision(None) => return FirstOutcome::Refused(router_stopping()),
                OpeningEvent::Decision(Some(Decision::Refuse(refusal))) => {
                    return FirstOutcome::Refused(refusal);
                }
                OpeningEvent::Decision(Some(Decision::Replay(response))) => {
                    return FirstOutcome::Replayed(response);
                }
                OpeningEvent::Decision(Some(Decision::Dispatch(dispatch))) => {
                    open.push(dispatch.clone());
                    openings.push(self.open(dispatch));
                }
                OpeningEvent::Opening(dispatch, Ok(opened)) => {
                    open.retain(|other| other.attempt != dispatch.attempt);
                    self.report_losers(&open).await;
                    return FirstOutcome::Opened(dispatch, opened);
                }
                OpeningEvent::Opening(dispatch, Err(error)) => {
                    open.retain(|other| other.attempt != dispatch.attempt);
                    self.report_result(&dispatch, failed_result(&error, 0.0, None))
                        .await;
                }
            }
        }
    }

    /// Reports the result of an attempt to the control thread.
    pub async fn report_result(&self, dispatch: &Dispatch, result: AttemptResult) {
        self.shared
            .send_input(Input::AttemptEnded {
                attempt: dispatch.attempt.clone(),
                result,
            })
            .await;
    }

    /// Reports all open attempts as ended because the caller's deadline passed before any of them
    /// received data, and refuses the request.
    async fn refuse_expired(&self, open: &[Dispatch]) -> FirstOutcome {
        for dispatch in open {
            let result = AttemptResult::CallerGone { units: 0.0 };
            self.report_result(dispatch, result).await;
        }
        let detail = "the deadline passed while waiting for data from an endpoint";
        FirstOutcome::Refused(Refusal::unknown(RefusalReason::DeadlinePassed, detail))
    }

    /// Resolves at the caller's deadline. Never resolves for a call to a service: the call
    /// continues after the deadline, because its response is stored for retries.
    async fn deadline(&self) -> OpeningEvent {
        if self.prompt.is_none() {
            return std::future::pending().await;
        }
        let now_ms = self.shared.clock.now().steady_ms;
        let left_ms = self.caller.new_request.deadline_ms.saturating_sub(now_ms);
        smol::Timer::after(Duration::from_millis(left_ms)).await;
        OpeningEvent::Expired
    }

    async fn next_event(&self, openings: &mut FuturesUnordered<OpeningAttempt>) -> OpeningEvent {
        let decision = async { OpeningEvent::Decision(self.decisions.recv().await.ok()) };
        // While no attempt is open, the control thread enforces the deadline.
        if openings.is_empty() {
            return decision.await;
        }
        let opening = async {
            match openings.next().await {
                Some((dispatch, result)) => OpeningEvent::Opening(dispatch, result),
                None => std::future::pending().await,
            }
        };
        opening.or(decision).or(self.deadline()).await
    }

    /// Reports attempts as interrupted because another one received data first.
    async fn report_losers(&self, losers: &[Dispatch]) {
        for dispatch in losers {
            let result = AttemptResult::Interrupted {
                units: 0.0,
                detail: "another attempt responded first".into(),
                connection_lost: false,
                incarnation: None,
            };
            self.report_result(dispatch, result).await;
        }
    }

    /// Waits until the control thread orders a hedged attempt beside the one that is being
    /// forwarded. Never resolves if the control thread has ended.
    pub async fn hedge_dispatch(&self) -> Dispatch {
        loop {
            match self.decisions.recv().await {
                Ok(Decision::Dispatch(dispatch)) => return dispatch,
                Ok(_) => {}
                Err(_) => std::future::pending().await,
            }
        }
    }

    /// Returns a future that runs an attempt until its first data.
    pub fn open(&self, dispatch: Dispatch) -> OpeningAttempt {
        let shared = self.shared.clone();
        let caller = self.caller.clone();
        let prompt = self.prompt.clone();
        Box::pin(async move {
            let result = match dispatch.kind {
                EndpointKind::Model => open_stream(&shared, &caller, prompt, &dispatch).await,
                EndpointKind::Service => open_service(&shared, &caller, &dispatch).await,
            };
            (dispatch, result)
        })
    }
}

/// Returns an error if the dispatch has expired, for example because the process was paused. An
/// expired attempt must not start.
fn check_not_expired(shared: &Shared, dispatch: &Dispatch) -> Result<(), AttemptError> {
    if shared.clock.now().steady_ms < dispatch.valid_until_ms {
        return Ok(());
    }
    Err(AttemptError::NotRun {
        reason: NotRunReason::Refused,
    })
}

async fn open_stream(
    shared: &Shared,
    caller: &CallerRequest,
    prompt: Option<Prompt>,
    dispatch: &Dispatch,
) -> Result<FirstData, AttemptError> {
    let prompt = prompt.unwrap_or_default();
    let pool = shared
        .sheet()
        .endpoints
        .get(&dispatch.endpoint)
        .map_or_else(|| "".into(), |endpoint| endpoint.pool.clone());
    let request = StreamRequest {
        attempt: dispatch.attempt.to_string(),
        request: caller.new_request.request.to_string(),
        customer: caller.new_request.customer.clone(),
        operation: caller.new_request.operation.clone(),
        pool,
        prompt: prompt.prompt,
        max_tokens: prompt.max_tokens,
        expected_cost: caller.new_request.hint_units,
    };
    check_not_expired(shared, dispatch)?;
    let mut stream = shared
        .endpoints
        .start_stream(dispatch.address, &request)
        .await?;
    let first = stream.next().await?;
    Ok(FirstData::Stream(Box::new(stream), first))
}

async fn open_service(
    shared: &Shared,
    caller: &CallerRequest,
    dispatch: &Dispatch,
) -> Result<FirstData, AttemptError> {
    let key = caller.new_request.key.map(|key| key.to_string());
    let call = ServiceCall {
        operation: &caller.new_request.operation,
        body: &caller.body,
        attempt: &dispatch.attempt,
        idempotency_key: key.as_deref(),
    };
    check_not_expired(shared, dispatch)?;
    let response = shared
        .endpoints
        .call_service(dispatch.address, call)
        .await?;
    Ok(FirstData::Service(response))
}

/// Converts the error of an attempt into its result. `units` is the attempt's cost so far,
/// `incarnation` that of the endpoint, if known.
pub fn failed_result(error: &AttemptError, units: f64, incarnation: Option<u64>) -> AttemptResult {
    let detail = error.to_string();
    match error {
        AttemptError::NotRun { reason } => AttemptResult::NotRun {
            detail,
            unreachable: *reason == NotRunReason::Unreachable,
        },
        AttemptError::Interrupted { cause, .. } => AttemptResult::Interrupted {
            units,
            detail,
            connection_lost: looks_like_crash(*cause),
            incarnation,
        },
    }
}

/// Whether a crash of the endpoint can be the reason for this cause of an interruption.
fn looks_like_crash(cause: InterruptCause) -> bool {
    match cause {
        InterruptCause::ConnectionLost
        | InterruptCause::IncompleteStream
        | InterruptCause::NotFound => true,
        InterruptCause::TimedOut
        | InterruptCause::Gap
        | InterruptCause::Malformed
        | InterruptCause::Status(_) => false,
    }
}

fn router_stopping() -> Refusal {
    Refusal::unknown(RefusalReason::AttemptLost, "the router is shutting down")
}
