//! The listener of callers.

mod attempts;
mod body;
mod deadline;
mod problem;
mod prompt;
mod replay;
mod request;
mod rescue;
mod resume;
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

/// The path below which operations are called.
const OPERATIONS_PATH: &str = "/v1/operations/";
/// The path below which streams are resumed.
const STREAMS_PATH: &str = "/v1/streams/";
/// Decisions about one request that may wait for its handler.
const DECISIONS: usize = 4;

/// Handles one request of a caller.
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
        return call(conn, shared, customer, operation).await;
    }
    if let Some(token) = path.strip_prefix(STREAMS_PATH)
        && conn.method() == Method::Get
    {
        return resume(conn, shared, &customer, token).await;
    }
    let detail = "no such path; operations are called by POST /v1/operations/NAME";
    refuse(
        conn,
        &Refusal::not_run(RefusalReason::NoSuchOperation, detail),
    )
}

async fn call(mut conn: Conn, shared: Arc<Shared>, customer: CustomerId, operation: &str) -> Conn {
    let Some(kind) = operation_kind(&shared, operation) else {
        let detail = "no such operation";
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
        let detail = "the router is exiting";
        return refuse(conn, &Refusal::not_run(RefusalReason::NotReady, detail));
    };
    match kind {
        EndpointKind::Model => answer_stream(conn, shared, caller, attempts).await,
        EndpointKind::Service => answer_whole(conn, shared, &caller, attempts).await,
    }
}

/// Hands a request to the control thread.
async fn submit(
    shared: &Arc<Shared>,
    caller: &Arc<CallerRequest>,
    prompt: Option<Prompt>,
) -> Option<Attempts> {
    let (sender, receiver) = async_channel::bounded(DECISIONS);
    let message = ControlMessage::Request {
        input: Input::Request(caller.new.clone()),
        request: caller.new.request,
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

async fn answer_stream(
    conn: Conn,
    shared: Arc<Shared>,
    caller: Arc<CallerRequest>,
    attempts: Attempts,
) -> Conn {
    match stream::answer(shared, caller.clone(), attempts).await {
        Some(Ok(reader)) => send_stream(conn, reader, Some(&caller.new.request)),
        Some(Err(refusal)) => refuse(conn, &refusal),
        None => refuse(conn, &lost()),
    }
}

async fn answer_whole(
    conn: Conn,
    shared: Arc<Shared>,
    caller: &CallerRequest,
    attempts: Attempts,
) -> Conn {
    let deadline_ms = caller.new.deadline_ms + DEADLINE_GRACE_MS;
    let waiting = service::answer(shared.clone(), attempts);
    match deadline::until(&shared, deadline_ms, waiting).await {
        Some(Some(Ok(answer))) => send_whole(conn, answer),
        Some(Some(Err(refusal))) => refuse(conn, &refusal),
        Some(None) => refuse(conn, &lost()),
        None => {
            let detail = "the deadline passed while the request ran";
            refuse(
                conn,
                &Refusal::unknown(RefusalReason::DeadlinePassed, detail),
            )
        }
    }
}

/// Time that the control thread has to refuse an expired request before the front gives up.
const DEADLINE_GRACE_MS: u64 = 250;

async fn resume(conn: Conn, shared: Arc<Shared>, customer: &CustomerId, token: &str) -> Conn {
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
    match resume::resume(shared, token, offset).await {
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

fn send_whole(conn: Conn, answer: StoredResponse) -> Conn {
    let StoredBody::Whole(body) = answer.body else {
        let detail = "the request ran before; its answer was too large to be kept";
        return refuse(
            conn,
            &Refusal::unknown(RefusalReason::ClaimedBefore, detail),
        );
    };
    conn.with_status(answer.status)
        .with_response_header(KnownHeaderName::ContentType, answer.content_type)
        .with_response_header(OUTCOME_HEADER, Outcome::Answered.as_str())
        .with_body(body)
        .halt()
}

fn operation_kind(shared: &Shared, operation: &str) -> Option<EndpointKind> {
    let sheet = shared.sheet();
    let pool = &sheet.operations.get(operation)?.pool;
    sheet
        .endpoints
        .values()
        .find(|endpoint| endpoint.pool == *pool)
        .map(|endpoint| endpoint.kind)
}

fn lost() -> Refusal {
    Refusal::unknown(RefusalReason::AttemptLost, "the router lost the request")
}
