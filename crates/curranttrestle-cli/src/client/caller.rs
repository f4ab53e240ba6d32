//! The client of a router's callers' listener.

use std::net::SocketAddr;

use curranttrestle::protocol::Outcome;
use curranttrestle::protocol::outcome::OUTCOME_HEADER;
use curranttrestle::transport::http_client::{url, with_timeout};
use smol::io::AsyncReadExt;
use trillium_client::{Conn, KnownHeaderName};
use uuid::Uuid;

use super::events::{EventReader, StreamEvent};
use super::{Answer, ClientError, Problem, http, send};

/// How many bytes are read at a time.
const READ_BYTES: usize = 16 * 1024;

/// The content type of a streamed answer.
const STREAM_CONTENT_TYPE: &str = "text/event-stream";

/// A call of an operation.
#[derive(Clone, Debug)]
pub struct CallRequest<'a> {
    /// The customer's key.
    pub key: &'a str,
    /// The operation.
    pub operation: &'a str,
    /// The idempotency key.
    pub idempotency_key: Option<Uuid>,
    /// How long the request may wait and run.
    pub deadline_ms: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
    /// How long the caller waits for the head of the answer, and for each part of it.
    pub timeout_ms: u64,
}

/// A streamed answer that broke off.
#[derive(Clone, Debug)]
pub struct Interrupted {
    /// The token to resume with, and the request it belongs to.
    pub resume_token: String,
    /// The request's identifier.
    pub request: String,
    /// How many bytes of the answer have come.
    pub received_bytes: u64,
    /// Why it broke off.
    pub reason: String,
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum Called {
    /// The router said what became of it.
    Answered(Answer),
    /// The stream broke off and may be resumed.
    Interrupted(Interrupted),
}

impl CallRequest<'_> {
    /// Calls the operation through `router`. Parts of the answer go to `sink` as they come.
    pub async fn send(
        &self,
        router: SocketAddr,
        sink: &mut impl FnMut(&[u8]),
    ) -> Result<Called, ClientError> {
        let url = url(router, &["v1", "operations", self.operation]);
        let mut conn = http()
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
        Reading::new(router, self.timeout_ms, None)
            .read(conn, sink)
            .await
    }

    /// Resumes a stream that broke off through `router`, which need not be the same one.
    pub async fn resume(
        &self,
        router: SocketAddr,
        interrupted: &Interrupted,
        sink: &mut impl FnMut(&[u8]),
    ) -> Result<Called, ClientError> {
        let token = &interrupted.resume_token;
        let offset = interrupted.received_bytes;
        let mut url = url(router, &["v1", "streams", token]);
        url.set_query(Some(&format!("offset={offset}")));
        let conn = http().get(url).with_request_header(
            KnownHeaderName::Authorization,
            format!("Bearer {}", self.key),
        );
        let conn = send(conn, router, self.timeout_ms).await?;
        let reading = Reading::new(router, self.timeout_ms, Some(interrupted.clone()));
        reading.read(conn, sink).await
    }
}

/// The reading of one answer.
struct Reading {
    router: SocketAddr,
    timeout_ms: u64,
    events: EventReader,
    received_bytes: u64,
    /// The request and the resume token.
    started: Option<(String, String)>,
}

impl Reading {
    fn new(router: SocketAddr, timeout_ms: u64, resumed: Option<Interrupted>) -> Self {
        let received_bytes = resumed.as_ref().map_or(0, |stream| stream.received_bytes);
        Self {
            router,
            timeout_ms,
            events: EventReader::default(),
            received_bytes,
            started: resumed.map(|stream| (stream.request, stream.resume_token)),
        }
    }

    async fn read(
        mut self,
        mut conn: Conn,
        sink: &mut impl FnMut(&[u8]),
    ) -> Result<Called, ClientError> {
        let headers = conn.response_headers();
        let content_type = headers.get_str(KnownHeaderName::ContentType);
        if content_type.is_some_and(|value| value.starts_with(STREAM_CONTENT_TYPE)) {
            return self.read_stream(conn, sink).await;
        }
        let answer = head_of(&conn);
        let body = with_timeout(self.timeout_ms, conn.response_body().read_bytes()).await;
        let body = body.ok_or(ClientError::TimedOut {
            address: self.router,
            timeout_ms: self.timeout_ms,
        })?;
        let body = body.map_err(|error| ClientError::Broken {
            address: self.router,
            reason: error.to_string(),
        })?;
        Ok(Called::Answered(whole_answer(answer, &body, sink)))
    }

    async fn read_stream(
        &mut self,
        mut conn: Conn,
        sink: &mut impl FnMut(&[u8]),
    ) -> Result<Called, ClientError> {
        let mut buffer = vec![0; READ_BYTES];
        let mut body = conn.response_body();
        loop {
            while let Some(event) = self.events.next_event() {
                if let Some(called) = self.take_event(event, sink) {
                    return Ok(called);
                }
            }
            let read = with_timeout(self.timeout_ms, body.read(&mut buffer)).await;
            match read {
                Some(Ok(0)) => return self.broke_off("the stream ended early"),
                Some(Ok(length)) => self.events.push(&buffer[..length]),
                Some(Err(error)) => return self.broke_off(&error.to_string()),
                None => return self.broke_off("the stream went silent"),
            }
        }
    }

    fn take_event(&mut self, event: StreamEvent, sink: &mut impl FnMut(&[u8])) -> Option<Called> {
        match event {
            StreamEvent::Start(start) => {
                self.started = Some((start.request, start.resume_token));
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
                let detail = format!("a part begins at byte {offset}, not at {expected}");
                Some(self.ended(Outcome::Unknown, Some(malformed(detail))))
            }
            StreamEvent::Done(done) if done.length == self.received_bytes => {
                Some(self.ended(done.outcome, None))
            }
            StreamEvent::Done(done) => {
                let received = self.received_bytes;
                let detail = format!("the answer has {} bytes, {received} came", done.length);
                Some(self.ended(Outcome::Unknown, Some(malformed(detail))))
            }
            StreamEvent::Problem(problem) => {
                let outcome = problem.outcome.unwrap_or(Outcome::Unknown);
                Some(self.ended(outcome, Some(problem)))
            }
            StreamEvent::Malformed(reason) => {
                Some(self.ended(Outcome::Unknown, Some(malformed(reason))))
            }
        }
    }

    fn ended(&self, outcome: Outcome, problem: Option<Problem>) -> Called {
        Called::Answered(Answer {
            request: self.started.as_ref().map(|(request, _)| request.clone()),
            length_bytes: self.received_bytes,
            problem,
            ..Answer::without_content(outcome, 200)
        })
    }

    fn broke_off(&self, reason: &str) -> Result<Called, ClientError> {
        let Some((request, resume_token)) = self.started.clone() else {
            return Err(ClientError::Broken {
                address: self.router,
                reason: reason.to_owned(),
            });
        };
        Ok(Called::Interrupted(Interrupted {
            resume_token,
            request,
            received_bytes: self.received_bytes,
            reason: reason.to_owned(),
        }))
    }
}

/// What the head of an answer says. Without the header nothing is known.
fn head_of(conn: &Conn) -> Answer {
    let headers = conn.response_headers();
    let outcome = match headers.get_str(OUTCOME_HEADER) {
        Some("answered") => Outcome::Answered,
        Some("not-run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    let status = conn.status().map_or(0, |status| status as u16);
    let retry_after = headers.get_str(KnownHeaderName::RetryAfter);
    Answer {
        request: headers.get_str("Request-Id").map(str::to_owned),
        retry_after_s: retry_after.and_then(|value| value.parse().ok()),
        ..Answer::without_content(outcome, status)
    }
}

fn whole_answer(head: Answer, body: &[u8], sink: &mut impl FnMut(&[u8])) -> Answer {
    if head.outcome != Outcome::Answered {
        let problem = serde_json::from_slice(body).unwrap_or_else(|_| Problem {
            status: head.status,
            detail: String::from_utf8_lossy(body).trim().to_owned(),
            ..Problem::default()
        });
        let problem = Some(problem);
        return Answer { problem, ..head };
    }
    sink(body);
    Answer {
        length_bytes: body.len() as u64,
        ..head
    }
}

fn malformed(detail: String) -> Problem {
    Problem {
        reason: "malformed-stream".to_owned(),
        detail,
        ..Problem::default()
    }
}
