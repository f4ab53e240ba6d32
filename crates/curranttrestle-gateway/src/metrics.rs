//! Counters and histograms.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the histogram buckets, in seconds.
const TIME_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 15.0,
];

/// The metrics of a gateway.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Ended requests by outcome and reason.
    pub requests: IntCounterVec,
    /// Failed attempts at endpoints by kind of failure.
    pub attempts: IntCounterVec,
    /// Calls to the store by kind.
    pub store_calls: IntCounterVec,
    /// Failed calls to the store by kind.
    pub store_failures: IntCounterVec,
    /// Changes of the directory by kind.
    pub directory_changes: IntCounterVec,
    /// Evacuations of data centres that began or ended.
    pub evacuation_changes: IntCounterVec,
    /// Endpoints that became cold or warm, and requests refused because of cold endpoints, by event.
    pub cold_endpoints: IntCounterVec,
    /// Messages from peers by kind, and messages that could not be read or sent.
    pub peer_reports: IntCounterVec,
    /// Client connections closed to make room, by reason.
    pub closed_connections: IntCounterVec,
    /// Bytes of messages to and from peers by direction and kind.
    pub peer_bytes: IntCounterVec,
    /// Current values by name.
    pub gauges: IntGaugeVec,
    /// Seconds from the start of an attempt to the first event or response, from the choice of an
    /// endpoint to a connection, and from the arrival of a request to its end.
    pub times: HistogramVec,
    /// Seconds of successful calls to the store that do not wait for changes, by kind.
    pub store_times: HistogramVec,
}

impl Metrics {
    /// Registers all metrics with the value zero.
    ///
    /// # Errors
    ///
    /// [`prometheus::Error`] if a name is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(format!("curranttrestle_{name}"), help), labels)
        };
        let times = HistogramOpts::new(
            "curranttrestle_request_seconds",
            "Seconds to the connection and the first event of an attempt, and to the end of a request",
        )
        .buckets(TIME_BUCKETS_S.to_vec());
        let store_times = HistogramOpts::new(
            "curranttrestle_store_call_seconds",
            "Seconds of successful calls to the store that do not wait for changes",
        )
        .buckets(TIME_BUCKETS_S.to_vec());
        let gauges = Opts::new("curranttrestle_state", "Current values by name");
        let metrics = Self {
            registry: Registry::new(),
            requests: counter(
                "requests_total",
                "Requests of clients that ended",
                &["outcome", "reason"],
            )?,
            attempts: counter(
                "attempts_total",
                "Failed attempts at endpoints by kind of failure",
                &["outcome"],
            )?,
            store_calls: counter("store_calls_total", "Calls to the store", &["call"])?,
            store_failures: counter(
                "store_failures_total",
                "Failed calls to the store",
                &["call"],
            )?,
            directory_changes: counter(
                "directory_changes_total",
                "Changes of the directory",
                &["change"],
            )?,
            evacuation_changes: counter(
                "evacuation_changes_total",
                "Evacuations of data centres that began or ended",
                &["change"],
            )?,
            cold_endpoints: counter(
                "cold_endpoints_total",
                "Endpoints that became cold or warm, and requests refused for lack of a permit",
                &["event"],
            )?,
            peer_reports: counter(
                "peer_reports_total",
                "Messages from peers by kind, and messages that could not be read or sent",
                &["outcome"],
            )?,
            closed_connections: counter(
                "client_connections_closed_total",
                "Client connections closed to make room, by reason",
                &["reason"],
            )?,
            peer_bytes: counter(
                "peer_bytes_total",
                "Bytes of messages to and from peers by direction and kind",
                &["direction", "kind"],
            )?,
            gauges: IntGaugeVec::new(gauges, &["name"])?,
            times: HistogramVec::new(times, &["phase"])?,
            store_times: HistogramVec::new(store_times, &["call"])?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.store_calls.clone()))?;
        registry.register(Box::new(metrics.store_failures.clone()))?;
        registry.register(Box::new(metrics.directory_changes.clone()))?;
        registry.register(Box::new(metrics.evacuation_changes.clone()))?;
        registry.register(Box::new(metrics.cold_endpoints.clone()))?;
        registry.register(Box::new(metrics.peer_reports.clone()))?;
        registry.register(Box::new(metrics.closed_connections.clone()))?;
        registry.register(Box::new(metrics.peer_bytes.clone()))?;
        registry.register(Box::new(metrics.gauges.clone()))?;
        registry.register(Box::new(metrics.times.clone()))?;
        registry.register(Box::new(metrics.store_times.clone()))?;
        Ok(metrics)
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// [`prometheus::Error`] if a metric cannot be encoded.
    pub fn text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
