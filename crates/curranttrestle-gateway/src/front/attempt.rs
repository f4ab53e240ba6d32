//! One attempt at an endpoint, from the chosen endpoint to the head of its response.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use curranttrestle::coordination::gateway::directory::{EndpointRun, endpoint_run};
use curranttrestle::coordination::gateway::outlier_detection::FailureKind;
use curranttrestle::coordination::gateway::placement::Choice;
use curranttrestle::coordination::gateway::software_version::VersionKey;

use curranttrestle::state::gateway::EndpointEntry;
use curranttrestle::state::{EndpointId, Now};
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header;
use hyper::{Request, Response, Uri};

use super::endpoint_connection;
use super::exchange::Exchange;
use super::response_end::Framing;
use crate::clock;
use crate::edge::{Announcements, ForwardInfo, ResponseInfo};
use crate::gateway::Gateway;
use crate::timer::sleep_until;
use crate::upstream::connection::SendError;
use crate::upstream::{ConnectError, Connection};

/// The head of an endpoint's response; the body has not been read yet.
#[derive(Debug)]
pub struct ResponseHead {
    /// The response.
    pub response: Response<Incoming>,
    /// What the endpoint says about the response.
    pub info: ResponseInfo,
    /// What ends its body.
    pub framing: Framing,
    /// The connection that carries the body.
    pub connection: Connection,
    /// Counts the attempt as in flight until it is dropped.
    pub guard: AttemptGuard,
}

/// Why an attempt has no usable response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failure {
    /// The kind of failure.
    pub kind: FailureKind,
    /// Whether the request certainly did not run.
    pub not_run: bool,
}

impl Failure {
    fn not_sent(kind: FailureKind) -> Self {
        Self {
            kind,
            not_run: true,
        }
    }

    /// The request may have been delivered and may have run.
    #[must_use]
    pub fn possibly_run(kind: FailureKind) -> Self {
        Self {
            kind,
            not_run: false,
        }
    }
}

/// Counts an attempt as in flight until it is dropped.
#[derive(Debug)]
pub struct AttemptGuard {
    /// The gateway.
    pub gateway: Rc<Gateway>,
    number: u64,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The entry of the endpoint when it was chosen.
    pub entry: EndpointEntry,
    /// When the process that got the request started, in Unix milliseconds; `None` if it is not known.
    started_unix_ms: Cell<Option<u64>>,
    /// The run that got the request, as far as it was known when it was sent.
    run: Cell<EndpointRun>,
    /// When the request got its connection, by the steady clock.
    connected_ms: Cell<u64>,
    /// When the request was last allowed to be sent, by the steady clock.
    allowed_ms: Cell<u64>,
}

impl AttemptGuard {
    /// Records that a part of the response was received, and the time of the first one.
    pub fn record_first_event(&self, now: Now) {
        self.record_answer(now);
        let mut control = self.gateway.control.borrow_mut();
        if let Some(elapsed_ms) = control.load.record_first_event(self.number, now) {
            let times = self
                .gateway
                .metrics
                .times
                .with_label_values(&["first-event"]);
            #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
            times.observe(elapsed_ms as f64 / 1_000.0);
        }
    }

    /// Whether it is known which run got the request.
    #[must_use]
    pub fn is_identified(&self) -> bool {
        self.started_unix_ms.get().is_some()
    }

    /// The run that got the request, as far as it was known when it was sent.
    #[must_use]
    pub fn run(&self) -> EndpointRun {
        self.run.get()
    }

    /// Records the process at the other end of the connection over which the request is to be sent.
    fn set_process(&self, connection: &Connection) {
        let started_unix_ms = connection.process_started_unix_ms;
        self.started_unix_ms.set(started_unix_ms);
        self.run.set(match started_unix_ms {
            Some(started_unix_ms) => endpoint_run(&self.endpoint, started_unix_ms),
            None => self.gateway.control.borrow().stated_runs.run(&self.entry),
        });
    }

    /// The software version of the run that got the request.
    #[must_use]
    pub fn version(&self) -> VersionKey {
        match self.started_unix_ms.get() {
            None => VersionKey::UNKNOWN,
            Some(started_unix_ms) if started_unix_ms == self.entry.started_unix_ms => {
                VersionKey::of(&self.entry)
            }
            Some(_) => {
                let version = VersionKey::of_unlisted_run(self.run());
                self.gateway.control.borrow().listed_version(version)
            }
        }
    }

    /// When the request got its connection, by the steady clock.
    #[must_use]
    pub fn connected_ms(&self) -> u64 {
        self.connected_ms.get()
    }

    /// Records that the endpoint was running when it sent what was received now.
    fn record_answer(&self, now: Now) {
        let mut control = self.gateway.control.borrow_mut();
        control
            .cold
            .record_answer(&self.endpoint, self.connected_ms.get(), now);
    }

    /// Returns the permit of the request, which was not sent after all.
    fn return_permit(&self) {
        let mut control = self.gateway.control.borrow_mut();
        control
            .cold
            .return_permit(&self.endpoint, self.allowed_ms.get());
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.gateway
            .control
            .borrow_mut()
            .load
            .record_end(self.number);
    }
}

/// Sends a request to the chosen endpoint and waits for the head of the response. At
/// `response_deadline_ms`, by the steady clock, the attempt is abandoned if another endpoint would
/// take the request; otherwise at the deadline of the request. Increments `exchange.sends` before it
/// sends, and decrements it only if the endpoint did not receive the request.
///
/// # Errors
///
/// [`Failure`] says whether the request may have run.
pub async fn send(
    exchange: &Exchange,
    choice: &Choice,
    is_resumed: bool,
    last_event_id: Option<u64>,
    response_deadline_ms: u64,
) -> Result<ResponseHead, Failure> {
    let gateway = &exchange.gateway;
    let started = clock::now();
    let number = gateway.control.borrow_mut().record_start(
        choice,
        exchange.placement_request(is_resumed),
        started,
    );
    let guard = AttemptGuard {
        gateway: Rc::clone(gateway),
        number,
        endpoint: choice.entry.endpoint.clone(),
        entry: choice.entry.clone(),
        started_unix_ms: Cell::new(None),
        run: Cell::new(endpoint_run(
            &choice.entry.endpoint,
            choice.entry.started_unix_ms,
        )),
        connected_ms: Cell::new(u64::MAX),
        allowed_ms: Cell::new(u64::MAX),
    };
    let connected = endpoint_connection::connect(exchange, &choice.entry).await;
    let result = match connected {
        // The directory and the configuration may have changed while the request waited.
        Ok(connection) if !may_send_now(exchange, &connection, &guard) => {
            exchange.return_connection(connection);
            Err(Failure::not_sent(FailureKind::Withdrawn))
        }
        Ok(connection) => {
            guard.connected_ms.set(clock::now().steady_ms);
            record_connected(exchange, &guard.endpoint, started, clock::now());
            if let Some(last_event_id) = last_event_id {
                log_continued(exchange, choice, last_event_id, &connection, clock::now());
            }
            let request = endpoint_request(exchange, &guard.endpoint, last_event_id);
            let sending = send_for_head(exchange, connection, request, &guard);
            let timeout = async {
                exchange.wait_for_timeout(response_deadline_ms).await;
                if !exchange.try_move(&guard.endpoint, is_resumed, clock::now()) {
                    sleep_until(exchange.deadline_steady_ms).await;
                }
                Err(Failure::possibly_run(FailureKind::TimedOut))
            };
            sending.or(timeout).await
        }
        Err(error) => {
            log::debug!(
                "kind=connect-failed endpoint={} error={error}",
                guard.endpoint
            );
            record_connect_error(&guard, &error);
            Err(Failure::not_sent(FailureKind::Unreachable))
        }
    };
    let run = guard.run();
    let head = result
        .and_then(|(response, connection)| check_response(exchange, response, connection, guard));
    if last_event_id.is_none()
        && let Err(failure) = &head
        && failure.kind == FailureKind::ConnectionLost
    {
        exchange.record_crash(run, clock::now());
    }
    head
}

/// A request that waits this long between the choice of an endpoint and sending is logged.
const LOGGED_WAIT_MS: u64 = 250;

/// Observes how long a request waited for its connection.
fn record_connected(exchange: &Exchange, endpoint: &EndpointId, started: Now, now: Now) {
    let waited_ms = now.since_ms(started.steady_ms);
    let times = &exchange.gateway.metrics.times;
    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    times
        .with_label_values(&["connect"])
        .observe(waited_ms as f64 / 1_000.0);
    if waited_ms >= LOGGED_WAIT_MS {
        let id = &exchange.hints.attempt_id;
        log::warn!("kind=send-delayed id={id} endpoint={endpoint} ms={waited_ms}");
    }
}

/// Logs at which endpoint a stream goes on, and how old the information is that led to it.
fn log_continued(
    exchange: &Exchange,
    choice: &Choice,
    last_event_id: u64,
    connection: &Connection,
    now: Now,
) {
    let gateway = &exchange.gateway;
    let opened_ms = connection.open_since_ms();
    log::info!(
        "kind=stream-continued id={} endpoint={} last_event_id={last_event_id} listed_version={:?} connection_age_ms={} directory_age_ms={}",
        exchange.hints.attempt_id,
        choice.entry.endpoint,
        choice.entry.software_version,
        opened_ms.map_or(0, |opened_ms| now.since_ms(opened_ms)),
        gateway.directory_age_ms(now)
    );
}

/// Whether the request may be sent over the connection now. Takes a permit if the endpoint is cold, as
/// the last check.
fn may_send_now(exchange: &Exchange, connection: &Connection, guard: &AttemptGuard) -> bool {
    let now = clock::now();
    guard.allowed_ms.set(now.steady_ms);
    guard.set_process(connection);
    exchange.remaining_ms(now) > 0
        && exchange.may_send(&guard.endpoint, guard.run(), now)
        && may_go_on(exchange, guard)
        && exchange.take_permit(&guard.endpoint, now)
}

/// Whether the run that would get the request has the version that sent the first event of the stream.
fn may_go_on(exchange: &Exchange, guard: &AttemptGuard) -> bool {
    let Some(required) = exchange.required_version.get() else {
        return true;
    };
    let version = guard.version();
    let control = exchange.gateway.control.borrow();
    let required = control.listed_version(required);
    // A second version may have been found since the only one was required.
    let is_still_only = || {
        let only = control.streams.served.only_version(clock::now());
        only == Some(required)
    };
    let may_go_on = version == required
        && version != VersionKey::UNKNOWN
        && (!exchange.requires_only_version.get() || is_still_only());
    drop(control);
    if !may_go_on {
        log::info!(
            "kind=stream-not-continued id={} endpoint={} version={version:?} required={required:?}",
            exchange.hints.attempt_id,
            guard.endpoint
        );
    }
    may_go_on
}

/// Records that no connection to an endpoint could be opened.
fn record_connect_error(guard: &AttemptGuard, error: &ConnectError) {
    if error.is_refused() {
        let mut control = guard.gateway.control.borrow_mut();
        control
            .cold
            .record_connection_lost(&guard.endpoint, clock::now());
    }
}

/// Sends the request and counts it, also if this future is dropped before the response.
async fn send_counted(
    exchange: &Exchange,
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, SendError> {
    exchange.count_send();
    let sent = connection.send(request).await;
    if matches!(sent, Err(SendError::NotSent(_))) {
        exchange.uncount_send();
    }
    sent
}

async fn send_for_head(
    exchange: &Exchange,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    guard: &AttemptGuard,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let unsent = match send_counted(exchange, &mut connection, request).await {
        Ok(response) => return Ok((response, connection)),
        Err(SendError::ConnectionFailed(error)) => {
            log::debug!(
                "kind=send-failed address={} error={error:?}",
                connection.address()
            );
            return Err(Failure::possibly_run(FailureKind::ConnectionLost));
        }
        Err(SendError::NotSent(request)) => *request,
    };
    // The connection was closed before anything was sent; open a new one.
    drop(connection);
    guard.return_permit();
    let opened = endpoint_connection::open(exchange, &guard.entry).await;
    let mut connection = opened.map_err(|error| {
        record_connect_error(guard, &error);
        Failure::not_sent(FailureKind::Unreachable)
    })?;
    if !may_send_now(exchange, &connection, guard) {
        exchange.return_connection(connection);
        return Err(Failure::not_sent(FailureKind::Withdrawn));
    }
    match send_counted(exchange, &mut connection, unsent).await {
        Ok(response) => Ok((response, connection)),
        Err(SendError::NotSent(_)) => Err(Failure::not_sent(FailureKind::Unreachable)),
        Err(SendError::ConnectionFailed(_)) => {
            Err(Failure::possibly_run(FailureKind::ConnectionLost))
        }
    }
}

/// Builds the request that the endpoint receives.
fn endpoint_request(
    exchange: &Exchange,
    endpoint: &EndpointId,
    last_event_id: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(exchange.body.clone()));
    *request.method_mut() = exchange.method.clone();
    *request.uri_mut() = path_and_query(&exchange.uri);
    let mut headers = exchange.headers.clone();
    let forward_info = ForwardInfo {
        endpoint,
        remaining_ms: exchange.remaining_ms(clock::now()).max(1),
        customer: exchange.customer.as_deref(),
        last_event_id,
    };
    exchange
        .gateway
        .dialect
        .set_endpoint_headers(&mut headers, &forward_info);
    *request.headers_mut() = headers;
    request
}

fn path_and_query(uri: &Uri) -> Uri {
    let Some(path) = uri.path_and_query() else {
        return Uri::from_static("/");
    };
    Uri::from(path.clone())
}

/// Checks that a response belongs to this request and can be used.
fn check_response(
    exchange: &Exchange,
    response: Response<Incoming>,
    connection: Connection,
    guard: AttemptGuard,
) -> Result<ResponseHead, Failure> {
    let gateway = &exchange.gateway;
    let info = gateway
        .dialect
        .read_response(response.status().as_u16(), response.headers());
    // Additional bytes of an endpoint on a kept connection may have no id.
    if info.attempt_id.as_deref() != Some(exchange.hints.attempt_id.as_str()) {
        log::warn!(
            "kind=answer-of-another-request id={} endpoint={}",
            exchange.hints.attempt_id,
            guard.endpoint
        );
        return Err(Failure::possibly_run(FailureKind::Malformed));
    }
    if info.is_misdirected {
        gateway
            .control
            .borrow_mut()
            .directory
            .mark_displaced(&guard.endpoint);
        log::warn!("kind=endpoint-displaced endpoint={}", guard.endpoint);
        // The intended endpoint did not receive the request.
        exchange.uncount_send();
        return Err(Failure::not_sent(FailureKind::Unreachable));
    }
    guard.record_answer(clock::now());
    record_announcements(exchange, info.announcements, &guard);
    if info.not_run {
        return Err(Failure {
            kind: FailureKind::Overloaded,
            not_run: true,
        });
    }
    let is_encoded = response.headers().contains_key(header::CONTENT_ENCODING);
    if response.status().is_success() && (!info.is_signed || is_encoded) {
        return Err(Failure::possibly_run(FailureKind::Malformed));
    }
    Ok(ResponseHead {
        framing: Framing::of(&response),
        response,
        info,
        connection,
        guard,
    })
}

/// Records what an endpoint says in a response about its other requests: that it is leaving, or
/// that it wants none for a time.
fn record_announcements(exchange: &Exchange, announced: Announcements, guard: &AttemptGuard) {
    let gateway = &exchange.gateway;
    let (id, endpoint, run) = (&exchange.hints.attempt_id, &guard.endpoint, guard.run());
    if announced.is_leaving {
        let change = gateway.control.borrow_mut().directory.record_leaving(run);
        gateway.apply_directory_changes(change.as_slice(), "response");
    }
    if let Some(pause_ms) = announced.pause_ms {
        let now = clock::now();
        let mut control = gateway.control.borrow_mut();
        if control.pauses.record_pause(run, pause_ms, now) {
            log::info!("kind=endpoint-paused id={id} endpoint={endpoint} ms={pause_ms}");
        }
    }
}
