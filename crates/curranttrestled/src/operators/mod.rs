//! HTTP handlers of the operators listener.

mod submit;

use std::sync::Arc;

use curranttrestle::coordination::router::RouterStatus;
use curranttrestle::state::Event;
use curranttrestle::state::sheet::KeyDigest;
use serde::Serialize;
use subtle::ConstantTimeEq;
use trillium::{Conn, KnownHeaderName, Method};

use crate::shared::{ControlMessage, Shared};

/// Handles one HTTP request from an operator. All paths except `/health` need the operators'
/// token.
pub async fn handle(conn: Conn, shared: Arc<Shared>, token_digest: KeyDigest) -> Conn {
    let path = conn.path().to_owned();
    if path == "/health" {
        return health(conn, &shared).await;
    }
    if !is_operator(&conn, token_digest) {
        log::info!("kind=refused reason=unauthorized listener=operators path={path:?}");
        return reply_text(conn, 401, "the operators' token is missing or invalid\n");
    }
    match (conn.method(), path.as_str()) {
        (Method::Get, "/metrics") => metrics(conn, &shared).await,
        (Method::Get, "/v1/status") => status(conn, &shared).await,
        (Method::Get, "/v1/events") => events(conn, &shared).await,
        (Method::Get, "/v1/sheet") => {
            let sheet = shared.sheet();
            reply_json(conn, 200, &*sheet)
        }
        (Method::Post, "/v1/sheets") => submit::sheet(conn, &shared).await,
        (Method::Post, "/v1/marks") => submit::mark(conn, &shared).await,
        _ => reply_text(conn, 404, "no such path\n"),
    }
}

/// Responds with 200 while the router accepts new requests, with 503 otherwise.
pub async fn health(conn: Conn, shared: &Shared) -> Conn {
    let status = shared.query(ControlMessage::Status).await;
    match status {
        Some(status) if status.ready => reply_text(conn, 200, "ready\n"),
        Some(status) if status.leaving => reply_text(conn, 503, "leaving\n"),
        _ => reply_text(conn, 503, "not ready\n"),
    }
}

/// Responds with a JSON document.
pub(crate) fn reply_json(conn: Conn, status: u16, value: &impl Serialize) -> Conn {
    let body = serde_json::to_string(value).unwrap_or_default();
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_body(body)
        .halt()
}

/// Responds with plain text.
pub(crate) fn reply_text(conn: Conn, status: u16, text: &str) -> Conn {
    conn.with_status(status).with_body(text.to_owned()).halt()
}

fn is_operator(conn: &Conn, token_digest: KeyDigest) -> bool {
    let header = conn
        .request_headers()
        .get_str(KnownHeaderName::Authorization);
    let Some(token) = header.and_then(|value| value.strip_prefix("Bearer ")) else {
        return false;
    };
    KeyDigest::of(token).0.ct_eq(&token_digest.0).into()
}

async fn metrics(conn: Conn, shared: &Shared) -> Conn {
    let text = shared.query(ControlMessage::Metrics).await;
    reply_text(conn, 200, &text.unwrap_or_default())
}

async fn status(conn: Conn, shared: &Shared) -> Conn {
    let status: Option<RouterStatus> = shared.query(ControlMessage::Status).await;
    match status {
        Some(status) => reply_json(conn, 200, &status),
        None => reply_text(conn, 503, "the router is shutting down\n"),
    }
}

async fn events(conn: Conn, shared: &Shared) -> Conn {
    let Some(events): Option<Vec<Event>> = shared.query(ControlMessage::Events).await else {
        return reply_text(conn, 503, "the router is shutting down\n");
    };
    let after_unix_ms =
        query_parameter(&conn, "after_unix_ms").and_then(|value| value.parse::<u64>().ok());
    let request = query_parameter(&conn, "request");
    let selected: Vec<Event> = events
        .into_iter()
        .filter(|event| after_unix_ms.is_none_or(|after| event.time.unix_ms > after))
        .filter(|event| {
            let event_request = event.request.map(|event_request| event_request.to_string());
            request
                .as_ref()
                .is_none_or(|request| event_request.as_ref() == Some(request))
        })
        .collect();
    reply_json(conn, 200, &selected)
}

/// The undecoded value of a query parameter.
fn query_parameter(conn: &Conn, name: &str) -> Option<String> {
    conn.querystring()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_owned())
}
