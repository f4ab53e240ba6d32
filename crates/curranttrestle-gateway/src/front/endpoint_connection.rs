//! Connections to endpoints, with the run of the process at the other end.
//!
//! An endpoint may start again in place before its new entry is read, so its address alone does not tell
//! which process responds. A connection ends with its process. What the endpoint states over it, or what
//! its entry says after it was opened, therefore holds for the whole connection.

use std::rc::Rc;

use bytes::Bytes;
use curranttrestle::coordination::gateway::directory::endpoint_run;
use curranttrestle::state::gateway::{EndpointEntry, RetryPolicy};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{self, HeaderValue};
use hyper::{Request, Uri};

use super::attempt::AttemptGuard;
use super::exchange::Exchange;
use crate::clock;
use crate::gateway::Gateway;
use crate::timer::with_timeout;
use crate::upstream::{ConnectError, Connection};

/// How long an endpoint may take to state its run, and the store to return an entry. A longer wait would
/// delay the stream more than a retry does.
const MAX_WAIT_MS: u64 = 150;

/// The longest report of an endpoint that is read.
const MAX_REPORT_BYTES: usize = 65_536;

/// The answer of an endpoint to the question for its run.
enum Report {
    /// The endpoint started at this Unix millisecond.
    Started(u64),
    /// It does not state it. The connection can be used.
    NotStated,
    /// No complete response. The connection cannot be used.
    Failed,
}

/// Takes a pooled connection or opens a new one. For a stream that may go on elsewhere, also determines
/// the run of the peer, if possible.
///
/// # Errors
///
/// [`ConnectError`]; nothing of the request was sent.
pub async fn connect(
    exchange: &Exchange,
    entry: &EndpointEntry,
) -> Result<Connection, ConnectError> {
    let gateway = &exchange.gateway;
    let options = &gateway.settings.traffic;
    // The endpoint may close a pooled connection just as the request is sent. The request may then
    // have run, and one that must not run twice could not be retried.
    let max_idle_ms = match exchange.route.retry_policy {
        RetryPolicy::AtMostOnce => 0,
        RetryPolicy::Stream { resumable: false } => options.non_resumable_max_idle_ms,
        RetryPolicy::Idempotent | RetryPolicy::Stream { resumable: true } => {
            options.idle_timeout_ms
        }
    };
    if max_idle_ms > 0
        && let Some(connection) = gateway.pool.take(entry.address, max_idle_ms)
    {
        return identify_peer(exchange, entry, connection).await;
    }
    open(exchange, entry).await
}

/// Opens a new connection, like [`connect`].
///
/// # Errors
///
/// [`ConnectError`]; nothing of the request was sent.
pub async fn open(exchange: &Exchange, entry: &EndpointEntry) -> Result<Connection, ConnectError> {
    let connection = open_unidentified(&exchange.gateway, entry).await?;
    identify_peer(exchange, entry, connection).await
}

async fn open_unidentified(
    gateway: &Gateway,
    entry: &EndpointEntry,
) -> Result<Connection, ConnectError> {
    gateway.strain.borrow_mut().work.opened_connections += 1;
    let connect_timeout_ms = gateway.settings.traffic.connect_timeout_ms;
    gateway.pool.open(entry.address, connect_timeout_ms).await
}

/// Whether the run that sent a response may still be alive: it answers over a new connection within
/// [`MAX_WAIT_MS`], or the endpoint does not state its run. Such an endpoint is not asked each time, since
/// it may count the question as a request.
pub async fn may_be_alive(guard: &AttemptGuard) -> bool {
    let (gateway, entry) = (&guard.gateway, &guard.entry);
    let is_silent = |now| gateway.control.borrow().stated_runs.is_silent(entry, now);
    if !guard.is_identified() && is_silent(clock::now()) {
        return true;
    }
    let asking = async {
        match open_unidentified(gateway, entry).await {
            Ok(mut connection) => ask_for_run(gateway, &mut connection).await,
            Err(_) => Report::Failed,
        }
    };
    let report = with_timeout(MAX_WAIT_MS, asking).await;
    let (may_be_alive, stated) = match report.unwrap_or(Report::Failed) {
        Report::Started(started_unix_ms) => {
            let run = endpoint_run(&entry.endpoint, started_unix_ms);
            // Entries without a start do not distinguish runs.
            let is_known = guard.run() != endpoint_run(&entry.endpoint, 0);
            (run == guard.run() || !is_known, "run")
        }
        Report::NotStated => {
            let mut control = gateway.control.borrow_mut();
            control.stated_runs.record_silence(entry, clock::now());
            (true, "nothing")
        }
        Report::Failed => (false, "no-answer"),
    };
    log::info!(
        "kind=unframed-response-ended endpoint={} stated={stated} is_complete={may_be_alive}",
        entry.endpoint
    );
    may_be_alive
}

/// Determines the run of the peer if the exchange needs it and the connection does not have it yet. An
/// endpoint that does not state its run is looked up in the directory.
async fn identify_peer(
    exchange: &Exchange,
    entry: &EndpointEntry,
    mut connection: Connection,
) -> Result<Connection, ConnectError> {
    let is_needed = matches!(
        exchange.route.retry_policy,
        RetryPolicy::Stream { resumable: true }
    );
    if !is_needed || connection.peer_started_unix_ms.is_some() {
        return Ok(connection);
    }
    let gateway = &exchange.gateway;
    let asked = clock::now();
    let is_silent = gateway.control.borrow().stated_runs.is_silent(entry, asked);
    if !is_silent {
        let report = with_timeout(MAX_WAIT_MS, read_report(gateway, &mut connection)).await;
        match report.unwrap_or(Report::Failed) {
            Report::Started(started_unix_ms) => {
                set_start(gateway, entry, &mut connection, started_unix_ms);
                return Ok(connection);
            }
            Report::NotStated => {}
            Report::Failed => connection = open_unidentified(gateway, entry).await?,
        }
        let now = clock::now();
        let mut control = gateway.control.borrow_mut();
        control.stated_runs.record_silence(entry, now);
        drop(control);
        log::info!(
            "kind=endpoint-run-not-stated endpoint={} ms={}",
            entry.endpoint,
            now.since_ms(asked.steady_ms)
        );
    }
    if let Some(started_unix_ms) = read_start_in_directory(gateway, entry).await {
        set_start(gateway, entry, &mut connection, started_unix_ms);
    }
    Ok(connection)
}

/// Asks an endpoint for its run over a connection that carries a request afterwards.
async fn read_report(gateway: &Gateway, connection: &mut Connection) -> Report {
    let report = ask_for_run(gateway, connection).await;
    if connection.will_close() || !connection.ready().await {
        return Report::Failed;
    }
    report
}

/// Asks an endpoint for its run.
async fn ask_for_run(gateway: &Gateway, connection: &mut Connection) -> Report {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(gateway.dialect.report_path());
    match HeaderValue::from_str(&connection.address().to_string()) {
        Ok(host) => request.headers_mut().insert(header::HOST, host),
        Err(_) => return Report::NotStated,
    };
    let Ok(response) = connection.send(request).await else {
        return Report::Failed;
    };
    let is_success = response.status().is_success();
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
    let Ok(body) = body.collect().await else {
        return Report::Failed;
    };
    let started_unix_ms = gateway.dialect.read_start_unix_ms(&body.to_bytes());
    match started_unix_ms.filter(|_| is_success) {
        Some(started_unix_ms) => Report::Started(started_unix_ms),
        None => Report::NotStated,
    }
}

/// Reads the start of an endpoint in its entry in the store; `None` if it cannot be read in time.
async fn read_start_in_directory(gateway: &Rc<Gateway>, entry: &EndpointEntry) -> Option<u64> {
    let is_available = gateway.control.borrow().directory.is_store_available();
    let may_read = is_available && gateway.entry_read_limit.borrow_mut().allows(clock::now());
    if !may_read {
        return None;
    }
    let calls = &gateway.metrics.store_calls;
    calls.with_label_values(&["directory-entry"]).inc();
    let reading = gateway.entries.read_entry(&entry.endpoint, MAX_WAIT_MS);
    match reading.await {
        Ok(read) => Some(read.started_unix_ms),
        Err(error) => {
            let failures = &gateway.metrics.store_failures;
            failures.with_label_values(&["directory-entry"]).inc();
            log::warn!(
                "kind=entry-not-read endpoint={} error={:?}",
                entry.endpoint,
                error.to_string()
            );
            None
        }
    }
}

fn set_start(
    gateway: &Gateway,
    entry: &EndpointEntry,
    connection: &mut Connection,
    started_unix_ms: u64,
) {
    connection.peer_started_unix_ms = Some(started_unix_ms);
    let now = clock::now();
    let mut control = gateway.control.borrow_mut();
    if control.record_stated_start(&entry.endpoint, started_unix_ms, now) {
        log::warn!(
            "kind=endpoint-run-not-listed endpoint={} started_unix_ms={started_unix_ms} listed_unix_ms={}",
            entry.endpoint,
            entry.started_unix_ms
        );
    }
}
