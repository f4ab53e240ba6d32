//! Answers to clients.

use std::pin::Pin;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use thiserror::Error;

/// The body of an answer broke off; the connection is closed so that the client sees it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the answer broke off: {0}")]
pub struct BrokenOff(pub &'static str);

/// The body of an answer.
pub type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = BrokenOff>>>;

/// An answer to a client.
pub type Answer = Response<AnswerBody>;

/// A body of known bytes.
#[must_use]
pub fn whole(bytes: Bytes) -> AnswerBody {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// An answer of the gateway's own.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Why, in logs, metrics and the body.
    pub reason: &'static str,
    /// When the client may come back; only for requests that did not run.
    pub retry_after_ms: Option<f64>,
}

impl OwnAnswer {
    /// An answer without a time to come back.
    #[must_use]
    pub fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }

    /// The request did not run and never will; the client may come back.
    #[must_use]
    pub fn refused(reason: &'static str, retry_after_ms: f64) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// The answer as it is sent.
    #[must_use]
    pub fn into_answer(self) -> Answer {
        let body = format!("{{\"error\":\"{}\"}}\n", self.reason);
        let mut answer = Response::new(whole(Bytes::from(body)));
        *answer.status_mut() = self.status;
        let headers = answer.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = format!("{:.3}", retry_after_ms / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        answer
    }
}
