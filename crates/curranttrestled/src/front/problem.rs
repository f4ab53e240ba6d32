//! Refusals as problem documents (RFC 9457).

use curranttrestle::protocol::Refusal;
use curranttrestle::protocol::outcome::OUTCOME_HEADER;
use serde::Serialize;
use trillium::{Conn, KnownHeaderName};

const MS_PER_S: u64 = 1_000;

/// The body of a response to a refused request.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: &'a str,
    reason: &'a str,
}

/// Serialises the problem document of a refusal as JSON.
#[must_use]
pub fn problem_json(refusal: &Refusal) -> String {
    let problem = Problem {
        kind: "about:blank",
        title: refusal.reason.as_str(),
        status: refusal.reason.status(),
        detail: &refusal.detail,
        outcome: refusal.outcome.as_str(),
        reason: refusal.reason.as_str(),
    };
    serde_json::to_string(&problem).unwrap_or_default()
}

/// Responds with a refusal.
#[must_use]
pub fn refuse(conn: Conn, refusal: &Refusal) -> Conn {
    let mut conn = conn
        .with_status(refusal.reason.status())
        .with_response_header(KnownHeaderName::ContentType, "application/problem+json")
        .with_response_header(OUTCOME_HEADER, refusal.outcome.as_str())
        .with_body(problem_json(refusal));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(MS_PER_S);
        conn = conn.with_response_header(KnownHeaderName::RetryAfter, seconds.to_string());
    }
    conn.halt()
}
