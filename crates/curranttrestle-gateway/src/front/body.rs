//! Reads the bodies of requests.

use std::rc::Rc;

use bytes::Bytes;
use curranttrestle::state::gateway::RequestHints;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};

use super::exchange::BodyMemory;
use super::response::LocalResponse;
use crate::gateway::Gateway;
use crate::timer::with_timeout;

/// Reads the whole body of a request, within the client limits and the memory for bodies.
///
/// # Errors
///
/// The response for the client if the body is too large, too slow or unreadable.
pub async fn read_body(
    gateway: &Rc<Gateway>,
    headers: &HeaderMap,
    body: Incoming,
    hints: &RequestHints,
) -> Result<(Bytes, BodyMemory), LocalResponse> {
    let limits = gateway.control.borrow().client_limits();
    let too_large = || LocalResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large");
    let no_memory = || {
        let retry_ms = gateway.settings.traffic.refusal_retry_after_ms;
        LocalResponse::refused("body-memory", retry_ms)
    };
    let declared = headers.get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limits.body_bytes) {
        discard(body).await;
        return Err(too_large());
    }
    let reserved = declared.unwrap_or_default();
    let memory = BodyMemory::reserve(gateway, reserved).ok_or_else(no_memory)?;
    let wait_ms = hints.deadline_ms.unwrap_or(limits.idle_timeout_ms);
    let collect = Limited::new(body, limits.body_bytes).collect();
    match with_timeout(wait_ms, collect).await {
        Some(Ok(body)) => {
            let body = body.to_bytes();
            if declared.is_some() {
                return Ok((body, memory));
            }
            drop(memory);
            let memory = BodyMemory::reserve(gateway, body.len()).ok_or_else(no_memory)?;
            Ok((body, memory))
        }
        Some(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Some(Err(error)) => {
            log::debug!("kind=body-unreadable error={error:?}");
            Err(LocalResponse::new(
                StatusCode::BAD_REQUEST,
                "unreadable-body",
            ))
        }
        None => Err(LocalResponse::new(
            StatusCode::REQUEST_TIMEOUT,
            "body-too-slow",
        )),
    }
}

/// How long the rest of a body that is too large is read.
const DISCARD_TIMEOUT_MS: u64 = 1_000;

/// Reads and discards a body for a limited time. Closing a connection with unread bytes resets it,
/// and the client would not see the response.
pub async fn discard(mut body: Incoming) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // The response is sent whether or not the whole body was read.
    let _ = with_timeout(DISCARD_TIMEOUT_MS, read).await;
}
