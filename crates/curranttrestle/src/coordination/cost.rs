//! Cost estimation and charging of requests.
//!
//! The cost of a request is known only when it ends. Until then it is estimated from two
//! sources: the costs of earlier requests of the same customer and operation, and the hint
//! sent with the request. Both are stored as logarithms, because hints are off by factors,
//! and are weighted by how well each has predicted so far (inverse variance).

use indexmap::IndexMap;

use crate::state::CustomerId;

/// Settings of [`CostEstimator`].
#[derive(Clone, Debug, PartialEq)]
pub struct CostOptions {
    /// Minimum weight of the newest request in the running mean and variance.
    pub min_sample_weight: f64,
    /// Initial uncertainty of hints: the standard deviation of the logarithm of cost over
    /// hint before any request has been observed.
    pub hint_deviation: f64,
    /// Initial uncertainty of an operation's prior cost: the standard deviation of the
    /// logarithm of the cost.
    pub prior_deviation: f64,
    /// Number of requests that the prior counts as.
    pub prior_weight: f64,
    /// A request that has used more than this multiple of its expected cost counts as long.
    pub overrun_factor: f64,
    /// Maximum number of pairs of customer and operation that are retained.
    pub max_entries: usize,
}

impl Default for CostOptions {
    fn default() -> Self {
        Self {
            min_sample_weight: 0.02,
            hint_deviation: 0.8,
            prior_deviation: 1.5,
            prior_weight: 4.0,
            overrun_factor: 2.0,
            max_entries: 20_000,
        }
    }
}

/// What is known about a request's cost before it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostHints {
    /// The operation's prior cost from the sheet, in units of the pool.
    pub prior: f64,
    /// The cost that the caller expects for the request, in units of the pool.
    pub hint: Option<f64>,
}

/// A running mean and variance. The weights are equal at first and exponential later.
#[derive(Clone, Copy, Debug, Default)]
struct RunningStats {
    mean: f64,
    variance: f64,
    count: f64,
}

impl RunningStats {
    fn with_prior(mean: f64, deviation: f64, count: f64) -> Self {
        Self {
            mean,
            variance: deviation * deviation,
            count,
        }
    }

    fn add(&mut self, value: f64, min_weight: f64) {
        self.count += 1.0;
        let weight = min_weight.max(1.0 / self.count);
        let difference = value - self.mean;
        self.mean += weight * difference;
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
    }
}

/// Cost statistics of one customer's requests to one operation.
#[derive(Clone, Copy, Debug)]
struct LearnedCost {
    /// The logarithm of the cost.
    log_cost: RunningStats,
    /// The logarithm of cost over hint.
    log_error: RunningStats,
}

/// Estimates request costs per customer and operation.
#[derive(Debug, Default)]
pub struct CostEstimator {
    options: CostOptions,
    learned: IndexMap<CustomerId, IndexMap<String, LearnedCost>>,
    count: usize,
}

/// Lower bound of a cost before its logarithm is taken, in units.
const MIN_COST: f64 = 1.0;

/// Lower bound of the variance, so that the weight of a source stays bounded.
const MIN_VARIANCE: f64 = 0.01;

impl CostEstimator {
    /// Creates an estimator without observations.
    #[must_use]
    pub fn new(options: CostOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the expected cost of a request, in units of the pool.
    ///
    /// ```
    /// use curranttrestle::coordination::cost::{CostEstimator, CostHints, CostOptions};
    /// use curranttrestle::state::CustomerId;
    ///
    /// let mut estimator = CostEstimator::new(CostOptions::default());
    /// let customer = CustomerId::new("armor");
    /// let hints = CostHints { prior: 100.0, hint: None };
    /// for _ in 0..200 {
    ///     estimator.record(&customer, "draft", hints, 400.0);
    /// }
    /// let cost = estimator.expected_cost(&customer, "draft", hints);
    /// assert!((390.0..=410.0).contains(&cost));
    /// ```
    #[must_use]
    pub fn expected_cost(&self, customer: &CustomerId, operation: &str, hints: CostHints) -> f64 {
        let learned = self
            .learned
            .get(customer)
            .and_then(|operations| operations.get(operation))
            .copied()
            .unwrap_or_else(|| self.initial_estimate(hints.prior));
        let history = learned.log_cost;
        let Some(hint) = hints.hint.filter(|hint| hint.is_finite() && *hint > 0.0) else {
            return history.mean.exp();
        };
        // Inverse-variance weighting of the two sources.
        let hint_mean = log_cost(hint) + learned.log_error.mean;
        let history_weight = 1.0 / history.variance.max(MIN_VARIANCE);
        let hint_weight = 1.0 / learned.log_error.variance.max(MIN_VARIANCE);
        let log_mean = (history.mean * history_weight + hint_mean * hint_weight)
            / (history_weight + hint_weight);
        log_mean.exp()
    }

    /// Records the cost of a request that ended. Infinite and NaN costs are ignored.
    pub fn record(&mut self, customer: &CustomerId, operation: &str, hints: CostHints, cost: f64) {
        if !cost.is_finite() {
            return;
        }
        let initial = self.initial_estimate(hints.prior);
        let weight = self.options.min_sample_weight;
        let operations = self.learned.entry(customer.clone()).or_default();
        if !operations.contains_key(operation) {
            operations.insert(operation.to_owned(), initial);
            self.count += 1;
        }
        if let Some(learned) = operations.get_mut(operation) {
            learned.log_cost.add(log_cost(cost), weight);
            if let Some(hint) = hints.hint.filter(|hint| hint.is_finite() && *hint > 0.0) {
                learned
                    .log_error
                    .add(log_cost(cost) - log_cost(hint), weight);
            }
        }
        self.evict_oldest();
    }

    /// Returns whether a running request has overrun its expected cost and counts as long.
    #[must_use]
    pub fn is_overrun(&self, expected_cost: f64, used: f64) -> bool {
        used > expected_cost * self.options.overrun_factor
    }

    fn initial_estimate(&self, prior: f64) -> LearnedCost {
        let options = &self.options;
        LearnedCost {
            log_cost: RunningStats::with_prior(
                log_cost(prior),
                options.prior_deviation,
                options.prior_weight,
            ),
            log_error: RunningStats::with_prior(0.0, options.hint_deviation, options.prior_weight),
        }
    }

    /// Bounds the memory: evicts customers in the order in which they were first recorded.
    fn evict_oldest(&mut self) {
        while self.count > self.options.max_entries {
            let Some((_, operations)) = self.learned.shift_remove_index(0) else {
                break;
            };
            self.count -= operations.len();
        }
    }
}

fn log_cost(cost: f64) -> f64 {
    cost.max(MIN_COST).ln()
}

/// The units charged so far for one attempt.
///
/// An attempt is charged for the units it has used plus the next `lookahead` units of its
/// expected cost. So a customer can't start a burst of requests before the first ones are
/// charged, and a long request is not charged in full before it has been served.
///
/// ```
/// use curranttrestle::coordination::cost::Charge;
/// let mut charge = Charge::new(100.0, 40.0);
/// assert_eq!(charge.charged(), 40.0);
/// assert_eq!(charge.progress(30.0), 30.0);
/// assert_eq!(charge.progress(80.0), 30.0);
/// assert_eq!(charge.progress(130.0), 30.0);
/// assert_eq!(charge.finish(120.0), -10.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Charge {
    expected_cost: f64,
    lookahead: f64,
    charged: f64,
}

impl Charge {
    /// Creates the charge of an attempt that starts. [`Charge::charged`] returns the initial
    /// units.
    #[must_use]
    pub fn new(expected_cost: f64, lookahead: f64) -> Self {
        Self {
            expected_cost,
            lookahead,
            charged: expected_cost.min(lookahead),
        }
    }

    /// Returns the additional units to charge once `used` units have been used in total.
    pub fn progress(&mut self, used: f64) -> f64 {
        let target = self.expected_cost.min(used + self.lookahead);
        self.settle(target.max(used))
    }

    /// Returns the units to charge when the attempt ends. Negative if it was overcharged.
    pub fn finish(&mut self, cost: f64) -> f64 {
        self.settle(cost)
    }

    /// Returns the units charged so far.
    #[must_use]
    pub fn charged(&self) -> f64 {
        self.charged
    }

    fn settle(&mut self, target: f64) -> f64 {
        let difference = target - self.charged;
        self.charged = target;
        difference
    }
}
