//! Reads the bodies of requests.

use std::rc::Rc;

use bytes::Bytes;
use curranttrestle::state::gateway::RequestHints;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};

use super::answer::OwnAnswer;
use super::exchange::BodyMemory;
use crate::gateway::Gateway;
use crate::timer::within;

/// Reads the whole body of a request, within the limits of clients and of memory.
///
/// # Errors
///
/// The answer for the client when it is too large, too slow or cannot be read.
pub async fn read_body(
    gateway: &Rc<Gateway>,
    headers: &HeaderMap,
    body: Incoming,
    hints: &RequestHints,
) -> Result<(Bytes, BodyMemory), OwnAnswer> {
    let limits = gateway.control.borrow().client_limits();
    let too_large = || OwnAnswer::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large");
    let no_memory = || {
        let retry_ms = gateway.settings.traffic.stale_retry_ms;
        OwnAnswer::refused("body-memory", retry_ms)
    };
    let declared = headers.get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limits.body_bytes) {
        discard(body).await;
        return Err(too_large());
    }
    let reserved = declared.unwrap_or_default();
    let memory = BodyMemory::take(gateway, reserved).ok_or_else(no_memory)?;
    let wait_ms = hints.deadline_ms.unwrap_or(limits.idle_timeout_ms);
    let collect = Limited::new(body, limits.body_bytes).collect();
    match within(wait_ms, collect).await {
        Some(Ok(body)) => {
            let body = body.to_bytes();
            if declared.is_some() {
                return Ok((body, memory));
            }
            drop(memory);
            let memory = BodyMemory::take(gateway, body.len()).ok_or_else(no_memory)?;
            Ok((body, memory))
        }
        Some(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Some(Err(error)) => {
            log::debug!("kind=body-unreadable error={error:?}");
            Err(OwnAnswer::new(StatusCode::BAD_REQUEST, "unreadable-body"))
        }
        None => Err(OwnAnswer::new(StatusCode::REQUEST_TIMEOUT, "body-too-slow")),
    }
}

/// How long the rest of a body that is too large is read.
const DISCARD_MS: u64 = 1_000;

/// Reads a body to its end for a while. A connection that is closed with unread bytes is
/// reset, and the client would not see the answer.
async fn discard(mut body: Incoming) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // However far it came, the answer follows.
    let _ = within(DISCARD_MS, read).await;
}
