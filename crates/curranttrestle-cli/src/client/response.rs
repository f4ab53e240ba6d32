//! The result of a call as reported to the caller.

use curranttrestle::protocol::Outcome;
use serde::{Deserialize, Serialize};

/// The fields of a problem document (RFC 9457) that the tool uses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// The machine-readable reason.
    pub reason: String,
    /// A human-readable explanation.
    pub detail: String,
    /// Whether the request ran, as far as the router knows.
    pub outcome: Option<Outcome>,
}

/// The final response to a call, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallResponse {
    /// Whether the request ran, as far as the router knows.
    pub outcome: Outcome,
    /// The HTTP status.
    pub status: u16,
    /// The request ID.
    pub request: Option<String>,
    /// The length of the content.
    pub length_bytes: u64,
    /// The error, if the call was not answered.
    pub problem: Option<Problem>,
    /// After how many seconds the caller may retry.
    pub retry_after_s: Option<u64>,
}

impl CallResponse {
    /// Creates a response whose other fields are empty.
    pub fn new(outcome: Outcome, status: u16) -> Self {
        Self {
            outcome,
            status,
            request: None,
            length_bytes: 0,
            problem: None,
            retry_after_s: None,
        }
    }
}
