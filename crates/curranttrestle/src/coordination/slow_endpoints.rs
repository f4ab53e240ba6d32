//! Detection of slow endpoints, and hedging of requests.
//!
//! Load reports are delayed, so endpoints are compared by the time per token of the streams
//! that this router reads itself. The reference is the median of the pool, which is robust
//! while fewer than half of the endpoints are slow.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::state::{EndpointId, Now, PoolId};

/// Settings of [`SlowEndpointDetector`].
#[derive(Clone, Debug, PartialEq)]
pub struct SlowEndpointOptions {
    /// Time constant of the exponentially smoothed time per token.
    pub smoothing_ms: u64,
    /// An endpoint becomes slow above this multiple of the median.
    pub slow_factor: f64,
    /// A slow endpoint recovers at or below this multiple of the median.
    pub recovered_factor: f64,
    /// Samples older than this are ignored.
    pub sample_timeout_ms: u64,
    /// Minimum fraction of its slots that a slow endpoint keeps for probing.
    pub probe_fraction: f64,
    /// Minimum number of endpoints of a pool with recent samples for the detection to run.
    pub min_peers: usize,
}

impl Default for SlowEndpointOptions {
    fn default() -> Self {
        Self {
            smoothing_ms: 400,
            slow_factor: 2.0,
            recovered_factor: 1.4,
            sample_timeout_ms: 3_000,
            probe_fraction: 0.1,
            min_peers: 3,
        }
    }
}

/// The smoothed time per token of one endpoint.
#[derive(Clone, Copy, Debug)]
struct EndpointSpeed {
    ms_per_token: f64,
    sampled_ms: u64,
    slow: bool,
}

/// Detects slow endpoints by comparing them with the median of their pool.
#[derive(Debug, Default)]
pub struct SlowEndpointDetector {
    options: SlowEndpointOptions,
    pools: IndexMap<PoolId, IndexMap<EndpointId, EndpointSpeed>>,
}

impl SlowEndpointDetector {
    /// Creates a detector without samples.
    #[must_use]
    pub fn new(options: SlowEndpointOptions) -> Self {
        Self {
            options,
            pools: IndexMap::new(),
        }
    }

    /// Records that `tokens` tokens of one stream took `elapsed_ms`. For a plain service a
    /// token is one unit of expected cost. Returns whether the endpoint became slow or
    /// recovered.
    pub fn observe(
        &mut self,
        pool: &PoolId,
        endpoint: &EndpointId,
        tokens: f64,
        elapsed_ms: f64,
        now: Now,
    ) -> bool {
        if tokens <= 0.0 || !elapsed_ms.is_finite() {
            return false;
        }
        let sample = elapsed_ms / tokens;
        let smoothing_ms = self.options.smoothing_ms;
        let timeout_ms = self.options.sample_timeout_ms;
        let speeds = self.pools.entry(pool.clone()).or_default();
        let speed = speeds.entry(endpoint.clone()).or_insert(EndpointSpeed {
            ms_per_token: sample,
            sampled_ms: now.steady_ms,
            slow: false,
        });
        if now.since_ms(speed.sampled_ms) >= timeout_ms {
            speed.ms_per_token = sample;
        }
        // The weight of a sample grows with the time it covers.
        let weight = 1.0 - (-elapsed_ms / to_nonzero_f64(smoothing_ms)).exp();
        speed.ms_per_token += weight * (sample - speed.ms_per_token);
        speed.sampled_ms = now.steady_ms;
        self.update_slow(pool, endpoint, now)
    }

    /// Returns whether an endpoint is slow.
    #[must_use]
    pub fn is_slow(&self, pool: &PoolId, endpoint: &EndpointId) -> bool {
        self.pools
            .get(pool)
            .and_then(|speeds| speeds.get(endpoint))
            .is_some_and(|speed| speed.slow)
    }

    /// Returns the fraction of its slots that an endpoint should use: 1 unless it is slow.
    #[must_use]
    pub fn slot_fraction(&self, pool: &PoolId, endpoint: &EndpointId, now: Now) -> f64 {
        let speed = self.pools.get(pool).and_then(|speeds| speeds.get(endpoint));
        let Some(speed) = speed.filter(|speed| speed.slow) else {
            return 1.0;
        };
        match self.median(pool, now) {
            Some(median) => (median / speed.ms_per_token).clamp(self.options.probe_fraction, 1.0),
            None => self.options.probe_fraction,
        }
    }

    /// Returns the slow endpoints of all pools and the fraction of slots each should use.
    #[must_use]
    pub fn slow_endpoints(&self, now: Now) -> Vec<(EndpointId, f64)> {
        let mut slow = Vec::new();
        for (pool, speeds) in &self.pools {
            for endpoint in speeds
                .iter()
                .filter(|(_, speed)| speed.slow)
                .map(|(id, _)| id)
            {
                slow.push((endpoint.clone(), self.slot_fraction(pool, endpoint, now)));
            }
        }
        slow
    }

    /// Removes an endpoint that has left.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        for speeds in self.pools.values_mut() {
            speeds.swap_remove(endpoint);
        }
    }

    /// Returns the median time per token, in milliseconds, of the endpoints of a pool with
    /// recent samples; `None` with fewer than [`SlowEndpointOptions::min_peers`] of them.
    #[must_use]
    pub fn median(&self, pool: &PoolId, now: Now) -> Option<f64> {
        let timeout_ms = self.options.sample_timeout_ms;
        let mut recent: Vec<f64> = self
            .pools
            .get(pool)?
            .values()
            .filter(|speed| now.since_ms(speed.sampled_ms) < timeout_ms)
            .map(|speed| speed.ms_per_token)
            .collect();
        if recent.len() < self.options.min_peers {
            return None;
        }
        recent.sort_by(f64::total_cmp);
        // Of two middle values, take the lower: with few peers the upper may be a slow one.
        Some(recent[(recent.len() - 1) / 2])
    }

    fn update_slow(&mut self, pool: &PoolId, endpoint: &EndpointId, now: Now) -> bool {
        let Some(median) = self.median(pool, now) else {
            return false;
        };
        let (slow_factor, recovered_factor) =
            (self.options.slow_factor, self.options.recovered_factor);
        let speed = self
            .pools
            .get_mut(pool)
            .and_then(|speeds| speeds.get_mut(endpoint));
        let Some(speed) = speed else {
            return false;
        };
        let factor = if speed.slow {
            recovered_factor
        } else {
            slow_factor
        };
        let slow = speed.ms_per_token > median * factor;
        let changed = slow != speed.slow;
        speed.slow = slow;
        changed
    }
}

/// Settings of [`HedgePolicy`].
#[derive(Clone, Debug, PartialEq)]
pub struct HedgeOptions {
    /// Quantile of the recorded times after which a second attempt may start.
    pub quantile: f64,
    /// Number of recent times retained per pool.
    pub samples: usize,
    /// Minimum number of recorded times before hedging starts.
    pub min_samples: usize,
}

impl Default for HedgeOptions {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            samples: 256,
            min_samples: 40,
        }
    }
}

/// A token bucket that limits second attempts to a fraction of first attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct HedgeBudget {
    /// Tokens added per first attempt: the allowed ratio of second to first attempts.
    pub fraction: f64,
    /// Capacity of the bucket, in second attempts.
    pub burst: f64,
    /// Tokens in the bucket, in second attempts.
    pub available: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self {
            fraction: 0.03,
            burst: 3.0,
            available: 0.0,
        }
    }
}

impl HedgeBudget {
    /// Counts a first attempt, which adds a fraction of a token.
    pub fn deposit(&mut self) {
        self.available = (self.available + self.fraction).min(self.burst);
    }

    /// Takes the token for one second attempt. Returns whether there was one.
    ///
    /// ```
    /// use curranttrestle::coordination::slow_endpoints::HedgeBudget;
    /// let mut budget = HedgeBudget { fraction: 0.5, ..HedgeBudget::default() };
    /// budget.deposit();
    /// assert!(!budget.try_withdraw());
    /// budget.deposit();
    /// assert!(budget.try_withdraw());
    /// ```
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}

/// The state of a request that determines whether a second attempt may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeCandidate {
    /// Whether the operation may run more than once.
    pub idempotent: bool,
    /// Whether the request is expected to be short.
    pub short: bool,
    /// How long the first attempt has run without completing or without its first token.
    pub elapsed_ms: u64,
    /// Number of attempts of the request so far.
    pub attempts: u32,
}

/// Decides when to start a second attempt in parallel to a slow first one (hedging).
#[derive(Debug, Default)]
pub struct HedgePolicy {
    options: HedgeOptions,
    times_ms: IndexMap<PoolId, VecDeque<u64>>,
}

impl HedgePolicy {
    /// Creates a hedging policy without recorded times, which starts no second attempts yet.
    #[must_use]
    pub fn new(options: HedgeOptions) -> Self {
        Self {
            options,
            times_ms: IndexMap::new(),
        }
    }

    /// Records the time to the first token of an attempt or, for a plain service, the duration of
    /// the attempt.
    pub fn observe(&mut self, pool: &PoolId, elapsed_ms: u64) {
        let times = self.times_ms.entry(pool.clone()).or_default();
        times.push_back(elapsed_ms);
        if times.len() > self.options.samples {
            times.pop_front();
        }
    }

    /// Returns the time after which a second attempt may start; `None` with fewer than
    /// [`HedgeOptions::min_samples`] recorded times.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    pub fn delay_ms(&self, pool: &PoolId) -> Option<u64> {
        let times = self.times_ms.get(pool)?;
        if times.len() < self.options.min_samples {
            return None;
        }
        let mut sorted: Vec<u64> = times.iter().copied().collect();
        sorted.sort_unstable();
        let rank = (self.options.quantile * sorted.len() as f64) as usize;
        sorted.get(rank.min(sorted.len() - 1)).copied()
    }

    /// Returns whether to start a second attempt now, and if so takes its token from the
    /// budget.
    pub fn try_hedge(
        &self,
        pool: &PoolId,
        candidate: HedgeCandidate,
        budget: &mut HedgeBudget,
    ) -> bool {
        let is_allowed = candidate.idempotent && candidate.short && candidate.attempts == 1;
        let is_late = self
            .delay_ms(pool)
            .is_some_and(|delay_ms| candidate.elapsed_ms > delay_ms);
        is_allowed && is_late && budget.try_withdraw()
    }
}

/// Converts a divisor; zero becomes one.
#[allow(clippy::cast_precision_loss)]
fn to_nonzero_f64(value: u64) -> f64 {
    value.max(1) as f64
}
