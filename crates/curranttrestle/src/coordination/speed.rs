//! Slow endpoints, and when to start a second attempt.
//!
//! Load reports come late, so endpoints are judged by the time per token of the streams
//! that this router reads itself, against the other endpoints of the same pool. The median
//! of the pool is the measure: it stays put while fewer than half of the endpoints are slow.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::state::{EndpointId, Now, PoolId};

/// Settings of [`SpeedJudge`].
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedOptions {
    /// The time constant of the running time per token.
    pub smoothing_ms: u64,
    /// An endpoint is slow from this multiple of the median on.
    pub slow_factor: f64,
    /// A slow endpoint has recovered below this multiple of the median.
    pub recovered_factor: f64,
    /// Figures older than this say nothing.
    pub sample_timeout_ms: u64,
    /// The least fraction of its slots that a slow endpoint keeps as a probe.
    pub probe_fraction: f64,
    /// How many endpoints of a pool must have figures before any is judged.
    pub least_peers: usize,
}

impl Default for SpeedOptions {
    fn default() -> Self {
        Self {
            smoothing_ms: 400,
            slow_factor: 2.0,
            recovered_factor: 1.4,
            sample_timeout_ms: 3_000,
            probe_fraction: 0.1,
            least_peers: 3,
        }
    }
}

/// The speed of one endpoint.
#[derive(Clone, Copy, Debug)]
struct Speed {
    ms_per_token: f64,
    sampled_ms: u64,
    slow: bool,
}

/// Judges the speed of endpoints.
#[derive(Debug, Default)]
pub struct SpeedJudge {
    options: SpeedOptions,
    pools: IndexMap<PoolId, IndexMap<EndpointId, Speed>>,
}

impl SpeedJudge {
    /// A judge without figures.
    #[must_use]
    pub fn new(options: SpeedOptions) -> Self {
        Self {
            options,
            pools: IndexMap::new(),
        }
    }

    /// Notes that `tokens` tokens of one stream took `elapsed_ms`. For a plain service a
    /// token is one unit of expected cost. Says whether the judgement on the endpoint changed.
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
        let speed = speeds.entry(endpoint.clone()).or_insert(Speed {
            ms_per_token: sample,
            sampled_ms: now.steady_ms,
            slow: false,
        });
        if now.since_ms(speed.sampled_ms) >= timeout_ms {
            speed.ms_per_token = sample;
        }
        // A sample weighs as much as the time it covers.
        let weight = 1.0 - (-elapsed_ms / to_f64(smoothing_ms)).exp();
        speed.ms_per_token += weight * (sample - speed.ms_per_token);
        speed.sampled_ms = now.steady_ms;
        self.judge(pool, endpoint, now)
    }

    /// Whether an endpoint is slow.
    #[must_use]
    pub fn is_slow(&self, pool: &PoolId, endpoint: &EndpointId) -> bool {
        self.pools
            .get(pool)
            .and_then(|speeds| speeds.get(endpoint))
            .is_some_and(|speed| speed.slow)
    }

    /// The fraction of its slots that an endpoint should be given: one unless it is slow.
    #[must_use]
    pub fn window(&self, pool: &PoolId, endpoint: &EndpointId, now: Now) -> f64 {
        let speed = self.pools.get(pool).and_then(|speeds| speeds.get(endpoint));
        let Some(speed) = speed.filter(|speed| speed.slow) else {
            return 1.0;
        };
        match self.median(pool, now) {
            Some(median) => (median / speed.ms_per_token).clamp(self.options.probe_fraction, 1.0),
            None => self.options.probe_fraction,
        }
    }

    /// The slow endpoints of all pools with their windows.
    #[must_use]
    pub fn slow_endpoints(&self, now: Now) -> Vec<(EndpointId, f64)> {
        let mut slow = Vec::new();
        for (pool, speeds) in &self.pools {
            for endpoint in speeds
                .iter()
                .filter(|(_, speed)| speed.slow)
                .map(|(id, _)| id)
            {
                slow.push((endpoint.clone(), self.window(pool, endpoint, now)));
            }
        }
        slow
    }

    /// Forgets an endpoint that is gone.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        for speeds in self.pools.values_mut() {
            speeds.swap_remove(endpoint);
        }
    }

    /// The median time per token of the endpoints of a pool with recent figures.
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
        if recent.len() < self.options.least_peers {
            return None;
        }
        recent.sort_by(f64::total_cmp);
        // The lower one of two in the middle: with few peers a slow one must not count.
        Some(recent[(recent.len() - 1) / 2])
    }

    fn judge(&mut self, pool: &PoolId, endpoint: &EndpointId, now: Now) -> bool {
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

/// Settings of [`Hedging`].
#[derive(Clone, Debug, PartialEq)]
pub struct HedgeOptions {
    /// The quantile of the usual times after which a second attempt may start.
    pub quantile: f64,
    /// How many of the last times are kept for each pool.
    pub samples: usize,
    /// How many times must be known before any second attempt.
    pub least_samples: usize,
}

impl Default for HedgeOptions {
    fn default() -> Self {
        Self {
            quantile: 0.95,
            samples: 256,
            least_samples: 40,
        }
    }
}

/// The budget for second attempts: a fraction of all work.
#[derive(Clone, Debug, PartialEq)]
pub struct HedgeBudget {
    /// The part of all attempts that may be second attempts.
    pub fraction: f64,
    /// The most second attempts that may be saved up.
    pub burst: f64,
    /// The second attempts that were earned and not used.
    pub saved: f64,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self {
            fraction: 0.03,
            burst: 3.0,
            saved: 0.0,
        }
    }
}

impl HedgeBudget {
    /// Counts a first attempt, which earns its fraction of a second one.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.fraction).min(self.burst);
    }

    /// Takes one second attempt from the budget, if it allows it.
    ///
    /// ```
    /// use curranttrestle::coordination::speed::HedgeBudget;
    /// let mut budget = HedgeBudget { fraction: 0.5, ..HedgeBudget::default() };
    /// budget.earn();
    /// assert!(!budget.spend());
    /// budget.earn();
    /// assert!(budget.spend());
    /// ```
    pub fn spend(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}

/// What decides whether a second attempt may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeCandidate {
    /// Whether the operation may run more than once.
    pub idempotent: bool,
    /// Whether the request is expected to be short.
    pub short: bool,
    /// How long the first attempt has run, without its end or without its first token.
    pub elapsed_ms: u64,
    /// How many attempts the request has had.
    pub attempts: u32,
}

/// Decides when a second attempt starts beside a late first one.
#[derive(Debug, Default)]
pub struct Hedging {
    options: HedgeOptions,
    times_ms: IndexMap<PoolId, VecDeque<u64>>,
}

impl Hedging {
    /// Hedging without figures: it never starts a second attempt yet.
    #[must_use]
    pub fn new(options: HedgeOptions) -> Self {
        Self {
            options,
            times_ms: IndexMap::new(),
        }
    }

    /// Notes how long a short request took.
    pub fn observe(&mut self, pool: &PoolId, elapsed_ms: u64) {
        let times = self.times_ms.entry(pool.clone()).or_default();
        times.push_back(elapsed_ms);
        if times.len() > self.options.samples {
            times.pop_front();
        }
    }

    /// The time after which a second attempt may start; none while too little is known.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    pub fn delay_ms(&self, pool: &PoolId) -> Option<u64> {
        let times = self.times_ms.get(pool)?;
        if times.len() < self.options.least_samples {
            return None;
        }
        let mut sorted: Vec<u64> = times.iter().copied().collect();
        sorted.sort_unstable();
        let rank = (self.options.quantile * sorted.len() as f64) as usize;
        sorted.get(rank.min(sorted.len() - 1)).copied()
    }

    /// Decides whether a second attempt starts now, and takes it from the budget.
    pub fn start(
        &self,
        pool: &PoolId,
        candidate: HedgeCandidate,
        budget: &mut HedgeBudget,
    ) -> bool {
        let is_allowed = candidate.idempotent && candidate.short && candidate.attempts == 1;
        let is_late = self
            .delay_ms(pool)
            .is_some_and(|delay_ms| candidate.elapsed_ms > delay_ms);
        is_allowed && is_late && budget.spend()
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(value: u64) -> f64 {
    value.max(1) as f64
}
