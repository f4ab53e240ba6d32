//! Moves the stream of a silent endpoint to another one, unless the silent one sends an event first.

use curranttrestle::coordination::gateway::outlier_detection::FailureKind;
use curranttrestle::coordination::gateway::placement::Choice;
use futures_lite::FutureExt;

use super::attempt::{self, Failure, ResponseHead};
use super::event_stream::{ReceiveResult, receive_from};
use super::events::EventSplitter;
use super::exchange::Exchange;
use crate::clock;
use crate::timer::sleep_ms;

/// How long a silent endpoint keeps a stream while another one may refuse it. Engines refuse at once;
/// a stream must not run at two of them for longer than some hundred milliseconds.
const MAX_OVERLAP_MS: u64 = 150;

/// Interval for checking whether the request was sent to the other endpoint.
const SENT_CHECK_INTERVAL_MS: u64 = 10;

/// What happened first while another endpoint was asked to resume the stream of a silent one.
enum MoveEvent {
    /// The other endpoint responded or failed.
    Responded(Box<Result<ResponseHead, Failure>>),
    /// The silent endpoint sent events, or its response ended.
    Received(ReceiveResult),
    /// Neither within [`MAX_OVERLAP_MS`] after the request was sent.
    Timeout,
}

/// The result of asking another endpoint to resume the stream of a silent one.
pub enum MoveResult {
    /// The other endpoint resumed it.
    Moved(ResponseHead),
    /// The silent endpoint keeps it, with what it sent.
    Kept(ResponseHead, Option<ReceiveResult>),
    /// The other endpoint failed after the connection to the silent one was closed.
    Failed(FailureKind),
}

/// Waits for a complete event from an endpoint or for the end of its response. Parts of an event do
/// not count, since an endpoint may send them without end.
async fn receive_events(head: &mut ResponseHead, splitter: &mut EventSplitter) -> ReceiveResult {
    loop {
        match receive_from(head).await {
            ReceiveResult::Data(bytes) => match splitter.push(bytes) {
                Some(events) if events.is_empty() => {}
                Some(events) => return ReceiveResult::Events(events),
                None => return ReceiveResult::Failed(FailureKind::Malformed),
            },
            received => return received,
        }
    }
}

/// Sends the request to the chosen endpoint and keeps `silent` until that one has had time to refuse.
pub async fn ask_to_resume(
    exchange: &Exchange,
    choice: &Choice,
    last_event_id: Option<u64>,
    mut silent: ResponseHead,
    splitter: &mut EventSplitter,
) -> MoveResult {
    let deadline_ms = exchange.deadline_steady_ms;
    let sending = attempt::send(exchange, choice, true, last_event_id, deadline_ms);
    let mut sending = std::pin::pin!(sending);
    let responded = async { MoveEvent::Responded(Box::new(sending.as_mut().await)) };
    let received = async { MoveEvent::Received(receive_events(&mut silent, splitter).await) };
    let sends = exchange.sends.get();
    let timeout = async {
        // Connecting and identifying the process take time in which the silent endpoint keeps the stream.
        while exchange.sends.get() == sends {
            sleep_ms(SENT_CHECK_INTERVAL_MS).await;
        }
        sleep_ms(MAX_OVERLAP_MS).await;
        MoveEvent::Timeout
    };
    let sent = match responded.or(received).or(timeout).await {
        MoveEvent::Responded(response) => match *response {
            Ok(head) if head.response.status().is_success() => Ok(head),
            response => {
                let kind = response.map_or_else(|failure| failure.kind, |_| FailureKind::Failed);
                exchange.record_failure(&choice.entry.endpoint, kind, clock::now());
                return MoveResult::Kept(silent, None);
            }
        },
        MoveEvent::Received(ReceiveResult::Failed(_)) | MoveEvent::Timeout => {
            drop(silent);
            sending.await
        }
        MoveEvent::Received(received) => return MoveResult::Kept(silent, Some(received)),
    };
    match sent {
        Ok(head) if head.response.status().is_success() => MoveResult::Moved(head),
        Ok(_) => MoveResult::Failed(FailureKind::Failed),
        Err(failure) => MoveResult::Failed(failure.kind),
    }
}
