//! Forwards a stream of events as they arrive, and resumes it at another endpoint if the route
//! allows that.

use bytes::Bytes;
use curranttrestle::coordination::gateway::control::Placement;
use curranttrestle::coordination::gateway::outlier_detection::FailureKind;
use curranttrestle::coordination::gateway::placement::Choice;
use curranttrestle::state::EndpointId;
use futures_lite::FutureExt;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use super::attempt::{self, ResponseHead};
use super::event_order::EventOrder;
use super::events::EventSplitter;
use super::exchange::Exchange;
use super::held::{HeldMemory, MEMORY_WAIT_MS};
use super::record::RequestRecord;
use super::response::{BodyAborted, ResponseBody};
use super::silent_stream::{MoveResult, ask_to_resume};
use crate::clock;
use crate::memory::MemoryKind;
use crate::timer::sleep_ms;

/// A part of a stream of this size has waited for the client to read, or belongs to a stream that
/// fills the buffers anyway. Events of ordinary streams are much smaller.
const BACKLOG_PART_BYTES: usize = 8_192;

/// A stream that is being forwarded to the client.
pub struct EventStream {
    exchange: Exchange,
    head: Option<ResponseHead>,
    splitter: EventSplitter,
    order: EventOrder,
    has_events: bool,
    /// When events last arrived, by the steady clock.
    last_event_ms: u64,
    /// Start of the idle timeout: when events last arrived or the timeout was last extended.
    idle_since_ms: u64,
    /// The predicted time to the first event of the current attempt.
    predicted_ms: f64,
    record: RequestRecord,
    /// What an endpoint sent while another one was asked to resume the stream.
    received: Option<ReceiveResult>,
    /// Memory of a stream that arrives faster than the client reads it.
    backlog: Option<HeldMemory>,
    is_done: bool,
}

/// The result of waiting for the next part of a stream.
pub enum ReceiveResult {
    /// Bytes of events.
    Data(Bytes),
    /// Complete events.
    Events(Bytes),
    /// The response ended.
    Ended,
    /// The endpoint failed.
    Failed(FailureKind),
    /// The time of the request is over.
    DeadlineReached,
}

impl EventStream {
    /// Starts to forward the stream whose head has arrived.
    #[must_use]
    pub fn new(
        exchange: Exchange,
        head: ResponseHead,
        predicted_ms: f64,
        record: RequestRecord,
    ) -> Self {
        Self {
            order: EventOrder::after(exchange.hints.last_event_id),
            exchange,
            head: Some(head),
            splitter: EventSplitter::default(),
            has_events: false,
            last_event_ms: clock::now().steady_ms,
            idle_since_ms: clock::now().steady_ms,
            predicted_ms,
            record,
            received: None,
            backlog: None,
            is_done: false,
        }
    }

    /// Returns the body of the response.
    #[must_use]
    pub fn into_body(self) -> ResponseBody {
        let frames = stream::unfold(self, |mut event_stream| async move {
            let frame = event_stream.next_frame().await?;
            Some((frame.map(Frame::data), event_stream))
        });
        Box::pin(StreamBody::new(frames))
    }

    async fn next_frame(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        if self.is_done {
            return None;
        }
        loop {
            let received = self.receive().await;
            if let ReceiveResult::Data(bytes) = &received
                && bytes.len() >= BACKLOG_PART_BYTES
            {
                self.hold_backlog().await;
            }
            let failed = match received {
                ReceiveResult::Data(bytes) => match self.splitter.push(bytes) {
                    Some(events) if events.is_empty() => continue,
                    Some(events) => match self.filter_events(events) {
                        Some(bytes) => return Some(Ok(bytes)),
                        None => continue,
                    },
                    None => FailureKind::Malformed,
                },
                ReceiveResult::Events(events) => match self.filter_events(events) {
                    Some(bytes) => return Some(Ok(bytes)),
                    None => continue,
                },
                ReceiveResult::Ended if self.is_complete().await => {
                    self.complete();
                    return None;
                }
                ReceiveResult::Ended => FailureKind::ConnectionLost,
                ReceiveResult::Failed(FailureKind::TimedOut) if !self.try_move() => {
                    self.idle_since_ms = clock::now().steady_ms;
                    continue;
                }
                ReceiveResult::Failed(FailureKind::TimedOut) => match self.move_silent().await {
                    Ok(()) => continue,
                    Err(aborted) => return Some(Err(aborted)),
                },
                ReceiveResult::Failed(kind) => kind,
                ReceiveResult::DeadlineReached => return Some(Err(self.abort("time-limit"))),
            };
            if let Err(aborted) = self.resume(failed).await {
                return Some(Err(aborted));
            }
        }
    }

    /// Waits for data, the end of the stream, the idle timeout or the deadline.
    async fn receive(&mut self) -> ReceiveResult {
        if let Some(received) = self.received.take() {
            return received;
        }
        let now = clock::now();
        let idle_ms = self.idle_timeout_ms();
        let limit_ms = self.exchange.remaining_ms(now);
        let wait_ms = idle_ms.map_or(limit_ms, |idle_ms| {
            (self.idle_since_ms + idle_ms)
                .saturating_sub(now.steady_ms)
                .min(limit_ms)
        });
        let Some(head) = self.head.as_mut() else {
            return ReceiveResult::Failed(FailureKind::ConnectionLost);
        };
        let timeout = async {
            let due_ms = now.steady_ms.saturating_add(wait_ms);
            self.exchange.wait_for_timeout(due_ms).await;
            None
        };
        let received = async { Some(receive_from(head).await) }.or(timeout);
        match received.await {
            Some(received) => received,
            None if wait_ms >= limit_ms => ReceiveResult::DeadlineReached,
            None => ReceiveResult::Failed(FailureKind::TimedOut),
        }
    }

    /// Takes memory for the buffers of the stream. While there is none, the endpoint has to wait.
    async fn hold_backlog(&mut self) {
        let gateway = &self.exchange.gateway;
        let bytes = gateway.settings.memory.stream_backlog_bytes;
        while self.backlog.is_none() && self.exchange.remaining_ms(clock::now()) > 0 {
            self.backlog = HeldMemory::try_take(gateway, MemoryKind::Responses, bytes);
            if self.backlog.is_none() {
                sleep_ms(MEMORY_WAIT_MS).await;
            }
        }
    }

    /// Whether the stream may move to another endpoint now. If so, takes a retry from the
    /// budget.
    fn try_move(&self) -> bool {
        let exchange = &self.exchange;
        self.head
            .as_ref()
            .is_some_and(|head| exchange.try_move(&head.guard.endpoint, true, clock::now()))
    }

    /// How long the stream may be idle; `None` if it may not be resumed at another endpoint.
    fn idle_timeout_ms(&self) -> Option<u64> {
        let exchange = &self.exchange;
        let may_resume = exchange.route.retry_policy.allows_rerun()
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
            (options.timeout_pause_factor * exchange.route.max_pause_ms as f64) as u64
        } else {
            exchange.first_event_timeout_ms(self.predicted_ms)
        };
        Some(limit_ms.max(options.min_stream_timeout_ms))
    }

    /// Returns the events that the client gets, or `None` if there are none. At a gap, the endpoint counts
    /// as failed next.
    fn filter_events(&mut self, events: Bytes) -> Option<Bytes> {
        let strain = &self.exchange.gateway.strain;
        strain.borrow_mut().work.forwarded_parts += 1;
        let now = clock::now();
        if let Some(head) = &self.head {
            head.guard.record_first_event(now);
        }
        self.idle_since_ms = now.steady_ms;
        let events = self.put_in_order(events);
        if events.is_empty() {
            return None;
        }
        if self.has_events {
            self.record.record_pause(now.since_ms(self.last_event_ms));
        } else {
            self.has_events = true;
            self.exchange.record_begun(now);
            if let Some(head) = &self.head {
                self.exchange.record_version(head.guard.version(), now);
            }
            self.record.record_first_event(now);
        }
        self.last_event_ms = now.steady_ms;
        Some(events)
    }

    /// Returns the new events up to the first gap.
    fn put_in_order(&mut self, events: Bytes) -> Bytes {
        if !self.exchange.route.retry_policy.is_stream() {
            // Only streams promise anything about their ids.
            return events;
        }
        let last_id = self.order.last_id();
        let accepted = self.order.accept(&events);
        if accepted.repeated > 0 || accepted.gap_before.is_some() {
            log::warn!(
                "kind=events-out-of-order id={} last={last_id:?} repeated={} gap_before={:?}",
                self.exchange.hints.attempt_id,
                accepted.repeated,
                accepted.gap_before
            );
        }
        if accepted.gap_before.is_some() {
            self.received = Some(ReceiveResult::Failed(FailureKind::Malformed));
        }
        accepted.bytes
    }

    /// Whether the response of the endpoint, which ended, is complete.
    async fn is_complete(&self) -> bool {
        match &self.head {
            Some(head) if !self.splitter.has_partial() => {
                head.framing.is_complete(&self.exchange, &head.guard).await
            }
            _ => false,
        }
    }

    fn complete(&mut self) {
        self.is_done = true;
        let now = clock::now();
        if let Some(head) = self.head.take() {
            self.exchange.record_success(&head.guard.endpoint, now);
            self.exchange.return_connection(head.connection);
        }
        self.record.finish("answered", "complete", now);
    }

    fn abort(&mut self, reason: &'static str) -> BodyAborted {
        self.is_done = true;
        self.head = None;
        self.record.finish("cut", reason, clock::now());
        BodyAborted(reason)
    }

    /// Asks another endpoint to resume the stream of a silent one. The silent one keeps the stream if
    /// the other one refuses or fails, or if it sends an event before the other one responds.
    async fn move_silent(&mut self) -> Result<(), BodyAborted> {
        let Some(silent) = self.head.take() else {
            return Err(self.abort("not-resumed"));
        };
        let now = clock::now();
        let from = silent.guard.endpoint.clone();
        self.exchange
            .record_failure(&from, FailureKind::TimedOut, now);
        self.exchange.excluded.push(from.clone());
        self.idle_since_ms = now.steady_ms;
        let Placement::Send(choice) = self.exchange.place(true, now) else {
            self.head = Some(silent);
            return Ok(());
        };
        if !self.exchange.try_retry(now) {
            self.head = Some(silent);
            return Ok(());
        }
        self.exchange
            .log_retry(FailureKind::TimedOut.as_str(), &from);
        let result = ask_to_resume(
            &self.exchange,
            &choice,
            self.order.last_id(),
            silent,
            &mut self.splitter,
        )
        .await;
        let now = clock::now();
        match result {
            MoveResult::Moved(head) => {
                self.record.record_placement(&choice);
                self.predicted_ms = choice.predicted_ms;
                self.splitter.discard_partial();
                self.head = Some(head);
                self.last_event_ms = now.steady_ms;
                self.idle_since_ms = now.steady_ms;
                Ok(())
            }
            MoveResult::Kept(head, received) => {
                let id = &self.exchange.hints.attempt_id;
                log::info!("kind=stream-kept id={id} endpoint={from}");
                self.head = Some(head);
                self.received = received;
                self.idle_since_ms = now.steady_ms;
                Ok(())
            }
            MoveResult::Failed(kind) => {
                self.splitter.discard_partial();
                self.resume_after(choice.entry.endpoint, kind).await
            }
        }
    }

    /// Resumes at another endpoint after the last forwarded event.
    async fn resume(&mut self, failed: FailureKind) -> Result<(), BodyAborted> {
        let Some(head) = self.head.take() else {
            return Err(self.abort("not-resumed"));
        };
        let from = head.guard.endpoint.clone();
        if failed == FailureKind::ConnectionLost && self.order.last_id().is_none() {
            self.exchange.record_crash(head.guard.run(), clock::now());
        }
        // The connection is closed before another endpoint resumes the stream.
        drop(head);
        self.splitter.discard_partial();
        self.resume_after(from, failed).await
    }

    /// Resumes at another endpoint after the attempt at `from` failed and its connection was closed.
    async fn resume_after(
        &mut self,
        mut from: EndpointId,
        mut failed: FailureKind,
    ) -> Result<(), BodyAborted> {
        loop {
            let now = clock::now();
            self.exchange.record_failure(&from, failed, now);
            self.exchange.excluded.push(from.clone());
            let may_run_again = self.exchange.route.retry_policy.allows_rerun();
            if !may_run_again || self.exchange.refusal_reason(now).is_some() {
                return Err(self.abort(failed.as_str()));
            }
            let Placement::Send(choice) = self.exchange.place(true, now) else {
                return Err(self.abort(failed.as_str()));
            };
            if !self.exchange.try_retry(now) {
                return Err(self.abort(failed.as_str()));
            }
            self.exchange.log_retry(failed.as_str(), &from);
            match self.reopen(&choice).await {
                Ok(head) => {
                    self.head = Some(head);
                    self.last_event_ms = clock::now().steady_ms;
                    self.idle_since_ms = self.last_event_ms;
                    return Ok(());
                }
                Err(kind) => failed = kind,
            }
            from = choice.entry.endpoint;
        }
    }

    /// Opens the stream at another endpoint.
    async fn reopen(&mut self, choice: &Choice) -> Result<ResponseHead, FailureKind> {
        self.record.record_placement(choice);
        self.predicted_ms = choice.predicted_ms;
        let deadline_ms = self.exchange.deadline_steady_ms;
        let sent = attempt::send(
            &self.exchange,
            choice,
            true,
            self.order.last_id(),
            deadline_ms,
        )
        .await;
        let head = sent.map_err(|failure| failure.kind)?;
        if head.response.status().is_success() {
            Ok(head)
        } else {
            Err(FailureKind::Failed)
        }
    }
}

/// Waits for data from an endpoint or for the end of its response.
pub async fn receive_from(head: &mut ResponseHead) -> ReceiveResult {
    match head.response.body_mut().frame().await {
        None => ReceiveResult::Ended,
        Some(Ok(frame)) => ReceiveResult::Data(frame.into_data().unwrap_or_default()),
        Some(Err(error)) => {
            log::debug!("kind=stream-failed error={error:?}");
            ReceiveResult::Failed(FailureKind::ConnectionLost)
        }
    }
}
