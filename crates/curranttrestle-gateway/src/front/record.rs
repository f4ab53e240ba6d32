//! Records how a request ended, for logs and metrics.

use std::rc::Rc;

use curranttrestle::coordination::gateway::endpoint_load::EndpointLoad;
use curranttrestle::coordination::gateway::placement::Choice;
use curranttrestle::state::gateway::Route;
use curranttrestle::state::{EndpointId, Now};

use crate::clock;
use crate::gateway::Gateway;

/// Reason for refusing a request with a key while the configuration may be stale.
pub const STALE_CONFIGURATION: &str = "stale-configuration";

/// Counts and logs the end of a request. A record that is dropped unfinished counts as a client
/// that disconnected.
#[derive(Debug)]
pub struct RequestRecord {
    gateway: Rc<Gateway>,
    id: String,
    route: String,
    customer: String,
    arrived: Now,
    /// The time limit of the request; `None` until its route is known.
    limit_ms: Option<u64>,
    target_ms: u64,
    max_pause_ms: u64,
    /// Time from the arrival until the first attempt that got a response was sent.
    sent_ms: Option<u64>,
    first_event_ms: Option<u64>,
    longest_pause_ms: u64,
    last_placement: Option<LastPlacement>,
    is_finished: bool,
    /// Whether the refusal is logged; `None` until this was decided.
    is_refusal_logged: Option<bool>,
}

/// The last placement of a request and its predictions.
#[derive(Clone, Debug)]
struct LastPlacement {
    endpoint: EndpointId,
    wait_ms: f64,
    predicted_ms: f64,
    load: EndpointLoad,
}

/// Log fields of the load that a prediction is based on.
#[must_use]
pub fn load_fields(load: &EndpointLoad) -> String {
    format!(
        "slowness={:.2} waiting_tokens={:.0} reported_tokens={:.0} report_age_ms={:.0} in_flight={} memory_tokens={}",
        load.slowness,
        load.waiting_tokens,
        load.reported_tokens,
        load.report_age_ms,
        load.in_flight,
        load.memory_tokens
    )
}

impl RequestRecord {
    /// Starts the record of a request that arrived.
    #[must_use]
    pub fn new(gateway: &Rc<Gateway>, arrived: Now) -> Self {
        gateway.open_requests.set(gateway.open_requests.get() + 1);
        gateway.strain.borrow_mut().work.received_requests += 1;
        Self {
            gateway: Rc::clone(gateway),
            id: String::new(),
            route: String::new(),
            customer: String::new(),
            arrived,
            limit_ms: None,
            target_ms: u64::MAX,
            max_pause_ms: u64::MAX,
            sent_ms: None,
            first_event_ms: None,
            longest_pause_ms: 0,
            last_placement: None,
            is_finished: false,
            is_refusal_logged: None,
        }
    }

    /// Sets the attempt id that the client sent.
    pub fn set_attempt_id(&mut self, attempt_id: &str) {
        attempt_id.clone_into(&mut self.id);
    }

    /// Sets the route, the customer and the time limit, the shorter of those of the route and the
    /// client.
    pub fn set_route(&mut self, route: &Route, customer: Option<&str>, limit_ms: u64) {
        self.limit_ms = Some(limit_ms);
        self.route.clone_from(&route.name);
        customer.unwrap_or_default().clone_into(&mut self.customer);
        self.target_ms = route.target_latency_ms;
        if route.max_pause_ms > 0 {
            self.max_pause_ms = route.max_pause_ms;
        }
    }

    /// Records that the request is sent to an endpoint.
    pub fn record_placement(&mut self, choice: &Choice) {
        self.last_placement = Some(LastPlacement {
            endpoint: choice.entry.endpoint.clone(),
            wait_ms: choice.wait_ms,
            predicted_ms: choice.predicted_ms,
            load: choice.load,
        });
    }

    /// Records that the request was sent to an endpoint at `steady_ms` of the steady clock.
    pub fn record_sent(&mut self, steady_ms: u64) {
        let sent_ms = steady_ms.saturating_sub(self.arrived.steady_ms);
        self.sent_ms.get_or_insert(sent_ms);
    }

    /// Records that the first event was sent to the client.
    pub fn record_first_event(&mut self, now: Now) {
        self.first_event_ms = Some(now.since_ms(self.arrived.steady_ms));
    }

    /// Records a pause between two events.
    pub fn record_pause(&mut self, pause_ms: u64) {
        self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
    }

    /// Whether the refusal of this request is logged. Refusals above the rate limit are only
    /// counted.
    pub fn should_log_refusal(&mut self, now: Now) -> bool {
        let limiter = &self.gateway.refusal_log_limit;
        *self
            .is_refusal_logged
            .get_or_insert_with(|| limiter.borrow_mut().allows(now))
    }

    /// Why a complete response was late for its client; `None` if it was on time.
    fn lateness(&self) -> Option<&'static str> {
        if self.first_event_ms.is_some_and(|ms| ms > self.target_ms) {
            return Some("late-start");
        }
        (self.longest_pause_ms > self.max_pause_ms).then_some("late-pause")
    }

    /// Records the end of the request. Successes that were not late are sampled for the log, and
    /// refusals are logged up to a rate limit; everything else is logged.
    pub fn finish(&mut self, outcome: &'static str, reason: &str, now: Now) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let metrics = &self.gateway.metrics;
        let late = self.lateness().filter(|_| outcome == "answered");
        let reason = late.unwrap_or(reason);
        metrics.requests.with_label_values(&[outcome, reason]).inc();
        let elapsed_ms = now.since_ms(self.arrived.steady_ms);
        #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
        let seconds = elapsed_ms as f64 / 1_000.0;
        metrics.times.with_label_values(&["whole"]).observe(seconds);
        let is_routine = outcome == "answered" && late.is_none();
        if is_routine {
            let successes = self.gateway.successes.get() + 1;
            self.gateway.successes.set(successes);
            let interval = self.gateway.settings.success_log_interval;
            if interval == 0 || !successes.is_multiple_of(interval) {
                return;
            }
        }
        if outcome == "refused" && !self.should_log_refusal(now) {
            return;
        }
        let placed = self
            .last_placement
            .as_ref()
            .map_or_else(String::new, |placed| {
                format!(
                    " endpoint={} wait_ms={:.0} predicted_ms={:.0} {}",
                    placed.endpoint,
                    placed.wait_ms,
                    placed.predicted_ms,
                    load_fields(&placed.load)
                )
            });
        let sent = self.sent_ms;
        let sent = sent.map_or_else(String::new, |ms| format!(" sent_ms={ms}"));
        let first_event = self.first_event_ms.map_or_else(String::new, |ms| {
            let (target_ms, pause_ms) = (self.target_ms, self.longest_pause_ms);
            format!(" first_event_ms={ms} target_ms={target_ms} longest_pause_ms={pause_ms}")
        });
        let limit = self.limit_ms.filter(|_| outcome != "answered");
        let limit = limit.map_or_else(String::new, |ms| format!(" limit_ms={ms}"));
        let proof = self.proof_fields(reason);
        log::info!(
            "kind=request-ended id={} route={} customer={} outcome={outcome} reason={reason} ms={elapsed_ms}{limit}{sent}{first_event}{placed}{proof}",
            self.id,
            self.route,
            self.customer,
        );
    }

    /// Log fields of the stale freshness proof that caused a refusal.
    fn proof_fields(&self, reason: &str) -> String {
        if reason != STALE_CONFIGURATION {
            return String::new();
        }
        let control = self.gateway.control.borrow();
        let revision = control.config_freshness.revision();
        let age = control.config_freshness.age_ms(clock::now());
        let age = age.map_or_else(|| "none".to_owned(), |age_ms| age_ms.to_string());
        format!(" revision={revision} proof_age_ms={age}")
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.finish("client-gone", "connection-closed", clock::now());
        let open = self.gateway.open_requests.get().saturating_sub(1);
        self.gateway.open_requests.set(open);
    }
}
