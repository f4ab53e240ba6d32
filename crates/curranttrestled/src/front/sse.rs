//! Server-sent events: the form of a streamed answer.

use curranttrestle::protocol::{Outcome, Refusal};
use curranttrestle::state::RequestId;
use serde::Serialize;

use super::problem::problem_json;

/// Length of the opening comment in bytes. The HTTP server holds the first small chunk
/// back until the next one; a comment of this length passes at once.
const OPENING_COMMENT_BYTES: usize = 600;

/// The first event of a stream.
#[derive(Debug, Serialize)]
struct Start<'a> {
    request: String,
    resume_token: &'a str,
}

/// A part of the answer.
#[derive(Debug, Serialize)]
struct Part<'a> {
    offset: u64,
    text: &'a str,
}

/// The last event of a whole answer.
#[derive(Debug, Serialize)]
struct Done {
    outcome: Outcome,
    length: u64,
}

/// The opening comment and the first event.
#[must_use]
pub fn start(request: &RequestId, resume_token: &str) -> Vec<u8> {
    let padding = " ".repeat(OPENING_COMMENT_BYTES);
    let event = event(
        Some("start"),
        &Start {
            request: request.to_string(),
            resume_token,
        },
    );
    let mut bytes = format!(":{padding}\n\n").into_bytes();
    bytes.extend_from_slice(&event);
    bytes
}

/// A part of the answer that begins at byte `offset`.
#[must_use]
pub fn part(offset: u64, text: &str) -> Vec<u8> {
    event(None, &Part { offset, text })
}

/// The end of a whole answer of `length` bytes.
#[must_use]
pub fn done(length: u64) -> Vec<u8> {
    event(
        Some("done"),
        &Done {
            outcome: Outcome::Answered,
            length,
        },
    )
}

/// The end of an answer that broke off.
#[must_use]
pub fn error(refusal: &Refusal) -> Vec<u8> {
    format!("event: error\ndata: {}\n\n", problem_json(refusal)).into_bytes()
}

fn event(name: Option<&str>, data: &impl Serialize) -> Vec<u8> {
    let json = serde_json::to_string(data).unwrap_or_default();
    match name {
        Some(name) => format!("event: {name}\ndata: {json}\n\n").into_bytes(),
        None => format!("data: {json}\n\n").into_bytes(),
    }
}
