//! What requests are expected to cost, and what they are charged.
//!
//! The cost of a request is known only when it ends. Until then it is estimated from two
//! sources: the costs of earlier requests of the same customer and operation, and the hint
//! that came with the request. Both are kept as logarithms, because hints are wrong by
//! factors, and weighed by how well each has predicted so far.

use indexmap::IndexMap;

use crate::state::CustomerId;

/// Settings of [`CostEstimator`].
#[derive(Clone, Debug, PartialEq)]
pub struct CostOptions {
    /// The least weight of the newest request in the running figures.
    pub newest_weight: f64,
    /// How far a hint is trusted before anything was learned, as a standard deviation of
    /// the logarithm of cost over hint.
    pub hint_deviation: f64,
    /// The same for the prior cost of an operation.
    pub prior_deviation: f64,
    /// How many requests the prior counts for.
    pub prior_weight: f64,
    /// A request that used this multiple of its expected cost is long from then on.
    pub outgrown_factor: f64,
    /// How many pairs of customer and operation are remembered.
    pub limit: usize,
}

impl Default for CostOptions {
    fn default() -> Self {
        Self {
            newest_weight: 0.02,
            hint_deviation: 0.8,
            prior_deviation: 1.5,
            prior_weight: 4.0,
            outgrown_factor: 2.0,
            limit: 20_000,
        }
    }
}

/// What may be known of a request's cost before it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostHints {
    /// The cost that the sheet states for the operation.
    pub prior: f64,
    /// The cost that the caller states for the request.
    pub hint: Option<f64>,
}

/// A running mean with its variance.
#[derive(Clone, Copy, Debug, Default)]
struct Running {
    mean: f64,
    variance: f64,
    count: f64,
}

impl Running {
    fn starting_at(mean: f64, deviation: f64, count: f64) -> Self {
        Self {
            mean,
            variance: deviation * deviation,
            count,
        }
    }

    fn add(&mut self, value: f64, newest_weight: f64) {
        self.count += 1.0;
        let weight = newest_weight.max(1.0 / self.count);
        let difference = value - self.mean;
        self.mean += weight * difference;
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
    }
}

/// What was learned of one customer's use of one operation.
#[derive(Clone, Copy, Debug)]
struct Learned {
    /// The logarithm of the cost.
    log_cost: Running,
    /// The logarithm of cost over hint.
    log_error: Running,
}

/// Learns costs per customer and operation.
#[derive(Debug, Default)]
pub struct CostEstimator {
    options: CostOptions,
    learned: IndexMap<CustomerId, IndexMap<String, Learned>>,
    count: usize,
}

/// The least cost that is told apart from nothing.
const LEAST_COST: f64 = 1.0;

/// The least variance, so that no source is trusted without limit.
const LEAST_VARIANCE: f64 = 0.01;

impl CostEstimator {
    /// An estimator that has learned nothing.
    #[must_use]
    pub fn new(options: CostOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// The expected cost of a request.
    ///
    /// ```
    /// use curranttrestle::coordination::cost::{CostEstimator, CostHints, CostOptions};
    /// use curranttrestle::state::CustomerId;
    ///
    /// let mut estimator = CostEstimator::new(CostOptions::default());
    /// let customer = CustomerId::new("armor");
    /// let hints = CostHints { prior: 100.0, hint: None };
    /// for _ in 0..200 {
    ///     estimator.learn(&customer, "draft", hints, 400.0);
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
            .unwrap_or_else(|| self.unlearned(hints.prior));
        let by_history = learned.log_cost;
        let Some(hint) = hints.hint.filter(|hint| hint.is_finite() && *hint > 0.0) else {
            return by_history.mean.exp();
        };
        // Each source counts by the inverse of its variance.
        let by_hint = log_cost(hint) + learned.log_error.mean;
        let history_weight = 1.0 / by_history.variance.max(LEAST_VARIANCE);
        let hint_weight = 1.0 / learned.log_error.variance.max(LEAST_VARIANCE);
        let log_mean = (by_history.mean * history_weight + by_hint * hint_weight)
            / (history_weight + hint_weight);
        log_mean.exp()
    }

    /// Learns from a request that ended.
    pub fn learn(&mut self, customer: &CustomerId, operation: &str, hints: CostHints, cost: f64) {
        if !cost.is_finite() {
            return;
        }
        let unlearned = self.unlearned(hints.prior);
        let weight = self.options.newest_weight;
        let operations = self.learned.entry(customer.clone()).or_default();
        if !operations.contains_key(operation) {
            operations.insert(operation.to_owned(), unlearned);
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
        self.forget_oldest();
    }

    /// Whether a running request outgrew its expected cost and counts as long.
    #[must_use]
    pub fn is_outgrown(&self, expected_cost: f64, used: f64) -> bool {
        used > expected_cost * self.options.outgrown_factor
    }

    fn unlearned(&self, prior: f64) -> Learned {
        let options = &self.options;
        Learned {
            log_cost: Running::starting_at(
                log_cost(prior),
                options.prior_deviation,
                options.prior_weight,
            ),
            log_error: Running::starting_at(0.0, options.hint_deviation, options.prior_weight),
        }
    }

    /// Keeps the memory bounded: the customer that was learned first is forgotten first.
    fn forget_oldest(&mut self) {
        while self.count > self.options.limit {
            let Some((_, operations)) = self.learned.shift_remove_index(0) else {
                break;
            };
            self.count -= operations.len();
        }
    }
}

fn log_cost(cost: f64) -> f64 {
    cost.max(LEAST_COST).ln()
}

/// What one attempt was charged so far.
///
/// An attempt is charged for what it used and for a part of what it is expected to use
/// still: the next `ahead` units. So a customer gets no burst before its requests end, and
/// one that runs a long request is not held to have been served already.
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
    ahead: f64,
    charged: f64,
}

impl Charge {
    /// The charge of an attempt that begins. The first units are [`Charge::charged`].
    #[must_use]
    pub fn new(expected_cost: f64, ahead: f64) -> Self {
        Self {
            expected_cost,
            ahead,
            charged: expected_cost.min(ahead),
        }
    }

    /// The units to charge besides when `used` units were used so far.
    pub fn progress(&mut self, used: f64) -> f64 {
        let ahead = self.expected_cost.min(used + self.ahead);
        self.settle(ahead.max(used))
    }

    /// The units to charge when the attempt ends, negative when it was charged too much.
    pub fn finish(&mut self, cost: f64) -> f64 {
        self.settle(cost)
    }

    /// The units charged so far.
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
