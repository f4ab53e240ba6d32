//! HTTP handlers of the callers listener.

mod attempts;
mod body;
mod deadline;
mod hedge;
mod problem;
mod prompt;
mod request;
mod resume;
mod sent_prefix;
mod service;
mod sse;
mod stream;

use std::sync::Arc;

use curranttrestle::coordination::router::Input;
use curranttrestle::protocol::outcome::{OUTCOME_HEADER, Outcome};
use curranttrestle::protocol::peer::{StoredBody, StoredResponse};
use curranttrestle::protocol::resume::ResumeToken;
use curranttrestle::protocol::{Refusal, RefusalReason};
use curranttrestle::state::sheet::EndpointKind;
use curranttrestle::state::{CustomerId, RequestId};
use trillium::{Body, Conn, KnownHeaderName, Method};

use crate::shared::{ControlMessage, Shared};
use attempts::Attempts;
use body::BodyReader;
use problem::refuse;
use prompt::Prompt;
use request::{CallerRequest, authenticate, read_request};

pub use problem::problem_json;

/// Path prefix of calls to operations.
const OPERATIONS_PATH: &str = "/v1/operations/";
/// Path prefix of requests that resume a stream.
const STREAMS_PATH: &str = "/v1/streams/";
/// Capacity of the channel of decisions to a request's handler.
const DECISION_CHANNEL_CAPACITY: usize = 4;

/// Handles one HTTP request from a caller.
pub async fn handle(conn: Conn, shared: Arc<Shared>) -> Conn {
    let path = conn.path().to_owned();
    if path == "/health" {
        return crate::operators::health(conn, &shared).await;
    }
    let customer = match authenticate(&conn, &shared) {
        Ok(customer) => customer,
        Err(refusal) => {
            log::info!("kind=refused reason={} path={path:?}", refusal.reason);
            return refuse(conn, &refusal);
        }
    };
    if let Some(operation) = path.strip_prefix(OPERATIONS_PATH)
        && conn.method() == Method::Post
    {
        return handle_call(conn, shared, customer, operation).await;
    }
    if let Some(token) = path.strip_prefix(STREAMS_PATH)
        && conn.method() == Method::Get
    {
        return handle_resume(conn, shared, &customer, token).await;
    }
    let detail = "no such path; call operations with POST /v1/operations/NAME";
    refuse(
        conn,
        &Refusal::not_run(RefusalReason::NoSuchOperation, detail),
    )
}

async fn handle_call(
    mut conn: Conn,
    shared: Arc<Shared>,
    customer: CustomerId,
    operation: &str,
) -> Conn {
    let Some(kind) = operation_kind(&shared, operation) else {
        let detail = "no such operation, or its pool has no endpoints";
        return refuse(
            conn,
            &Refusal::not_run(RefusalReason::NoSuchOperation, detail),
        );
    };
    let caller = match read_request(&mut conn, &shared, customer, operation).await {
        Ok(caller) => caller,
        Err(refusal) => return refuse(conn, &refusal),
    };
    let prompt = match kind {
        EndpointKind::Model => match Prompt::parse(&caller.body) {
            Ok(prompt) => Some(prompt),
            Err(refusal) => return refuse(conn, &refusal),
        },
        EndpointKind::Service => None,
    };
    let caller = Arc::new(caller);
    let Some(attempts) = submit(&shared, &caller, prompt).await else {
        let detail = "the router is shutting down";
        return refuse(conn, &Refusal::not_run(RefusalReason::NotReady, detail));
    };
    match kind {
        EndpointKind::Model => respond_with_stream(conn, shared, caller, attempts).await,
        EndpointKind::Service => respond_with_body(conn, shared, &caller, attempts).await,
    }
}

/// Sends a new request to the control thread. Returns `None` if the thread has ended.
async fn submit(
    shared: &Arc<Shared>,
    caller: &Arc<CallerRequest>,
    prompt: Option<Prompt>,
) -> Option<Attempts> {
    let (sender, receiver) = async_channel::bounded(DECISION_CHANNEL_CAPACITY);
    let message = ControlMessage::Request {
        input: Input::Request(caller.new_request.clone()),
        request: caller.new_request.request,
        decisions: sender,
    };
    shared.control.send(message).await.ok()?;
    Some(Attempts::new(
        shared.clone(),
        caller.clone(),
        prompt,
        receiver,
    ))
}

async fn respond_with_stream(
    conn: Conn,
    shared: Arc<Shared>,
    caller: Arc<CallerRequest>,
    attempts: Attempts,
) -> Conn {
    match stream::respond(shared, caller.clone(), attempts).await {
        Some(Ok(reader)) => send_stream(conn, reader, Some(&caller.new_request.request)),
        Some(Err(refusal)) => refuse(conn, &refusal),
        None => refuse(conn, &request_lost()),
    }
}

async fn respond_with_body(
    conn: Conn,
    shared: Arc<Shared>,
    caller: &CallerRequest,
    attempts: Attempts,
) -> Conn {
    let deadline_ms = caller.new_request.deadline_ms + DEADLINE_GRACE_MS;
    let responding = service::respond(shared.clone(), attempts);
    match deadline::with_deadline(&shared, deadline_ms, responding).await {
        Some(Some(Ok(response))) => send_body(conn, response),
        Some(Some(Err(refusal))) => refuse(conn, &refusal),
        Some(None) => refuse(conn, &request_lost()),
        None => {
            let detail = "the deadline passed while the request was running";
            refuse(
                conn,
                &Refusal::unknown(RefusalReason::DeadlinePassed, detail),
            )
        }
    }
}

/// Time after the deadline for which the handler still waits for the control thread to refuse the
/// request.
const DEADLINE_GRACE_MS: u64 = 250;

async fn handle_resume(
    conn: Conn,
    shared: Arc<Shared>,
    customer: &CustomerId,
    token: &str,
) -> Conn {
    let token =
        ResumeToken::decode(token, &shared.fleet_key).filter(|token| token.customer == *customer);
    let Some(token) = token else {
        let detail = "the resume token is not valid for this customer";
        return refuse(conn, &Refusal::not_run(RefusalReason::BadRequest, detail));
    };
    let offset = conn
        .querystring()
        .strip_prefix("offset=")
        .map_or(Some(0), |value| value.parse().ok());
    let Some(offset) = offset else {
        let detail = "the offset must be a number of bytes";
        return refuse(conn, &Refusal::not_run(RefusalReason::BadRequest, detail));
    };
    let request = token.request;
    match resume::resume_stream(shared, token, offset).await {
        Ok(reader) => send_stream(conn, reader, Some(&request)),
        Err(refusal) => refuse(conn, &refusal),
    }
}

fn send_stream(conn: Conn, reader: BodyReader, request: Option<&RequestId>) -> Conn {
    let mut conn = conn
        .with_status(200)
        .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
        .with_body(Body::new_streaming(reader, None));
    if let Some(request) = request {
        conn = conn.with_response_header("Request-Id", request.to_string());
    }
    conn.halt()
}

fn send_body(conn: Conn, response: StoredResponse) -> Conn {
    let StoredBody::Whole(body) = response.body else {
        let detail = "the request has already run; its response was too large to be stored";
        return refuse(
            conn,
            &Refusal::unknown(RefusalReason::ClaimedBefore, detail),
        );
    };
    conn.with_status(response.status)
        .with_response_header(KnownHeaderName::ContentType, response.content_type)
        .with_response_header(OUTCOME_HEADER, Outcome::Answered.as_str())
        .with_body(body)
        .halt()
}

/// The kind of the endpoints that serve an operation. Returns `None` if the sheet does not have the
/// operation or its pool has no endpoints.
fn operation_kind(shared: &Shared, operation: &str) -> Option<EndpointKind> {
    let sheet = shared.sheet();
    let pool = &sheet.operations.get(operation)?.pool;
    sheet
        .endpoints
        .values()
        .find(|endpoint| endpoint.pool == *pool)
        .map(|endpoint| endpoint.kind)
}

fn request_lost() -> Refusal {
    Refusal::unknown(
        RefusalReason::AttemptLost,
        "the router ended the request without a result",
    )
}
