//! One attempt at an endpoint: from the choice to the head of the answer.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use curranttrestle::coordination::gateway::placement::Choice;
use curranttrestle::coordination::gateway::trust::FailureKind;
use curranttrestle::state::gateway::Repeat;
use curranttrestle::state::{EndpointId, Now};
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header;
use hyper::{Request, Response, Uri};

use super::exchange::Exchange;
use crate::clock;
use crate::edge::{Address, AnswerMarks};
use crate::gateway::Gateway;
use crate::timer::sleep_until;
use crate::upstream::connection::SendError;
use crate::upstream::{ConnectError, Connection};

/// The head of an endpoint's answer, whose body is still to come.
#[derive(Debug)]
pub struct Head {
    /// The answer.
    pub response: Response<Incoming>,
    /// What the endpoint says of it.
    pub marks: AnswerMarks,
    /// The connection that the body comes on.
    pub connection: Connection,
    /// Counts the attempt until it is over.
    pub guard: AttemptGuard,
}

/// How an attempt ended that has no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failure {
    /// What went wrong.
    pub kind: FailureKind,
    /// Whether the request certainly did not run.
    pub not_run: bool,
    /// Whether an endpoint got it at all.
    pub arrived: bool,
    /// When the endpoint wants it back.
    pub retry_after_ms: Option<f64>,
}

impl Failure {
    fn not_sent(kind: FailureKind) -> Self {
        Self {
            kind,
            not_run: true,
            arrived: false,
            retry_after_ms: None,
        }
    }

    /// The request arrived, and may have run.
    #[must_use]
    pub fn unknown(kind: FailureKind) -> Self {
        Self {
            kind,
            not_run: false,
            arrived: true,
            retry_after_ms: None,
        }
    }
}

/// Counts an attempt while it lasts.
#[derive(Debug)]
pub struct AttemptGuard {
    gateway: Rc<Gateway>,
    number: u64,
    /// The endpoint.
    pub endpoint: EndpointId,
}

impl AttemptGuard {
    /// The first part of the answer came.
    pub fn first_event(&self, now: Now) {
        let mut control = self.gateway.control.borrow_mut();
        if let Some(elapsed_ms) = control.load.first_event(self.number, now) {
            let times = self
                .gateway
                .metrics
                .times
                .with_label_values(&["first-event"]);
            #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
            times.observe(elapsed_ms as f64 / 1_000.0);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.gateway.control.borrow_mut().load.ended(self.number);
    }
}

/// Sends a request to the chosen endpoint and waits for the head of the answer. From
/// `wait_until_ms` on it is given up as soon as another endpoint would take it. Counts the
/// endpoint where the request arrived there.
///
/// # Errors
///
/// [`Failure`] says what is certain about the request.
pub async fn send(
    exchange: &Exchange,
    choice: &Choice,
    is_resumed: bool,
    last_event_id: Option<u64>,
    wait_until_ms: u64,
) -> Result<Head, Failure> {
    let gateway = &exchange.gateway;
    let begun = clock::now();
    let number = gateway
        .control
        .borrow_mut()
        .started(choice, exchange.wanted(is_resumed), begun);
    let guard = AttemptGuard {
        gateway: Rc::clone(gateway),
        number,
        endpoint: choice.entry.endpoint.clone(),
    };
    let result = match connect(exchange, choice.entry.address).await {
        Ok(connection) => {
            let request = addressed(exchange, &guard.endpoint, last_event_id);
            let sending = exchange_head(exchange, connection, request);
            let expire = async {
                sleep_until(wait_until_ms).await;
                let sends = exchange.sends.get() + 1;
                if !exchange.may_move(&guard.endpoint, sends, is_resumed, clock::now()) {
                    sleep_until(exchange.limit_ms).await;
                }
                Err(Failure::unknown(FailureKind::Silent))
            };
            sending.or(expire).await
        }
        Err(error) => {
            log::debug!(
                "kind=connect-failed endpoint={} error={error}",
                guard.endpoint
            );
            Err(Failure::not_sent(FailureKind::Unreachable))
        }
    };
    let head =
        result.and_then(|(response, connection)| judge(exchange, response, connection, guard));
    if head
        .as_ref()
        .map_or_else(|failure| failure.arrived, |_| true)
    {
        exchange.sends.set(exchange.sends.get() + 1);
    }
    head
}

/// Opens or reuses a connection.
async fn connect(exchange: &Exchange, address: SocketAddr) -> Result<Connection, ConnectError> {
    let options = &exchange.gateway.settings.traffic;
    // A kept connection may be closing; a request that must not run twice cannot be sent
    // again when it crosses that.
    let max_idle_ms = match exchange.route.repeat {
        Repeat::AtMostOnce => 0,
        Repeat::Stream { resumable: false } => options.careful_idle_ms,
        Repeat::Idempotent | Repeat::Stream { resumable: true } => options.idle_ms,
    };
    if max_idle_ms > 0
        && let Some(connection) = exchange.gateway.pool.take(address, max_idle_ms)
    {
        return Ok(connection);
    }
    exchange
        .gateway
        .pool
        .open(address, options.connect_timeout_ms)
        .await
}

async fn exchange_head(
    exchange: &Exchange,
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let unsent = match connection.send(request).await {
        Ok(response) => return Ok((response, connection)),
        Err(SendError::Broken(error)) => {
            log::debug!(
                "kind=send-failed address={} error={error:?}",
                connection.address()
            );
            return Err(Failure::unknown(FailureKind::Broken));
        }
        Err(SendError::NotSent(request)) => *request,
    };
    // The kept connection was closed in time; a new one takes its place.
    let address = connection.address();
    drop(connection);
    let connect_timeout_ms = exchange.gateway.settings.traffic.connect_timeout_ms;
    let opened = exchange
        .gateway
        .pool
        .open(address, connect_timeout_ms)
        .await;
    let mut connection = opened.map_err(|_error| Failure::not_sent(FailureKind::Unreachable))?;
    match connection.send(unsent).await {
        Ok(response) => Ok((response, connection)),
        Err(SendError::NotSent(_)) => Err(Failure::not_sent(FailureKind::Unreachable)),
        Err(SendError::Broken(_)) => Err(Failure::unknown(FailureKind::Broken)),
    }
}

/// The request as the endpoint gets it.
fn addressed(
    exchange: &Exchange,
    endpoint: &EndpointId,
    last_event_id: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(exchange.body.clone()));
    *request.method_mut() = exchange.method.clone();
    *request.uri_mut() = path_and_query(&exchange.uri);
    let mut headers = exchange.headers.clone();
    let address = Address {
        endpoint,
        left_ms: exchange.left_ms(clock::now()).max(1),
        customer: exchange.customer.as_deref(),
        last_event_id,
    };
    exchange
        .gateway
        .dialect
        .address_request(&mut headers, &address);
    *request.headers_mut() = headers;
    request
}

fn path_and_query(uri: &Uri) -> Uri {
    let Some(path) = uri.path_and_query() else {
        return Uri::from_static("/");
    };
    Uri::from(path.clone())
}

/// Decides whether an answer is one to this request.
fn judge(
    exchange: &Exchange,
    response: Response<Incoming>,
    connection: Connection,
    guard: AttemptGuard,
) -> Result<Head, Failure> {
    let gateway = &exchange.gateway;
    let marks = gateway
        .dialect
        .read_answer(response.status().as_u16(), response.headers());
    let is_other = marks
        .attempt_id
        .as_ref()
        .is_some_and(|id| *id != exchange.hints.attempt_id);
    if is_other {
        log::warn!(
            "kind=answer-of-another-request id={} endpoint={}",
            exchange.hints.attempt_id,
            guard.endpoint
        );
        return Err(Failure::unknown(FailureKind::Garbled));
    }
    if marks.is_misdirected {
        gateway
            .control
            .borrow_mut()
            .directory
            .displaced(&guard.endpoint);
        log::warn!("kind=endpoint-displaced endpoint={}", guard.endpoint);
        return Err(Failure::not_sent(FailureKind::Unreachable));
    }
    if marks.not_run {
        return Err(Failure {
            kind: FailureKind::Shed,
            not_run: true,
            arrived: true,
            retry_after_ms: marks.retry_after_ms,
        });
    }
    let is_encoded = response.headers().contains_key(header::CONTENT_ENCODING);
    if response.status().is_success() && (!marks.is_signed || is_encoded) {
        return Err(Failure::unknown(FailureKind::Garbled));
    }
    Ok(Head {
        response,
        marks,
        connection,
        guard,
    })
}
