//! Handles one client request from arrival to response.

use std::cell::Cell;
use std::rc::Rc;

use curranttrestle::coordination::gateway::control::{Placement, RefusalInputs};
use curranttrestle::coordination::gateway::outlier_detection::FailureKind;
use curranttrestle::coordination::gateway::request_quarantine::{RequestIdentity, RequestParts};
use curranttrestle::coordination::gateway::warmup::ENDPOINTS_COLD;
use curranttrestle::state::Now;
use curranttrestle::state::gateway::{RequestHints, Route};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use rand::Rng;

use super::attempt::{self, Failure, ResponseHead};
use super::body::read_body;
use super::event_stream::EventStream;
use super::exchange::{Exchange, PROMPT_QUARANTINED, QUARANTINED};
use super::headers::{head_bytes, remove_hop_by_hop};
use super::held::HeldMemory;
use super::record::{RequestRecord, STALE_CONFIGURATION, load_fields};
use super::response::{ClientResponse, LocalResponse, implies_not_run, response_head, with_body};
use super::response_body::collect_response;
use super::resumption::require_version;
use crate::clock;
use crate::gateway::{Gateway, Phase};
use crate::memory::{MemoryKind, socket_buffer_bytes};
use crate::timer::with_timeout;

/// Handles a request. Closes the connection afterwards if too many clients are connected or the
/// gateway is stopping.
pub async fn handle(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    is_over_client_limit: bool,
) -> ClientResponse {
    let arrived = clock::now();
    let (parts, body) = request.into_parts();
    let mut record = RequestRecord::new(&gateway, arrived);
    let is_stopping = gateway.phase.get() != Phase::Running;
    let mut response = match prepare_exchange(&gateway, parts, body, &mut record, arrived).await {
        Ok(exchange) => forward(exchange, record).await,
        Err(local) => finish_locally(local, &mut record),
    };
    if is_over_client_limit || is_stopping || gateway.phase.get() != Phase::Running {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn finish_locally(local: LocalResponse, record: &mut RequestRecord) -> ClientResponse {
    let outcome = match local.status {
        StatusCode::SERVICE_UNAVAILABLE => "refused",
        status if status.is_client_error() => "rejected",
        _ => "failed",
    };
    record.finish(outcome, local.reason, clock::now());
    local.into_response()
}

/// Reads a request and determines its route and customer.
async fn prepare_exchange(
    gateway: &Rc<Gateway>,
    parts: Parts,
    body: Incoming,
    record: &mut RequestRecord,
    arrived: Now,
) -> Result<Exchange, LocalResponse> {
    let bad_request = |reason| LocalResponse::new(StatusCode::BAD_REQUEST, reason);
    let limits = gateway.control.borrow().client_limits();
    if head_bytes(&parts.headers) > limits.header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(LocalResponse::new(status, "head-too-large"));
    }
    let is_ambiguous = parts.headers.contains_key(header::TRANSFER_ENCODING)
        && parts.headers.contains_key(header::CONTENT_LENGTH);
    if is_ambiguous {
        return Err(bad_request("two-lengths"));
    }
    let hints = gateway
        .dialect
        .read_request(&parts.headers)
        .map_err(|error| {
            log::info!("kind=request-unreadable error={error:?}");
            bad_request("unreadable-header")
        })?;
    record.set_attempt_id(&hints.attempt_id);
    let host = host(&parts).ok_or_else(|| bad_request("no-host"))?;
    resolve(gateway, &host, parts.uri.path(), &hints, arrived)?;
    let request_memory = take_request_memory(gateway)?;
    let (body, body_memory) = read_body(gateway, &parts.headers, body, &hints).await?;
    // The configuration may have changed while the body was read.
    let now = clock::now();
    let resolved = resolve(gateway, &host, parts.uri.path(), &hints, now)?;
    let limit_ms = hints
        .deadline_ms
        .unwrap_or(u64::MAX)
        .min(resolved.route.timeout_ms);
    record.set_route(&resolved.route, resolved.customer.as_deref(), limit_ms);
    let deadline_steady_ms = arrived.steady_ms.saturating_add(limit_ms);
    // The gateway may have begun to stop, too.
    if !gateway.phase.get().allows(deadline_steady_ms) {
        let retry_ms = gateway.settings.traffic.refusal_retry_after_ms;
        return Err(LocalResponse::refused("stopping", retry_ms));
    }
    let mut headers = parts.headers;
    remove_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let customer = resolved.customer.as_deref().unwrap_or_default();
    let identity = RequestIdentity::of(&RequestParts {
        method: parts.method.as_str(),
        host: &host,
        path: parts.uri.path(),
        query: parts.uri.query(),
        customer,
        body: &body,
    });
    let mut control = gateway.control.borrow_mut();
    control.record_arrival(&resolved.service, customer, &hints, now);
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
        identity,
        arrived,
        deadline_steady_ms,
        sends: Cell::new(0),
        has_retry_token: Cell::new(false),
        required_version: Cell::new(None),
        requires_only_version: Cell::new(false),
        continues_known_stream: false,
        excluded: Vec::new(),
        memory: [body_memory, request_memory],
    })
}

/// Takes the memory of a request apart from its body.
fn take_request_memory(gateway: &Rc<Gateway>) -> Result<HeldMemory, LocalResponse> {
    let buffer_bytes = socket_buffer_bytes(gateway.settings.resources.memory_bytes);
    // Bytes of the body or of the response that are not read yet.
    let bytes = gateway.settings.memory.request_bytes + buffer_bytes.unwrap_or_default();
    let retry_ms = gateway.settings.traffic.refusal_retry_after_ms;
    HeldMemory::try_take(gateway, MemoryKind::Connections, bytes)
        .ok_or_else(|| LocalResponse::refused("client-memory", retry_ms))
}

fn host(parts: &Parts) -> Option<String> {
    let authority = parts.uri.authority().map(ToString::to_string);
    authority.or_else(|| {
        let mut hosts = parts.headers.get_all(header::HOST).iter();
        let host = hosts.next()?.to_str().ok()?.to_owned();
        // With two `Host` headers, the endpoint might choose the other one.
        hosts.next().is_none().then_some(host)
    })
}

/// What the configuration says about a request.
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
) -> Result<Resolved, LocalResponse> {
    let retry_ms = gateway.settings.traffic.refusal_retry_after_ms;
    let control = gateway.control.borrow();
    let Some(table) = control.routes().filter(|_| control.is_ready()) else {
        return Err(LocalResponse::refused("no-configuration", retry_ms));
    };
    let is_fresh = control.config_freshness.is_fresh(now);
    let Some(route) = table.route(host, path) else {
        return Err(LocalResponse::new(StatusCode::NOT_FOUND, "no-route"));
    };
    // A key that the client sent is checked even if none is needed.
    let has_key = hints.credential.is_some();
    let customer = if (table.requires_keys() || has_key) && !route.anonymous {
        if !is_fresh {
            return Err(LocalResponse::refused(STALE_CONFIGURATION, retry_ms));
        }
        let key = hints.credential.as_deref();
        let Some(customer) = key.and_then(|key| table.customer(key)) else {
            return Err(LocalResponse::new(StatusCode::UNAUTHORIZED, "unknown-key"));
        };
        Some(customer.name.clone())
    } else {
        None
    };
    // The endpoint may read it in another way, so what it sends may not follow.
    if hints.has_unreadable_event_id && route.retry_policy.is_stream() {
        let reason = "unreadable-event-id";
        return Err(LocalResponse::new(StatusCode::BAD_REQUEST, reason));
    }
    let Some(service) = table.choose_service(route, rand::rng().random()) else {
        return Err(LocalResponse::refused("no-service", retry_ms));
    };
    Ok(Resolved {
        service: service.to_owned(),
        route: route.clone(),
        customer,
    })
}

/// Sends a request to endpoints until one responds or no other may be tried.
async fn forward(mut exchange: Exchange, mut record: RequestRecord) -> ClientResponse {
    let mut last: Option<Failure> = None;
    if let Err(reason) = require_version(&mut exchange).await {
        let retry_after_ms = exchange.gateway.settings.traffic.refusal_retry_after_ms;
        return finish_locally(LocalResponse::refused(reason, retry_after_ms), &mut record);
    }
    loop {
        let now = clock::now();
        if let Some(refusal_reason) = exchange.refusal_reason(now) {
            let local = refusal_response(&exchange, refusal_reason, last);
            return finish_locally(local, &mut record);
        }
        // A stream that has used an engine already is not refused like a new request.
        let choice = match exchange.place(exchange.continues_known_stream, now) {
            Placement::Send(choice) => choice,
            Placement::Refuse {
                reason,
                retry_after_ms,
                inputs,
            } => {
                if reason == ENDPOINTS_COLD {
                    exchange.gateway.count_cold_refusal();
                }
                if record.should_log_refusal(now) {
                    log_refusal(&exchange, reason, inputs, retry_after_ms);
                }
                let local = failure_response(&exchange, last, reason, retry_after_ms);
                return finish_locally(local, &mut record);
            }
        };
        record.record_placement(&choice);
        let response_deadline_ms = response_deadline_ms(&exchange, choice.predicted_ms, now);
        let last_event_id = exchange.hints.last_event_id;
        let sent = attempt::send(
            &exchange,
            &choice,
            false,
            last_event_id,
            response_deadline_ms,
        )
        .await;
        let endpoint = choice.entry.endpoint.clone();
        if let Ok(head) = &sent {
            record.record_sent(head.guard.connected_ms());
        }
        let failure = match sent {
            Ok(head) => match forward_response(exchange, head, choice.predicted_ms, record).await {
                Forwarded::Sent(response) => return response,
                Forwarded::Failed(failure, state) => {
                    (exchange, record) = *state;
                    failure
                }
            },
            Err(failure) => failure,
        };
        let now = clock::now();
        // `forward_response` has already recorded `FailureKind::Failed`.
        if failure.kind != FailureKind::Failed {
            exchange.record_failure(&endpoint, failure.kind, now);
        }
        exchange.excluded.push(endpoint.clone());
        last = Some(merge_failures(last, failure));
        let may_run_again = failure.not_run || exchange.route.retry_policy.allows_rerun();
        if !may_run_again || !exchange.try_retry(now) {
            let retry_after_ms = retry_after_failure_ms(&exchange, now);
            let local = failure_response(&exchange, last, failure.kind.as_str(), retry_after_ms);
            return finish_locally(local, &mut record);
        }
        exchange.log_retry(failure.kind.as_str(), &endpoint);
    }
}

/// Suggested delay before a client retries a request that did not run.
const RETRY_AFTER_FAILURE_MS: f64 = 250.0;

/// When a client may retry a request that an endpoint did not run, in milliseconds: soon, since
/// another endpoint may take it, or when the first of them is no longer paused.
fn retry_after_failure_ms(exchange: &Exchange, now: Now) -> f64 {
    let control = exchange.gateway.control.borrow();
    let pause_ms = control.service_pause_ms(exchange.placement_request(false), now);
    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    pause_ms.map_or(RETRY_AFTER_FAILURE_MS, |pause_ms| {
        (pause_ms as f64).max(RETRY_AFTER_FAILURE_MS)
    })
}

/// If an earlier attempt may have run, the request may have run, whatever the later attempts say.
fn merge_failures(before: Option<Failure>, failure: Failure) -> Failure {
    match before {
        Some(before) if !before.not_run => Failure {
            not_run: false,
            ..failure
        },
        _ => failure,
    }
}

fn log_refusal(exchange: &Exchange, reason: &str, inputs: RefusalInputs, retry_after_ms: f64) {
    let control = exchange.gateway.control.borrow();
    let customer = exchange.customer.as_deref().unwrap_or_default();
    let now = clock::now();
    let (requested, admitted) = control.shares.window_totals(customer, now);
    let coverage = control.shares.coverage(now);
    let RefusalInputs {
        predicted_ms,
        wait_ms,
        own_delay_ms,
        load,
        share_ratio,
    } = inputs;
    log::info!(
        "kind=request-refused id={} reason={reason} predicted_ms={predicted_ms:.0} wait_ms={wait_ms:.0} own_delay_ms={own_delay_ms:.0} {} target_ms={} retry_after_ms={retry_after_ms:.0} asked_tokens={requested:.0} admitted_tokens={admitted:.0} share_ratio={share_ratio:.2} share_reports={} oldest_share_ms={} gateways={}",
        exchange.hints.attempt_id,
        load_fields(&load),
        exchange.route.target_latency_ms,
        coverage.reports,
        coverage.oldest_age_ms,
        control.fleet_size()
    );
}

fn refusal_response(
    exchange: &Exchange,
    refusal_reason: &'static str,
    last: Option<Failure>,
) -> LocalResponse {
    let retry_after_ms = refusal_retry_after_ms(exchange, refusal_reason);
    if refusal_reason == "key-withdrawn" && last.is_none() {
        return LocalResponse::new(StatusCode::UNAUTHORIZED, refusal_reason);
    }
    failure_response(exchange, last, refusal_reason, retry_after_ms)
}

/// When a client may retry a request that was refused for `refusal_reason`, in milliseconds.
fn refusal_retry_after_ms(exchange: &Exchange, refusal_reason: &str) -> f64 {
    let default_ms = exchange.gateway.settings.traffic.refusal_retry_after_ms;
    let control = exchange.gateway.control.borrow();
    let now = clock::now();
    let left_ms = match refusal_reason {
        QUARANTINED => control.quarantine.refusal_ms(&exchange.identity, now),
        PROMPT_QUARANTINED => {
            let shared_parts = exchange.hints.shared_parts();
            control.prompt_parts.refusal_ms(shared_parts, now)
        }
        _ => None,
    };
    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    left_ms.map_or(default_ms, |left_ms| left_ms as f64)
}

/// Response to the client when no endpoint responded. It says that the request did not run only if
/// that is certain.
fn failure_response(
    exchange: &Exchange,
    last: Option<Failure>,
    reason: &'static str,
    retry_after_ms: f64,
) -> LocalResponse {
    match last {
        None => LocalResponse::refused(reason, retry_after_ms),
        Some(failure) if failure.not_run => LocalResponse::refused(reason, retry_after_ms),
        Some(failure) if failure.kind == FailureKind::TimedOut => {
            LocalResponse::new(StatusCode::GATEWAY_TIMEOUT, reason)
        }
        Some(_) if exchange.remaining_ms(clock::now()) == 0 => {
            LocalResponse::new(StatusCode::GATEWAY_TIMEOUT, reason)
        }
        Some(_) => LocalResponse::new(StatusCode::BAD_GATEWAY, reason),
    }
}

/// When to stop waiting for the head of a response, by the steady clock: at the request's deadline,
/// or earlier if another endpoint may still be tried.
fn response_deadline_ms(exchange: &Exchange, predicted_ms: f64, now: Now) -> u64 {
    let may_retry = exchange.route.retry_policy.allows_rerun()
        && exchange.sends.get() + 1 < exchange.route.max_attempts;
    if !may_retry {
        return exchange.deadline_steady_ms;
    }
    let timeout_ms = exchange.first_event_timeout_ms(predicted_ms);
    exchange.deadline_steady_ms.min(now.steady_ms + timeout_ms)
}

/// The result of forwarding a response.
enum Forwarded {
    Sent(ClientResponse),
    Failed(Failure, Box<(Exchange, RequestRecord)>),
}

/// Forwards an endpoint's response to the client.
async fn forward_response(
    exchange: Exchange,
    head: ResponseHead,
    predicted_ms: f64,
    mut record: RequestRecord,
) -> Forwarded {
    let status = head.response.status();
    let content_type = head.response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let is_stream = content_type.is_some_and(|value| value.starts_with("text/event-stream"))
        || exchange.route.retry_policy.is_stream();
    let parts = response_head(&head.response);
    if status.is_success() && is_stream {
        let event_stream = EventStream::new(exchange, head, predicted_ms, record);
        return Forwarded::Sent(with_body(parts, event_stream.into_body()));
    }
    let ResponseHead {
        response,
        info,
        framing,
        connection,
        guard,
    } = head;
    let remaining_ms = exchange.remaining_ms(clock::now());
    let collect = async {
        let body = collect_response(&exchange.gateway, response.into_body()).await?;
        framing.is_complete(&exchange, &guard).await.then_some(body)
    };
    let body = match with_timeout(remaining_ms, collect).await {
        Some(Some(body)) => body,
        Some(None) => {
            exchange.record_crash(guard.run(), clock::now());
            let failure = Failure::possibly_run(FailureKind::ConnectionLost);
            return Forwarded::Failed(failure, Box::new((exchange, record)));
        }
        None => {
            let failure = Failure::possibly_run(FailureKind::TimedOut);
            return Forwarded::Failed(failure, Box::new((exchange, record)));
        }
    };
    let now = clock::now();
    guard.record_first_event(now);
    exchange.record_begun(now);
    if status.is_server_error() {
        exchange.record_failure(&guard.endpoint, FailureKind::Failed, now);
        exchange.return_connection(connection);
        if exchange.route.retry_policy.allows_rerun() && may_try_another(&exchange, now) {
            let failure = Failure::possibly_run(FailureKind::Failed);
            return Forwarded::Failed(failure, Box::new((exchange, record)));
        }
    } else {
        exchange.record_success(&guard.endpoint, now);
        exchange.return_connection(connection);
    }
    if implies_not_run(status) {
        // These statuses promise that the request did not run, which the endpoint did not declare.
        let local = LocalResponse::new(StatusCode::BAD_GATEWAY, "endpoint-failed");
        return Forwarded::Sent(finish_locally(local, &mut record));
    }
    record.record_first_event(now);
    let outcome = if status.is_success() {
        "answered"
    } else {
        "endpoint-failed"
    };
    record.finish(
        outcome,
        if info.is_signed { "signed" } else { "unsigned" },
        now,
    );
    Forwarded::Sent(with_body(parts, Box::pin(body)))
}

/// Whether another endpoint could take the request; the retry budget is checked later.
fn may_try_another(exchange: &Exchange, now: Now) -> bool {
    exchange.sends.get() < exchange.route.max_attempts
        && exchange.remaining_ms(now) > exchange.gateway.settings.traffic.min_remaining_ms
}
