//! The metrics of one router, updated by the control thread.

use std::time::Duration;

use curranttrestle::coordination::router::{Router, RouterStatus};
use curranttrestle::protocol::peer::PeerMessage;
use curranttrestle::transport::peer::{ByteCounts, PeerSender};
use prometheus::{
    Encoder, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// The metrics of one router. Each router has its own registry, because several can run in one
/// process.
#[derive(Debug)]
pub struct ControlMetrics {
    registry: Registry,
    byte_counts: ByteCounts,
    busy_us: IntCounter,
    messages: IntCounterVec,
    message_bytes: IntCounterVec,
    store_calls: IntCounter,
    gauges: IntGaugeVec,
    outcomes: IntGaugeVec,
    invariants: IntGaugeVec,
    sheet_number: IntGauge,
}

impl ControlMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric name is invalid or registered twice.
    pub fn new(byte_counts: ByteCounts) -> prometheus::Result<Self> {
        let registry = Registry::new();
        let busy_us = IntCounter::new(
            "curranttrestle_control_busy_us_total",
            "Time the control thread was busy, in microseconds.",
        )?;
        let messages = IntCounterVec::new(
            Opts::new(
                "curranttrestle_peer_messages_total",
                "Messages sent to other routers.",
            ),
            &["kind"],
        )?;
        let message_bytes = IntCounterVec::new(
            Opts::new(
                "curranttrestle_peer_message_bytes_total",
                "Encoded bytes of messages sent to other routers, without framing.",
            ),
            &["kind"],
        )?;
        let store_calls = IntCounter::new(
            "curranttrestle_store_calls_total",
            "Calls to the platform's store.",
        )?;
        let gauges = IntGaugeVec::new(
            Opts::new(
                "curranttrestle_state",
                "Readiness, requests, attempts, members and peer traffic of the router.",
            ),
            &["of"],
        )?;
        let outcomes = IntGaugeVec::new(
            Opts::new(
                "curranttrestle_requests",
                "Requests by outcome, retries and hedged attempts since the start.",
            ),
            &["outcome"],
        )?;
        let invariants = IntGaugeVec::new(
            Opts::new(
                "curranttrestle_invariant_violations",
                "Violations of each invariant since the start. Any violation is a bug.",
            ),
            &["invariant"],
        )?;
        let sheet_number = IntGauge::new(
            "curranttrestle_sheet_number",
            "The number of the sheet in force.",
        )?;
        registry.register(Box::new(busy_us.clone()))?;
        registry.register(Box::new(messages.clone()))?;
        registry.register(Box::new(message_bytes.clone()))?;
        registry.register(Box::new(store_calls.clone()))?;
        registry.register(Box::new(gauges.clone()))?;
        registry.register(Box::new(outcomes.clone()))?;
        registry.register(Box::new(invariants.clone()))?;
        registry.register(Box::new(sheet_number.clone()))?;
        Ok(Self {
            registry,
            byte_counts,
            busy_us,
            messages,
            message_bytes,
            store_calls,
            gauges,
            outcomes,
            invariants,
            sheet_number,
        })
    }

    /// Adds to the time that the control thread spent handling messages and ticks.
    pub fn add_busy_time(&self, busy: Duration) {
        let busy_us = u64::try_from(busy.as_micros()).unwrap_or(u64::MAX);
        self.busy_us.inc_by(busy_us);
    }

    /// Counts a message sent to another router, and its encoded bytes.
    pub fn count_message(&self, message: &PeerMessage) {
        let kind = message.kind();
        self.messages.with_label_values(&[kind]).inc();
        self.message_bytes
            .with_label_values(&[kind])
            .inc_by(message.encoded_bytes() as u64);
    }

    /// Counts a call to the platform's store.
    pub fn count_store_call(&self) {
        self.store_calls.inc();
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self, router: &Router, status: &RouterStatus, peers: &PeerSender) -> String {
        let counters = router.counters();
        self.set_gauge("active_requests", status.active_requests as u64);
        self.set_gauge("running_attempts", status.running_attempts as u64);
        self.set_gauge("members", status.members.len() as u64);
        self.set_gauge("ready", u64::from(status.ready));
        self.set_gauge("peer_sent_bytes", self.byte_counts.sent_bytes());
        self.set_gauge("peer_received_bytes", self.byte_counts.received_bytes());
        self.set_gauge("peer_dropped_messages", peers.dropped_messages());
        self.set_outcome("answered", counters.answered);
        self.set_outcome("refused", counters.refused);
        self.set_outcome("unknown", counters.unknown);
        self.set_outcome("retried", counters.retried);
        self.set_outcome("hedged", counters.hedged);
        for (name, count) in router.invariant_violations() {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.invariants.with_label_values(&[name]).set(count);
        }
        let number = i64::try_from(status.sheet_number).unwrap_or(i64::MAX);
        self.sheet_number.set(number);
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        match encoded {
            Ok(()) => String::from_utf8(text).unwrap_or_default(),
            Err(error) => format!("# cannot encode the metrics: {error}\n"),
        }
    }

    fn set_gauge(&self, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.gauges.with_label_values(&[name]).set(value);
    }

    fn set_outcome(&self, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.outcomes.with_label_values(&[name]).set(value);
    }
}
