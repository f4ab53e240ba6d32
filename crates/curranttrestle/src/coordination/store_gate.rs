//! The pace of a router's calls to the platform's store.
//!
//! All calls pass one token bucket, the more urgent ones first. After a failure the calls
//! pause for a random time that grows with each further failure, and then start again one
//! at a time, so that the end of an outage meets no rush of calls.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use crate::protocol::platform::{CallId, StoreAnswer, StoreCall};
use crate::state::Now;

/// Tokens are counted in thousandths.
const MILLI: u64 = 1_000;

/// How urgent a store call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallPriority {
    /// A caller waits for it.
    Claims,
    /// It keeps the configuration in force.
    Config,
    /// It can wait.
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

/// How fast a router may call the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreGateOptions {
    /// Calls a second.
    pub rate_per_s: u64,
    /// Calls that may follow at once after a rest.
    pub burst: u64,
    /// The most calls that wait, of each priority.
    pub max_queued: usize,
    /// The most calls in progress, waiting watches not counted.
    pub max_in_flight: usize,
    /// The mean pause after the first failure; it doubles with each further one.
    pub first_pause_ms: u64,
    /// The longest mean pause.
    pub max_pause_ms: u64,
    /// After this time without an answer a call counts as failed, waiting watches excepted.
    pub call_timeout_ms: u64,
}

impl Default for StoreGateOptions {
    fn default() -> Self {
        Self {
            rate_per_s: 40,
            burst: 20,
            max_queued: 256,
            max_in_flight: 32,
            first_pause_ms: 100,
            max_pause_ms: 2_000,
            call_timeout_ms: 10_000,
        }
    }
}

/// A call was not taken because too many wait. Treat it as answered with
/// [`StoreAnswer::Unavailable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many store calls wait")]
pub struct GateFull;

/// Whether the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// Calls pass at the full rate.
    Up,
    /// No call passes before `until_ms`; then a single one tries.
    Paused { until_ms: u64 },
    /// One call was let through and has no answer yet.
    Probing { call: CallId },
}

/// The gate that all store calls of one router pass.
///
/// ```
/// use curranttrestle::coordination::store_gate::{CallPriority, StoreGate, StoreGateOptions};
/// use curranttrestle::protocol::platform::{CallId, StoreCall};
/// use curranttrestle::state::Now;
/// use rand::SeedableRng;
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let mut gate = StoreGate::new(StoreGateOptions::default());
/// gate.submit(CallId(1), StoreCall::Instances, CallPriority::Background, Now::default()).unwrap();
/// assert_eq!(gate.poll(Now::default(), &mut rng).len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct StoreGate {
    options: StoreGateOptions,
    queues: [VecDeque<(CallId, StoreCall)>; CallPriority::COUNT],
    /// When each call was made, on the steady clock.
    in_flight: IndexMap<CallId, u64>,
    watches: IndexSet<CallId>,
    health: Health,
    /// The last call that passed while the store was down was a watch.
    watch_was_last: bool,
    failures: u32,
    milli_tokens: u64,
    refilled_ms: Option<u64>,
    passed: u64,
}

impl StoreGate {
    /// An open gate with a full bucket.
    #[must_use]
    pub fn new(options: StoreGateOptions) -> Self {
        Self {
            milli_tokens: options.burst * MILLI,
            options,
            queues: Default::default(),
            in_flight: IndexMap::new(),
            watches: IndexSet::new(),
            health: Health::Up,
            watch_was_last: false,
            failures: 0,
            refilled_ms: None,
            passed: 0,
        }
    }

    /// Queues a call.
    ///
    /// # Errors
    ///
    /// Fails when too many calls of that priority wait.
    pub fn submit(
        &mut self,
        call: CallId,
        request: StoreCall,
        priority: CallPriority,
        _now: Now,
    ) -> Result<(), GateFull> {
        let queue = &mut self.queues[priority.index()];
        if queue.len() >= self.options.max_queued {
            return Err(GateFull);
        }
        queue.push_back((call, request));
        Ok(())
    }

    /// The calls to make now.
    pub fn poll(&mut self, now: Now, rng: &mut impl Rng) -> Vec<(CallId, StoreCall)> {
        self.refill(now);
        self.give_up_late_calls(now, rng);
        let mut calls = Vec::new();
        while self.is_open(now) {
            let Some((call, request)) = self.pop() else {
                break;
            };
            self.milli_tokens -= MILLI;
            self.passed += 1;
            let is_watch = matches!(request, StoreCall::Watch { .. });
            if is_watch {
                self.watches.insert(call);
            } else {
                self.in_flight.insert(call, now.steady_ms);
            }
            if let Health::Paused { .. } = self.health {
                // A watch may wait for long, so that other calls must not wait for its answer.
                self.health = if is_watch {
                    self.pause(now, rng)
                } else {
                    Health::Probing { call }
                };
            }
            calls.push((call, request));
        }
        calls
    }

    /// Takes note of an answer. Pass each answer, also one that is made up for a timeout.
    pub fn answered(&mut self, call: CallId, answer: &StoreAnswer, now: Now, rng: &mut impl Rng) {
        let was_in_flight = self.in_flight.shift_remove(&call).is_some();
        let was_watch = self.watches.shift_remove(&call);
        if !was_in_flight && !was_watch {
            return;
        }
        match answer {
            // A connection that waits may be cut at any time.
            StoreAnswer::Lost if was_watch => {}
            StoreAnswer::Unavailable | StoreAnswer::Lost => self.fail(call, now, rng),
            StoreAnswer::Found(_)
            | StoreAnswer::Absent
            | StoreAnswer::Updated(_)
            | StoreAnswer::Conflict
            | StoreAnswer::Names(_)
            | StoreAnswer::Instances(_) => self.succeed(),
        }
    }

    /// When to poll next, on the steady clock; none when nothing can pass before an answer.
    #[must_use]
    pub fn next_wake_ms(&self, now: Now) -> Option<u64> {
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

    /// Changes how many calls are let through in a second.
    pub fn set_rate_per_s(&mut self, rate_per_s: u64) {
        self.options.rate_per_s = rate_per_s;
    }

    /// Whether the store answered the last calls.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.health == Health::Up
    }

    /// The number of calls let through since the start.
    #[must_use]
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// The most urgent call. While the store is down, other calls and watches take turns: a
    /// store that is slower than the timeout of other calls still answers a watch.
    fn pop(&mut self) -> Option<(CallId, StoreCall)> {
        if self.health == Health::Up {
            return self.queues.iter_mut().find_map(VecDeque::pop_front);
        }
        let wants_watch = !self.watch_was_last && self.failures > 1;
        let chosen = self.pop_kind(wants_watch);
        let chosen = chosen.or_else(|| self.pop_kind(!wants_watch))?;
        self.watch_was_last = matches!(chosen.1, StoreCall::Watch { .. });
        Some(chosen)
    }

    /// The most urgent call that is a watch, or that is none.
    fn pop_kind(&mut self, is_watch: bool) -> Option<(CallId, StoreCall)> {
        self.queues.iter_mut().find_map(|queue| {
            let mut calls = queue.iter();
            let at =
                calls.position(|(_, call)| matches!(call, StoreCall::Watch { .. }) == is_watch)?;
            queue.remove(at)
        })
    }

    fn is_open(&self, now: Now) -> bool {
        let has_room = self.in_flight.len() < self.options.max_in_flight;
        let is_healthy = match self.health {
            Health::Up => true,
            Health::Paused { until_ms } => now.steady_ms >= until_ms,
            Health::Probing { .. } => false,
        };
        has_room && is_healthy && self.milli_tokens >= MILLI
    }

    /// Counts calls without an answer as failed, so that a lost one can't block the others.
    fn give_up_late_calls(&mut self, now: Now, rng: &mut impl Rng) {
        let timeout_ms = self.options.call_timeout_ms;
        let late: Vec<CallId> = self
            .in_flight
            .iter()
            .filter(|(_, sent_ms)| now.since_ms(**sent_ms) >= timeout_ms)
            .map(|(call, _)| *call)
            .collect();
        for call in late {
            self.in_flight.shift_remove(&call);
            self.fail(call, now, rng);
        }
    }

    fn fail(&mut self, call: CallId, now: Now, rng: &mut impl Rng) {
        let is_probe = matches!(self.health, Health::Probing { call: probe } if probe == call);
        // Calls that were made before the pause tell nothing new.
        if self.health != Health::Up && !is_probe {
            return;
        }
        self.failures += 1;
        self.health = self.pause(now, rng);
        // What waits starts again slowly: no burst was saved up during the pause.
        self.milli_tokens = self.milli_tokens.min(MILLI);
    }

    /// A pause of a random length that grows with the number of failures.
    fn pause(&self, now: Now, rng: &mut impl Rng) -> Health {
        let doublings = self.failures.saturating_sub(1).min(16);
        let mean_ms = self
            .options
            .first_pause_ms
            .saturating_mul(1 << doublings)
            .min(self.options.max_pause_ms)
            .max(1);
        let pause_ms = rng.random_range(mean_ms / 2..=mean_ms + mean_ms / 2);
        Health::Paused {
            until_ms: now.steady_ms + pause_ms,
        }
    }

    fn succeed(&mut self) {
        if self.health != Health::Up {
            self.milli_tokens = 0;
        }
        self.health = Health::Up;
        self.failures = 0;
    }

    fn refill(&mut self, now: Now) {
        let elapsed_ms = now.since_ms(self.refilled_ms.unwrap_or(now.steady_ms));
        self.refilled_ms = Some(now.steady_ms);
        // While the store is down, one token is enough for the call that tries it.
        let limit = match self.health {
            Health::Up => self.options.burst,
            Health::Paused { .. } | Health::Probing { .. } => 1,
        };
        let tokens = self.milli_tokens + elapsed_ms * self.options.rate_per_s;
        self.milli_tokens = tokens.min(limit * MILLI);
    }

    fn next_token_ms(&self, now: Now) -> u64 {
        let missing = MILLI.saturating_sub(self.milli_tokens);
        let wait_ms = missing.div_ceil(self.options.rate_per_s.max(1));
        self.refilled_ms.unwrap_or(now.steady_ms) + wait_ms
    }
}
