//! Handlers for sheets and endpoint marks that operators submit.

use std::time::Duration;

use curranttrestle::coordination::config::{
    ChangeSettings, ChangeStep, MarkOutcome, MarkSubmission, SheetSubmission, SubmitOutcome,
};
use curranttrestle::protocol::platform::{StoreCall, StoreResponse};
use curranttrestle::state::EndpointId;
use curranttrestle::state::marks::{Mark, MarkEntry};
use curranttrestle::state::sheet::{MAX_SHEET_BYTES, SheetStamp, read_sheet};
use curranttrestle::transport::body::read_to_end;
use serde::{Deserialize, Serialize};
use trillium::Conn;
use uuid::Uuid;

use super::{reply_json, reply_text};
use crate::shared::Shared;

/// The request header that names the operator.
const OPERATOR_HEADER: &str = "Operator";
/// The request header with the identifier of a submission. A retry with the same identifier
/// receives the same result as the accepted submission.
const ATTEMPT_HEADER: &str = "Attempt-Id";
/// The file name in findings. Operators submit a sheet without its file name.
const FINDINGS_FILE_NAME: &str = "sheet";

/// The largest body of a mark request, in bytes.
const MAX_MARK_BYTES: u64 = 64 * 1024;

/// Timeout of a store call for an operator's change. It may be long because no traffic waits for
/// the call.
const STORE_CALL_TIMEOUT_MS: u64 = 4_000;
/// Number of failed store calls after which an operator's change is abandoned.
const MAX_STORE_FAILURES: u32 = 5;

/// The response body for an accepted sheet.
#[derive(Debug, Serialize)]
struct Accepted {
    number: u64,
    replaced_by: Option<SheetStamp>,
}

/// The response body for a sheet that lost a race against another submission.
#[derive(Debug, Serialize)]
struct LostRace {
    winner: SheetStamp,
}

/// The request body that sets a mark on an endpoint.
#[derive(Debug, Deserialize)]
struct MarkRequest {
    endpoint: String,
    mark: Mark,
    /// The incarnation that the mark applies to; all if it is missing.
    incarnation: Option<u64>,
}

/// The response body for an accepted mark.
#[derive(Debug, Serialize)]
struct MarkAccepted {
    version: u64,
}

/// Handles a submitted sheet: checks it, stores it and responds with the outcome.
pub async fn sheet(mut conn: Conn, shared: &Shared) -> Conn {
    let operator = operator_name(&conn);
    let Some(attempt) = attempt_id(&conn) else {
        return reply_text(conn, 400, "the header Attempt-Id must be a UUID\n");
    };
    let body = conn.request_body().await;
    let Ok(bytes) = read_to_end(body, MAX_SHEET_BYTES as u64).await else {
        return reply_text(conn, 413, "the sheet is too large or could not be read\n");
    };
    let mut sheet = match read_sheet(FINDINGS_FILE_NAME, &bytes) {
        Ok(sheet) => sheet,
        Err(findings) => return reply_json(conn, 422, &findings),
    };
    sheet.number = shared.sheet().number;
    let mut submission = SheetSubmission::new(
        sheet,
        &operator,
        attempt,
        change_settings(),
        shared.clock.now(),
    );
    let first = submission.start();
    let outcome = run_steps(shared, first, |response| {
        submission.receive_response(response)
    })
    .await;
    log::info!("kind=sheet-submitted operator={operator:?} outcome={outcome:?}");
    match outcome {
        SubmitOutcome::Accepted {
            number,
            replaced_by,
        } => reply_json(
            conn,
            200,
            &Accepted {
                number,
                replaced_by,
            },
        ),
        SubmitOutcome::LostRace { winner } => reply_json(conn, 409, &LostRace { winner }),
        SubmitOutcome::Refused { reason } => reply_text(conn, 422, &format!("{reason}\n")),
        SubmitOutcome::Unavailable => reply_text(
            conn,
            503,
            "the store does not respond; nothing was changed\n",
        ),
        SubmitOutcome::Unknown => {
            let text = "the store does not respond; the sheet may have been accepted\n";
            reply_text(conn, 504, text)
        }
    }
}

/// Handles a mark request: stores the mark and responds with the new version of the marks.
pub async fn mark(mut conn: Conn, shared: &Shared) -> Conn {
    let operator = operator_name(&conn);
    let body = conn.request_body().await;
    let request: Option<MarkRequest> = match read_to_end(body, MAX_MARK_BYTES).await {
        Ok(bytes) => serde_json::from_slice(&bytes).ok(),
        Err(_) => None,
    };
    let Some(request) = request else {
        return reply_text(
            conn,
            400,
            "the body must be JSON with an endpoint and a mark\n",
        );
    };
    let endpoint = EndpointId::new(&request.endpoint);
    if !shared.sheet().endpoints.contains_key(&endpoint) {
        return reply_text(conn, 404, "the sheet in force has no such endpoint\n");
    }
    let entry = MarkEntry {
        endpoint,
        incarnation: request.incarnation,
        mark: request.mark,
        unix_ms: shared.clock.now().unix_ms,
        by: operator,
    };
    log::info!("kind=mark-submitted entry={entry:?}");
    let mut marking = MarkSubmission::new(entry, change_settings());
    let first = marking.start();
    match run_steps(shared, first, |response| marking.receive_response(response)).await {
        MarkOutcome::Accepted { version } => {
            reply_json(conn, 200, &MarkAccepted { version: version.0 })
        }
        other => reply_text(
            conn,
            503,
            &format!("the mark is not confirmed as stored: {other:?}\n"),
        ),
    }
}

/// Makes the store calls of a change, one after another, and returns its outcome.
async fn run_steps<T>(
    shared: &Shared,
    first: ChangeStep<T>,
    mut next: impl FnMut(&StoreResponse) -> ChangeStep<T>,
) -> T {
    let mut step = first;
    loop {
        match step {
            ChangeStep::Done(outcome) => return outcome,
            ChangeStep::Call { delay_ms, call } => {
                let response = call_after_delay(shared, delay_ms, &call).await;
                step = next(&response);
            }
        }
    }
}

async fn call_after_delay(shared: &Shared, delay_ms: u64, call: &StoreCall) -> StoreResponse {
    if delay_ms > 0 {
        smol::Timer::after(Duration::from_millis(delay_ms)).await;
    }
    shared
        .platform
        .call_within(STORE_CALL_TIMEOUT_MS, call)
        .await
}

fn operator_name(conn: &Conn) -> String {
    conn.request_headers()
        .get_str(OPERATOR_HEADER)
        .unwrap_or("operator")
        .to_owned()
}

/// The identifier of the submission, or a new one if the header is missing. Returns `None` if
/// the header is malformed.
fn attempt_id(conn: &Conn) -> Option<Uuid> {
    match conn.request_headers().get_str(ATTEMPT_HEADER) {
        Some(text) => Uuid::parse_str(text).ok(),
        None => Some(Uuid::now_v7()),
    }
}

fn change_settings() -> ChangeSettings {
    ChangeSettings {
        max_failures: MAX_STORE_FAILURES,
        ..ChangeSettings::default()
    }
}
