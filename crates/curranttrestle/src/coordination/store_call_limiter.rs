//! Rate limit and backoff for a router's calls to the platform's store.
//!
//! All calls pass one token bucket in order of priority. After a failure the calls pause for a
//! random time whose mean doubles with each further failure, up to a maximum. They then resume
//! with a single probe, so that the end of an outage does not cause a burst of calls.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use crate::protocol::platform::{CallId, StoreCall, StoreResponse};
use crate::state::Now;

/// The token bucket counts in thousandths of a token.
const MILLITOKENS_PER_TOKEN: u64 = 1_000;

/// Priority of a store call, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallPriority {
    /// A caller waits for the response.
    Claims,
    /// The call keeps the configuration up to date.
    Config,
    /// The call can be delayed.
    Background,
}

impl CallPriority {
    const COUNT: usize = 3;

    fn index(self) -> usize {
        match self {
            Self::Claims => 0,
            Self::Config => 1,
            Self::Background => 2,
        }
    }
}

/// Limits, backoff and timeout of a router's store calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCallLimiterOptions {
    /// Sustained calls per second.
    pub rate_per_s: u64,
    /// The capacity of the token bucket: the size of a burst after an idle period.
    pub burst: u64,
    /// The maximum queue length of each priority.
    pub max_queued: usize,
    /// The maximum number of calls in flight, not counting watches.
    pub max_in_flight: usize,
    /// The mean pause after the first failure. It doubles with each further failure.
    pub initial_pause_ms: u64,
    /// The maximum mean pause.
    pub max_pause_ms: u64,
    /// A call without a response for this long counts as failed. Does not apply to watches.
    pub call_timeout_ms: u64,
}

impl Default for StoreCallLimiterOptions {
    fn default() -> Self {
        Self {
            rate_per_s: 40,
            burst: 20,
            max_queued: 256,
            max_in_flight: 32,
            initial_pause_ms: 100,
            max_pause_ms: 2_000,
            call_timeout_ms: 10_000,
        }
    }
}

/// The queue of the call's priority is full. Treat the call as if the store had returned
/// [`StoreResponse::Unavailable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the queue of store calls is full")]
pub struct StoreQueueFull;

/// Whether the store is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// Calls are sent at the full rate.
    Up,
    /// No call is sent before `until_ms`; the first one after it is a probe.
    Paused { until_ms: u64 },
    /// The probe `call` is in flight; no other call is sent.
    Probing { call: CallId },
}

/// Limits the store calls of one router.
///
/// ```
/// use curranttrestle::coordination::store_call_limiter::{CallPriority, StoreCallLimiter, StoreCallLimiterOptions};
/// use curranttrestle::protocol::platform::{CallId, StoreCall};
/// use curranttrestle::state::Now;
/// use rand::SeedableRng;
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let mut limiter = StoreCallLimiter::new(StoreCallLimiterOptions::default());
/// limiter.submit(CallId(1), StoreCall::Instances, CallPriority::Background, Now::default()).unwrap();
/// assert_eq!(limiter.poll(Now::default(), &mut rng).len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct StoreCallLimiter {
    options: StoreCallLimiterOptions,
    queues: [VecDeque<(CallId, StoreCall)>; CallPriority::COUNT],
    /// The time at which each call was sent, by the steady clock.
    in_flight: IndexMap<CallId, u64>,
    watches: IndexSet<CallId>,
    health: Health,
    /// Whether the last probe was a watch.
    last_probe_was_watch: bool,
    failures: u32,
    milli_tokens: u64,
    last_refill_ms: Option<u64>,
    sent_calls: u64,
}

impl StoreCallLimiter {
    /// Creates a limiter with a full bucket.
    #[must_use]
    pub fn new(options: StoreCallLimiterOptions) -> Self {
        Self {
            milli_tokens: options.burst * MILLITOKENS_PER_TOKEN,
            options,
            queues: Default::default(),
            in_flight: IndexMap::new(),
            watches: IndexSet::new(),
            health: Health::Up,
            last_probe_was_watch: false,
            failures: 0,
            last_refill_ms: None,
            sent_calls: 0,
        }
    }

    /// Queues a call.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue of that priority is full.
    pub fn submit(
        &mut self,
        id: CallId,
        call: StoreCall,
        priority: CallPriority,
        _now: Now,
    ) -> Result<(), StoreQueueFull> {
        let queue = &mut self.queues[priority.index()];
        if queue.len() >= self.options.max_queued {
            return Err(StoreQueueFull);
        }
        queue.push_back((id, call));
        Ok(())
    }

    /// Returns the calls to make now.
    pub fn poll(&mut self, now: Now, rng: &mut impl Rng) -> Vec<(CallId, StoreCall)> {
        self.refill(now);
        self.expire_calls(now, rng);
        let mut calls = Vec::new();
        while self.can_send(now) {
            let Some((call, request)) = self.pop() else {
                break;
            };
            self.milli_tokens -= MILLITOKENS_PER_TOKEN;
            self.sent_calls += 1;
            let is_watch = matches!(request, StoreCall::Watch { .. });
            if is_watch {
                self.watches.insert(call);
            } else {
                self.in_flight.insert(call, now.steady_ms);
            }
            if let Health::Paused { .. } = self.health {
                // A watch may block for a long time, and other calls must not wait for its
                // response.
                self.health = if is_watch {
                    self.backoff_pause(now, rng)
                } else {
                    Health::Probing { call }
                };
            }
            calls.push((call, request));
        }
        calls
    }

    /// Records the response to a call. Every call needs one, including [`StoreResponse::Lost`] or
    /// [`StoreResponse::Unavailable`] on a timeout.
    pub fn record_response(
        &mut self,
        call: CallId,
        response: &StoreResponse,
        now: Now,
        rng: &mut impl Rng,
    ) {
        let was_in_flight = self.in_flight.shift_remove(&call).is_some();
        let was_watch = self.watches.shift_remove(&call);
        if !was_in_flight && !was_watch {
            return;
        }
        match response {
            // The connection of a blocked watch may close at any time; this is no sign of an
            // outage.
            StoreResponse::Lost if was_watch => {}
            StoreResponse::Unavailable | StoreResponse::Lost => self.record_failure(call, now, rng),
            StoreResponse::Found(_)
            | StoreResponse::Absent
            | StoreResponse::Updated(_)
            | StoreResponse::Conflict
            | StoreResponse::Names(_)
            | StoreResponse::Instances(_) => self.record_success(),
        }
    }

    /// Returns when to poll next, by the steady clock, or `None` if no call can be sent before
    /// a response arrives.
    #[must_use]
    pub fn next_poll_ms(&self, now: Now) -> Option<u64> {
        if self.queues.iter().all(VecDeque::is_empty) {
            return None;
        }
        let oldest_ms = self.in_flight.values().min().copied();
        let timeout_ms = oldest_ms.map(|sent_ms| sent_ms + self.options.call_timeout_ms);
        if self.in_flight.len() >= self.options.max_in_flight {
            return timeout_ms;
        }
        let token_ms = self.next_token_ms(now);
        match self.health {
            Health::Up => Some(token_ms),
            Health::Paused { until_ms } => Some(until_ms.max(token_ms)),
            Health::Probing { .. } => timeout_ms,
        }
    }

    /// Changes the rate limit, in calls per second.
    pub fn set_rate_per_s(&mut self, rate_per_s: u64) {
        self.options.rate_per_s = rate_per_s;
    }

    /// Whether the store responded to the last calls.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.health == Health::Up
    }

    /// Returns the number of calls sent since startup.
    #[must_use]
    pub fn sent_calls(&self) -> u64 {
        self.sent_calls
    }

    /// Takes the queued call with the highest priority. During an outage, watches alternate
    /// with other calls: a store that is slower than the timeout of other calls can still
    /// respond to a watch.
    fn pop(&mut self) -> Option<(CallId, StoreCall)> {
        if self.health == Health::Up {
            return self.queues.iter_mut().find_map(VecDeque::pop_front);
        }
        let wants_watch = !self.last_probe_was_watch && self.failures > 1;
        let chosen = self.pop_matching(wants_watch);
        let chosen = chosen.or_else(|| self.pop_matching(!wants_watch))?;
        self.last_probe_was_watch = matches!(chosen.1, StoreCall::Watch { .. });
        Some(chosen)
    }

    /// Takes the queued call with the highest priority among the watches or among the other
    /// calls.
    fn pop_matching(&mut self, is_watch: bool) -> Option<(CallId, StoreCall)> {
        self.queues.iter_mut().find_map(|queue| {
            let mut calls = queue.iter();
            let index = calls
                .position(|(_, request)| matches!(request, StoreCall::Watch { .. }) == is_watch)?;
            queue.remove(index)
        })
    }

    fn can_send(&self, now: Now) -> bool {
        let has_capacity = self.in_flight.len() < self.options.max_in_flight;
        let health_allows = match self.health {
            Health::Up => true,
            Health::Paused { until_ms } => now.steady_ms >= until_ms,
            Health::Probing { .. } => false,
        };
        has_capacity && health_allows && self.milli_tokens >= MILLITOKENS_PER_TOKEN
    }

    /// Counts calls without a response as failed, so that a lost call can't block the others.
    fn expire_calls(&mut self, now: Now, rng: &mut impl Rng) {
        let timeout_ms = self.options.call_timeout_ms;
        let expired: Vec<CallId> = self
            .in_flight
            .iter()
            .filter(|(_, sent_ms)| now.since_ms(**sent_ms) >= timeout_ms)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            self.in_flight.shift_remove(&call);
            self.record_failure(call, now, rng);
        }
    }

    fn record_failure(&mut self, call: CallId, now: Now, rng: &mut impl Rng) {
        let is_probe = matches!(self.health, Health::Probing { call: probe } if probe == call);
        // Failures of calls from before the pause carry no new information.
        if self.health != Health::Up && !is_probe {
            return;
        }
        self.failures += 1;
        self.health = self.backoff_pause(now, rng);
        // Queued calls resume at the sustained rate: a pause does not accumulate a burst.
        self.milli_tokens = self.milli_tokens.min(MILLITOKENS_PER_TOKEN);
    }

    /// Returns a pause with a random length whose mean doubles with each failure.
    fn backoff_pause(&self, now: Now, rng: &mut impl Rng) -> Health {
        let doublings = self.failures.saturating_sub(1).min(16);
        let mean_ms = self
            .options
            .initial_pause_ms
            .saturating_mul(1 << doublings)
            .min(self.options.max_pause_ms)
            .max(1);
        let pause_ms = rng.random_range(mean_ms / 2..=mean_ms + mean_ms / 2);
        Health::Paused {
            until_ms: now.steady_ms + pause_ms,
        }
    }

    fn record_success(&mut self) {
        if self.health != Health::Up {
            self.milli_tokens = 0;
        }
        self.health = Health::Up;
        self.failures = 0;
    }

    fn refill(&mut self, now: Now) {
        let elapsed_ms = now.since_ms(self.last_refill_ms.unwrap_or(now.steady_ms));
        self.last_refill_ms = Some(now.steady_ms);
        // During an outage one token suffices, for the probe.
        let limit = match self.health {
            Health::Up => self.options.burst,
            Health::Paused { .. } | Health::Probing { .. } => 1,
        };
        let tokens = self.milli_tokens + elapsed_ms * self.options.rate_per_s;
        self.milli_tokens = tokens.min(limit * MILLITOKENS_PER_TOKEN);
    }

    fn next_token_ms(&self, now: Now) -> u64 {
        let missing = MILLITOKENS_PER_TOKEN.saturating_sub(self.milli_tokens);
        let wait_ms = missing.div_ceil(self.options.rate_per_s.max(1));
        self.last_refill_ms.unwrap_or(now.steady_ms) + wait_ms
    }
}
