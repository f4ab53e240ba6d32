//! Passive outlier detection: avoids endpoints that fail requests of this gateway.
//!
//! Health checks can be wrong, and an endpoint can fail only some of its callers. So each gateway
//! judges endpoints by the responses to its own requests. Failures add to a score; successes and
//! time reduce it. An endpoint over the threshold gets only occasional probe requests until they
//! succeed.

use indexmap::IndexMap;

use super::endpoint_load::EndpointKey;
use crate::state::Now;

/// How an attempt at an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The connection could not be established.
    Unreachable,
    /// The connection ended before the response did.
    ConnectionLost,
    /// The received bytes are not a valid response to the request.
    Malformed,
    /// The endpoint did not accept the request.
    Overloaded,
    /// The endpoint responded with a failure.
    Failed,
    /// No data was received for a long time.
    TimedOut,
    /// The gateway did not send the request: while it waited for a connection, its endpoint began
    /// to leave or the request was no longer allowed. Does not count against the endpoint.
    Withdrawn,
}

impl FailureKind {
    /// The name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::ConnectionLost => "broken",
            Self::Malformed => "garbled",
            Self::Overloaded => "shed",
            Self::Failed => "failed",
            Self::TimedOut => "silent",
            Self::Withdrawn => "withdrawn",
        }
    }

    /// How much a failure adds to the score of its endpoint.
    fn weight(self) -> f64 {
        match self {
            Self::Unreachable => 3.0,
            Self::TimedOut => 2.0,
            Self::ConnectionLost => 1.5,
            Self::Overloaded => 1.0,
            Self::Malformed | Self::Failed => 0.75,
            Self::Withdrawn => 0.0,
        }
    }
}

/// Options of outlier detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierOptions {
    /// Score from which an endpoint is avoided.
    pub threshold: f64,
    /// Factor by which a success reduces the score.
    pub success_factor: f64,
    /// Half-life of the score.
    pub half_life_ms: f64,
    /// Maximum score.
    pub max_score: f64,
    /// Interval between two probe requests to an avoided endpoint.
    pub probe_interval_ms: u64,
}

impl Default for OutlierOptions {
    fn default() -> Self {
        Self {
            threshold: 2.0,
            success_factor: 0.6,
            half_life_ms: 1_500.0,
            max_score: 6.0,
            probe_interval_ms: 500,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Score {
    sum: f64,
    at_ms: u64,
    last_attempt_ms: u64,
}

/// Failure scores of the endpoints.
///
/// ```
/// use curranttrestle::coordination::gateway::endpoint_load::EndpointKey;
/// use curranttrestle::coordination::gateway::outlier_detection::{
///     FailureKind, OutlierDetector, OutlierOptions,
/// };
/// use curranttrestle::state::Now;
/// let (endpoint, now) = (EndpointKey::of(&"m1".into()), Now::default());
/// let mut detector = OutlierDetector::new(OutlierOptions::default());
/// detector.record_failure(endpoint, FailureKind::Unreachable, now);
/// assert!(detector.is_avoided(endpoint, now));
/// assert!(!detector.is_avoided(endpoint, now.plus_ms(500)));
/// ```
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    options: OutlierOptions,
    scores: IndexMap<EndpointKey, Score>,
}

impl OutlierDetector {
    /// Creates a detector that avoids no endpoint.
    #[must_use]
    pub fn new(options: OutlierOptions) -> Self {
        Self {
            options,
            scores: IndexMap::new(),
        }
    }

    /// Records a failed attempt. Returns whether the endpoint is avoided from now on.
    pub fn record_failure(&mut self, endpoint: EndpointKey, kind: FailureKind, now: Now) -> bool {
        let before = self.current_score(endpoint, now);
        let sum = (before + kind.weight()).min(self.options.max_score);
        let score = Score {
            sum,
            at_ms: now.steady_ms,
            last_attempt_ms: now.steady_ms,
        };
        self.scores.insert(endpoint, score);
        before < self.options.threshold && sum >= self.options.threshold
    }

    /// Records a successful attempt. Returns whether the endpoint is no longer avoided.
    pub fn record_success(&mut self, endpoint: EndpointKey, now: Now) -> bool {
        let before = self.current_score(endpoint, now);
        let Some(score) = self.scores.get_mut(&endpoint) else {
            return false;
        };
        score.sum = before * self.options.success_factor;
        score.at_ms = now.steady_ms;
        let after = score.sum;
        if after < 0.1 {
            self.scores.swap_remove(&endpoint);
        }
        before >= self.options.threshold && after < self.options.threshold
    }

    /// Records that a request, possibly a probe, is sent to an endpoint.
    pub fn record_attempt(&mut self, endpoint: EndpointKey, now: Now) {
        if let Some(score) = self.scores.get_mut(&endpoint) {
            score.last_attempt_ms = now.steady_ms;
        }
    }

    /// Whether no failure is known, so that no endpoint has to be looked up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.scores.is_empty()
    }

    /// Whether an endpoint is avoided now. It is not avoided while a probe is due.
    #[must_use]
    pub fn is_avoided(&self, endpoint: EndpointKey, now: Now) -> bool {
        let Some(score) = self.scores.get(&endpoint) else {
            return false;
        };
        self.current_score(endpoint, now) >= self.options.threshold
            && now.since_ms(score.last_attempt_ms) < self.options.probe_interval_ms
    }

    /// Discards the score of an endpoint that restarted or was removed.
    pub fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        self.scores.swap_remove(&endpoint);
    }

    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    fn current_score(&self, endpoint: EndpointKey, now: Now) -> f64 {
        self.scores.get(&endpoint).map_or(0.0, |score| {
            let half_lives = now.since_ms(score.at_ms) as f64 / self.options.half_life_ms;
            score.sum * 0.5_f64.powf(half_lives)
        })
    }
}
