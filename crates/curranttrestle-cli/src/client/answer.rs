//! What a caller is told.

use curranttrestle::protocol::Outcome;
use serde::{Deserialize, Serialize};

/// A problem document (RFC 9457), as far as it is used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// Why there is no answer.
    pub reason: String,
    /// A sentence for the caller.
    pub detail: String,
    /// What is known of the request.
    pub outcome: Option<Outcome>,
}

/// The end of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Answer {
    /// What is known of the request.
    pub outcome: Outcome,
    /// The HTTP status.
    pub status: u16,
    /// The request's identifier.
    pub request: Option<String>,
    /// The length of the answer.
    pub length_bytes: u64,
    /// Why there is no answer.
    pub problem: Option<Problem>,
    /// When the caller may try again, in seconds.
    pub retry_after_s: Option<u64>,
}

impl Answer {
    /// An answer without content.
    pub fn without_content(outcome: Outcome, status: u16) -> Self {
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
