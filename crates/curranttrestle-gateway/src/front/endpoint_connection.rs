//! Connections to endpoints, with the run of the process at the other end.
//!
//! An endpoint may start again in place before its new entry is read, so its address alone does not show
//! which process responds. A connection ends with its process. What the endpoint states over it therefore
//! holds for the whole connection. The entry describes the process only if it was read so long after the
//! connection was opened that a later process would have written its own.

use bytes::Bytes;
use curranttrestle::coordination::gateway::directory::endpoint_run;
use curranttrestle::state::gateway::{EndpointEntry, RetryPolicy};
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{self, HeaderValue};
use hyper::{Request, Uri};

use super::attempt::AttemptGuard;
use super::exchange::Exchange;
use crate::clock;
use crate::edge::ForwardInfo;
use crate::gateway::Gateway;
use crate::upstream::{ConnectError, Connection};

/// How long an endpoint may take to state its run. A longer wait would delay the stream more than a retry
/// does.
const REPORT_TIMEOUT_MS: u64 = 150;

/// How many connections are opened at most to ask for the run.
const MAX_REPORTS: usize = 2;

/// The longest report of an endpoint that is read.
const MAX_REPORT_BYTES: usize = 65_536;

/// The response of an endpoint to the question for its run.
enum Report {
    /// The endpoint started at this Unix millisecond.
    Started(u64),
    /// It does not state its start. The connection can be used.
    NotStated,
    /// It closes the connection after the response, which may state its start.
    Closed(Option<u64>),
    /// The connection was refused, or lost before the response was complete.
    Lost,
    /// No response in time. The connection cannot be used.
    TimedOut,
}

/// Takes a pooled connection or opens a new one. For a stream that may go on elsewhere, also determines
/// the run of the process at the other end, if possible.
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
        return identify_process(exchange, entry, connection).await;
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
    identify_process(exchange, entry, connection).await
}

async fn open_unidentified(
    gateway: &Gateway,
    entry: &EndpointEntry,
) -> Result<Connection, ConnectError> {
    gateway.strain.borrow_mut().work.opened_connections += 1;
    let connect_timeout_ms = gateway.settings.traffic.connect_timeout_ms;
    gateway.pool.open(entry.address, connect_timeout_ms).await
}

/// Whether the run that sent an unframed response may still serve, so that the end of the connection ends
/// the response. The endpoint is asked over a new connection. If it does not state its run, the answer is
/// yes, and it is not asked each time, since it may count the question as a request.
pub async fn may_be_alive(exchange: &Exchange, guard: &AttemptGuard) -> bool {
    let (gateway, entry) = (&guard.gateway, &guard.entry);
    // A stream that goes on elsewhere loses nothing if the run still serves.
    let goes_on = is_resumable(exchange);
    if !goes_on && !guard.is_identified() && skips_report(gateway, entry) {
        return true;
    }
    let report = match open_unidentified(gateway, entry).await {
        Ok(mut connection) => ask_for_run(exchange, entry, &mut connection).await,
        Err(error) if error.is_refused() => Report::Lost,
        Err(_) => Report::TimedOut,
    };
    let (may_be_alive, stated) = match report {
        Report::Started(started_unix_ms) | Report::Closed(Some(started_unix_ms)) => {
            let run = endpoint_run(&entry.endpoint, started_unix_ms);
            // Entries without a start do not distinguish runs.
            let is_known = guard.run() != endpoint_run(&entry.endpoint, 0);
            (run == guard.run() || !is_known, "run")
        }
        Report::NotStated | Report::Closed(None) => {
            record_unanswered_report(gateway, entry);
            (true, "nothing")
        }
        Report::TimedOut => (!goes_on, "nothing-in-time"),
        Report::Lost => (false, "no-answer"),
    };
    log::info!(
        "kind=unframed-response-ended endpoint={} stated={stated} is_complete={may_be_alive}",
        entry.endpoint
    );
    may_be_alive
}

/// Determines the run of the process if the exchange needs it and the connection does not have it yet.
/// Opens another connection if the endpoint closes this one or does not respond.
async fn identify_process(
    exchange: &Exchange,
    entry: &EndpointEntry,
    mut connection: Connection,
) -> Result<Connection, ConnectError> {
    let is_needed = is_resumable(exchange) || exchange.required_version.get().is_some();
    if !is_needed || connection.process_started_unix_ms.is_some() {
        return Ok(connection);
    }
    let gateway = &exchange.gateway;
    // Entries without a start do not distinguish runs.
    if entry.started_unix_ms > 0 && !skips_report(gateway, entry) {
        for number in 1..=MAX_REPORTS {
            let is_last = number == MAX_REPORTS;
            match ask_for_run(exchange, entry, &mut connection).await {
                Report::Started(started_unix_ms) => {
                    record_start(gateway, entry, started_unix_ms);
                    connection.process_started_unix_ms = Some(started_unix_ms);
                    return Ok(connection);
                }
                Report::NotStated => {
                    record_unanswered_report(gateway, entry);
                    break;
                }
                Report::Closed(started_unix_ms) => {
                    if let Some(started_unix_ms) = started_unix_ms {
                        record_start(gateway, entry, started_unix_ms);
                    }
                    if is_last {
                        record_unanswered_report(gateway, entry);
                    }
                    connection = open_unidentified(gateway, entry).await?;
                }
                Report::Lost => connection = open_unidentified(gateway, entry).await?,
                Report::TimedOut => {
                    record_unanswered_report(gateway, entry);
                    connection = open_unidentified(gateway, entry).await?;
                    break;
                }
            }
        }
    }
    connection.process_started_unix_ms = confirmed_start_unix_ms(gateway, entry, &connection);
    Ok(connection)
}

fn is_resumable(exchange: &Exchange) -> bool {
    let policy = exchange.route.retry_policy;
    matches!(policy, RetryPolicy::Stream { resumable: true })
}

fn skips_report(gateway: &Gateway, entry: &EndpointEntry) -> bool {
    let control = gateway.control.borrow();
    control.stated_runs.skips_report(entry, clock::now())
}

/// Asks an endpoint for its run. A response that has arrived may still wait for its turn in this gateway.
async fn ask_for_run(
    exchange: &Exchange,
    entry: &EndpointEntry,
    connection: &mut Connection,
) -> Report {
    let due_ms = clock::now().steady_ms + REPORT_TIMEOUT_MS;
    let timeout = async {
        exchange.wait_for_timeout(due_ms).await;
        Report::TimedOut
    };
    let reading = read_report(&exchange.gateway, entry, connection);
    reading.or(timeout).await
}

async fn read_report(
    gateway: &Gateway,
    entry: &EndpointEntry,
    connection: &mut Connection,
) -> Report {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(gateway.dialect.report_path());
    let info = ForwardInfo {
        endpoint: &entry.endpoint,
        remaining_ms: REPORT_TIMEOUT_MS,
        customer: None,
        last_event_id: None,
    };
    let headers = request.headers_mut();
    let Ok(host) = HeaderValue::from_str(&connection.address().to_string()) else {
        return Report::NotStated;
    };
    headers.insert(header::HOST, host);
    gateway.dialect.set_endpoint_headers(headers, &info);
    let Ok(response) = connection.send(request).await else {
        return Report::Lost;
    };
    let is_success = response.status().is_success();
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
    let Ok(body) = body.collect().await else {
        return Report::Lost;
    };
    let started_unix_ms = gateway.dialect.read_start_unix_ms(&body.to_bytes());
    let started_unix_ms = started_unix_ms.filter(|_| is_success);
    if connection.will_close() || !connection.ready().await {
        return Report::Closed(started_unix_ms);
    }
    started_unix_ms.map_or(Report::NotStated, Report::Started)
}

/// The start of the listed run if the directory shows that it is at the other end of the connection.
fn confirmed_start_unix_ms(
    gateway: &Gateway,
    entry: &EndpointEntry,
    connection: &Connection,
) -> Option<u64> {
    let opened_ms = connection.open_since_ms()?;
    let control = gateway.control.borrow();
    let listed = control.directory.entry(&entry.endpoint)?;
    let is_confirmed = listed.address == connection.address()
        && control.stated_runs.unlisted_run(listed).is_none()
        && control.directory.confirms_connection(opened_ms);
    is_confirmed.then_some(listed.started_unix_ms)
}

fn record_unanswered_report(gateway: &Gateway, entry: &EndpointEntry) {
    let mut control = gateway.control.borrow_mut();
    control
        .stated_runs
        .record_unanswered_report(entry, clock::now());
    log::info!("kind=endpoint-run-not-stated endpoint={}", entry.endpoint);
}

fn record_start(gateway: &Gateway, entry: &EndpointEntry, started_unix_ms: u64) {
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
