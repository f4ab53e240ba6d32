//! Passes a streamed answer on to its caller.

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

use super::attempts::{Attempts, First, Opened, failed};
use super::body::{BodyReader, body_channel};
use super::deadline::until;
use super::replay::Replay;
use super::request::CallerRequest;
use super::rescue::{CaughtUp, Rescue};
use super::sse;
use crate::shared::Shared;

/// Time between two reports of an attempt's cost.
const PROGRESS_INTERVAL_MS: u64 = 200;
/// How often a broken stream is resumed on its own endpoint before another one is tried.
const RESUME_ATTEMPTS: u32 = 2;
/// Time between two such attempts.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// How long an engine may take to resume a stream before another one is tried.
const RESUME_TIMEOUT_MS: u64 = 2_000;

/// What the front answers with: a body to send, or a refusal.
pub type Head = Result<BodyReader, Refusal>;

/// One streamed answer on its way.
pub struct AnswerStream {
    shared: Arc<Shared>,
    caller: Arc<CallerRequest>,
    attempts: Attempts,
    chunks: Sender<Vec<u8>>,
    /// Bytes passed on to the caller.
    sent_bytes: u64,
    /// The digest of those bytes, which a new attempt must reproduce.
    sent_digest: Xxh3,
    last_progress: Now,
}

/// One attempt whose parts are passed on.
struct Passing {
    dispatch: Dispatch,
    replay: Replay,
    stream: Box<FrameStream>,
    /// The tokens that the attempt has made so far.
    tokens: u64,
    /// A second attempt that catches up because this one is slow.
    rescue: Option<Rescue>,
}

/// What happens next while an attempt is passed on.
enum Event {
    /// The attempt made another part, ended or broke off.
    Part(Result<Option<Chunk>, AttemptError>),
    /// The control thread ordered a second attempt.
    SecondAttempt(Dispatch),
    /// The second attempt caught up, or failed.
    Rescue(Result<CaughtUp, AttemptError>),
}

/// Why no more parts of an attempt are passed on.
enum PartsEnd {
    /// All of them were.
    Whole,
    /// The caller went away.
    CallerGone,
    /// The attempt does not begin with the bytes already passed on.
    Differs,
    /// The attempt broke off.
    Lost(AttemptError),
}

/// How the passing on of one attempt ended.
enum Passed {
    /// The whole answer was passed on.
    Whole,
    /// The caller is gone or was told of the end.
    Ended,
    /// The attempt was lost; another may follow.
    Lost,
}

/// Starts answering and returns the head once it is known.
pub async fn answer(
    shared: Arc<Shared>,
    caller: Arc<CallerRequest>,
    attempts: Attempts,
) -> Option<Head> {
    let (heads, head): (Sender<Head>, Receiver<Head>) = async_channel::bounded(1);
    let (chunks, reader) = body_channel();
    let answer = AnswerStream {
        last_progress: shared.clock.now(),
        shared,
        caller,
        attempts,
        chunks,
        sent_bytes: 0,
        sent_digest: Xxh3::new(),
    };
    smol::spawn(answer.run(heads, reader)).detach();
    head.recv().await.ok()
}

impl AnswerStream {
    async fn run(mut self, heads: Sender<Head>, reader: BodyReader) {
        let mut reader = Some(reader);
        loop {
            let first = self.attempts.first().await;
            let (dispatch, stream, chunk) = match first {
                First::Opened(dispatch, Opened::Stream(stream, chunk)) => (dispatch, stream, chunk),
                First::Refused(refusal) => {
                    self.refuse(refusal, &heads, reader.is_some()).await;
                    return;
                }
                First::Opened(..) | First::Replayed(_) => return,
            };
            if let Some(reader) = reader.take() {
                let _ = heads.send(Ok(reader)).await;
            }
            match self.pass_on(dispatch, stream, chunk).await {
                Passed::Whole | Passed::Ended => return,
                Passed::Lost => {}
            }
        }
    }

    async fn refuse(&self, refusal: Refusal, heads: &Sender<Head>, head_open: bool) {
        if head_open {
            let _ = heads.send(Err(refusal)).await;
        } else {
            self.send_last(sse::error(&refusal)).await;
        }
    }

    /// Sends the last event. A caller that does not read is not waited for without end: the
    /// server closes its connection.
    async fn send_last(&self, event: Vec<u8>) {
        let _ = self.chunks.send(event).await;
    }

    /// Passes on one attempt, at most until the caller's deadline.
    async fn pass_on(
        &mut self,
        dispatch: Dispatch,
        stream: Box<FrameStream>,
        first: Option<Chunk>,
    ) -> Passed {
        let shared = self.shared.clone();
        let deadline_ms = self.caller.new.deadline_ms;
        let mut passing = Passing {
            dispatch,
            replay: Replay::new(self.sent_bytes),
            stream,
            tokens: 0,
            rescue: None,
        };
        let parts = Box::pin(self.pass_parts(&mut passing, first));
        let end = until(&shared, deadline_ms, parts).await;
        match end {
            None => self.expired(&passing).await,
            Some(PartsEnd::Whole) => self.finish(&passing).await,
            Some(PartsEnd::CallerGone) => self.caller_gone(&passing).await,
            Some(PartsEnd::Differs) => self.differs(&passing).await,
            Some(PartsEnd::Lost(error)) => self.lost(&passing, &error).await,
        }
    }

    /// Passes on the parts of one attempt, or of one that overtakes it, until it ends.
    async fn pass_parts(&mut self, passing: &mut Passing, first: Option<Chunk>) -> PartsEnd {
        // The control thread learns of the first part at once.
        self.last_progress = Now::default();
        let mut resumes = 0;
        if self.send_start(passing).await.is_err() {
            return PartsEnd::CallerGone;
        }
        if let Some(chunk) = first
            && let Some(end) = self.pass_chunk(passing, &chunk).await
        {
            return end;
        }
        loop {
            match self.next_event(passing).await {
                Event::Part(Ok(Some(chunk))) => {
                    if let Some(end) = self.pass_chunk(passing, &chunk).await {
                        return end;
                    }
                }
                Event::Part(Ok(None)) => return PartsEnd::Whole,
                Event::Part(Err(error)) => {
                    if let Some(end) = self.mend(passing, error, &mut resumes).await {
                        return end;
                    }
                }
                Event::SecondAttempt(dispatch) => self.start_rescue(passing, dispatch),
                Event::Rescue(Ok(caught_up)) => {
                    if let Some(end) = self.change_over(passing, caught_up).await {
                        return end;
                    }
                }
                Event::Rescue(Err(error)) => self.rescue_failed(passing, &error).await,
            }
        }
    }

    async fn next_event(&self, passing: &mut Passing) -> Event {
        let stream = &mut passing.stream;
        let part = async { Event::Part(stream.next().await) };
        let Some(rescue) = &mut passing.rescue else {
            let second = async { Event::SecondAttempt(self.attempts.second_attempt().await) };
            return part.or(second).await;
        };
        let rescued = async { Event::Rescue(rescue.caught_up().await) };
        part.or(rescued).await
    }

    /// Passes on one part; says why nothing more can follow, if so.
    async fn pass_chunk(&mut self, passing: &mut Passing, chunk: &Chunk) -> Option<PartsEnd> {
        passing.tokens = chunk.tokens_total;
        let Some(text) = passing.replay.take_new(chunk, &self.sent_digest) else {
            return Some(PartsEnd::Differs);
        };
        if !text.is_empty() && self.send_part(text).await.is_err() {
            return Some(PartsEnd::CallerGone);
        }
        if let Some(rescue) = &passing.rescue {
            rescue.sent_to(self.sent_bytes);
        }
        self.report_progress(&passing.dispatch, passing.tokens)
            .await;
        None
    }

    /// Goes on after the attempt broke off: by its rescue, or by resuming it.
    async fn mend(
        &mut self,
        passing: &mut Passing,
        error: AttemptError,
        resumes: &mut u32,
    ) -> Option<PartsEnd> {
        if let Some(rescue) = &mut passing.rescue {
            return match rescue.caught_up().await {
                Ok(caught_up) => self.change_over(passing, caught_up).await,
                Err(rescue_error) => {
                    self.rescue_failed(passing, &rescue_error).await;
                    Some(PartsEnd::Lost(error))
                }
            };
        }
        *resumes += 1;
        if *resumes > RESUME_ATTEMPTS {
            return Some(PartsEnd::Lost(error));
        }
        match self.resume(&passing.dispatch, &passing.stream).await {
            Some(new_stream) => {
                *passing.stream = new_stream;
                None
            }
            None => Some(PartsEnd::Lost(error)),
        }
    }

    fn start_rescue(&self, passing: &mut Passing, dispatch: Dispatch) {
        let opening = self.attempts.open(dispatch.clone());
        passing.rescue = Some(Rescue::new(dispatch, opening, self.sent_bytes));
    }

    async fn rescue_failed(&self, passing: &mut Passing, error: &AttemptError) {
        if let Some(rescue) = passing.rescue.take() {
            let result = failed(error, 0.0, None);
            self.attempts.report(rescue.dispatch(), result).await;
        }
    }

    /// Goes on with the attempt that caught up, and ends the slow one.
    async fn change_over(
        &mut self,
        passing: &mut Passing,
        caught_up: CaughtUp,
    ) -> Option<PartsEnd> {
        let rescue = passing.rescue.take()?;
        let Some(text) = caught_up.text_after(self.sent_bytes, &self.sent_digest) else {
            let error = AttemptError::Interrupted {
                offset: self.sent_bytes,
                cause: InterruptCause::Malformed,
            };
            let result = failed(&error, 0.0, None);
            self.attempts.report(rescue.dispatch(), result).await;
            return None;
        };
        let text = text.to_owned();
        let overtaken = std::mem::replace(&mut passing.dispatch, rescue.dispatch().clone());
        let slow_stream = passing.stream.stream().clone();
        let result = AttemptResult::Interrupted {
            units: units(passing.tokens),
            detail: "a second attempt overtook it".into(),
            connection_lost: false,
            incarnation: None,
        };
        self.attempts.report(&overtaken, result).await;
        self.cancel(&overtaken, slow_stream);
        passing.stream = caught_up.stream;
        passing.tokens = caught_up.tokens;
        passing.replay = Replay::new(0);
        if self.send_start(passing).await.is_err() || self.send_part(&text).await.is_err() {
            return Some(PartsEnd::CallerGone);
        }
        None
    }

    /// Cancels a stream that nobody reads any more.
    fn cancel(&self, dispatch: &Dispatch, stream: StreamId) {
        let shared = self.shared.clone();
        let address = dispatch.address;
        smol::spawn(async move {
            let _ = shared.endpoints.cancel_stream(address, &stream).await;
        })
        .detach();
    }

    async fn send_start(&self, passing: &Passing) -> Result<(), async_channel::SendError<Vec<u8>>> {
        let Passing {
            dispatch, stream, ..
        } = passing;
        let token = ResumeToken {
            endpoint: dispatch.endpoint.clone(),
            stream: stream.stream().0.clone(),
            attempt: dispatch.attempt.clone(),
            request: self.caller.new.request,
            customer: self.caller.new.customer.clone(),
        };
        let token = token.encode(&self.shared.fleet_key);
        let start = sse::start(&self.caller.new.request, &token);
        self.chunks.send(start).await
    }

    async fn send_part(&mut self, text: &str) -> Result<(), async_channel::SendError<Vec<u8>>> {
        let part = sse::part(self.sent_bytes, text);
        self.sent_bytes += text.len() as u64;
        self.sent_digest.update(text.as_bytes());
        self.chunks.send(part).await
    }

    async fn report_progress(&mut self, dispatch: &Dispatch, tokens: u64) {
        let now = self.shared.clock.now();
        if now.since_ms(self.last_progress.steady_ms) < PROGRESS_INTERVAL_MS {
            return;
        }
        self.last_progress = now;
        self.shared
            .tell(Input::AttemptProgress {
                attempt: dispatch.attempt.clone(),
                units: units(tokens),
            })
            .await;
    }

    /// Opens the stream anew where it broke off; none when its engine does not answer.
    async fn resume(&self, dispatch: &Dispatch, stream: &FrameStream) -> Option<FrameStream> {
        smol::Timer::after(RESUME_PAUSE).await;
        let resuming = self.shared.endpoints.resume_stream(
            dispatch.address,
            stream.stream(),
            &dispatch.attempt,
            stream.offset(),
        );
        let give_up_ms = self.shared.clock.now().steady_ms + RESUME_TIMEOUT_MS;
        until(&self.shared, give_up_ms, resuming).await?.ok()
    }

    async fn finish(&self, passing: &Passing) -> Passed {
        let result = AttemptResult::Completed {
            units: units(passing.stream.finished().unwrap_or_default()),
            stored_response: None,
        };
        self.attempts.report(&passing.dispatch, result).await;
        self.send_last(sse::done(self.sent_bytes)).await;
        Passed::Whole
    }

    async fn lost(&self, passing: &Passing, error: &AttemptError) -> Passed {
        let incarnation = passing.stream.incarnation();
        let result = failed(error, units(passing.tokens), Some(incarnation));
        self.attempts.report(&passing.dispatch, result).await;
        Passed::Lost
    }

    async fn caller_gone(&self, passing: &Passing) -> Passed {
        let result = AttemptResult::CallerGone {
            units: units(passing.tokens),
        };
        self.attempts.report(&passing.dispatch, result).await;
        Passed::Ended
    }

    /// Ends an answer whose caller's deadline has passed.
    async fn expired(&self, passing: &Passing) -> Passed {
        let result = AttemptResult::CallerGone {
            units: units(passing.tokens),
        };
        self.attempts.report(&passing.dispatch, result).await;
        self.cancel(&passing.dispatch, passing.stream.stream().clone());
        let detail = "the deadline passed while the answer was streamed";
        let refusal = Refusal::unknown(RefusalReason::DeadlinePassed, detail);
        self.send_last(sse::error(&refusal)).await;
        Passed::Ended
    }

    /// Ends an answer whose new attempt does not begin with the bytes already passed on.
    async fn differs(&self, passing: &Passing) -> Passed {
        let result = AttemptResult::CallerGone {
            units: units(passing.tokens),
        };
        self.attempts.report(&passing.dispatch, result).await;
        let detail = "the answer broke off and a second attempt gave another one";
        let refusal = Refusal::unknown(RefusalReason::AttemptLost, detail);
        self.send_last(sse::error(&refusal)).await;
        Passed::Ended
    }
}

/// Tokens as units of a pool.
#[allow(clippy::cast_precision_loss)]
fn units(tokens: u64) -> f64 {
    tokens as f64
}
