//! Fleet-wide service per share.
//!
//! Each router charges the service that it gives to its own counters. The counters of a
//! data centre flow up a tree of its routers; the root adds them to the totals of the data
//! centre, which flow down the tree and to the roots of the other data centres.
//!
//! - A link carries cumulative counters, so that a lost, repeated or late report does no
//!   harm. A router whose parent changes starts a new link with what the totals that it
//!   heard do not include yet.
//! - A new root continues from the last totals that it heard. A restarted one hears them
//!   from its children first.
//! - The totals sent to a child name the last of its reports that they include, so that a
//!   router can tell which of its own charges to add to the totals.
//!
//! A customer that becomes backlogged is lifted to the level of the least-served
//! backlogged customer of the pool (start-time fair queueing). A lift is a register that
//! is merged by maximum: two routers that lift at once do not lift twice.

mod account;
mod bound;
mod figures;
mod links;
mod names;
mod spread;
mod totals;
mod tree;

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};

use crate::state::sheet::Sheet;
use crate::state::{AccountId, InstanceId, Member, Now, PoolId};

use account::Account;
use links::{Inbound, Outbound};
use names::Names;
use spread::Spread;
use tree::{Topology, depth_of};

pub use bound::{GapTerms, gap_bound, wait_bound_ms};

/// How many sheets back messages may name their indexes.
const KNOWN_SHEETS: usize = 2;

/// Settings of [`FairShare`].
#[derive(Clone, Debug, PartialEq)]
pub struct FairShareOptions {
    /// The period of the exchange while the byte budget allows it.
    pub service_round_ms: u64,
    /// The longest period of the exchange.
    pub longest_round_ms: u64,
    /// How much earlier a router sends its report than its parent.
    pub hop_ms: u64,
    /// The period in which accounts without a backlog are sent.
    pub idle_round_ms: u64,
    /// How many children a router has in the tree of its data centre.
    pub fan_in: usize,
    /// The bytes that this exchange may send each second.
    pub budget_bytes_per_s: u64,
    /// Totals of a data centre that were not heard for this long say nothing about a backlog.
    pub backlog_timeout_ms: u64,
    /// How long a new root without totals waits for its members to send theirs.
    pub recovery_ms: u64,
    /// The time after which all figures were repeated once, to mend lost messages.
    pub refresh_ms: u64,
    /// A customer never lags the most-served one by more than the other backlogged customers
    /// gain in this time and by two of the largest requests; what goes beyond is forgiven.
    pub debt_limit_ms: u64,
    /// How long a customer must lag by more before that.
    pub debt_patience_ms: u64,
    /// The terms of the bound on the gap; slots and least share are taken from the sheet.
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
            debt_limit_ms: 2_000,
            debt_patience_ms: 1_500,
            gap_terms: GapTerms {
                slots: 0.0,
                largest_cost: 4_000.0,
                units_per_slot_s: 100.0,
                exchange_period_ms: 250.0,
                hop_ms: 10.0,
                depth: 2.0,
                message_ms: 5.0,
                least_share: 1.0,
                tolerance_requests: 4.0,
            },
        }
    }
}

/// The service figures that one router knows.
#[derive(Debug)]
pub struct FairShare {
    options: FairShareOptions,
    me: Member,
    /// Names of the current sheet first, then of earlier ones.
    names: VecDeque<Names>,
    accounts: IndexMap<AccountId, Account>,
    pool_slots: IndexMap<PoolId, u32>,
    /// The level that a customer starts at when no other one is backlogged.
    pool_levels: IndexMap<PoolId, f64>,
    /// Accounts whose figures changed since they were sent.
    changed: IndexSet<AccountId>,
    view: Vec<Member>,
    topology: Topology,
    inbound: IndexMap<InstanceId, Inbound>,
    outbound: Outbound,
    spread: Spread,
}

impl FairShare {
    /// The figures of a router that knows nothing yet.
    #[must_use]
    pub fn new(options: FairShareOptions, me: Member) -> Self {
        Self {
            options,
            me,
            names: VecDeque::new(),
            accounts: IndexMap::new(),
            pool_slots: IndexMap::new(),
            pool_levels: IndexMap::new(),
            changed: IndexSet::new(),
            view: Vec::new(),
            topology: Topology::default(),
            inbound: IndexMap::new(),
            outbound: Outbound::default(),
            spread: Spread::default(),
        }
    }

    /// Takes shares, slots and indexes from a sheet that came into force.
    pub fn apply_sheet(&mut self, sheet: &Sheet) {
        let names = Names::of(sheet);
        for id in names.accounts() {
            let share = sheet.customers[&id.customer].share;
            let account = self.accounts.entry(id.clone()).or_default();
            // The level stays as it is when the share changes.
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
        self.names.push_front(names);
        self.names.truncate(KNOWN_SHEETS);
        // Indexes changed, so everything is repeated.
        self.repeat_all();
    }

    /// Charges service; negative units correct an earlier charge.
    ///
    /// ```
    /// use curranttrestle::coordination::fair_share::{FairShare, FairShareOptions};
    /// use curranttrestle::state::{
    ///     AccountId, CustomerId, DataCentreId, Incarnation, InstanceId, Member, Now, PoolId,
    /// };
    ///
    /// let me = Member {
    ///     instance: InstanceId::new("r0"),
    ///     incarnation: Incarnation(1),
    ///     data_centre: DataCentreId::new("rennes"),
    ///     address: "127.0.0.1:7000".parse().unwrap(),
    /// };
    /// let mut share = FairShare::new(FairShareOptions::default(), me);
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
        entry.own += units;
        self.changed.insert(account.clone());
    }

    /// Says whether requests of an account wait at this router.
    pub fn set_backlogged(&mut self, account: &AccountId, backlogged: bool, now: Now) {
        let known = self.is_backlogged(account, now);
        let entry = self.accounts.entry(account.clone()).or_default();
        if entry.backlogged_here == backlogged {
            return;
        }
        if backlogged && !known && self.is_complete() {
            self.lift(account, now);
        }
        self.accounts[account].backlogged_here = backlogged;
        self.changed.insert(account.clone());
        if !backlogged && !self.is_backlogged(account, now) {
            self.remember_level(account, now);
        }
    }

    /// The service of an account per share, with its lift, in units per share.
    #[must_use]
    pub fn level(&self, account: &AccountId) -> f64 {
        self.accounts.get(account).map_or(0.0, Account::level)
    }

    /// By how much a request of `cost` units raises the level of its account.
    #[must_use]
    pub fn level_step(&self, account: &AccountId, cost: f64) -> f64 {
        let share = self.accounts.get(account).map_or(1, |entry| entry.share);
        cost / f64::from(share.max(1))
    }

    /// The service of an account in units, as far as this router knows.
    #[must_use]
    pub fn units(&self, account: &AccountId) -> f64 {
        self.accounts.get(account).map_or(0.0, Account::units)
    }

    /// Whether requests of an account wait anywhere, as far as this router knows.
    #[must_use]
    pub fn is_backlogged(&self, account: &AccountId, now: Now) -> bool {
        let Some(entry) = self.accounts.get(account) else {
            return false;
        };
        let elsewhere = entry.totals.iter().any(|(data_centre, total)| {
            let heard_ms = self.spread.heard_ms(data_centre);
            total.backlogged && now.since_ms(heard_ms) < self.options.backlog_timeout_ms
        });
        entry.backlogged_in_subtree() || elsewhere
    }

    /// The bound on the gap of service per share between backlogged customers of a pool,
    /// for the exchange as it runs now. See [`gap_bound`].
    #[must_use]
    pub fn gap_bound(&self, pool: &PoolId, now: Now) -> f64 {
        let least_share = self
            .backlogged_of(pool, now)
            .map(|(_, account)| account.share)
            .min();
        gap_bound(&GapTerms {
            slots: f64::from(self.pool_slots.get(pool).copied().unwrap_or(0)),
            least_share: f64::from(least_share.unwrap_or(1)),
            exchange_period_ms: to_f64(self.spread.period_ms(&self.options)),
            hop_ms: to_f64(self.options.hop_ms),
            depth: self.depth(),
            ..self.options.gap_terms
        })
    }

    /// By how much a backlogged customer may lag the most-served one, in units per share.
    #[must_use]
    pub fn debt_cap(&self, pool: &PoolId, now: Now) -> f64 {
        let shares: Vec<f64> = self
            .backlogged_of(pool, now)
            .map(|(_, account)| f64::from(account.share.max(1)))
            .collect();
        let total_share: f64 = shares.iter().sum();
        let least_share = shares.iter().copied().reduce(f64::min).unwrap_or(1.0);
        let terms = &self.options.gap_terms;
        let slots = f64::from(self.pool_slots.get(pool).copied().unwrap_or(0));
        let level_per_s = slots * terms.units_per_slot_s / total_share.max(1.0);
        let gained = level_per_s * to_f64(self.options.debt_limit_ms) / 1_000.0;
        gained + 2.0 * terms.largest_cost / least_share
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

    /// Whether the totals of all data centres that this router sees were heard. A lift that
    /// is worked out without them would last when they arrive.
    fn is_complete(&self) -> bool {
        self.view
            .iter()
            .all(|member| self.spread.sources.contains_key(&member.data_centre))
    }

    /// Lifts an account that becomes backlogged.
    fn lift(&mut self, account: &AccountId, now: Now) {
        let least = self
            .backlogged_of(&account.pool, now)
            .map(|(_, entry)| entry.level())
            .reduce(f64::min);
        let remembered = self.pool_levels.get(&account.pool).copied();
        if let Some(level) = least.or(remembered) {
            self.accounts[account].lift_to(level);
        }
    }

    /// Keeps the level of the last backlogged account of a pool.
    fn remember_level(&mut self, account: &AccountId, now: Now) {
        if self.backlogged_of(&account.pool, now).next().is_none() {
            let level = self.accounts[account].level();
            let remembered = self
                .pool_levels
                .entry(account.pool.clone())
                .or_insert(level);
            *remembered = remembered.max(level);
        }
    }

    /// Forgives debts above the cap, so that a customer that was cut off is not repaid at
    /// the expense of all others.
    fn forgive_debts(&mut self, now: Now) {
        if !self.is_complete() {
            return;
        }
        let pools: IndexSet<PoolId> = self.pool_slots.keys().cloned().collect();
        for pool in &pools {
            let backlogged: Vec<(AccountId, f64)> = self
                .backlogged_of(pool, now)
                .map(|(id, entry)| (id.clone(), entry.level()))
                .collect();
            let most = backlogged.iter().map(|(_, level)| *level).reduce(f64::max);
            let floor = most.unwrap_or(0.0) - self.debt_cap(pool, now);
            for (id, level) in backlogged {
                if level >= floor {
                    self.accounts[&id].lagging_since_ms = None;
                    continue;
                }
                // Figures may be wrong for some rounds after a change of members, and a lift
                // lasts.
                let account = &mut self.accounts[&id];
                let since_ms = *account.lagging_since_ms.get_or_insert(now.steady_ms);
                let is_lasting = now.since_ms(since_ms) >= self.options.debt_patience_ms;
                if is_lasting && account.lift_to(floor) {
                    self.changed.insert(id);
                }
            }
        }
    }

    /// The number of links from the deepest leaf to the root of this data centre.
    #[allow(clippy::cast_precision_loss)]
    fn depth(&self) -> f64 {
        let last = self.topology.size.saturating_sub(1);
        depth_of(last, self.options.fan_in.max(1)) as f64
    }

    fn names_of(&self, sheet_number: u64) -> Option<&Names> {
        self.names
            .iter()
            .find(|names| names.sheet_number == sheet_number)
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(value: u64) -> f64 {
    value as f64
}
