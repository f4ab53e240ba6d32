//! The waiting requests of one router, with one queue per account.
//!
//! # Order and starvation bound
//!
//! The requests of one account are ordered by a virtual arrival time: the arrival time plus a
//! penalty for the priority and a penalty proportional to the expected cost. Both penalties have
//! an upper limit, so among the requests that may run in a slot, one is overtaken only by those
//! that arrived at most [`QueueOptions::overtake_bound_ms`] after it. The order of two requests
//! never changes while they wait, so ageing needs no recomputation.

mod ordered_requests;

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::coordination::cost::Charge;
use crate::protocol::peer::Lease;
use crate::state::{AccountId, CustomerId, EndpointId, Now, PoolId, RequestId};

use ordered_requests::{OrderKey, OrderedRequests};

/// Settings of [`Queues`].
#[derive(Clone, Debug, PartialEq)]
pub struct QueueOptions {
    /// Penalty for each step of priority.
    pub priority_step_ms: u64,
    /// Upper limit of the penalty for priority.
    pub priority_limit_ms: u64,
    /// Penalty for an expected cost equal to the mean of the pool.
    pub mean_cost_penalty_ms: u64,
    /// Upper limit of the penalty for expected cost.
    pub cost_limit_ms: u64,
    /// A request is short when its expected cost is at most this multiple of the mean.
    pub short_factor: f64,
    /// A request is charged in advance for at most this multiple of the mean cost in addition to
    /// what it has used.
    pub lookahead_factor: f64,
    /// Weight of the newest request in the running mean cost of a pool.
    pub mean_weight: f64,
}

impl Default for QueueOptions {
    fn default() -> Self {
        Self {
            priority_step_ms: 5_000,
            priority_limit_ms: 20_000,
            mean_cost_penalty_ms: 10_000,
            cost_limit_ms: 20_000,
            short_factor: 2.0,
            lookahead_factor: 1.0,
            mean_weight: 0.01,
        }
    }
}

impl QueueOptions {
    /// Returns the maximum time by which a request may arrive after another one of the same
    /// account and still go first.
    ///
    /// ```
    /// use curranttrestle::coordination::queue::QueueOptions;
    /// assert_eq!(QueueOptions::default().overtake_bound_ms(), 40_000);
    /// ```
    #[must_use]
    pub fn overtake_bound_ms(&self) -> u64 {
        self.priority_limit_ms + self.cost_limit_ms
    }
}

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// The request.
    pub request: RequestId,
    /// The account that the request is charged to.
    pub account: AccountId,
    /// The priority; lower values go first.
    pub priority: u8,
    /// Expected cost, in units of the pool.
    pub expected_cost: f64,
    /// When the request arrived, on the steady clock.
    pub arrived_ms: u64,
    /// When the request is refused if it is still waiting, on the steady clock.
    pub deadline_ms: u64,
    /// Endpoints that must not run the request.
    pub excluded_endpoints: Vec<EndpointId>,
    /// Whether the request must run alone on its endpoint.
    pub exclusive: bool,
}

/// The waiting requests of one customer for one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The customer.
    pub customer: CustomerId,
    /// Number of waiting requests that may share an endpoint.
    pub waiting: u32,
    /// Number of those requests that are expected to be short.
    pub waiting_short: u32,
    /// Number of waiting requests that must run alone.
    pub waiting_exclusive: u32,
    /// Mean expected cost of all waiting requests, in units of the pool.
    pub expected_cost: f64,
    /// How long the oldest request has waited.
    pub oldest_wait_ms: u64,
}

impl Demand {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.waiting + self.waiting_exclusive
    }
}

/// The waiting requests of one account.
#[derive(Debug, Default)]
struct AccountQueue {
    short: OrderedRequests,
    long: OrderedRequests,
    exclusive: OrderedRequests,
}

impl AccountQueue {
    fn len(&self) -> usize {
        self.short.len() + self.long.len() + self.exclusive.len()
    }

    fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.short
            .iter()
            .chain(self.long.iter())
            .chain(self.exclusive.iter())
    }

    fn class_mut(&mut self, class: Class) -> &mut OrderedRequests {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
            Class::Exclusive => &mut self.exclusive,
        }
    }

    fn demand(&self, customer: &CustomerId, now: Now) -> Demand {
        let classes = [&self.short, &self.long, &self.exclusive];
        let cost: f64 = classes.iter().map(|class| class.total_cost()).sum();
        let oldest_ms = classes.iter().filter_map(|class| class.oldest_ms()).min();
        Demand {
            customer: customer.clone(),
            waiting: count(self.short.len() + self.long.len()),
            waiting_short: count(self.short.len()),
            waiting_exclusive: count(self.exclusive.len()),
            expected_cost: cost / f64::from(count(self.len()).max(1)),
            oldest_wait_ms: oldest_ms.map_or(0, |arrived_ms| now.since_ms(arrived_ms)),
        }
    }
}

/// The class of a waiting request, by expected cost and exclusivity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Short,
    Long,
    Exclusive,
}

/// The queue position of a waiting request.
#[derive(Clone, Debug)]
struct Location {
    account: AccountId,
    class: Class,
    key: OrderKey,
    deadline_ms: u64,
}

/// All waiting requests of one router.
#[derive(Debug, Default)]
pub struct Queues {
    options: QueueOptions,
    mean_costs: IndexMap<PoolId, f64>,
    accounts: IndexMap<AccountId, AccountQueue>,
    locations: IndexMap<RequestId, Location>,
    deadlines: BTreeSet<(u64, RequestId)>,
}

impl Queues {
    /// Creates empty queues.
    #[must_use]
    pub fn new(options: QueueOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns the number of waiting requests of one account.
    #[must_use]
    pub fn waiting_count(&self, account: &AccountId) -> usize {
        self.accounts.get(account).map_or(0, AccountQueue::len)
    }

    /// Returns the accounts that have waiting requests.
    pub fn backlogged_accounts(&self) -> impl Iterator<Item = &AccountId> {
        self.accounts.keys()
    }

    /// Returns the running mean of the expected cost of a pool's requests, in units of the pool;
    /// `None` before the first request.
    #[must_use]
    pub fn mean_cost(&self, pool: &PoolId) -> Option<f64> {
        self.mean_costs.get(pool).copied()
    }

    /// Returns whether a request with this expected cost counts as short in its pool.
    #[must_use]
    pub fn is_short(&self, pool: &PoolId, expected_cost: f64) -> bool {
        self.mean_cost(pool)
            .is_none_or(|mean_cost| expected_cost <= self.options.short_factor * mean_cost)
    }

    /// Returns the waiting request of a pool that arrived first.
    #[must_use]
    pub fn oldest(&self, pool: &PoolId) -> Option<&WaitingRequest> {
        self.accounts
            .iter()
            .filter(|(account, _)| account.pool == *pool)
            .flat_map(|(_, queue)| queue.iter())
            .min_by_key(|waiting| (waiting.arrived_ms, waiting.request))
    }

    /// Returns the charge of a request that starts to run.
    #[must_use]
    pub fn charge(&self, waiting: &WaitingRequest) -> Charge {
        let mean_cost = self
            .mean_cost(&waiting.account.pool)
            .unwrap_or(waiting.expected_cost);
        Charge::new(
            waiting.expected_cost,
            mean_cost * self.options.lookahead_factor,
        )
    }

    /// Adds a request.
    ///
    /// ```
    /// use curranttrestle::coordination::queue::{QueueOptions, Queues, WaitingRequest};
    /// use curranttrestle::state::{AccountId, CustomerId, PoolId, RequestId};
    ///
    /// let mut queues = Queues::new(QueueOptions::default());
    /// let waiting = WaitingRequest {
    ///     request: RequestId(uuid::Uuid::from_u128(1)),
    ///     account: AccountId {
    ///         pool: PoolId::new("model"),
    ///         customer: CustomerId::new("armor"),
    ///     },
    ///     priority: 0,
    ///     expected_cost: 100.0,
    ///     arrived_ms: 0,
    ///     deadline_ms: 5_000,
    ///     excluded_endpoints: Vec::new(),
    ///     exclusive: false,
    /// };
    /// assert!(queues.push(waiting.clone(), 1).is_ok());
    /// let other = WaitingRequest { request: RequestId(uuid::Uuid::from_u128(2)), ..waiting };
    /// assert!(queues.push(other, 1).is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// Returns the request if `limit` requests of its account already wait, or if the same
    /// request already waits.
    pub fn push(&mut self, waiting: WaitingRequest, limit: usize) -> Result<(), WaitingRequest> {
        let full = self.waiting_count(&waiting.account) >= limit;
        if full || self.locations.contains_key(&waiting.request) {
            return Err(waiting);
        }
        let mean_cost = self.update_mean_cost(&waiting.account.pool, waiting.expected_cost);
        let location = self.location_of(&waiting, mean_cost);
        self.deadlines
            .insert((waiting.deadline_ms, waiting.request));
        self.locations.insert(waiting.request, location.clone());
        self.accounts
            .entry(location.account)
            .or_default()
            .class_mut(location.class)
            .insert(location.key, waiting);
        Ok(())
    }

    /// Removes a request, for example because its caller disconnected.
    pub fn remove(&mut self, request: &RequestId) -> Option<WaitingRequest> {
        let location = self.locations.swap_remove(request)?;
        self.deadlines.remove(&(location.deadline_ms, *request));
        let queue = self.accounts.get_mut(&location.account)?;
        let waiting = queue.class_mut(location.class).remove(&location.key);
        if queue.len() == 0 {
            self.accounts.swap_remove(&location.account);
        }
        waiting
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Now) -> Vec<WaitingRequest> {
        let mut expired = Vec::new();
        while let Some(&(deadline_ms, request)) = self.deadlines.first() {
            if deadline_ms > now.steady_ms {
                break;
            }
            self.deadlines.pop_first();
            expired.extend(self.remove(&request));
        }
        expired
    }

    /// Returns the demand for one pool, by customer.
    #[must_use]
    pub fn demand(&self, pool: &PoolId, now: Now) -> Vec<Demand> {
        self.accounts
            .iter()
            .filter(|(account, _)| account.pool == *pool)
            .map(|(account, queue)| queue.demand(&account.customer, now))
            .collect()
    }

    /// Returns the pools that have waiting requests.
    #[must_use]
    pub fn pools(&self) -> Vec<PoolId> {
        let mut pools: Vec<PoolId> = Vec::new();
        for account in self.accounts.keys() {
            if !pools.contains(&account.pool) {
                pools.push(account.pool.clone());
            }
        }
        pools
    }

    /// Returns the request of `account` that would run first in the slot of `lease`, without
    /// removing it.
    #[must_use]
    pub fn peek(&self, account: &AccountId, lease: &Lease, now: Now) -> Option<&WaitingRequest> {
        let queue = self.accounts.get(account)?;
        let first =
            |class: &'_ OrderedRequests| class.first(&lease.endpoint, now).map(|(key, _)| key);
        let key = if lease.exclusive {
            first(&queue.exclusive).map(|key| (key, &queue.exclusive))
        } else {
            let short = first(&queue.short).map(|key| (key, &queue.short));
            let long = first(&queue.long)
                .filter(|_| !lease.short_only)
                .map(|key| (key, &queue.long));
            [short, long]
                .into_iter()
                .flatten()
                .min_by_key(|(key, _)| *key)
        };
        key.and_then(|(key, class)| class.get(&key))
    }

    /// Removes and returns the request of `account` that should run first in the slot of `lease`.
    ///
    /// Skips requests that exclude the endpoint and requests past their deadline. An exclusive
    /// lease runs only exclusive requests, and no other lease runs them.
    pub fn take(&mut self, account: &AccountId, lease: &Lease, now: Now) -> Option<WaitingRequest> {
        let request = self.peek(account, lease, now)?.request;
        self.remove(&request)
    }

    fn update_mean_cost(&mut self, pool: &PoolId, cost: f64) -> f64 {
        let weight = self.options.mean_weight;
        let mean = self.mean_costs.entry(pool.clone()).or_insert(cost);
        *mean += weight * (cost - *mean);
        *mean
    }

    fn location_of(&self, waiting: &WaitingRequest, mean_cost: f64) -> Location {
        let options = &self.options;
        let relative_cost = waiting.expected_cost / mean_cost.max(f64::MIN_POSITIVE);
        let class = match (waiting.exclusive, relative_cost <= options.short_factor) {
            (true, _) => Class::Exclusive,
            (false, true) => Class::Short,
            (false, false) => Class::Long,
        };
        let priority_ms = options.priority_step_ms * u64::from(waiting.priority);
        let cost_ms = scaled_ms(options.mean_cost_penalty_ms, relative_cost);
        let penalty_ms =
            priority_ms.min(options.priority_limit_ms) + cost_ms.min(options.cost_limit_ms);
        Location {
            account: waiting.account.clone(),
            class,
            key: OrderKey {
                virtual_arrival_ms: waiting.arrived_ms + penalty_ms,
                request: waiting.request,
            },
            deadline_ms: waiting.deadline_ms,
        }
    }
}

/// Multiplies `base_ms` by `factor`, which may be any value, including NaN.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn scaled_ms(base_ms: u64, factor: f64) -> u64 {
    // A cast from float to integer saturates and turns NaN into zero.
    (base_ms as f64 * factor) as u64
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
