//! Which endpoints are avoided because of how they answered this gateway.
//!
//! Health checks can be wrong, and an endpoint can fail some callers only. So each gateway
//! judges by its own answers: failures add up, successes and time take them back, and an
//! endpoint beyond the limit gets one request now and then, until it answers well.

use indexmap::IndexMap;

use super::endpoint_load::EndpointKey;
use crate::state::Now;

/// How an attempt at an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be made.
    Unreachable,
    /// The connection ended before the answer did.
    Broken,
    /// Bytes came that are no answer to the request.
    Garbled,
    /// The endpoint took no request.
    Shed,
    /// The endpoint answered with a failure.
    Failed,
    /// Nothing came for a long time.
    Silent,
}

impl FailureKind {
    /// The name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Garbled => "garbled",
            Self::Shed => "shed",
            Self::Failed => "failed",
            Self::Silent => "silent",
        }
    }

    /// How much a failure says against its endpoint.
    fn weight(self) -> f64 {
        match self {
            Self::Unreachable => 3.0,
            Self::Silent => 2.0,
            Self::Broken => 1.5,
            Self::Shed => 1.0,
            Self::Garbled | Self::Failed => 0.75,
        }
    }
}

/// When an endpoint is avoided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrustOptions {
    /// The sum of failures from which on an endpoint is avoided.
    pub limit: f64,
    /// The part of the sum that a success leaves.
    pub success_part: f64,
    /// The time in which half of the sum is forgotten.
    pub half_life_ms: f64,
    /// The greatest sum.
    pub max_score: f64,
    /// The time between two requests that try an avoided endpoint.
    pub probe_interval_ms: u64,
}

impl Default for TrustOptions {
    fn default() -> Self {
        Self {
            limit: 2.0,
            success_part: 0.6,
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
    probed_ms: u64,
}

/// How each endpoint answered lately.
///
/// ```
/// use curranttrestle::coordination::gateway::endpoint_load::EndpointKey;
/// use curranttrestle::coordination::gateway::trust::{FailureKind, Trust, TrustOptions};
/// use curranttrestle::state::Now;
/// let (endpoint, now) = (EndpointKey::of(&"m1".into()), Now::default());
/// let mut trust = Trust::new(TrustOptions::default());
/// trust.failed(endpoint, FailureKind::Unreachable, now);
/// assert!(trust.is_avoided(endpoint, now));
/// assert!(!trust.is_avoided(endpoint, now.plus_ms(500)));
/// ```
#[derive(Clone, Debug)]
pub struct Trust {
    options: TrustOptions,
    scores: IndexMap<EndpointKey, Score>,
}

impl Trust {
    /// All endpoints are trusted.
    #[must_use]
    pub fn new(options: TrustOptions) -> Self {
        Self {
            options,
            scores: IndexMap::new(),
        }
    }

    /// An attempt failed; true when the endpoint is avoided from now on.
    pub fn failed(&mut self, endpoint: EndpointKey, kind: FailureKind, now: Now) -> bool {
        let before = self.sum(endpoint, now);
        let sum = (before + kind.weight()).min(self.options.max_score);
        let score = Score {
            sum,
            at_ms: now.steady_ms,
            probed_ms: now.steady_ms,
        };
        self.scores.insert(endpoint, score);
        before < self.options.limit && sum >= self.options.limit
    }

    /// An attempt succeeded; true when the endpoint is no longer avoided.
    pub fn succeeded(&mut self, endpoint: EndpointKey, now: Now) -> bool {
        let before = self.sum(endpoint, now);
        let Some(score) = self.scores.get_mut(&endpoint) else {
            return false;
        };
        score.sum = before * self.options.success_part;
        score.at_ms = now.steady_ms;
        let after = score.sum;
        if after < 0.1 {
            self.scores.swap_remove(&endpoint);
        }
        before >= self.options.limit && after < self.options.limit
    }

    /// A request is sent to an endpoint, perhaps to try it.
    pub fn tried(&mut self, endpoint: EndpointKey, now: Now) {
        if let Some(score) = self.scores.get_mut(&endpoint) {
            score.probed_ms = now.steady_ms;
        }
    }

    /// Whether an endpoint is avoided now; it is not when it is due to be tried.
    #[must_use]
    pub fn is_avoided(&self, endpoint: EndpointKey, now: Now) -> bool {
        let Some(score) = self.scores.get(&endpoint) else {
            return false;
        };
        self.sum(endpoint, now) >= self.options.limit
            && now.since_ms(score.probed_ms) < self.options.probe_interval_ms
    }

    /// An endpoint started anew.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.scores.swap_remove(&endpoint);
    }

    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    fn sum(&self, endpoint: EndpointKey, now: Now) -> f64 {
        self.scores.get(&endpoint).map_or(0.0, |score| {
            let lives = now.since_ms(score.at_ms) as f64 / self.options.half_life_ms;
            score.sum * 0.5_f64.powf(lives)
        })
    }
}
