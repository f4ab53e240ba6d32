//! One request of a client on its way.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use curranttrestle::coordination::gateway::control::{Placement, Wanted};
use curranttrestle::coordination::gateway::trust::FailureKind;
use curranttrestle::coordination::quarantine::RequestDigest;
use curranttrestle::state::gateway::{Repeat, RequestHints, Route};
use curranttrestle::state::{EndpointId, Now};
use hyper::header::HeaderMap;
use hyper::{Method, Uri};

use super::ending::STALE_CONFIGURATION;
use crate::clock;
use crate::gateway::Gateway;
use crate::upstream::Connection;

/// One request of a client: what it wants, and what became of it so far.
#[derive(Debug)]
pub struct Exchange {
    /// The gateway.
    pub gateway: Rc<Gateway>,
    /// Its route when it arrived.
    pub route: Route,
    /// The service that takes it.
    pub service: String,
    /// Its customer; none where the route needs no key.
    pub customer: Option<String>,
    /// What its client said of it.
    pub hints: RequestHints,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, without those of the client's connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The digest of its path, customer and body.
    pub digest: RequestDigest,
    /// When it arrived.
    pub arrived: Now,
    /// When its answer is final, by the steady clock.
    pub limit_ms: u64,
    /// Endpoints that it was sent to.
    pub sends: Cell<u32>,
    /// A repeat was taken out of the budget and is not used yet.
    pub has_repeat: Cell<bool>,
    /// Endpoints that failed it.
    pub excluded: Vec<EndpointId>,
    /// Releases the memory of the body.
    pub memory: BodyMemory,
}

impl Exchange {
    /// The time left until the answer is final.
    #[must_use]
    pub fn left_ms(&self, now: Now) -> u64 {
        self.limit_ms.saturating_sub(now.steady_ms)
    }

    /// The request as the decisions see it.
    #[must_use]
    pub fn wanted(&self, is_resumed: bool) -> Wanted<'_> {
        Wanted {
            route: &self.route,
            service: &self.service,
            customer: self.customer.as_deref().unwrap_or_default(),
            hints: &self.hints,
            excluded: &self.excluded,
            is_repeat: self.sends.get() > 0,
            is_resumed,
        }
    }

    /// Chooses an endpoint.
    #[must_use]
    pub fn place(&self, is_resumed: bool, now: Now) -> Placement {
        self.gateway
            .control
            .borrow()
            .place(self.wanted(is_resumed), now)
    }

    /// Why the request must not be handed to an endpoint at this moment; none when it may.
    #[must_use]
    pub fn obstacle(&self, now: Now) -> Option<&'static str> {
        let control = self.gateway.control.borrow();
        if control.is_quarantined(&self.digest, now) {
            return Some("quarantined");
        }
        let customer = self.customer.as_deref()?;
        if !control.freshness.is_fresh(now) {
            return Some(STALE_CONFIGURATION);
        }
        // The key may have been taken away since the request arrived.
        let key = self.hints.credential.as_deref()?;
        let holder = control.routes()?.customer(key);
        (holder.is_none_or(|holder| holder.name != customer)).then_some("key-withdrawn")
    }

    /// Whether one more endpoint may get the request, by its route, the budget and the time
    /// left. Takes the repeat out of the budget.
    #[must_use]
    pub fn may_repeat(&self, now: Now) -> bool {
        if self.has_repeat.take() {
            return true;
        }
        let has_time = self.left_ms(now) > self.gateway.settings.traffic.min_left_ms;
        has_time
            && self.sends.get() < self.route.max_attempts
            && self
                .gateway
                .control
                .borrow_mut()
                .try_repeat(&self.service, now)
    }

    /// Whether a request that waits at a silent endpoint, the `sends`-th that it was sent to,
    /// is better given up there. It is not where nobody else would take it, since a late
    /// answer is better than none. Takes the repeat out of the budget.
    #[must_use]
    pub fn may_move(&self, from: &EndpointId, sends: u32, is_resumed: bool, now: Now) -> bool {
        if sends >= self.route.max_attempts || self.obstacle(now).is_some() {
            return false;
        }
        let mut excluded = self.excluded.clone();
        excluded.push(from.clone());
        let wanted = Wanted {
            excluded: &excluded,
            ..self.wanted(is_resumed)
        };
        let placement = self.gateway.control.borrow().place(wanted, now);
        let is_granted = matches!(placement, Placement::Send(_)) && self.may_repeat(now);
        self.has_repeat.set(is_granted);
        is_granted
    }

    /// How long an endpoint may say nothing before the first sign of an answer that was
    /// predicted to take `predicted_ms`.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive durations far below 2^52"
    )]
    pub fn silent_start_ms(&self, predicted_ms: f64) -> u64 {
        let options = &self.gateway.settings.traffic;
        let target_ms = self.route.target_latency_ms as f64;
        let silent_ms = (options.silent_targets * target_ms.max(predicted_ms)) as u64;
        match self.route.repeat {
            Repeat::Stream { .. } => silent_ms.max(options.min_silent_ms),
            Repeat::Idempotent | Repeat::AtMostOnce => silent_ms,
        }
    }

    /// Notes that an endpoint failed the request.
    pub fn note_failure(&self, endpoint: &EndpointId, kind: FailureKind, now: Now) {
        let attempts = &self.gateway.metrics.attempts;
        attempts.with_label_values(&[kind.as_str()]).inc();
        let mut control = self.gateway.control.borrow_mut();
        if kind == FailureKind::Broken {
            let was_refused = control.is_quarantined(&self.digest, now);
            control
                .quarantine
                .endpoint_died(endpoint, &[self.digest], false, now);
            if !was_refused && control.is_quarantined(&self.digest, now) {
                let id = &self.hints.attempt_id;
                log::warn!("kind=request-quarantined id={id} endpoint={endpoint}");
            }
        }
        if control.failed(endpoint, kind, now) {
            let why = kind.as_str();
            log::warn!("kind=endpoint-avoided endpoint={endpoint} why={why}");
        }
    }

    /// Notes that an endpoint answered the request to its end.
    pub fn note_success(&self, endpoint: &EndpointId, now: Now) {
        let mut control = self.gateway.control.borrow_mut();
        control.succeeded(endpoint, now);
        control.quarantine.finished(&self.digest, false, now);
    }

    /// Keeps a connection for the next request, where one will use it. An endpoint takes a
    /// limited number of connections from all gateways together.
    pub fn release(&self, connection: Connection) {
        let max_idle = match self.route.repeat {
            // Such requests always open a new connection.
            Repeat::AtMostOnce => 0,
            Repeat::Idempotent | Repeat::Stream { .. } => self
                .gateway
                .control
                .borrow()
                .connection_share(&self.service),
        };
        self.gateway.pool.put_back(connection, max_idle);
    }

    /// Logs that the request goes to another endpoint.
    pub fn log_repeat(&self, why: &str, from: &EndpointId) {
        log::info!(
            "kind=request-repeated id={} why={why} from={from} sends={} left_ms={}",
            self.hints.attempt_id,
            self.sends.get(),
            self.left_ms(clock::now())
        );
    }
}

/// Memory taken for a body; given back when dropped.
#[derive(Debug)]
pub struct BodyMemory {
    gateway: Rc<Gateway>,
    bytes: usize,
}

impl BodyMemory {
    /// Takes memory for a body; none when all bodies together would need too much.
    #[must_use]
    pub fn take(gateway: &Rc<Gateway>, bytes: usize) -> Option<Self> {
        let taken = gateway.body_bytes.get() + bytes;
        if taken > gateway.settings.traffic.body_memory_bytes {
            return None;
        }
        gateway.body_bytes.set(taken);
        Some(Self {
            gateway: Rc::clone(gateway),
            bytes,
        })
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let left = self.gateway.body_bytes.get().saturating_sub(self.bytes);
        self.gateway.body_bytes.set(left);
    }
}
