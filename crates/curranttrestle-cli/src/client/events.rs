//! Parser for the server-sent events of a streamed response.

use curranttrestle::protocol::Outcome;
use serde::Deserialize;

use super::Problem;

/// The maximum size of an event; a longer one is malformed.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// The separator after each event.
const EVENT_SEPARATOR: &[u8] = b"\n\n";

/// An event of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The stream started or was resumed.
    Start(Start),
    /// A part of the content.
    Part(Part),
    /// The response is complete.
    Done(Done),
    /// The response failed.
    Problem(Problem),
    /// The event cannot be parsed or is too long.
    Malformed(String),
}

/// The first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Start {
    /// The request ID.
    pub request: String,
    /// The token that resumes the stream.
    pub resume_token: String,
}

/// A part of the content.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Part {
    /// The offset of its first byte in the content.
    pub offset: u64,
    /// The text of this part.
    pub text: String,
}

/// The last event of a complete response.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Done {
    /// Whether the request ran, as far as the router knows.
    pub outcome: Outcome,
    /// The length of the content in bytes.
    pub length: u64,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event. Skips comments.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        loop {
            let end = self
                .buffer
                .windows(EVENT_SEPARATOR.len())
                .position(|window| window == EVENT_SEPARATOR);
            let Some(end) = end else {
                return self.check_length();
            };
            let rest = self.buffer.split_off(end + EVENT_SEPARATOR.len());
            let block = std::mem::replace(&mut self.buffer, rest);
            let block = String::from_utf8_lossy(&block[..end]);
            if let Some(event) = parse_event(&block) {
                return Some(event);
            }
        }
    }

    fn check_length(&mut self) -> Option<StreamEvent> {
        if self.buffer.len() <= MAX_EVENT_BYTES {
            return None;
        }
        self.buffer.clear();
        Some(StreamEvent::Malformed("event too long".to_owned()))
    }
}

/// Parses the lines of one event. Returns `None` if they carry no data, such as comments.
fn parse_event(block: &str) -> Option<StreamEvent> {
    let mut name = "";
    let mut data = String::new();
    for line in block.lines() {
        if let Some(value) = field_value(line, "event") {
            name = value;
        } else if let Some(value) = field_value(line, "data") {
            data.push_str(value);
        }
    }
    if data.is_empty() {
        return None;
    }
    let event = match name {
        "start" => serde_json::from_str(&data).map(StreamEvent::Start),
        "done" => serde_json::from_str(&data).map(StreamEvent::Done),
        "error" => serde_json::from_str(&data).map(StreamEvent::Problem),
        _ => serde_json::from_str(&data).map(StreamEvent::Part),
    };
    Some(event.unwrap_or_else(|error| StreamEvent::Malformed(error.to_string())))
}

fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
