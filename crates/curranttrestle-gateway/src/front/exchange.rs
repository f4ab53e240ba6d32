//! State of one client request while it is handled.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use curranttrestle::coordination::gateway::control::{Control, Placement, PlacementRequest};
use curranttrestle::coordination::gateway::directory::EndpointRun;
use curranttrestle::coordination::gateway::outlier_detection::FailureKind;
use curranttrestle::coordination::gateway::request_quarantine::RequestIdentity;
use curranttrestle::coordination::gateway::software_version::VersionKey;
use curranttrestle::coordination::gateway::stream_versions::StreamKey;
use curranttrestle::state::gateway::{RequestHints, RetryPolicy, Route};
use curranttrestle::state::{EndpointId, Now};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};

use super::held::HeldMemory;
use super::record::STALE_CONFIGURATION;
use crate::clock;
use crate::gateway::Gateway;
use crate::timer::{sleep_ms, sleep_until};
use crate::upstream::Connection;

/// Reason for refusing a request that crashes endpoints.
pub const QUARANTINED: &str = "quarantined";

/// Reason for refusing a request with a prompt part that crashes engines.
pub const PROMPT_QUARANTINED: &str = "prompt-quarantined";

/// Interval for checking whether a timeout was caused by this gateway's own delay.
const TIMEOUT_CHECK_INTERVAL_MS: u64 = 10;

/// One client request and the state of its attempts.
#[derive(Debug)]
pub struct Exchange {
    /// The gateway.
    pub gateway: Rc<Gateway>,
    /// The route that applied when the body had been read.
    pub route: Route,
    /// The service that handles the request.
    pub service: String,
    /// The customer; `None` if the route needs no key.
    pub customer: Option<String>,
    /// What the client said about the request.
    pub hints: RequestHints,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Identifies the request across its attempts.
    pub identity: RequestIdentity,
    /// When the request arrived.
    pub arrived: Now,
    /// When the request times out, by the steady clock.
    pub deadline_steady_ms: u64,
    /// Number of attempts that may have reached the intended endpoint, also of those that were dropped
    /// while they waited for a response.
    pub sends: Cell<u32>,
    /// A retry was taken from the budget and has not been used yet.
    pub has_retry_token: Cell<bool>,
    /// The software version that sent the first event of the stream; `None` before that.
    pub required_version: Cell<Option<VersionKey>>,
    /// Whether that version is required only because the service had no other one.
    pub requires_only_version: Cell<bool>,
    /// Whether the client resumes a stream of which it is known where it began.
    pub continues_known_stream: bool,
    /// Endpoints that failed the request.
    pub excluded: Vec<EndpointId>,
    /// Memory of the body and of the request itself.
    pub memory: [HeldMemory; 2],
}

impl Exchange {
    /// Time left until the deadline.
    #[must_use]
    pub fn remaining_ms(&self, now: Now) -> u64 {
        self.deadline_steady_ms.saturating_sub(now.steady_ms)
    }

    /// Describes the request for placement.
    #[must_use]
    pub fn placement_request(&self, is_resumed: bool) -> PlacementRequest<'_> {
        PlacementRequest {
            route: &self.route,
            service: &self.service,
            customer: self.customer.as_deref().unwrap_or_default(),
            hints: &self.hints,
            excluded: &self.excluded,
            is_retry: self.sends.get() > 0,
            is_resumed,
            required_version: self.required_version.get(),
        }
    }

    /// Chooses an endpoint.
    #[must_use]
    pub fn place(&self, is_resumed: bool, now: Now) -> Placement {
        self.gateway
            .control
            .borrow()
            .place(self.placement_request(is_resumed), now)
    }

    /// Why the request must not be sent to an endpoint now; `None` if it may be.
    #[must_use]
    pub fn refusal_reason(&self, now: Now) -> Option<&'static str> {
        let control = self.gateway.control.borrow();
        if control.quarantine.is_refused(&self.identity, now) {
            return Some(QUARANTINED);
        }
        let shared_parts = self.hints.shared_parts();
        if control.prompt_parts.refusal_ms(shared_parts, now).is_some() {
            return Some(PROMPT_QUARANTINED);
        }
        // Without a customer there is no key to check.
        let customer = self.customer.as_deref()?;
        if !control.config_freshness.is_fresh(now) {
            return Some(STALE_CONFIGURATION);
        }
        // The key may have been revoked since the request arrived. Without a key or routes the
        // request is not refused.
        let key = self.hints.credential.as_deref()?;
        let holder = control.routes()?.customer(key);
        (holder.is_none_or(|holder| holder.name != customer)).then_some("key-withdrawn")
    }

    /// Whether the request may still be sent to the endpoint that was chosen for it.
    #[must_use]
    pub fn may_send(&self, endpoint: &EndpointId, run: EndpointRun, now: Now) -> bool {
        let control = self.gateway.control.borrow();
        let is_accepted = control.may_send(endpoint, run, self.placement_request(false), now);
        drop(control);
        is_accepted && self.refusal_reason(now).is_none()
    }

    /// Takes a permit to send the request to the endpoint now. Returns false if the endpoint is cold
    /// and this gateway may not send to it now.
    #[must_use]
    pub fn take_permit(&self, endpoint: &EndpointId, now: Now) -> bool {
        let mut control = self.gateway.control.borrow_mut();
        let is_granted = control.take_permit(&self.service, endpoint, now);
        drop(control);
        if !is_granted {
            let id = &self.hints.attempt_id;
            log::info!("kind=send-not-permitted id={id} endpoint={endpoint}");
            self.gateway.count_cold_refusal();
        }
        is_granted
    }

    /// Counts an attempt, before any of it is sent.
    pub fn count_send(&self) {
        self.sends.set(self.sends.get() + 1);
    }

    /// Takes back the count of an attempt that did not reach the intended endpoint.
    pub fn uncount_send(&self) {
        self.sends.set(self.sends.get().saturating_sub(1));
    }

    /// Whether the request may be sent to another endpoint. Uses the retry that [`Self::try_move`]
    /// took, if any. Otherwise checks the route, the time left and the retry budget, and takes a
    /// retry from the budget.
    #[must_use]
    pub fn try_retry(&self, now: Now) -> bool {
        if self.has_retry_token.take() {
            return true;
        }
        let has_time = self.remaining_ms(now) > self.gateway.settings.traffic.min_remaining_ms;
        has_time
            && self.sends.get() < self.route.max_attempts
            && self
                .gateway
                .control
                .borrow_mut()
                .try_retry(&self.service, now)
    }

    /// Whether to abandon the attempt at `from`, which timed out, and use another endpoint. The attempt
    /// continues if no other endpoint would take the request, since a late response is better than
    /// none. If the attempt is abandoned, takes a retry from the budget.
    #[must_use]
    pub fn try_move(&self, from: &EndpointId, is_resumed: bool, now: Now) -> bool {
        if self.sends.get() >= self.route.max_attempts || self.refusal_reason(now).is_some() {
            return false;
        }
        let mut excluded = self.excluded.clone();
        excluded.push(from.clone());
        let request = PlacementRequest {
            excluded: &excluded,
            ..self.placement_request(is_resumed)
        };
        let placement = self.gateway.control.borrow().place(request, now);
        let is_granted = matches!(placement, Placement::Send(_)) && self.try_retry(now);
        self.has_retry_token.set(is_granted);
        is_granted
    }

    /// How long an endpoint may take to send the first event or byte of a response, in
    /// milliseconds. `predicted_ms` is the predicted time to that point.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive durations far below 2^52"
    )]
    pub fn first_event_timeout_ms(&self, predicted_ms: f64) -> u64 {
        let options = &self.gateway.settings.traffic;
        let target_ms = self.route.target_latency_ms as f64;
        let timeout_ms = (options.timeout_target_factor * target_ms.max(predicted_ms)) as u64;
        match self.route.retry_policy {
            RetryPolicy::Stream { .. } => timeout_ms.max(options.min_stream_timeout_ms),
            RetryPolicy::Idempotent | RetryPolicy::AtMostOnce => timeout_ms,
        }
    }

    /// Waits until a timeout that is due at `due_ms` of the steady clock may be blamed on an endpoint,
    /// or until the deadline of the request. A response that has arrived may still wait for its turn
    /// in this gateway.
    pub async fn wait_for_timeout(&self, due_ms: u64) {
        sleep_until(due_ms.min(self.deadline_steady_ms)).await;
        loop {
            let now = clock::now();
            if now.steady_ms >= self.deadline_steady_ms || self.is_timeout_certain(due_ms, now) {
                return;
            }
            sleep_ms(TIMEOUT_CHECK_INTERVAL_MS).await;
        }
    }

    fn is_timeout_certain(&self, due_ms: u64, now: Now) -> bool {
        let control = self.gateway.control.borrow();
        control.load.own_delay.is_timeout_certain(due_ms, now)
    }

    /// Records that the connection to an endpoint was lost before the first event of the response.
    pub fn record_crash(&self, run: EndpointRun, now: Now) {
        let shared_parts = self.hints.shared_parts();
        let mut control = self.gateway.control.borrow_mut();
        control.prompt_parts.record_crash(run, shared_parts, now);
    }

    /// Records that the first event of this attempt came from an endpoint of a software version, at
    /// which the stream has to go on from now on.
    pub fn record_version(&self, version: VersionKey, now: Now) {
        if !self.route.retry_policy.allows_rerun() {
            return;
        }
        self.required_version.set(Some(version));
        self.requires_only_version.set(false);
        if !self.route.retry_policy.is_stream() {
            // No client resumes the response.
            return;
        }
        let began_with = match self.hints.last_event_id {
            Some(_) => self.hints.resumed_attempt_id.as_deref(),
            None => Some(self.hints.attempt_id.as_str()),
        };
        if let Some(attempt_id) = began_with {
            let mut control = self.gateway.control.borrow_mut();
            let stream = StreamKey::of(attempt_id);
            if control.streams.record_begun(stream, version, now) {
                self.gateway.version_reads.check();
            }
        }
    }

    /// Records that the response to the request has begun.
    pub fn record_begun(&self, now: Now) {
        let shared_parts = self.hints.shared_parts();
        let mut control = self.gateway.control.borrow_mut();
        control.prompt_parts.record_begun(shared_parts, now);
    }

    /// Records that an endpoint failed the request.
    pub fn record_failure(&self, endpoint: &EndpointId, kind: FailureKind, now: Now) {
        let attempts = &self.gateway.metrics.attempts;
        attempts.with_label_values(&[kind.as_str()]).inc();
        let deadline_ms = self.deadline_steady_ms;
        if kind == FailureKind::TimedOut
            && now.steady_ms >= deadline_ms
            && !self.is_timeout_certain(deadline_ms, now)
        {
            // The response may have arrived in time.
            return;
        }
        let mut control = self.gateway.control.borrow_mut();
        if kind == FailureKind::ConnectionLost {
            let was_quarantined = control.quarantine.is_refused(&self.identity, now);
            // The request may have crashed the endpoint.
            control
                .quarantine
                .record_crash(endpoint, &self.identity, now);
            self.log_suspicion(&control, endpoint, now);
            if !was_quarantined && control.quarantine.is_refused(&self.identity, now) {
                let id = &self.hints.attempt_id;
                log::warn!("kind=request-quarantined id={id} endpoint={endpoint}");
            }
        }
        if control.record_failure(endpoint, kind, now) {
            let why = kind.as_str();
            log::warn!("kind=endpoint-avoided endpoint={endpoint} why={why}");
        }
    }

    /// Logs the evidence on a request whose endpoint may have crashed.
    fn log_suspicion(&self, control: &Control, endpoint: &EndpointId, now: Now) {
        let id = &self.hints.attempt_id;
        let digest = u128::from_le_bytes(self.identity.whole);
        let evidence = control.quarantine.evidence(&self.identity, now);
        let finished_age_ms = evidence.finished_age_ms;
        let finished_age = finished_age_ms.map_or_else(|| "none".to_owned(), |ms| ms.to_string());
        log::info!(
            "kind=request-suspected id={id} endpoint={endpoint} digest={digest:032x} crashes={} finished_age_ms={finished_age} is_refused={}",
            evidence.crashes,
            control.quarantine.is_refused(&self.identity, now)
        );
    }

    /// Records that an endpoint completed the request.
    pub fn record_success(&self, endpoint: &EndpointId, now: Now) {
        let mut control = self.gateway.control.borrow_mut();
        control.record_success(endpoint, now);
        control.quarantine.record_finished(&self.identity, now);
    }

    /// Returns a connection to the pool if a later request can use it. This gateway keeps only its
    /// part of the endpoint's connection limit, which all gateways share.
    pub fn return_connection(&self, connection: Connection) {
        let max_idle = match self.route.retry_policy {
            // At-most-once requests always open a new connection, so none is kept.
            RetryPolicy::AtMostOnce => 0,
            RetryPolicy::Idempotent | RetryPolicy::Stream { .. } => self
                .gateway
                .control
                .borrow()
                .max_idle_connections(&self.service),
        };
        self.gateway.pool.put_back(connection, max_idle);
    }

    /// Logs that the request is retried at another endpoint.
    pub fn log_retry(&self, why: &str, from: &EndpointId) {
        log::info!(
            "kind=request-repeated id={} why={why} from={from} sends={} left_ms={}",
            self.hints.attempt_id,
            self.sends.get(),
            self.remaining_ms(clock::now())
        );
    }
}
