//! Runs the attempts of one request and reports how they end.

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

/// An attempt that has begun to answer.
pub enum Opened {
    /// A stream with its first part; none when the answer is empty.
    Stream(Box<FrameStream>, Option<Chunk>),
    /// The whole answer of a plain service.
    Service(ServiceResponse),
}

/// What a request comes to before anything is sent to its caller.
pub enum First {
    /// An attempt has begun to answer.
    Opened(Dispatch, Opened),
    /// The request is refused.
    Refused(Refusal),
    /// The request is answered from the record.
    Replayed(StoredResponse),
}

/// An attempt on its way to its first part.
pub type Opening = Pin<Box<dyn Future<Output = (Dispatch, Result<Opened, AttemptError>)> + Send>>;

/// What happens next while attempts are opened.
enum Next {
    /// The caller's deadline passed.
    Expired,
    Decision(Option<Decision>),
    Opening(Dispatch, Result<Opened, AttemptError>),
}

/// The attempts of one request.
pub struct Attempts {
    shared: Arc<Shared>,
    caller: Arc<CallerRequest>,
    prompt: Option<Prompt>,
    decisions: Receiver<Decision>,
}

impl Attempts {
    /// The attempts of `caller`, ordered by the control thread through `decisions`.
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

    /// Follows decisions until an attempt begins to answer or the request ends.
    pub async fn first(&mut self) -> First {
        let mut openings: FuturesUnordered<Opening> = FuturesUnordered::new();
        let mut open: Vec<Dispatch> = Vec::new();
        loop {
            match self.next(&mut openings).await {
                Next::Expired => return self.expire(&open).await,
                Next::Decision(None) => return First::Refused(control_ended()),
                Next::Decision(Some(Decision::Refuse(refusal))) => return First::Refused(refusal),
                Next::Decision(Some(Decision::Replay(answer))) => return First::Replayed(answer),
                Next::Decision(Some(Decision::Dispatch(dispatch))) => {
                    open.push(dispatch.clone());
                    openings.push(self.open(dispatch));
                }
                Next::Opening(dispatch, Ok(opened)) => {
                    open.retain(|other| other.attempt != dispatch.attempt);
                    self.abandon(&open).await;
                    return First::Opened(dispatch, opened);
                }
                Next::Opening(dispatch, Err(error)) => {
                    open.retain(|other| other.attempt != dispatch.attempt);
                    self.report(&dispatch, failed(&error, 0.0, None)).await;
                }
            }
        }
    }

    /// Tells the control thread how an attempt ended.
    pub async fn report(&self, dispatch: &Dispatch, result: AttemptResult) {
        self.shared
            .tell(Input::AttemptEnded {
                attempt: dispatch.attempt.clone(),
                result,
            })
            .await;
    }

    /// Gives up attempts that have not begun to answer before the caller's deadline.
    async fn expire(&self, open: &[Dispatch]) -> First {
        for dispatch in open {
            let result = AttemptResult::CallerGone { units: 0.0 };
            self.report(dispatch, result).await;
        }
        let detail = "the deadline passed before the answer began";
        First::Refused(Refusal::unknown(RefusalReason::DeadlinePassed, detail))
    }

    /// Ends when the caller stops waiting. A call to a plain service goes on, because its
    /// answer is recorded for repeats.
    async fn deadline(&self) -> Next {
        if self.prompt.is_none() {
            return std::future::pending().await;
        }
        let now_ms = self.shared.clock.now().steady_ms;
        let left_ms = self.caller.new.deadline_ms.saturating_sub(now_ms);
        smol::Timer::after(Duration::from_millis(left_ms)).await;
        Next::Expired
    }

    async fn next(&self, openings: &mut FuturesUnordered<Opening>) -> Next {
        let decision = async { Next::Decision(self.decisions.recv().await.ok()) };
        // While nothing runs, the control thread watches the deadline.
        if openings.is_empty() {
            return decision.await;
        }
        let opening = async {
            match openings.next().await {
                Some((dispatch, result)) => Next::Opening(dispatch, result),
                None => std::future::pending().await,
            }
        };
        opening.or(decision).or(self.deadline()).await
    }

    /// Ends attempts that lost against a faster one.
    async fn abandon(&self, losers: &[Dispatch]) {
        for dispatch in losers {
            let result = AttemptResult::Interrupted {
                units: 0.0,
                detail: "another attempt answered first".into(),
                connection_lost: false,
                incarnation: None,
            };
            self.report(dispatch, result).await;
        }
    }

    /// Waits for the order of a second attempt beside the one that is passed on.
    pub async fn second_attempt(&self) -> Dispatch {
        loop {
            match self.decisions.recv().await {
                Ok(Decision::Dispatch(dispatch)) => return dispatch,
                Ok(_) => {}
                Err(_) => std::future::pending().await,
            }
        }
    }

    /// Begins an attempt.
    pub fn open(&self, dispatch: Dispatch) -> Opening {
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

/// Refuses to begin an attempt whose permission has run out, as after a pause of the process.
fn check_valid(shared: &Shared, dispatch: &Dispatch) -> Result<(), AttemptError> {
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
) -> Result<Opened, AttemptError> {
    let prompt = prompt.unwrap_or_default();
    let pool = shared
        .sheet()
        .endpoints
        .get(&dispatch.endpoint)
        .map_or_else(|| "".into(), |endpoint| endpoint.pool.clone());
    let request = StreamRequest {
        attempt: dispatch.attempt.to_string(),
        request: caller.new.request.to_string(),
        customer: caller.new.customer.clone(),
        operation: caller.new.operation.clone(),
        pool,
        prompt: prompt.prompt,
        max_tokens: prompt.max_tokens,
        expected_cost: caller.new.hint_units,
    };
    check_valid(shared, dispatch)?;
    let mut stream = shared
        .endpoints
        .start_stream(dispatch.address, &request)
        .await?;
    let first = stream.next().await?;
    Ok(Opened::Stream(Box::new(stream), first))
}

async fn open_service(
    shared: &Shared,
    caller: &CallerRequest,
    dispatch: &Dispatch,
) -> Result<Opened, AttemptError> {
    let key = caller.new.key.map(|key| key.to_string());
    let call = ServiceCall {
        operation: &caller.new.operation,
        body: &caller.body,
        attempt: &dispatch.attempt,
        idempotency_key: key.as_deref(),
    };
    check_valid(shared, dispatch)?;
    let answer = shared
        .endpoints
        .call_service(dispatch.address, call)
        .await?;
    Ok(Opened::Service(answer))
}

/// The result of a failed attempt that cost `units` so far on the run `incarnation`.
pub fn failed(error: &AttemptError, units: f64, incarnation: Option<u64>) -> AttemptResult {
    let detail = error.to_string();
    match error {
        AttemptError::NotRun { reason } => AttemptResult::NotRun {
            detail,
            unreachable: *reason == NotRunReason::Unreachable,
        },
        AttemptError::Interrupted { cause, .. } => AttemptResult::Interrupted {
            units,
            detail,
            connection_lost: is_broken(*cause),
            incarnation,
        },
    }
}

/// Whether a cause is what a crash of the endpoint looks like.
fn is_broken(cause: InterruptCause) -> bool {
    match cause {
        InterruptCause::ConnectionLost
        | InterruptCause::IncompleteStream
        | InterruptCause::StreamNotFound => true,
        InterruptCause::TimedOut
        | InterruptCause::Gap
        | InterruptCause::Malformed
        | InterruptCause::Status(_) => false,
    }
}

fn control_ended() -> Refusal {
    Refusal::unknown(RefusalReason::AttemptLost, "the router is exiting")
}
