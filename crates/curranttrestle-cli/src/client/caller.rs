//! Client for a router's callers' listener.

use std::net::SocketAddr;

use curranttrestle::protocol::Outcome;
use curranttrestle::protocol::outcome::OUTCOME_HEADER;
use curranttrestle::transport::http_client::{url, with_timeout};
use smol::io::AsyncReadExt;
use trillium_client::{Conn, KnownHeaderName};
use uuid::Uuid;

use super::events::{EventReader, StreamEvent};
use super::{CallResponse, ClientError, Problem, send, unpooled_client};

/// The size of the read buffer for streamed responses.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The content type of a streamed response.
const STREAM_CONTENT_TYPE: &str = "text/event-stream";

/// A call to an operation.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// The customer's API key.
    pub key: &'a str,
    /// The name of the operation.
    pub operation: &'a str,
    /// The idempotency key.
    pub idempotency_key: Option<Uuid>,
    /// How long the request may queue and run.
    pub deadline_ms: Option<u64>,
    /// The request body.
    pub body: Vec<u8>,
    /// The timeout for the response head, for an unstreamed body, and for each read of a stream.
    pub timeout_ms: u64,
}

/// A streamed response whose connection was lost before its end.
#[derive(Clone, Debug)]
pub struct InterruptedStream {
    /// The token that resumes the stream.
    pub resume_token: String,
    /// The request ID.
    pub request: String,
    /// How many content bytes have been received.
    pub received_bytes: u64,
    /// Why the stream ended early.
    pub reason: String,
}

/// The result of sending or resuming a call.
#[derive(Clone, Debug)]
pub enum CallStatus {
    /// The call ended, successfully or not.
    Completed(CallResponse),
    /// The stream ended early and can be resumed.
    Interrupted(InterruptedStream),
}

impl CallRequest<'_> {
    /// Sends the call to `router`. Passes the response content to `sink` as it arrives.
    pub async fn send(
        &self,
        router: SocketAddr,
        sink: &mut impl FnMut(&[u8]),
    ) -> Result<CallStatus, ClientError> {
        let url = url(router, &["v1", "operations", self.operation]);
        let mut conn = unpooled_client()
            .post(url)
            .with_request_header(
                KnownHeaderName::Authorization,
                format!("Bearer {}", self.key),
            )
            .with_body(self.body.clone());
        if let Some(key) = self.idempotency_key {
            conn = conn.with_request_header("Idempotency-Key", key.to_string());
        }
        if let Some(deadline_ms) = self.deadline_ms {
            conn = conn.with_request_header("Deadline-Ms", deadline_ms.to_string());
        }
        let conn = send(conn, router, self.timeout_ms).await?;
        ResponseReader::new(router, self.timeout_ms, None)
            .read(conn, sink)
            .await
    }

    /// Resumes an interrupted stream through `router`, which may be a different one.
    pub async fn resume(
        &self,
        router: SocketAddr,
        interrupted: &InterruptedStream,
        sink: &mut impl FnMut(&[u8]),
    ) -> Result<CallStatus, ClientError> {
        let token = &interrupted.resume_token;
        let offset = interrupted.received_bytes;
        let mut url = url(router, &["v1", "streams", token]);
        url.set_query(Some(&format!("offset={offset}")));
        let conn = unpooled_client().get(url).with_request_header(
            KnownHeaderName::Authorization,
            format!("Bearer {}", self.key),
        );
        let conn = send(conn, router, self.timeout_ms).await?;
        let reader = ResponseReader::new(router, self.timeout_ms, Some(interrupted.clone()));
        reader.read(conn, sink).await
    }
}

/// Reads one response.
struct ResponseReader {
    router: SocketAddr,
    timeout_ms: u64,
    events: EventReader,
    received_bytes: u64,
    /// The request ID and the resume token, once known.
    stream_ids: Option<(String, String)>,
}

impl ResponseReader {
    fn new(router: SocketAddr, timeout_ms: u64, resumed: Option<InterruptedStream>) -> Self {
        let received_bytes = resumed.as_ref().map_or(0, |stream| stream.received_bytes);
        Self {
            router,
            timeout_ms,
            events: EventReader::default(),
            received_bytes,
            stream_ids: resumed.map(|stream| (stream.request, stream.resume_token)),
        }
    }

    async fn read(
        mut self,
        mut conn: Conn,
        sink: &mut impl FnMut(&[u8]),
    ) -> Result<CallStatus, ClientError> {
        let headers = conn.response_headers();
        let content_type = headers.get_str(KnownHeaderName::ContentType);
        if content_type.is_some_and(|value| value.starts_with(STREAM_CONTENT_TYPE)) {
            return self.read_stream(conn, sink).await;
        }
        let response = parse_head(&conn);
        let body = with_timeout(self.timeout_ms, conn.response_body().read_bytes()).await;
        let body = body.ok_or(ClientError::TimedOut {
            address: self.router,
            timeout_ms: self.timeout_ms,
        })?;
        let body = body.map_err(|error| ClientError::ConnectionLost {
            address: self.router,
            reason: error.to_string(),
        })?;
        Ok(CallStatus::Completed(complete_response(
            response, &body, sink,
        )))
    }

    async fn read_stream(
        &mut self,
        mut conn: Conn,
        sink: &mut impl FnMut(&[u8]),
    ) -> Result<CallStatus, ClientError> {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut body = conn.response_body();
        loop {
            while let Some(event) = self.events.next_event() {
                if let Some(status) = self.handle_event(event, sink) {
                    return Ok(status);
                }
            }
            let read = with_timeout(self.timeout_ms, body.read(&mut buffer)).await;
            match read {
                Some(Ok(0)) => return self.interrupted_by("the stream ended early"),
                Some(Ok(length)) => self.events.push(&buffer[..length]),
                Some(Err(error)) => return self.interrupted_by(&error.to_string()),
                None => return self.interrupted_by("the stream timed out"),
            }
        }
    }

    fn handle_event(
        &mut self,
        event: StreamEvent,
        sink: &mut impl FnMut(&[u8]),
    ) -> Option<CallStatus> {
        match event {
            StreamEvent::Start(start) => {
                self.stream_ids = Some((start.request, start.resume_token));
                None
            }
            StreamEvent::Part(part) if part.offset == self.received_bytes => {
                self.received_bytes += part.text.len() as u64;
                sink(part.text.as_bytes());
                None
            }
            StreamEvent::Part(part) => {
                let expected = self.received_bytes;
                let offset = part.offset;
                let detail = format!("unexpected offset {offset}; expected {expected}");
                Some(self.completed(Outcome::Unknown, Some(malformed_stream(detail))))
            }
            StreamEvent::Done(done) if done.length == self.received_bytes => {
                Some(self.completed(done.outcome, None))
            }
            StreamEvent::Done(done) => {
                let received = self.received_bytes;
                let detail = format!("received {received} of {} bytes", done.length);
                Some(self.completed(Outcome::Unknown, Some(malformed_stream(detail))))
            }
            StreamEvent::Problem(problem) => {
                let outcome = problem.outcome.unwrap_or(Outcome::Unknown);
                Some(self.completed(outcome, Some(problem)))
            }
            StreamEvent::Malformed(reason) => {
                Some(self.completed(Outcome::Unknown, Some(malformed_stream(reason))))
            }
        }
    }

    fn completed(&self, outcome: Outcome, problem: Option<Problem>) -> CallStatus {
        CallStatus::Completed(CallResponse {
            request: self.stream_ids.as_ref().map(|(request, _)| request.clone()),
            length_bytes: self.received_bytes,
            problem,
            ..CallResponse::new(outcome, 200)
        })
    }

    fn interrupted_by(&self, reason: &str) -> Result<CallStatus, ClientError> {
        let Some((request, resume_token)) = self.stream_ids.clone() else {
            return Err(ClientError::ConnectionLost {
                address: self.router,
                reason: reason.to_owned(),
            });
        };
        Ok(CallStatus::Interrupted(InterruptedStream {
            resume_token,
            request,
            received_bytes: self.received_bytes,
            reason: reason.to_owned(),
        }))
    }
}

/// Builds a response from its head. Without an outcome header the outcome is unknown.
fn parse_head(conn: &Conn) -> CallResponse {
    let headers = conn.response_headers();
    let outcome = match headers.get_str(OUTCOME_HEADER) {
        Some("answered") => Outcome::Answered,
        Some("not-run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    let status = conn.status().map_or(0, |status| status as u16);
    let retry_after = headers.get_str(KnownHeaderName::RetryAfter);
    CallResponse {
        request: headers.get_str("Request-Id").map(str::to_owned),
        retry_after_s: retry_after.and_then(|value| value.parse().ok()),
        ..CallResponse::new(outcome, status)
    }
}

fn complete_response(
    head: CallResponse,
    body: &[u8],
    sink: &mut impl FnMut(&[u8]),
) -> CallResponse {
    if head.outcome != Outcome::Answered {
        let problem = serde_json::from_slice(body).unwrap_or_else(|_| Problem {
            status: head.status,
            detail: String::from_utf8_lossy(body).trim().to_owned(),
            ..Problem::default()
        });
        let problem = Some(problem);
        return CallResponse { problem, ..head };
    }
    sink(body);
    CallResponse {
        length_bytes: body.len() as u64,
        ..head
    }
}

fn malformed_stream(detail: String) -> Problem {
    Problem {
        reason: "malformed-stream".to_owned(),
        detail,
        ..Problem::default()
    }
}
