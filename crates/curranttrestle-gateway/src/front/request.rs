//! A request of a client, from its arrival to its answer.

use std::cell::Cell;
use std::rc::Rc;

use curranttrestle::coordination::gateway::control::Placement;
use curranttrestle::coordination::gateway::trust::FailureKind;
use curranttrestle::state::Now;
use curranttrestle::state::gateway::{RequestHints, Route};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use xxhash_rust::xxh3::Xxh3;

use super::answer::{Answer, AnswerBody, OwnAnswer, whole};
use super::attempt::{self, Failure, Head};
use super::body::read_body;
use super::ending::{Ending, STALE_CONFIGURATION};
use super::exchange::Exchange;
use super::headers::{head_bytes, remove_hop_by_hop};
use super::relay::Relay;
use crate::clock;
use crate::gateway::{Gateway, Phase};
use crate::timer::within;

/// Answers a request. Where too many clients are connected, the connection ends with it.
pub async fn handle(gateway: Rc<Gateway>, request: Request<Incoming>, is_crowded: bool) -> Answer {
    let arrived = clock::now();
    let (parts, body) = request.into_parts();
    let mut ending = Ending::new(&gateway, arrived);
    let is_leaving = gateway.phase.get() != Phase::Running;
    let mut answer = match admit(&gateway, parts, body, &mut ending, arrived).await {
        Ok(exchange) => serve(exchange, ending).await,
        Err(own) => finish_own(own, &mut ending),
    };
    if is_crowded || is_leaving || gateway.phase.get() != Phase::Running {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

fn finish_own(own: OwnAnswer, ending: &mut Ending) -> Answer {
    let outcome = match own.status {
        StatusCode::SERVICE_UNAVAILABLE => "refused",
        status if status.is_client_error() => "rejected",
        _ => "failed",
    };
    ending.ended(outcome, own.reason, clock::now());
    own.into_answer()
}

/// Reads a request and finds its route and customer.
async fn admit(
    gateway: &Rc<Gateway>,
    parts: Parts,
    body: Incoming,
    ending: &mut Ending,
    arrived: Now,
) -> Result<Exchange, OwnAnswer> {
    let bad = |reason| OwnAnswer::new(StatusCode::BAD_REQUEST, reason);
    let limits = gateway.control.borrow().client_limits();
    if head_bytes(&parts.headers) > limits.header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(OwnAnswer::new(status, "head-too-large"));
    }
    let is_ambiguous = parts.headers.contains_key(header::TRANSFER_ENCODING)
        && parts.headers.contains_key(header::CONTENT_LENGTH);
    if is_ambiguous {
        return Err(bad("two-lengths"));
    }
    let hints = gateway
        .dialect
        .read_request(&parts.headers)
        .map_err(|error| {
            log::info!("kind=request-unreadable error={error:?}");
            bad("unreadable-header")
        })?;
    ending.identified(&hints.attempt_id);
    let host = host(&parts).ok_or_else(|| bad("no-host"))?;
    resolve(gateway, &host, parts.uri.path(), &hints, arrived)?;
    let (body, memory) = read_body(gateway, &parts.headers, body, &hints).await?;
    // The body may have taken long; the newest configuration decides.
    let now = clock::now();
    let resolved = resolve(gateway, &host, parts.uri.path(), &hints, now)?;
    let wait_ms = hints
        .deadline_ms
        .unwrap_or(u64::MAX)
        .min(resolved.route.timeout_ms);
    ending.resolved(&resolved.route, resolved.customer.as_deref(), wait_ms);
    let mut headers = parts.headers;
    remove_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let customer = resolved.customer.as_deref().unwrap_or_default();
    let digest = digest(parts.uri.path(), customer, &body);
    let mut control = gateway.control.borrow_mut();
    control.arrived(&resolved.service, customer, &hints, now);
    drop(control);
    Ok(Exchange {
        gateway: Rc::clone(gateway),
        route: resolved.route,
        service: resolved.service,
        customer: resolved.customer,
        hints,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        digest,
        arrived,
        limit_ms: arrived.steady_ms.saturating_add(wait_ms),
        sends: Cell::new(0),
        has_repeat: Cell::new(false),
        excluded: Vec::new(),
        memory,
    })
}

fn host(parts: &Parts) -> Option<String> {
    let authority = parts.uri.authority().map(ToString::to_string);
    authority.or_else(|| {
        let mut hosts = parts.headers.get_all(header::HOST).iter();
        let host = hosts.next()?.to_str().ok()?.to_owned();
        // Two hosts could be read differently by an endpoint.
        hosts.next().is_none().then_some(host)
    })
}

/// What the configuration says of a request.
struct Resolved {
    route: Route,
    service: String,
    customer: Option<String>,
}

fn resolve(
    gateway: &Gateway,
    host: &str,
    path: &str,
    hints: &RequestHints,
    now: Now,
) -> Result<Resolved, OwnAnswer> {
    let retry_ms = gateway.settings.traffic.stale_retry_ms;
    let control = gateway.control.borrow();
    let Some(table) = control.routes().filter(|_| control.is_ready()) else {
        return Err(OwnAnswer::refused("no-configuration", retry_ms));
    };
    let is_fresh = control.freshness.is_fresh(now);
    let Some(route) = table.route(host, path) else {
        return Err(OwnAnswer::new(StatusCode::NOT_FOUND, "no-route"));
    };
    let customer = if table.has_customers() && !route.anonymous {
        if !is_fresh {
            return Err(OwnAnswer::refused(STALE_CONFIGURATION, retry_ms));
        }
        let key = hints.credential.as_deref().unwrap_or_default();
        let Some(customer) = table.customer(key) else {
            return Err(OwnAnswer::new(StatusCode::UNAUTHORIZED, "unknown-key"));
        };
        Some(customer.name.clone())
    } else {
        None
    };
    let Some(service) = table.target(route, rand::rng().random()) else {
        return Err(OwnAnswer::refused("no-service", retry_ms));
    };
    Ok(Resolved {
        service: service.to_owned(),
        route: route.clone(),
        customer,
    })
}

fn digest(path: &str, customer: &str, body: &[u8]) -> [u8; 16] {
    let mut hasher = Xxh3::new();
    for part in [path.as_bytes(), customer.as_bytes(), body] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128().to_le_bytes()
}

/// Sends a request to endpoints until one answers, or no other may be tried.
async fn serve(mut exchange: Exchange, mut ending: Ending) -> Answer {
    let mut last: Option<Failure> = None;
    loop {
        let now = clock::now();
        if let Some(obstacle) = exchange.obstacle(now) {
            let own = own_obstacle(&exchange, obstacle, last);
            return finish_own(own, &mut ending);
        }
        let choice = match exchange.place(false, now) {
            Placement::Send(choice) => choice,
            Placement::Refuse {
                reason,
                retry_after_ms,
                predicted_ms,
            } => {
                if ending.is_refusal_logged(now) {
                    log_refusal(&exchange, reason, predicted_ms, retry_after_ms);
                }
                let own = own_failure(&exchange, last, reason, retry_after_ms);
                return finish_own(own, &mut ending);
            }
        };
        ending.placed(&choice);
        let wait_until_ms = wait_until_ms(&exchange, choice.predicted_ms, now);
        let last_event_id = exchange.hints.last_event_id;
        let sent = attempt::send(&exchange, &choice, false, last_event_id, wait_until_ms).await;
        let endpoint = choice.entry.endpoint.clone();
        let failure = match sent {
            Ok(head) => match pass_on(exchange, head, choice.predicted_ms, ending).await {
                Passed::Answered(answer) => return answer,
                Passed::Failed(failure, back) => {
                    (exchange, ending) = *back;
                    failure
                }
            },
            Err(failure) => failure,
        };
        let now = clock::now();
        if failure.kind != FailureKind::Failed {
            exchange.note_failure(&endpoint, failure.kind, now);
        }
        exchange.excluded.push(endpoint.clone());
        last = Some(worse(last, failure));
        let may_run_again = failure.not_run || exchange.route.repeat.may_run_again();
        if !may_run_again || !exchange.may_repeat(now) {
            let retry_after_ms = failure.retry_after_ms.unwrap_or(RETRY_AFTER_FAILURE_MS);
            let own = own_failure(&exchange, last, failure.kind.as_str(), retry_after_ms);
            return finish_own(own, &mut ending);
        }
        exchange.log_repeat(failure.kind.as_str(), &endpoint);
    }
}

/// When a request that an endpoint did not run may come back.
const RETRY_AFTER_FAILURE_MS: f64 = 250.0;

/// A request that may have run once may have run, whatever became of later attempts.
fn worse(before: Option<Failure>, failure: Failure) -> Failure {
    match before {
        Some(before) if !before.not_run => Failure {
            not_run: false,
            ..failure
        },
        _ => failure,
    }
}

fn log_refusal(exchange: &Exchange, reason: &str, predicted_ms: f64, retry_after_ms: f64) {
    let control = exchange.gateway.control.borrow();
    let customer = exchange.customer.as_deref().unwrap_or_default();
    let (asked, admitted) = control.shares.window(customer, clock::now());
    log::info!(
        "kind=request-refused id={} reason={reason} predicted_ms={predicted_ms:.0} target_ms={} retry_after_ms={retry_after_ms:.0} asked_tokens={asked:.0} admitted_tokens={admitted:.0} gateways={}",
        exchange.hints.attempt_id,
        exchange.route.target_latency_ms,
        control.fleet_size()
    );
}

fn own_obstacle(exchange: &Exchange, obstacle: &'static str, last: Option<Failure>) -> OwnAnswer {
    let retry_after_ms = exchange.gateway.settings.traffic.stale_retry_ms;
    if obstacle == "key-withdrawn" && last.is_none() {
        return OwnAnswer::new(StatusCode::UNAUTHORIZED, obstacle);
    }
    own_failure(exchange, last, obstacle, retry_after_ms)
}

/// What a client is told when no endpoint answered: that its request did not run, where that
/// is certain, and that it may have run, where it is not.
fn own_failure(
    exchange: &Exchange,
    last: Option<Failure>,
    reason: &'static str,
    retry_after_ms: f64,
) -> OwnAnswer {
    match last {
        None => OwnAnswer::refused(reason, retry_after_ms),
        Some(failure) if failure.not_run => OwnAnswer::refused(reason, retry_after_ms),
        Some(failure) if failure.kind == FailureKind::Silent => {
            OwnAnswer::new(StatusCode::GATEWAY_TIMEOUT, reason)
        }
        Some(_) if exchange.left_ms(clock::now()) == 0 => {
            OwnAnswer::new(StatusCode::GATEWAY_TIMEOUT, reason)
        }
        Some(_) => OwnAnswer::new(StatusCode::BAD_GATEWAY, reason),
    }
}

/// How long the head of an answer is waited for: until the limit, or less where another
/// endpoint may still be tried.
fn wait_until_ms(exchange: &Exchange, predicted_ms: f64, now: Now) -> u64 {
    let may_repeat = exchange.route.repeat.may_run_again()
        && exchange.sends.get() + 1 < exchange.route.max_attempts;
    if !may_repeat {
        return exchange.limit_ms;
    }
    let silent_ms = exchange.silent_start_ms(predicted_ms);
    exchange.limit_ms.min(now.steady_ms + silent_ms)
}

/// What became of an answer whose head came.
enum Passed {
    Answered(Answer),
    Failed(Failure, Box<(Exchange, Ending)>),
}

/// Passes an endpoint's answer on.
async fn pass_on(exchange: Exchange, head: Head, predicted_ms: f64, mut ending: Ending) -> Passed {
    let status = head.response.status();
    let content_type = head.response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let is_stream = content_type.is_some_and(|value| value.starts_with("text/event-stream"))
        || exchange.route.repeat.is_stream();
    let parts = without_body(&head);
    if status.is_success() && is_stream {
        let relay = Relay::new(exchange, head, predicted_ms, ending);
        return Passed::Answered(with_body(parts, relay.into_body()));
    }
    let Head {
        response,
        marks,
        connection,
        guard,
    } = head;
    let left_ms = exchange.left_ms(clock::now());
    let max_bytes = exchange.gateway.settings.traffic.whole_answer_bytes;
    let collect = Limited::new(response.into_body(), max_bytes).collect();
    let body = match within(left_ms, collect).await {
        Some(Ok(body)) => body.to_bytes(),
        Some(Err(error)) => {
            log::debug!("kind=answer-broken error={error:?}");
            let failure = Failure::unknown(FailureKind::Broken);
            return Passed::Failed(failure, Box::new((exchange, ending)));
        }
        None => {
            let failure = Failure::unknown(FailureKind::Silent);
            return Passed::Failed(failure, Box::new((exchange, ending)));
        }
    };
    let now = clock::now();
    guard.first_event(now);
    if status.is_server_error() {
        exchange.note_failure(&guard.endpoint, FailureKind::Failed, now);
        exchange.release(connection);
        if exchange.route.repeat.may_run_again() && may_try_elsewhere(&exchange, now) {
            let failure = Failure::unknown(FailureKind::Failed);
            return Passed::Failed(failure, Box::new((exchange, ending)));
        }
    } else {
        exchange.note_success(&guard.endpoint, now);
        exchange.release(connection);
    }
    if is_false_promise(status) {
        // These statuses promise that the request did not run, which nobody said.
        let own = OwnAnswer::new(StatusCode::BAD_GATEWAY, "endpoint-failed");
        return Passed::Answered(finish_own(own, &mut ending));
    }
    ending.first_event(now);
    let outcome = if status.is_success() {
        "answered"
    } else {
        "endpoint-failed"
    };
    ending.ended(
        outcome,
        if marks.is_signed {
            "signed"
        } else {
            "unsigned"
        },
        now,
    );
    Passed::Answered(with_body(parts, whole(body)))
}

/// Whether another endpoint could take the request; the budget decides later.
fn may_try_elsewhere(exchange: &Exchange, now: Now) -> bool {
    exchange.sends.get() < exchange.route.max_attempts
        && exchange.left_ms(now) > exchange.gateway.settings.traffic.min_left_ms
}

fn is_false_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// The head of the answer as the client gets it.
fn without_body(head: &Head) -> Response<()> {
    let mut parts = Response::new(());
    *parts.status_mut() = head.response.status();
    let mut headers = head.response.headers().clone();
    remove_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    *parts.headers_mut() = headers;
    parts
}

fn with_body(parts: Response<()>, body: AnswerBody) -> Answer {
    parts.map(|()| body)
}
