//! Encodes a streamed response as server-sent events.

use curranttrestle::protocol::{Outcome, Refusal};
use curranttrestle::state::RequestId;
use serde::Serialize;

use super::problem::problem_json;

/// Length of the opening comment in bytes. The HTTP server buffers a small first chunk until the
/// next one arrives; a comment of this length makes it send the first chunk immediately.
const OPENING_COMMENT_BYTES: usize = 600;

/// The data of the event `start`, which is sent first and again when another attempt continues the
/// response.
#[derive(Debug, Serialize)]
struct Start<'a> {
    request: String,
    resume_token: &'a str,
}

/// The data of an event with response text.
#[derive(Debug, Serialize)]
struct TextChunk<'a> {
    offset: u64,
    text: &'a str,
}

/// The data of the last event of a complete response.
#[derive(Debug, Serialize)]
struct Done {
    outcome: Outcome,
    length: u64,
}

/// Encodes the opening comment and the event `start`.
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

/// Encodes an event with response text that starts at byte `offset`.
#[must_use]
pub fn text_chunk(offset: u64, text: &str) -> Vec<u8> {
    event(None, &TextChunk { offset, text })
}

/// Encodes the last event of a complete response of `length` bytes.
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

/// Encodes the last event of a response that ends early.
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
