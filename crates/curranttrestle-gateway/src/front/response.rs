//! Responses to clients.

use std::pin::Pin;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use thiserror::Error;

use super::headers::remove_hop_by_hop;

/// The body of a response ended early. The connection is closed so that the client notices.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("response ended early: {0}")]
pub struct BodyAborted(pub &'static str);

/// The body of a response.
pub type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyAborted>>>;

/// A response to a client.
pub type ClientResponse = Response<ResponseBody>;

/// A body whose bytes are all available.
#[must_use]
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// A response that the gateway itself generates.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalResponse {
    /// The status.
    pub status: StatusCode,
    /// The reason, for logs, metrics and the body.
    pub reason: &'static str,
    /// When the client may retry; only set if the request did not run.
    pub retry_after_ms: Option<f64>,
}

impl LocalResponse {
    /// A response without `Retry-After`.
    #[must_use]
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }

    /// The request did not run and will not; the client may retry.
    #[must_use]
    pub fn refused(reason: &'static str, retry_after_ms: f64) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Builds the HTTP response.
    #[must_use]
    pub fn into_response(self) -> ClientResponse {
        let body = format!("{{\"error\":\"{}\"}}\n", self.reason);
        let mut response = Response::new(full_body(Bytes::from(body)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = format!("{:.3}", retry_after_ms / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Whether a status promises that the request did not run and never will.
///
/// ```
/// use curranttrestle_gateway::front::response::implies_not_run;
/// use hyper::StatusCode;
/// assert!(implies_not_run(StatusCode::SERVICE_UNAVAILABLE));
/// assert!(!implies_not_run(StatusCode::BAD_GATEWAY));
/// ```
#[must_use]
pub fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// The head of an endpoint's response as the client gets it.
#[must_use]
pub fn response_head<B>(response: &Response<B>) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = response.status();
    let mut headers = response.headers().clone();
    remove_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    *head.headers_mut() = headers;
    head
}

/// The response with a head and a body.
#[must_use]
pub fn with_body(head: Response<()>, body: ResponseBody) -> ClientResponse {
    head.map(|()| body)
}
