//! Server-sent events of a streamed answer.

use curranttrestle::protocol::Outcome;
use serde::Deserialize;

use super::Problem;

/// The longest event that is read.
const LONGEST_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// The stream begins or was resumed.
    Start(Start),
    /// A part of the answer.
    Part(Part),
    /// The answer is whole.
    Done(Done),
    /// The answer broke off.
    Problem(Problem),
    /// Not an event of this protocol, or a malformed one.
    Malformed(String),
}

/// The first event.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Start {
    /// The request's identifier.
    pub request: String,
    /// The token to resume with.
    pub resume_token: String,
}

/// A part of the answer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Part {
    /// The position of its first byte in the whole answer.
    pub offset: u64,
    /// The text.
    pub text: String,
}

/// The last event of a whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Done {
    /// What is known of the request.
    pub outcome: Outcome,
    /// The length of the whole answer.
    pub length: u64,
}

/// Cuts a stream of bytes into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
}

impl EventReader {
    /// Adds bytes as they come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, comments passed over.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        loop {
            let end = self
                .buffer
                .windows(EVENT_END.len())
                .position(|two| two == EVENT_END);
            let Some(end) = end else {
                return self.overlong();
            };
            let rest = self.buffer.split_off(end + EVENT_END.len());
            let block = std::mem::replace(&mut self.buffer, rest);
            let block = String::from_utf8_lossy(&block[..end]);
            if let Some(event) = parse_event(&block) {
                return Some(event);
            }
        }
    }

    fn overlong(&mut self) -> Option<StreamEvent> {
        if self.buffer.len() <= LONGEST_EVENT_BYTES {
            return None;
        }
        self.buffer.clear();
        Some(StreamEvent::Malformed("an event is too long".to_owned()))
    }
}

/// The event in a block of lines; none when it holds comments only.
fn parse_event(block: &str) -> Option<StreamEvent> {
    let mut name = "";
    let mut data = String::new();
    for line in block.lines() {
        if let Some(value) = field(line, "event") {
            name = value;
        } else if let Some(value) = field(line, "data") {
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

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
