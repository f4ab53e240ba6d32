//! Detects customers that are over their fair share of the engines.
//!
//! Shares are max-min fair: no customer gets more than it requests, and all customers that
//! request more than the remaining capacity allows get the same amount. Tokens are counted as the
//! cost of a request: one per unshared prompt token, two per expected response token.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::endpoint_load::PeerKey;
use crate::state::Now;

/// Number of slices of the sliding window.
const SLICES: usize = 8;

/// A customer may get less than others by this many of the largest requests.
const TOLERATED_REQUESTS: u64 = 3;

/// Options of share accounting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareOptions {
    /// Length of the window over which tokens are counted.
    pub window_ms: u64,
    /// Maximum age of peer reports; older ones are ignored.
    pub report_max_age_ms: u64,
    /// A customer may get this many times its fair share of the admitted tokens. Slightly more than
    /// one, because a request counts as requested before it counts as admitted.
    pub overshoot_factor: f64,
    /// A customer that got more than this many times what another one got that still lacks capacity
    /// leads. Less than two, the most by which customers may differ, because reports are late.
    pub lead_factor: f64,
}

impl Default for ShareOptions {
    fn default() -> Self {
        Self {
            window_ms: 4_000,
            report_max_age_ms: 2_000,
            overshoot_factor: 1.05,
            lead_factor: 1.5,
        }
    }
}

/// The state of a customer relative to its fair share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShareStatus {
    /// The customer got no more than its fair share.
    Within,
    /// The customer got its fair share and requests more.
    Over {
        /// Ratio of admitted tokens to the fair share; at least one.
        ratio: f64,
        /// Whether another customer lacks capacity and got much less, by
        /// [`ShareOptions::lead_factor`].
        leads: bool,
    },
}

/// Compact hash of a customer's name, used in reports between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CustomerKey(u32);

impl CustomerKey {
    /// Returns the key of a customer.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the key is a truncated hash"
    )]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Tokens that one customer requested from one gateway in the window, and those admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareLine {
    /// The customer.
    pub customer: CustomerKey,
    /// Tokens that were requested.
    pub asked_tokens: u32,
    /// Tokens that were admitted.
    pub admitted_tokens: u32,
}

impl ShareLine {
    fn add(&mut self, other: Self) {
        self.asked_tokens = self.asked_tokens.saturating_add(other.asked_tokens);
        self.admitted_tokens = self.admitted_tokens.saturating_add(other.admitted_tokens);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    asked_tokens: u64,
    admitted_tokens: u64,
    largest_tokens: u64,
}

#[derive(Clone, Debug)]
struct PeerReport {
    lines: Vec<ShareLine>,
    /// The number of gateways that the report includes.
    gateways: usize,
    at_ms: u64,
}

/// The peer reports that share decisions are based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareCoverage {
    /// Number of peers whose shares are included in a report that has not expired.
    pub reports: usize,
    /// Age of the oldest of these reports.
    pub oldest_age_ms: u64,
}

/// Requested and admitted tokens of a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Total {
    asked_tokens: u64,
    admitted_tokens: u64,
}

/// Requested and admitted tokens of one customer and of all.
struct Totals {
    /// `None` if the customer has requested nothing.
    customer: Option<(f64, f64)>,
    all: Vec<(f64, f64)>,
}

/// The tokens that each customer recently requested from all gateways, and those admitted.
///
/// ```
/// use curranttrestle::coordination::gateway::shares::{ShareOptions, ShareStatus, ShareTracker};
/// use curranttrestle::state::Now;
/// let now = Now::default();
/// let mut tracker = ShareTracker::new(ShareOptions::default());
/// tracker.record_requested("small", 1_000, now);
/// tracker.record_requested("large", 90_000, now);
/// tracker.record_admitted("large", 50_000, now);
/// assert!(matches!(tracker.status("large", 10_000, now), ShareStatus::Over { .. }));
/// assert_eq!(tracker.status("small", 10_000, now), ShareStatus::Within);
/// ```
#[derive(Clone, Debug)]
pub struct ShareTracker {
    options: ShareOptions,
    customers: IndexMap<CustomerKey, [Slice; SLICES]>,
    peers: IndexMap<PeerKey, PeerReport>,
    /// Sum of all reports in `peers`, including expired ones. It is maintained incrementally
    /// because during a flood it is read far more often than reports arrive.
    reported: IndexMap<CustomerKey, Total>,
}

impl ShareTracker {
    /// Creates a tracker without requests.
    #[must_use]
    pub fn new(options: ShareOptions) -> Self {
        Self {
            options,
            customers: IndexMap::new(),
            peers: IndexMap::new(),
            reported: IndexMap::new(),
        }
    }

    /// Records tokens that a customer requested.
    pub fn record_requested(&mut self, customer: &str, tokens: u64, now: Now) {
        let slice = self.slice(customer, now);
        slice.asked_tokens += tokens;
        slice.largest_tokens = slice.largest_tokens.max(tokens);
    }

    /// Records tokens of a customer that were admitted.
    pub fn record_admitted(&mut self, customer: &str, tokens: u64, now: Now) {
        self.slice(customer, now).admitted_tokens += tokens;
    }

    /// Applies a peer's report, which replaces its previous one.
    pub fn apply_report(&mut self, peer: PeerKey, lines: Vec<ShareLine>, now: Now) {
        self.apply_sum(peer, lines, 1, now);
    }

    /// Applies a report that includes `gateways` peers and replaces the previous one of `peer`.
    pub fn apply_sum(&mut self, peer: PeerKey, lines: Vec<ShareLine>, gateways: usize, now: Now) {
        let max_age_ms = self.options.report_max_age_ms;
        self.retain_reports(|key, report| key != peer && now.since_ms(report.at_ms) < max_age_ms);
        for line in &lines {
            let total = self.reported.entry(line.customer).or_default();
            total.asked_tokens += u64::from(line.asked_tokens);
            total.admitted_tokens += u64::from(line.admitted_tokens);
        }
        let at_ms = now.steady_ms;
        let report = PeerReport {
            lines,
            gateways,
            at_ms,
        };
        self.peers.insert(peer, report);
    }

    /// The tokens that a peer reported last.
    #[must_use]
    pub fn report_of(&self, peer: PeerKey) -> Option<&[ShareLine]> {
        self.peers.get(&peer).map(|report| &report.lines[..])
    }

    /// Removes the reports of peers that another report includes.
    pub fn remove_reports(&mut self, is_included: impl Fn(PeerKey) -> bool) {
        self.retain_reports(|peer, _| !is_included(peer));
    }

    fn retain_reports(&mut self, is_kept: impl Fn(PeerKey, &PeerReport) -> bool) {
        let reported = &mut self.reported;
        self.peers.retain(|peer, report| {
            let is_kept = is_kept(*peer, report);
            if !is_kept {
                report
                    .lines
                    .iter()
                    .for_each(|line| subtract(reported, line));
            }
            is_kept
        });
    }

    /// The tokens of this gateway and of the peers in `members` together.
    #[must_use]
    pub fn sum_with(&self, members: impl Iterator<Item = PeerKey>, now: Now) -> Vec<ShareLine> {
        let own = self.report(now).into_iter();
        let mut sums: IndexMap<CustomerKey, ShareLine> =
            own.map(|line| (line.customer, line)).collect();
        let reports = members.filter_map(|peer| self.peers.get(&peer));
        let current =
            reports.filter(|report| now.since_ms(report.at_ms) < self.options.report_max_age_ms);
        for line in current.flat_map(|report| &report.lines) {
            sums.entry(line.customer)
                .and_modify(|sum| sum.add(*line))
                .or_insert(*line);
        }
        sums.into_values().collect()
    }

    /// The peer reports that decisions are based on now.
    #[must_use]
    pub fn coverage(&self, now: Now) -> ShareCoverage {
        let ages = self
            .peers
            .values()
            .map(|report| (report.gateways, now.since_ms(report.at_ms)));
        let current = ages.filter(|(_, age_ms)| *age_ms < self.options.report_max_age_ms);
        current.fold(ShareCoverage::default(), |coverage, (gateways, age_ms)| {
            ShareCoverage {
                reports: coverage.reports + gateways,
                oldest_age_ms: coverage.oldest_age_ms.max(age_ms),
            }
        })
    }

    /// This gateway's report for its peers.
    #[must_use]
    pub fn report(&self, now: Now) -> Vec<ShareLine> {
        let lines = self.customers.iter().map(|(customer, slices)| {
            let (requested, admitted) = self.sums(slices, now);
            ShareLine {
                customer: *customer,
                asked_tokens: u32::try_from(requested).unwrap_or(u32::MAX),
                admitted_tokens: u32::try_from(admitted).unwrap_or(u32::MAX),
            }
        });
        lines.filter(|line| line.asked_tokens > 0).collect()
    }

    /// The tokens that a customer requested in the window, and those that were admitted.
    #[must_use]
    pub fn window_totals(&self, customer: &str, now: Now) -> (f64, f64) {
        let totals = self.totals(CustomerKey::of(customer), now);
        totals.customer.unwrap_or_default()
    }

    /// Returns whether a customer is over its fair share, if all engines together serve at most
    /// `tokens_per_s`. Zero means that this rate is unknown, and no customer is over its share.
    ///
    /// Engines may serve less than that nominal rate. Requests are then refused before it is
    /// reached, and customers that were admitted more than their share of the admitted tokens
    /// count as over their share.
    #[must_use]
    pub fn status(&self, customer: &str, tokens_per_s: u64, now: Now) -> ShareStatus {
        if tokens_per_s == 0 {
            return ShareStatus::Within;
        }
        let totals = self.totals(CustomerKey::of(customer), now);
        let Some((requested, admitted)) = totals.customer else {
            return ShareStatus::Within;
        };
        #[expect(
            clippy::cast_precision_loss,
            reason = "token counts are far below 2^52"
        )]
        let capacity = tokens_per_s as f64 * self.covered_ms(now) as f64 / 1_000.0;
        let mut all_requested: Vec<f64> =
            totals.all.iter().map(|(requested, _)| *requested).collect();
        all_requested.sort_unstable_by(f64::total_cmp);
        let level_of = |capacity| sorted_fair_level(&all_requested, capacity);
        let nominal_level = level_of(capacity);
        // The fair level of the tokens that were admitted. A customer above it got more at the
        // expense of a customer below it.
        let all_admitted = totals.all.iter().map(|(_, admitted)| admitted).sum();
        let level = level_of(all_admitted);
        let has_full_share = admitted >= nominal_level && requested > nominal_level;
        let exceeds_level = admitted > level * self.options.overshoot_factor;
        if has_full_share || exceeds_level {
            let ratio = admitted / level.min(nominal_level).max(1.0);
            ShareStatus::Over {
                ratio: ratio.max(1.0),
                leads: self.leads(admitted, &totals.all, now),
            }
        } else {
            ShareStatus::Within
        }
    }

    /// Whether a customer that got `admitted` tokens leads another one that lacks capacity.
    /// Differences of a few requests do not count.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    fn leads(&self, admitted: f64, totals: &[(f64, f64)], now: Now) -> bool {
        let tolerance = (TOLERATED_REQUESTS * self.largest_tokens(now)) as f64;
        totals.iter().any(|(requested, other_admitted)| {
            let due = requested.min(admitted);
            other_admitted < requested
                && (other_admitted + tolerance) * self.options.lead_factor < due
        })
    }

    /// The largest request in the window.
    fn largest_tokens(&self, now: Now) -> u64 {
        let number = self.slice_number(now);
        let slices = self.customers.values().flatten();
        let recent = slices.filter(|slice| slice.number + SLICES as u64 > number);
        recent
            .map(|slice| slice.largest_tokens)
            .max()
            .unwrap_or_default()
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    fn totals(&self, customer: CustomerKey, now: Now) -> Totals {
        let mut all: Vec<Total> = self.reported.values().copied().collect();
        for report in self.peers.values() {
            if now.since_ms(report.at_ms) < self.options.report_max_age_ms {
                continue;
            }
            for line in &report.lines {
                if let Some(index) = self.reported.get_index_of(&line.customer) {
                    all[index].asked_tokens -= u64::from(line.asked_tokens);
                    all[index].admitted_tokens -= u64::from(line.admitted_tokens);
                }
            }
        }
        let mut own_index = None;
        for (own, slices) in &self.customers {
            let (requested, admitted) = self.sums(slices, now);
            let index = self.reported.get_index_of(own).unwrap_or(all.len());
            if index == all.len() {
                all.push(Total::default());
            }
            all[index].asked_tokens += requested;
            all[index].admitted_tokens += admitted;
            if *own == customer {
                own_index = Some(index);
            }
        }
        let tokens = |total: &Total| (total.asked_tokens as f64, total.admitted_tokens as f64);
        let index = own_index.or_else(|| self.reported.get_index_of(&customer));
        Totals {
            customer: index.map(|index| tokens(&all[index])),
            all: all.iter().map(tokens).collect(),
        }
    }

    fn sums(&self, slices: &[Slice], now: Now) -> (u64, u64) {
        let number = self.slice_number(now);
        let recent = slices
            .iter()
            .filter(|slice| slice.number + SLICES as u64 > number);
        recent.fold((0, 0), |(requested, admitted), slice| {
            (
                requested + slice.asked_tokens,
                admitted + slice.admitted_tokens,
            )
        })
    }

    fn slice(&mut self, customer: &str, now: Now) -> &mut Slice {
        let number = self.slice_number(now);
        let slices = self.customers.entry(CustomerKey::of(customer)).or_default();
        let index = usize::try_from(number).unwrap_or_default() % SLICES;
        let slice = &mut slices[index];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        slice
    }

    /// The time that the slices cover; the current slice is not complete.
    fn covered_ms(&self, now: Now) -> u64 {
        let slice_ms = self.slice_ms();
        slice_ms * (SLICES as u64 - 1) + now.steady_ms % slice_ms
    }

    fn slice_ms(&self) -> u64 {
        (self.options.window_ms / SLICES as u64).max(1)
    }

    /// Starts at `SLICES`, so that empty slices are older than the window.
    fn slice_number(&self, now: Now) -> u64 {
        now.steady_ms / self.slice_ms() + SLICES as u64
    }
}

/// Subtracts a line of a report from totals that include it.
fn subtract(totals: &mut IndexMap<CustomerKey, Total>, line: &ShareLine) {
    let Some(total) = totals.get_mut(&line.customer) else {
        return;
    };
    total.asked_tokens -= u64::from(line.asked_tokens);
    total.admitted_tokens -= u64::from(line.admitted_tokens);
    if *total == Total::default() {
        totals.swap_remove(&line.customer);
    }
}

/// The max-min fair level: the most that any customer gets of `capacity`. Infinite if the
/// capacity covers all that is requested.
///
/// ```
/// use curranttrestle::coordination::gateway::shares::fair_level;
/// assert_eq!(fair_level([10.0, 50.0, 90.0].into_iter(), 100.0), 45.0);
/// ```
#[must_use]
pub fn fair_level(requested: impl Iterator<Item = f64>, capacity: f64) -> f64 {
    let mut requested: Vec<f64> = requested.collect();
    requested.sort_unstable_by(f64::total_cmp);
    sorted_fair_level(&requested, capacity)
}

fn sorted_fair_level(requested: &[f64], capacity: f64) -> f64 {
    let mut remaining = capacity;
    for (index, amount) in requested.iter().enumerate() {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred customers")]
        let level = remaining / (requested.len() - index) as f64;
        if *amount > level {
            return level;
        }
        remaining -= amount;
    }
    f64::INFINITY
}
