//! Load shedding by a gateway that lacks processor time.
//!
//! Each request takes several turns in the queue of the gateway's tasks, so a long queue makes all
//! of them late. While even the shortest delay of an interval exceeds its bound, an adaptive
//! fraction of the requests is refused before any work is done for them. The shortest delay ignores
//! bursts and the pauses of a process that is out of its processor quota, which end by themselves.

use indexmap::IndexMap;

use crate::state::Now;

/// Options of load shedding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SheddingOptions {
    /// Bound on the delay of one turn, as a fraction of the smallest target latency of all routes. A
    /// request takes about six turns, so together they take three eighths of the target.
    pub target_fraction: f64,
    /// Lower limit of the bound. Shorter delays also occur without a lack of processor time.
    pub min_bound_ms: f64,
    /// The delay must exceed its bound for this long before requests are refused.
    pub start_after_ms: u64,
    /// Interval at which the refused fraction changes.
    pub interval_ms: u64,
    /// Relative change of the served fraction per interval if the delay is twice its bound.
    pub reduce_gain: f64,
    /// The same per interval without any delay.
    pub recover_gain: f64,
    /// Part of the excess load, as far as the rise of the delay shows it, that is refused at once.
    pub rise_gain: f64,
    /// Maximum fraction that is refused. The rest shows when the gateway has time again.
    pub max_fraction: f64,
    /// How long the share status of a customer is reused.
    pub status_max_age_ms: u64,
    /// `Retry-After` of the refusals. Short, because a retry reaches another gateway.
    pub retry_after_ms: f64,
}

impl Default for SheddingOptions {
    fn default() -> Self {
        Self {
            target_fraction: 0.0625,
            min_bound_ms: 25.0,
            start_after_ms: 300,
            interval_ms: 100,
            reduce_gain: 0.05,
            recover_gain: 0.1,
            rise_gain: 0.5,
            max_fraction: 0.98,
            status_max_age_ms: 50,
            retry_after_ms: 150.0,
        }
    }
}

/// A change that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SheddingChange {
    /// Requests may be refused from now on.
    Started {
        /// The shortest delay in the last interval.
        delay_ms: u64,
    },
    /// No request is refused any longer.
    Ended {
        /// Requests refused since the start.
        refused: u64,
        /// Time since the start.
        duration_ms: u64,
    },
}

/// Requests whose customers are treated alike.
#[derive(Clone, Copy, Debug, Default)]
struct Class {
    /// Fraction that is refused.
    fraction: f64,
    /// Sum of the fractions of the requests that were not refused. The next one is refused when it
    /// reaches one, so the refusals are spread evenly.
    credit: f64,
}

impl Class {
    fn refuses_next(&mut self) -> bool {
        self.credit += self.fraction;
        let is_refused = self.credit >= 1.0;
        if is_refused {
            self.credit -= 1.0;
        }
        is_refused
    }
}

/// Weight of the latest request in the moving average of requests over their share.
const ARRIVAL_WEIGHT: f64 = 0.02;

/// Upper limit of the controlled error: a delay of seven times its bound or more.
const MAX_ERROR: f64 = 6.0;

/// Maximum number of intervals that one long interval counts for. A late gateway measures rarely.
const MAX_INTERVALS: f64 = 4.0;

/// Maximum number of customers whose share status is kept.
const MAX_CUSTOMERS: usize = 4_096;

/// Decides which requests a gateway without processor time refuses.
///
/// ```
/// use curranttrestle::coordination::gateway::load_shedding::{LoadShedder, SheddingOptions};
/// use curranttrestle::state::Now;
/// let mut shedder = LoadShedder::new(SheddingOptions::default());
/// let mut now = Now::default().plus_ms(1_000);
/// for _ in 0..100 {
///     shedder.record_delay(200, Some(400), now);
///     now = now.plus_ms(10);
/// }
/// assert!(shedder.is_active());
/// assert!((0..100).any(|_| shedder.refuses(false)));
/// ```
#[derive(Clone, Debug)]
pub struct LoadShedder {
    options: SheddingOptions,
    interval_started_ms: u64,
    /// The shortest delay in the current interval; `None` before the first measurement.
    shortest_delay_ms: Option<u64>,
    /// Since when the delay has exceeded its bound in each interval.
    exceeded_since_ms: Option<u64>,
    /// The shortest delay in the last interval.
    last_delay_ms: u64,
    /// The fraction of all requests to refuse.
    fraction: f64,
    /// The fraction of requests of customers over their share.
    over_share_fraction: f64,
    within_share: Class,
    over_share: Class,
    started_ms: u64,
    refused: u64,
    /// Whether a customer is over its share, and when this was determined.
    statuses: IndexMap<String, (bool, u64)>,
}

impl LoadShedder {
    /// Creates the state of a gateway that refuses nothing.
    #[must_use]
    pub fn new(options: SheddingOptions) -> Self {
        Self {
            options,
            interval_started_ms: 0,
            shortest_delay_ms: None,
            exceeded_since_ms: None,
            last_delay_ms: 0,
            fraction: 0.0,
            over_share_fraction: 0.0,
            within_share: Class::default(),
            over_share: Class::default(),
            started_ms: 0,
            refused: 0,
            statuses: IndexMap::new(),
        }
    }

    /// The options in force.
    #[must_use]
    pub fn options(&self) -> &SheddingOptions {
        &self.options
    }

    /// Whether some requests are refused.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.fraction > 0.0
    }

    /// The fraction of all requests that is refused.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Requests refused since shedding last started.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// The bound on the delay if `target_ms` is the smallest target latency of the routes in force;
    /// `None` without routes.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    pub fn bound_ms(&self, target_ms: Option<u64>) -> f64 {
        let bound_ms = target_ms.map_or(0.0, |ms| ms as f64 * self.options.target_fraction);
        bound_ms.max(self.options.min_bound_ms)
    }

    /// Records a measured scheduling delay. `target_ms` is the smallest target latency of the routes
    /// in force.
    pub fn record_delay(
        &mut self,
        delay_ms: u64,
        target_ms: Option<u64>,
        now: Now,
    ) -> Option<SheddingChange> {
        let shortest_ms = self
            .shortest_delay_ms
            .map_or(delay_ms, |shortest_ms| shortest_ms.min(delay_ms));
        self.shortest_delay_ms = Some(shortest_ms);
        let elapsed_ms = now.since_ms(self.interval_started_ms);
        if elapsed_ms < self.options.interval_ms {
            return None;
        }
        self.interval_started_ms = now.steady_ms;
        self.shortest_delay_ms = None;
        self.end_interval(shortest_ms, elapsed_ms, target_ms, now)
    }

    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    fn end_interval(
        &mut self,
        shortest_ms: u64,
        elapsed_ms: u64,
        target_ms: Option<u64>,
        now: Now,
    ) -> Option<SheddingChange> {
        let error = (shortest_ms as f64 / self.bound_ms(target_ms) - 1.0).clamp(-1.0, MAX_ERROR);
        let last_delay_ms = std::mem::replace(&mut self.last_delay_ms, shortest_ms);
        let rise_ms = shortest_ms as f64 - last_delay_ms as f64;
        if error > 0.0 {
            self.exceeded_since_ms.get_or_insert(now.steady_ms);
        } else {
            self.exceeded_since_ms = None;
        }
        let has_exceeded = self
            .exceeded_since_ms
            .is_some_and(|since_ms| now.since_ms(since_ms) >= self.options.start_after_ms);
        let was_active = self.is_active();
        if !was_active && !has_exceeded {
            return None;
        }
        let elapsed_ms = elapsed_ms.max(1) as f64;
        let intervals = elapsed_ms / self.options.interval_ms.max(1) as f64;
        let gain = if error > 0.0 {
            self.options.reduce_gain
        } else {
            self.options.recover_gain
        };
        // The delay rises by the work that arrives beyond what the processor time allows.
        let excess = (self.options.rise_gain * rise_ms / elapsed_ms).clamp(-0.5, 1.0);
        let factor = (-gain * error * intervals.min(MAX_INTERVALS)).exp() / (1.0 + excess);
        let served = (1.0 - self.fraction) * factor;
        self.fraction = (1.0 - served).clamp(0.0, self.options.max_fraction);
        self.divide_fraction();
        if self.is_active() == was_active {
            return None;
        }
        if was_active {
            return Some(SheddingChange::Ended {
                refused: self.refused,
                duration_ms: now.since_ms(self.started_ms),
            });
        }
        self.started_ms = now.steady_ms;
        self.refused = 0;
        self.over_share_fraction = 0.0;
        Some(SheddingChange::Started {
            delay_ms: shortest_ms,
        })
    }

    /// Whether a customer is over its fair share. Calls `status` at most once per customer and
    /// [`SheddingOptions::status_max_age_ms`].
    pub fn is_over_share(
        &mut self,
        customer: &str,
        now: Now,
        status: impl FnOnce() -> bool,
    ) -> bool {
        let max_age_ms = self.options.status_max_age_ms;
        if let Some((is_over, at_ms)) = self.statuses.get(customer)
            && now.since_ms(*at_ms) < max_age_ms
        {
            return *is_over;
        }
        if self.statuses.len() >= MAX_CUSTOMERS {
            self.statuses.clear();
        }
        let is_over = status();
        let entry = (is_over, now.steady_ms);
        self.statuses.insert(customer.to_owned(), entry);
        is_over
    }

    /// Whether to refuse the request that has just arrived. Requests of customers over their share
    /// are refused first.
    pub fn refuses(&mut self, is_over_share: bool) -> bool {
        if !self.is_active() {
            return false;
        }
        let arrived = if is_over_share { 1.0 } else { 0.0 };
        self.over_share_fraction += ARRIVAL_WEIGHT * (arrived - self.over_share_fraction);
        self.divide_fraction();
        let class = if is_over_share {
            &mut self.over_share
        } else {
            &mut self.within_share
        };
        let is_refused = class.refuses_next();
        self.refused += u64::from(is_refused);
        is_refused
    }

    /// Divides the refusals between the two classes.
    fn divide_fraction(&mut self) {
        let over = self.over_share_fraction;
        let max = self.options.max_fraction;
        let over_refused = (self.fraction / over.max(f64::EPSILON)).min(max);
        self.over_share.fraction = over_refused;
        let within = (1.0 - over).max(f64::EPSILON);
        let within_refused = (self.fraction - over * over_refused) / within;
        self.within_share.fraction = within_refused.clamp(0.0, max);
    }
}
