//! Fleet-wide accounting of service per share.
//!
//! Each router charges the service it provides to its own counters. Routers of one data
//! centre form a tree: reports aggregate counters towards the root, which adds them to the
//! totals of the data centre. The totals are sent down the tree and to the roots of the
//! other data centres.
//!
//! - A link between child and parent carries cumulative counters, so lost, duplicated or
//!   late reports are harmless. When its parent changes, a router opens a new link that
//!   starts with the units missing from the totals it has received.
//! - A new root continues from the last totals it received. A restarted root first receives
//!   them from its children.
//! - Totals sent to a child name the last of its reports that they include, so the child
//!   knows which of its own charges to add to them.
//!
//! The level of an account is its service per share plus a lift. When an account becomes
//! backlogged, the lift raises its level to that of the least-served backlogged account of
//! the pool (start-time fair queueing). Lifts are merged by maximum, so concurrent lifts by
//! two routers are not added up.

mod account;
mod bound;
mod counters;
mod exchange;
mod index_table;
mod links;
mod totals;
mod tree;

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::state::sheet::Sheet;
use crate::state::{AccountId, InstanceId, Member, Now, PoolId};

use account::Account;
use exchange::Exchange;
use index_table::IndexTable;
use links::{InboundLink, OutboundLink};
use tree::{Topology, depth_of};

pub use bound::{GapTerms, gap_bound, wait_bound_ms};

/// Number of recent sheets whose account indexes are accepted in messages.
const MAX_INDEX_TABLES: usize = 2;

/// Settings of [`FairShare`].
#[derive(Clone, Debug, PartialEq)]
pub struct FairShareOptions {
    /// Exchange period if the byte budget allows it.
    pub service_round_ms: u64,
    /// Maximum exchange period.
    pub longest_round_ms: u64,
    /// How much earlier than its parent a router sends its report.
    pub hop_ms: u64,
    /// Period for sending accounts without a backlog.
    pub idle_round_ms: u64,
    /// Maximum number of children per router in the tree of a data centre.
    pub fan_in: usize,
    /// Byte budget of the exchange, per second.
    pub budget_bytes_per_s: u64,
    /// Backlogs reported in the totals of a data centre expire after this time without new
    /// totals.
    pub backlog_timeout_ms: u64,
    /// How long a new root without totals waits to receive them from other members.
    pub recovery_ms: u64,
    /// Period within which all counters are resent once, to recover from lost messages.
    pub refresh_ms: u64,
    /// Limits how far a customer's level may lag behind the highest one: by what the backlogged
    /// customers gain in this time plus two requests of the maximum cost. A lift removes any
    /// excess.
    pub max_lag_ms: u64,
    /// How long a customer must exceed the maximum lag before it is lifted.
    pub max_lag_grace_ms: u64,
    /// Terms of the gap bound. The slots, the exchange period, the hop time, the depth and the
    /// minimum share are replaced by current values.
    pub gap_terms: GapTerms,
}

impl Default for FairShareOptions {
    fn default() -> Self {
        Self {
            service_round_ms: 250,
            longest_round_ms: 2_000,
            hop_ms: 10,
            idle_round_ms: 1_000,
            fan_in: 2,
            budget_bytes_per_s: 4_000,
            backlog_timeout_ms: 5_000,
            recovery_ms: 1_000,
            refresh_ms: 10_000,
            max_lag_ms: 2_000,
            max_lag_grace_ms: 1_500,
            gap_terms: GapTerms {
                slots: 0.0,
                max_request_cost: 4_000.0,
                units_per_slot_per_s: 100.0,
                exchange_period_ms: 250.0,
                hop_ms: 10.0,
                depth: 2.0,
                max_message_delay_ms: 5.0,
                min_share: 1.0,
                tolerance_requests: 4.0,
            },
        }
    }
}

/// Fair-share accounting of one router.
#[derive(Debug)]
pub struct FairShare {
    options: FairShareOptions,
    local_member: Member,
    /// Index tables of recent sheets, the current one first.
    index_tables: VecDeque<IndexTable>,
    accounts: IndexMap<AccountId, Account>,
    pool_slots: IndexMap<PoolId, u32>,
    /// Starting level per pool for an account that becomes backlogged while no other one is.
    pool_levels: IndexMap<PoolId, f64>,
    /// Accounts whose counters changed since they were last sent.
    changed: IndexSet<AccountId>,
    live_members: Vec<Member>,
    topology: Topology,
    inbound: IndexMap<InstanceId, InboundLink>,
    outbound: OutboundLink,
    exchange: Exchange,
}

impl FairShare {
    /// Creates the accounting state of a router that has received no counters yet.
    #[must_use]
    pub fn new(options: FairShareOptions, local_member: Member) -> Self {
        Self {
            options,
            local_member,
            index_tables: VecDeque::new(),
            accounts: IndexMap::new(),
            pool_slots: IndexMap::new(),
            pool_levels: IndexMap::new(),
            changed: IndexSet::new(),
            live_members: Vec::new(),
            topology: Topology::default(),
            inbound: IndexMap::new(),
            outbound: OutboundLink::default(),
            exchange: Exchange::default(),
        }
    }

    /// Applies the shares, slots and account indexes of a new sheet.
    pub fn apply_sheet(&mut self, sheet: &Sheet) {
        let table = IndexTable::from_sheet(sheet);
        for id in table.accounts() {
            let share = sheet.customers[&id.customer].share;
            let account = self.accounts.entry(id.clone()).or_default();
            // Recompute the lift so that a changed share doesn't lower the level.
            let level = account.level();
            let changed = account.share != 0 && account.share != share;
            account.share = share;
            if changed {
                account.lift_milliunits = 0;
                account.lift_to(level);
            }
        }
        self.pool_slots.clear();
        for endpoint in sheet.endpoints.values() {
            *self.pool_slots.entry(endpoint.pool.clone()).or_default() += endpoint.slots;
        }
        self.index_tables.push_front(table);
        self.index_tables.truncate(MAX_INDEX_TABLES);
        // Account indexes may have changed, so resend everything.
        self.resend_all();
    }

    /// Charges service to an account. Negative units correct an earlier charge; infinite and NaN
    /// units are ignored.
    ///
    /// ```
    /// use curranttrestle::coordination::fair_share::{FairShare, FairShareOptions};
    /// use curranttrestle::state::{
    ///     AccountId, CustomerId, DataCentreId, Incarnation, InstanceId, Member, Now, PoolId,
    /// };
    ///
    /// let member = Member {
    ///     instance: InstanceId::new("r0"),
    ///     incarnation: Incarnation(1),
    ///     data_centre: DataCentreId::new("rennes"),
    ///     address: "127.0.0.1:7000".parse().unwrap(),
    /// };
    /// let mut share = FairShare::new(FairShareOptions::default(), member);
    /// let account = AccountId {
    ///     pool: PoolId::new("model"),
    ///     customer: CustomerId::new("armor"),
    /// };
    /// share.charge(&account, 120.0, Now::default());
    /// share.charge(&account, -20.0, Now::default());
    /// assert_eq!(share.level(&account), 100.0);
    /// ```
    pub fn charge(&mut self, account: &AccountId, units: f64, _now: Now) {
        if !units.is_finite() {
            return;
        }
        let entry = self.accounts.entry(account.clone()).or_default();
        entry.own_units += units;
        self.changed.insert(account.clone());
    }

    /// Records whether requests of an account are waiting at this router.
    pub fn set_backlogged(&mut self, account: &AccountId, backlogged: bool, now: Now) {
        let was_backlogged = self.is_backlogged(account, now);
        let entry = self.accounts.entry(account.clone()).or_default();
        if entry.has_own_backlog == backlogged {
            return;
        }
        if backlogged && !was_backlogged && self.has_all_totals() {
            self.lift(account, now);
        }
        self.accounts[account].has_own_backlog = backlogged;
        self.changed.insert(account.clone());
        if !backlogged && !self.is_backlogged(account, now) {
            self.record_pool_level(account, now);
        }
    }

    /// Returns the service per share of an account including its lift, in units per share.
    #[must_use]
    pub fn level(&self, account: &AccountId) -> f64 {
        self.accounts.get(account).map_or(0.0, Account::level)
    }

    /// Returns how much a request of `cost` units raises the level of its account.
    #[must_use]
    pub fn level_increase(&self, account: &AccountId, cost: f64) -> f64 {
        let share = self.accounts.get(account).map_or(1, |entry| entry.share);
        cost / f64::from(share.max(1))
    }

    /// Returns the fleet-wide service of an account in units, as known to this router.
    #[must_use]
    pub fn units(&self, account: &AccountId) -> f64 {
        self.accounts.get(account).map_or(0.0, Account::units)
    }

    /// Returns whether requests of an account are waiting at any router, as known to this one.
    #[must_use]
    pub fn is_backlogged(&self, account: &AccountId, now: Now) -> bool {
        let Some(entry) = self.accounts.get(account) else {
            return false;
        };
        let in_totals = entry.totals.iter().any(|(data_centre, total)| {
            let received_ms = self.exchange.received_ms(data_centre);
            total.backlogged && now.since_ms(received_ms) < self.options.backlog_timeout_ms
        });
        entry.backlogged_in_subtree() || in_totals
    }

    /// Returns the bound on the gap in service per share between backlogged customers of a
    /// pool, for the current exchange period and tree depth. See [`gap_bound`].
    #[must_use]
    pub fn gap_bound(&self, pool: &PoolId, now: Now) -> f64 {
        let least_share = self
            .backlogged_of(pool, now)
            .map(|(_, account)| account.share)
            .min();
        gap_bound(&GapTerms {
            slots: f64::from(self.pool_slots.get(pool).copied().unwrap_or(0)),
            min_share: f64::from(least_share.unwrap_or(1)),
            exchange_period_ms: to_f64(self.exchange.period_ms(&self.options)),
            hop_ms: to_f64(self.options.hop_ms),
            depth: self.depth(),
            ..self.options.gap_terms
        })
    }

    /// Returns how far a backlogged customer's level may lag behind the highest one, in units per
    /// share.
    #[must_use]
    pub fn max_lag(&self, pool: &PoolId, now: Now) -> f64 {
        let shares: Vec<f64> = self
            .backlogged_of(pool, now)
            .map(|(_, account)| f64::from(account.share.max(1)))
            .collect();
        let total_share: f64 = shares.iter().sum();
        let least_share = shares.iter().copied().reduce(f64::min).unwrap_or(1.0);
        let terms = &self.options.gap_terms;
        let slots = f64::from(self.pool_slots.get(pool).copied().unwrap_or(0));
        let level_per_s = slots * terms.units_per_slot_per_s / total_share.max(1.0);
        let level_gain = level_per_s * to_f64(self.options.max_lag_ms) / 1_000.0;
        level_gain + 2.0 * terms.max_request_cost / least_share
    }

    fn backlogged_of(
        &self,
        pool: &PoolId,
        now: Now,
    ) -> impl Iterator<Item = (&AccountId, &Account)> {
        self.accounts
            .iter()
            .filter(move |(id, _)| id.pool == *pool && self.is_backlogged(id, now))
    }

    /// Returns whether totals of all data centres with live members have been received. A
    /// lift computed without them would persist after they arrive.
    fn has_all_totals(&self) -> bool {
        self.live_members
            .iter()
            .all(|member| self.exchange.sources.contains_key(&member.data_centre))
    }

    /// Lifts an account that becomes backlogged to the lowest level of the backlogged
    /// accounts of its pool, or to the recorded level of the pool if there are none.
    fn lift(&mut self, account: &AccountId, now: Now) {
        let lowest_level = self
            .backlogged_of(&account.pool, now)
            .map(|(_, entry)| entry.level())
            .reduce(f64::min);
        let pool_level = self.pool_levels.get(&account.pool).copied();
        if let Some(level) = lowest_level.or(pool_level) {
            self.accounts[account].lift_to(level);
        }
    }

    /// If no account of the pool is backlogged any more, records the level of `account`, which was
    /// the last one, as the starting level of the pool unless a higher one is recorded.
    fn record_pool_level(&mut self, account: &AccountId, now: Now) {
        if self.backlogged_of(&account.pool, now).next().is_none() {
            let level = self.accounts[account].level();
            let pool_level = self
                .pool_levels
                .entry(account.pool.clone())
                .or_insert(level);
            *pool_level = pool_level.max(level);
        }
    }

    /// Lifts accounts that exceed the maximum lag, so that a customer that was partitioned from the
    /// fleet doesn't catch up at the expense of all others.
    fn cap_lags(&mut self, now: Now) {
        if !self.has_all_totals() {
            return;
        }
        let pools: IndexSet<PoolId> = self.pool_slots.keys().cloned().collect();
        for pool in &pools {
            let backlogged: Vec<(AccountId, f64)> = self
                .backlogged_of(pool, now)
                .map(|(id, entry)| (id.clone(), entry.level()))
                .collect();
            let highest_level = backlogged.iter().map(|(_, level)| *level).reduce(f64::max);
            let min_level = highest_level.unwrap_or(0.0) - self.max_lag(pool, now);
            for (id, level) in backlogged {
                if level >= min_level {
                    self.accounts[&id].lagging_since_ms = None;
                    continue;
                }
                // A lift is permanent, and counters may be wrong for some rounds after a
                // membership change, so only a persistent lag is capped.
                let account = &mut self.accounts[&id];
                let since_ms = *account.lagging_since_ms.get_or_insert(now.steady_ms);
                let is_persistent = now.since_ms(since_ms) >= self.options.max_lag_grace_ms;
                if is_persistent && account.lift_to(min_level) {
                    self.changed.insert(id);
                }
            }
        }
    }

    /// Returns the number of links from the deepest leaf to the root of this data centre.
    #[allow(clippy::cast_precision_loss)]
    fn depth(&self) -> f64 {
        let last = self.topology.size.saturating_sub(1);
        depth_of(last, self.options.fan_in.max(1)) as f64
    }

    fn index_table_of(&self, sheet_number: u64) -> Option<&IndexTable> {
        self.index_tables
            .iter()
            .find(|table| table.sheet_number == sheet_number)
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(value: u64) -> f64 {
    value as f64
}
