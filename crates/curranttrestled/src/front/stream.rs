//! Forwards a streamed response to its caller.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use curranttrestle::coordination::router::{AttemptResult, Dispatch, Input};
use curranttrestle::protocol::endpoint::StreamId;
use curranttrestle::protocol::resume::ResumeToken;
use curranttrestle::protocol::{Refusal, RefusalReason};
use curranttrestle::state::Now;
use curranttrestle::transport::endpoint::{AttemptError, InterruptCause};
use curranttrestle::transport::frames::{Chunk, FrameStream};
use futures_lite::FutureExt;
use xxhash_rust::xxh3::Xxh3;

use super::attempts::{Attempts, FirstData, FirstOutcome, failed_result};
use super::body::{BodyReader, body_channel};
use super::deadline::with_deadline;
use super::hedge::{CaughtUp, HedgedAttempt};
use super::request::CallerRequest;
use super::sent_prefix::SentPrefixFilter;
use super::sse;
use crate::shared::Shared;

/// Minimum interval between two progress reports of an attempt to the control thread.
const PROGRESS_INTERVAL_MS: u64 = 200;
/// Maximum number of times that the stream of one attempt is resumed on its endpoint. After that,
/// another endpoint is tried.
const MAX_RESUMES: u32 = 2;
/// Delay before each resume of a stream.
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// Timeout for an endpoint to resume a stream, after which another endpoint is tried.
const RESUME_TIMEOUT_MS: u64 = 2_000;

/// How the response starts: a body to stream, or a refusal.
pub type ResponseHead = Result<BodyReader, Refusal>;

/// A streamed response to one caller.
pub struct ResponseStream {
    shared: Arc<Shared>,
    caller: Arc<CallerRequest>,
    attempts: Attempts,
    chunks: Sender<Vec<u8>>,
    /// Bytes of response text sent to the caller.
    sent_bytes: u64,
    /// The digest of those bytes. A retry or hedged attempt must produce the same bytes.
    sent_digest: Xxh3,
    /// Time of the last progress report of the current attempt.
    last_progress: Now,
}

/// The attempt whose chunks are being forwarded.
struct ForwardedAttempt {
    dispatch: Dispatch,
    sent_prefix: SentPrefixFilter,
    stream: Box<FrameStream>,
    /// The number of tokens that the attempt has produced so far.
    tokens: u64,
    /// A hedged attempt that is catching up because this one is slow.
    hedge: Option<HedgedAttempt>,
}

/// An event while an attempt is being forwarded.
enum ForwardEvent {
    /// The attempt produced a chunk, ended (`None`) or was interrupted.
    Chunk(Result<Option<Chunk>, AttemptError>),
    /// The control thread ordered a hedged attempt.
    HedgeOrdered(Dispatch),
    /// The hedged attempt caught up or failed.
    Hedge(Result<CaughtUp, AttemptError>),
}

/// Why forwarding the chunks of an attempt ended.
enum ForwardEnd {
    /// All chunks were forwarded.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The response does not start with the bytes already sent to the caller.
    Mismatch,
    /// The attempt was interrupted and could not be resumed.
    Lost(AttemptError),
}

/// The result of forwarding one attempt.
enum ForwardResult {
    /// The complete response was sent.
    Complete,
    /// The caller disconnected or was sent an error event.
    Ended,
    /// The attempt was lost; the control thread may order a retry.
    Lost,
}

/// Starts the response and waits until its first data or a refusal is known. Returns `None` if the
/// request ended without either.
pub async fn respond(
    shared: Arc<Shared>,
    caller: Arc<CallerRequest>,
    attempts: Attempts,
) -> Option<ResponseHead> {
    let (heads, head): (Sender<ResponseHead>, Receiver<ResponseHead>) = async_channel::bounded(1);
    let (chunks, reader) = body_channel();
    let response = ResponseStream {
        last_progress: shared.clock.now(),
        shared,
        caller,
        attempts,
        chunks,
        sent_bytes: 0,
        sent_digest: Xxh3::new(),
    };
    smol::spawn(response.run(heads, reader)).detach();
    head.recv().await.ok()
}

impl ResponseStream {
    async fn run(mut self, heads: Sender<ResponseHead>, reader: BodyReader) {
        let mut reader = Some(reader);
        loop {
            let first = self.attempts.first_outcome().await;
            let (dispatch, stream, chunk) = match first {
                FirstOutcome::Opened(dispatch, FirstData::Stream(stream, chunk)) => {
                    (dispatch, stream, chunk)
                }
                FirstOutcome::Refused(refusal) => {
                    self.refuse(refusal, &heads, reader.is_some()).await;
                    return;
                }
                FirstOutcome::Opened(..) | FirstOutcome::Replayed(_) => return,
            };
            if let Some(reader) = reader.take() {
                let _ = heads.send(Ok(reader)).await;
            }
            match self.forward_attempt(dispatch, stream, chunk).await {
                ForwardResult::Complete | ForwardResult::Ended => return,
                ForwardResult::Lost => {}
            }
        }
    }

    async fn refuse(&self, refusal: Refusal, heads: &Sender<ResponseHead>, head_open: bool) {
        if head_open {
            let _ = heads.send(Err(refusal)).await;
        } else {
            self.send_last(sse::error(&refusal)).await;
        }
    }

    /// Sends the last event. Does not wait forever for a caller that stops reading, because the
    /// server closes its connection.
    async fn send_last(&self, event: Vec<u8>) {
        let _ = self.chunks.send(event).await;
    }

    /// Forwards one attempt until it ends or the caller's deadline passes.
    async fn forward_attempt(
        &mut self,
        dispatch: Dispatch,
        stream: Box<FrameStream>,
        first: Option<Chunk>,
    ) -> ForwardResult {
        let shared = self.shared.clone();
        let deadline_ms = self.caller.new_request.deadline_ms;
        let mut current = ForwardedAttempt {
            dispatch,
            sent_prefix: SentPrefixFilter::new(self.sent_bytes),
            stream,
            tokens: 0,
            hedge: None,
        };
        let forwarding = Box::pin(self.forward_chunks(&mut current, first));
        let end = with_deadline(&shared, deadline_ms, forwarding).await;
        match end {
            None => self.deadline_passed(&current).await,
            Some(ForwardEnd::Complete) => self.complete(&current).await,
            Some(ForwardEnd::CallerGone) => self.caller_gone(&current).await,
            Some(ForwardEnd::Mismatch) => self.response_differs(&current).await,
            Some(ForwardEnd::Lost(error)) => self.attempt_lost(&current, &error).await,
        }
    }

    /// Forwards the chunks of one attempt, or of a hedged attempt that overtakes it, until it ends.
    async fn forward_chunks(
        &mut self,
        current: &mut ForwardedAttempt,
        first: Option<Chunk>,
    ) -> ForwardEnd {
        // Makes the first chunk trigger a progress report regardless of the report interval.
        self.last_progress = Now::default();
        let mut resumes = 0;
        if self.send_start(current).await.is_err() {
            return ForwardEnd::CallerGone;
        }
        if let Some(chunk) = first
            && let Some(end) = self.forward_chunk(current, &chunk).await
        {
            return end;
        }
        loop {
            match self.next_event(current).await {
                ForwardEvent::Chunk(Ok(Some(chunk))) => {
                    if let Some(end) = self.forward_chunk(current, &chunk).await {
                        return end;
                    }
                }
                ForwardEvent::Chunk(Ok(None)) => return ForwardEnd::Complete,
                ForwardEvent::Chunk(Err(error)) => {
                    if let Some(end) = self.recover(current, error, &mut resumes).await {
                        return end;
                    }
                }
                ForwardEvent::HedgeOrdered(dispatch) => self.start_hedge(current, dispatch),
                ForwardEvent::Hedge(Ok(caught_up)) => {
                    if let Some(end) = self.switch_to_hedge(current, caught_up).await {
                        return end;
                    }
                }
                ForwardEvent::Hedge(Err(error)) => self.hedge_failed(current, &error).await,
            }
        }
    }

    async fn next_event(&self, current: &mut ForwardedAttempt) -> ForwardEvent {
        let stream = &mut current.stream;
        let chunk = async { ForwardEvent::Chunk(stream.next().await) };
        let Some(hedge) = &mut current.hedge else {
            let hedge_ordered =
                async { ForwardEvent::HedgeOrdered(self.attempts.hedge_dispatch().await) };
            return chunk.or(hedge_ordered).await;
        };
        let hedge_result = async { ForwardEvent::Hedge(hedge.caught_up().await) };
        chunk.or(hedge_result).await
    }

    /// Forwards one chunk. Returns a reason if forwarding must end.
    async fn forward_chunk(
        &mut self,
        current: &mut ForwardedAttempt,
        chunk: &Chunk,
    ) -> Option<ForwardEnd> {
        current.tokens = chunk.tokens_total;
        let Some(text) = current.sent_prefix.unsent_text(chunk, &self.sent_digest) else {
            return Some(ForwardEnd::Mismatch);
        };
        if !text.is_empty() && self.send_text(text).await.is_err() {
            return Some(ForwardEnd::CallerGone);
        }
        if let Some(hedge) = &current.hedge {
            hedge.set_sent_bytes(self.sent_bytes);
        }
        self.report_progress(&current.dispatch, current.tokens)
            .await;
        None
    }

    /// Continues after an interruption: with the hedged attempt if there is one, otherwise by
    /// resuming the stream. Returns a reason if forwarding must end.
    async fn recover(
        &mut self,
        current: &mut ForwardedAttempt,
        error: AttemptError,
        resumes: &mut u32,
    ) -> Option<ForwardEnd> {
        if let Some(hedge) = &mut current.hedge {
            return match hedge.caught_up().await {
                Ok(caught_up) => self.switch_to_hedge(current, caught_up).await,
                Err(hedge_error) => {
                    self.hedge_failed(current, &hedge_error).await;
                    Some(ForwardEnd::Lost(error))
                }
            };
        }
        *resumes += 1;
        if *resumes > MAX_RESUMES {
            return Some(ForwardEnd::Lost(error));
        }
        match self.resume_stream(&current.dispatch, &current.stream).await {
            Some(new_stream) => {
                *current.stream = new_stream;
                None
            }
            None => Some(ForwardEnd::Lost(error)),
        }
    }

    fn start_hedge(&self, current: &mut ForwardedAttempt, dispatch: Dispatch) {
        let opening = self.attempts.open(dispatch.clone());
        current.hedge = Some(HedgedAttempt::new(dispatch, opening, self.sent_bytes));
    }

    async fn hedge_failed(&self, current: &mut ForwardedAttempt, error: &AttemptError) {
        if let Some(hedge) = current.hedge.take() {
            let result = failed_result(error, 0.0, None);
            self.attempts.report_result(hedge.dispatch(), result).await;
        }
    }

    /// Continues with the hedged attempt that caught up, and cancels the slow attempt. Ignores a
    /// hedged attempt whose response differs. Returns a reason if forwarding must end.
    async fn switch_to_hedge(
        &mut self,
        current: &mut ForwardedAttempt,
        caught_up: CaughtUp,
    ) -> Option<ForwardEnd> {
        let hedge = current.hedge.take()?;
        let Some(text) = caught_up.text_after(self.sent_bytes, &self.sent_digest) else {
            let error = AttemptError::Interrupted {
                offset: self.sent_bytes,
                cause: InterruptCause::Malformed,
            };
            let result = failed_result(&error, 0.0, None);
            self.attempts.report_result(hedge.dispatch(), result).await;
            return None;
        };
        let text = text.to_owned();
        let overtaken = std::mem::replace(&mut current.dispatch, hedge.dispatch().clone());
        let overtaken_stream = current.stream.stream().clone();
        let result = AttemptResult::Interrupted {
            units: units(current.tokens),
            detail: "a hedged attempt caught up and replaced this attempt".into(),
            connection_lost: false,
            incarnation: None,
        };
        self.attempts.report_result(&overtaken, result).await;
        self.cancel(&overtaken, overtaken_stream);
        current.stream = caught_up.stream;
        current.tokens = caught_up.tokens;
        current.sent_prefix = SentPrefixFilter::new(0);
        if self.send_start(current).await.is_err() || self.send_text(&text).await.is_err() {
            return Some(ForwardEnd::CallerGone);
        }
        None
    }

    /// Cancels a stream that is no longer read, without waiting for the result.
    fn cancel(&self, dispatch: &Dispatch, stream: StreamId) {
        let shared = self.shared.clone();
        let address = dispatch.address;
        smol::spawn(async move {
            let _ = shared.endpoints.cancel_stream(address, &stream).await;
        })
        .detach();
    }

    async fn send_start(
        &self,
        current: &ForwardedAttempt,
    ) -> Result<(), async_channel::SendError<Vec<u8>>> {
        let ForwardedAttempt {
            dispatch, stream, ..
        } = current;
        let token = ResumeToken {
            endpoint: dispatch.endpoint.clone(),
            stream: stream.stream().0.clone(),
            attempt: dispatch.attempt.clone(),
            request: self.caller.new_request.request,
            customer: self.caller.new_request.customer.clone(),
        };
        let token = token.encode(&self.shared.fleet_key);
        let start = sse::start(&self.caller.new_request.request, &token);
        self.chunks.send(start).await
    }

    async fn send_text(&mut self, text: &str) -> Result<(), async_channel::SendError<Vec<u8>>> {
        let event = sse::text_chunk(self.sent_bytes, text);
        self.sent_bytes += text.len() as u64;
        self.sent_digest.update(text.as_bytes());
        self.chunks.send(event).await
    }

    async fn report_progress(&mut self, dispatch: &Dispatch, tokens: u64) {
        let now = self.shared.clock.now();
        if now.since_ms(self.last_progress.steady_ms) < PROGRESS_INTERVAL_MS {
            return;
        }
        self.last_progress = now;
        self.shared
            .send_input(Input::AttemptProgress {
                attempt: dispatch.attempt.clone(),
                units: units(tokens),
            })
            .await;
    }

    /// Resumes a stream at its current offset. Returns `None` if the endpoint refuses or does not
    /// respond within the timeout.
    async fn resume_stream(
        &self,
        dispatch: &Dispatch,
        stream: &FrameStream,
    ) -> Option<FrameStream> {
        smol::Timer::after(RESUME_DELAY).await;
        let resuming = self.shared.endpoints.resume_stream(
            dispatch.address,
            stream.stream(),
            &dispatch.attempt,
            stream.offset(),
        );
        let timeout_at_ms = self.shared.clock.now().steady_ms + RESUME_TIMEOUT_MS;
        with_deadline(&self.shared, timeout_at_ms, resuming)
            .await?
            .ok()
    }

    async fn complete(&self, current: &ForwardedAttempt) -> ForwardResult {
        let result = AttemptResult::Completed {
            units: units(current.stream.finished().unwrap_or_default()),
            stored_response: None,
        };
        self.attempts.report_result(&current.dispatch, result).await;
        self.send_last(sse::done(self.sent_bytes)).await;
        ForwardResult::Complete
    }

    async fn attempt_lost(
        &self,
        current: &ForwardedAttempt,
        error: &AttemptError,
    ) -> ForwardResult {
        let incarnation = current.stream.incarnation();
        let result = failed_result(error, units(current.tokens), Some(incarnation));
        self.attempts.report_result(&current.dispatch, result).await;
        ForwardResult::Lost
    }

    async fn caller_gone(&self, current: &ForwardedAttempt) -> ForwardResult {
        let result = AttemptResult::CallerGone {
            units: units(current.tokens),
        };
        self.attempts.report_result(&current.dispatch, result).await;
        ForwardResult::Ended
    }

    /// Ends a response whose caller's deadline has passed.
    async fn deadline_passed(&self, current: &ForwardedAttempt) -> ForwardResult {
        let result = AttemptResult::CallerGone {
            units: units(current.tokens),
        };
        self.attempts.report_result(&current.dispatch, result).await;
        self.cancel(&current.dispatch, current.stream.stream().clone());
        let detail = "the deadline passed while the response was being streamed";
        let refusal = Refusal::unknown(RefusalReason::DeadlinePassed, detail);
        self.send_last(sse::error(&refusal)).await;
        ForwardResult::Ended
    }

    /// Ends a response because a retry does not start with the bytes already sent to the caller.
    async fn response_differs(&self, current: &ForwardedAttempt) -> ForwardResult {
        let result = AttemptResult::CallerGone {
            units: units(current.tokens),
        };
        self.attempts.report_result(&current.dispatch, result).await;
        let detail = "the response was interrupted and the retry produced a different response";
        let refusal = Refusal::unknown(RefusalReason::AttemptLost, detail);
        self.send_last(sse::error(&refusal)).await;
        ForwardResult::Ended
    }
}

/// The cost of generated tokens in units of the pool: one unit for each token.
#[allow(clippy::cast_precision_loss)]
fn units(tokens: u64) -> f64 {
    tokens as f64
}
