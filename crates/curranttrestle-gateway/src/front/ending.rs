//! How a request ended, for logs and metrics.

use std::rc::Rc;

use curranttrestle::coordination::gateway::placement::Choice;
use curranttrestle::state::gateway::Route;
use curranttrestle::state::{EndpointId, Now};

use crate::clock;
use crate::gateway::Gateway;

/// Why a request with a key is refused while the configuration may have changed.
pub const STALE_CONFIGURATION: &str = "stale-configuration";

/// Counts and logs how a request ended; dropped without a word, its client left.
#[derive(Debug)]
pub struct Ending {
    gateway: Rc<Gateway>,
    id: String,
    route: String,
    customer: String,
    arrived: Now,
    /// How long it may take; none before its route is known.
    limit_ms: Option<u64>,
    target_ms: u64,
    max_pause_ms: u64,
    first_event_ms: Option<u64>,
    longest_pause_ms: u64,
    placed: Option<Placed>,
    is_told: bool,
    /// Whether its refusal is logged; none before that was asked.
    is_refusal_logged: Option<bool>,
}

/// Where a request went last, and what was predicted.
#[derive(Clone, Debug)]
struct Placed {
    endpoint: EndpointId,
    wait_ms: f64,
    predicted_ms: f64,
}

impl Ending {
    /// A request arrived.
    #[must_use]
    pub fn new(gateway: &Rc<Gateway>, arrived: Now) -> Self {
        gateway.open_requests.set(gateway.open_requests.get() + 1);
        Self {
            gateway: Rc::clone(gateway),
            id: String::new(),
            route: String::new(),
            customer: String::new(),
            arrived,
            limit_ms: None,
            target_ms: u64::MAX,
            max_pause_ms: u64::MAX,
            first_event_ms: None,
            longest_pause_ms: 0,
            placed: None,
            is_told: false,
            is_refusal_logged: None,
        }
    }

    /// The client said which attempt this is.
    pub fn identified(&mut self, attempt_id: &str) {
        attempt_id.clone_into(&mut self.id);
    }

    /// The route and the customer are known, and how long the request may take by its route
    /// and its client.
    pub fn resolved(&mut self, route: &Route, customer: Option<&str>, limit_ms: u64) {
        self.limit_ms = Some(limit_ms);
        self.route.clone_from(&route.name);
        customer.unwrap_or_default().clone_into(&mut self.customer);
        self.target_ms = route.target_latency_ms;
        if route.max_pause_ms > 0 {
            self.max_pause_ms = route.max_pause_ms;
        }
    }

    /// The request is sent to an endpoint.
    pub fn placed(&mut self, choice: &Choice) {
        self.placed = Some(Placed {
            endpoint: choice.entry.endpoint.clone(),
            wait_ms: choice.wait_ms,
            predicted_ms: choice.predicted_ms,
        });
    }

    /// The first event went to the client.
    pub fn first_event(&mut self, now: Now) {
        self.first_event_ms = Some(now.since_ms(self.arrived.steady_ms));
    }

    /// The endpoint was silent for so long between two events.
    pub fn paused(&mut self, pause_ms: u64) {
        self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
    }

    /// Whether the refusal of this request is logged, or only counted since there are many.
    pub fn is_refusal_logged(&mut self, now: Now) -> bool {
        let rate = &self.gateway.refusals;
        *self
            .is_refusal_logged
            .get_or_insert_with(|| rate.borrow_mut().is_told(now))
    }

    /// Why a complete answer was late for its client; none where it was on time.
    fn lateness(&self) -> Option<&'static str> {
        if self.first_event_ms.is_some_and(|ms| ms > self.target_ms) {
            return Some("late-start");
        }
        (self.longest_pause_ms > self.max_pause_ms).then_some("late-pause")
    }

    /// The request ended. Calm successes are logged now and then, all else always.
    pub fn ended(&mut self, outcome: &'static str, reason: &str, now: Now) {
        if std::mem::replace(&mut self.is_told, true) {
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
        let is_calm = outcome == "answered" && late.is_none();
        if is_calm {
            let answered = self.gateway.answered.get() + 1;
            self.gateway.answered.set(answered);
            let sample = self.gateway.settings.log_sample;
            if sample == 0 || !answered.is_multiple_of(sample) {
                return;
            }
        }
        if outcome == "refused" && !self.is_refusal_logged(now) {
            return;
        }
        let placed = self.placed.as_ref().map_or_else(String::new, |placed| {
            format!(
                " endpoint={} wait_ms={:.0} predicted_ms={:.0}",
                placed.endpoint, placed.wait_ms, placed.predicted_ms
            )
        });
        let first_event = self.first_event_ms.map_or_else(String::new, |ms| {
            let (target_ms, pause_ms) = (self.target_ms, self.longest_pause_ms);
            format!(" first_event_ms={ms} target_ms={target_ms} longest_pause_ms={pause_ms}")
        });
        let limit = self.limit_ms.filter(|_| outcome != "answered");
        let limit = limit.map_or_else(String::new, |ms| format!(" limit_ms={ms}"));
        let proof = self.proof_of(reason);
        log::info!(
            "kind=request-ended id={} route={} customer={} outcome={outcome} reason={reason} ms={elapsed_ms}{limit}{first_event}{placed}{proof}",
            self.id,
            self.route,
            self.customer,
        );
    }

    /// The proof that a request was refused for.
    fn proof_of(&self, reason: &str) -> String {
        if reason != STALE_CONFIGURATION {
            return String::new();
        }
        let control = self.gateway.control.borrow();
        let revision = control.freshness.revision();
        let age = control.freshness.age_ms(clock::now());
        let age = age.map_or_else(|| "none".to_owned(), |age_ms| age_ms.to_string());
        format!(" revision={revision} proof_age_ms={age}")
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        self.ended("client-gone", "connection-closed", clock::now());
        let open = self.gateway.open_requests.get().saturating_sub(1);
        self.gateway.open_requests.set(open);
    }
}
