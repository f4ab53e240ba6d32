//! Passes a stream of events on as they come, and goes on at another endpoint where the
//! stream may be resumed.

use bytes::Bytes;
use curranttrestle::coordination::gateway::control::Placement;
use curranttrestle::coordination::gateway::placement::Choice;
use curranttrestle::coordination::gateway::trust::FailureKind;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::answer::{AnswerBody, BrokenOff};
use super::attempt::{self, Head};
use super::ending::Ending;
use super::events::{EventCutter, Events};
use super::exchange::Exchange;
use crate::clock;
use crate::timer::within;

/// A stream on its way to the client.
pub struct Relay {
    exchange: Exchange,
    head: Option<Head>,
    cutter: EventCutter,
    /// The last event that was passed on.
    last_event_id: Option<u64>,
    has_events: bool,
    /// When the endpoint was heard last.
    heard_ms: u64,
    /// Since when its silence counts: when it was heard last, or was given more time.
    silent_since_ms: u64,
    /// The predicted time to the first event of the present attempt.
    predicted_ms: f64,
    ending: Ending,
    is_over: bool,
}

/// What came next on a stream.
enum Next {
    Data(Bytes),
    Complete,
    Failed(FailureKind),
    TimeUp,
}

impl Relay {
    /// Passes on the stream whose head came.
    #[must_use]
    pub fn new(exchange: Exchange, head: Head, predicted_ms: f64, ending: Ending) -> Self {
        Self {
            last_event_id: exchange.hints.last_event_id,
            exchange,
            head: Some(head),
            cutter: EventCutter::default(),
            has_events: false,
            heard_ms: clock::now().steady_ms,
            silent_since_ms: clock::now().steady_ms,
            predicted_ms,
            ending,
            is_over: false,
        }
    }

    /// The body of the answer.
    #[must_use]
    pub fn into_body(self) -> AnswerBody {
        let frames = stream::unfold(self, |mut relay| async move {
            let frame = relay.next_frame().await?;
            Some((frame.map(Frame::data), relay))
        });
        Box::pin(StreamBody::new(frames))
    }

    async fn next_frame(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        if self.is_over {
            return None;
        }
        loop {
            let failed = match self.receive().await {
                Next::Data(bytes) => match self.cutter.push(bytes) {
                    Some(events) if events.bytes.is_empty() => continue,
                    Some(events) => match self.pass_on(events) {
                        Some(bytes) => return Some(Ok(bytes)),
                        None => continue,
                    },
                    None => FailureKind::Garbled,
                },
                Next::Complete if !self.cutter.has_part() => {
                    self.complete();
                    return None;
                }
                Next::Complete => FailureKind::Broken,
                Next::Failed(FailureKind::Silent) if !self.may_move() => {
                    self.silent_since_ms = clock::now().steady_ms;
                    continue;
                }
                Next::Failed(kind) => kind,
                Next::TimeUp => return Some(Err(self.break_off("time-limit"))),
            };
            if let Err(broken) = self.resume(failed).await {
                return Some(Err(broken));
            }
        }
    }

    /// Waits for bytes, the end, silence or the time limit.
    async fn receive(&mut self) -> Next {
        let now = clock::now();
        let silent_ms = self.silent_limit_ms();
        let limit_ms = self.exchange.left_ms(now);
        let wait_ms = silent_ms.map_or(limit_ms, |silent_ms| {
            (self.silent_since_ms + silent_ms)
                .saturating_sub(now.steady_ms)
                .min(limit_ms)
        });
        let Some(head) = self.head.as_mut() else {
            return Next::Failed(FailureKind::Broken);
        };
        let body = head.response.body_mut();
        let next = match within(wait_ms, body.frame()).await {
            Some(None) => Next::Complete,
            Some(Some(Ok(frame))) => Next::Data(frame.into_data().unwrap_or_default()),
            Some(Some(Err(error))) => {
                log::debug!("kind=stream-failed error={error:?}");
                Next::Failed(FailureKind::Broken)
            }
            None if wait_ms >= limit_ms => Next::TimeUp,
            None => Next::Failed(FailureKind::Silent),
        };
        if matches!(next, Next::Data(_)) {
            let now = clock::now();
            if self.has_events {
                self.ending.paused(now.since_ms(self.heard_ms));
            }
            self.heard_ms = now.steady_ms;
            self.silent_since_ms = now.steady_ms;
        }
        next
    }

    /// Whether another endpoint would go on with the stream.
    fn may_move(&self) -> bool {
        let exchange = &self.exchange;
        let sends = exchange.sends.get();
        self.head
            .as_ref()
            .is_some_and(|head| exchange.may_move(&head.guard.endpoint, sends, true, clock::now()))
    }

    /// How long an endpoint may say nothing; no limit where nobody else may go on.
    fn silent_limit_ms(&self) -> Option<u64> {
        let exchange = &self.exchange;
        let may_resume = exchange.route.repeat.may_run_again()
            && exchange.sends.get() < exchange.route.max_attempts;
        if !may_resume {
            return None;
        }
        let options = &exchange.gateway.settings.traffic;
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive duration far below 2^52"
        )]
        let limit_ms = if self.has_events {
            (options.silent_pauses * exchange.route.max_pause_ms as f64) as u64
        } else {
            exchange.silent_start_ms(self.predicted_ms)
        };
        Some(limit_ms.max(options.min_silent_ms))
    }

    /// Notes the ids of events; returns what the client gets. Events that it has already
    /// are dropped.
    fn pass_on(&mut self, events: Events) -> Option<Bytes> {
        let now = clock::now();
        if let Some(head) = &self.head {
            head.guard.first_event(now);
        }
        if !self.has_events {
            self.has_events = true;
            self.ending.first_event(now);
        }
        let is_repeated = events
            .ids
            .first()
            .zip(self.last_event_id)
            .is_some_and(|(first, last)| *first <= last);
        if is_repeated {
            log::warn!(
                "kind=events-out-of-order id={} last={:?} got={:?}",
                self.exchange.hints.attempt_id,
                self.last_event_id,
                events.ids
            );
            return None;
        }
        self.last_event_id = events.ids.last().copied().or(self.last_event_id);
        Some(events.bytes)
    }

    fn complete(&mut self) {
        self.is_over = true;
        let now = clock::now();
        if let Some(head) = self.head.take() {
            self.exchange.note_success(&head.guard.endpoint, now);
            self.exchange.release(head.connection);
        }
        self.ending.ended("answered", "complete", now);
    }

    fn break_off(&mut self, reason: &'static str) -> BrokenOff {
        self.is_over = true;
        self.head = None;
        self.ending.ended("cut", reason, clock::now());
        BrokenOff(reason)
    }

    /// Goes on at another endpoint after the last event that was passed on.
    async fn resume(&mut self, failed: FailureKind) -> Result<(), BrokenOff> {
        let Some(head) = self.head.take() else {
            return Err(self.break_off("not-resumed"));
        };
        let mut from = head.guard.endpoint.clone();
        // The connection is closed before anybody else goes on.
        drop(head);
        self.cutter.clear();
        let mut failed = failed;
        loop {
            let now = clock::now();
            self.exchange.note_failure(&from, failed, now);
            self.exchange.excluded.push(from.clone());
            let may_run_again = self.exchange.route.repeat.may_run_again();
            if !may_run_again || self.exchange.obstacle(now).is_some() {
                return Err(self.break_off(failed.as_str()));
            }
            let Placement::Send(choice) = self.exchange.place(true, now) else {
                return Err(self.break_off(failed.as_str()));
            };
            if !self.exchange.may_repeat(now) {
                return Err(self.break_off(failed.as_str()));
            }
            self.exchange.log_repeat(failed.as_str(), &from);
            match self.reopen(&choice).await {
                Ok(head) => {
                    self.head = Some(head);
                    self.heard_ms = clock::now().steady_ms;
                    self.silent_since_ms = self.heard_ms;
                    return Ok(());
                }
                Err(kind) => failed = kind,
            }
            from = choice.entry.endpoint;
        }
    }

    /// Opens the stream at another endpoint.
    async fn reopen(&mut self, choice: &Choice) -> Result<Head, FailureKind> {
        self.ending.placed(choice);
        self.predicted_ms = choice.predicted_ms;
        let limit_ms = self.exchange.limit_ms;
        let sent = attempt::send(&self.exchange, choice, true, self.last_event_id, limit_ms).await;
        let head = sent.map_err(|failure| failure.kind)?;
        if head.response.status().is_success() {
            Ok(head)
        } else {
            Err(FailureKind::Failed)
        }
    }
}
