//! Which customers ask for more than their fair share of the engines.
//!
//! The share is the max-min fair one: nobody gets more than it asks, and those that ask for
//! more than the rest leaves all get the same.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::endpoint_load::PeerKey;
use crate::state::Now;

/// The number of slices that the window is counted in.
const SLICES: usize = 8;

/// How shares are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareOptions {
    /// The window over which shares are counted.
    pub window_ms: u64,
    /// Reports of peers that are older count no more.
    pub report_life_ms: u64,
    /// How many times its fair share of what was admitted a customer may get; a little more
    /// than one, as requests on their way are asked for and not admitted yet.
    pub ahead_factor: f64,
}

impl Default for ShareOptions {
    fn default() -> Self {
        Self {
            window_ms: 4_000,
            report_life_ms: 2_000,
            ahead_factor: 1.05,
        }
    }
}

/// Where a customer stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// It got no more than its fair share.
    Within,
    /// It got its fair share already, and asks for more.
    Beyond {
        /// How many times its share it got; at least one.
        times: f64,
    },
}

/// A short name of a customer in reports between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CustomerKey(u32);

impl CustomerKey {
    /// The key of a customer.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "half of a hash is a hash")]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// What one customer asked one gateway for in the window, and got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareLine {
    /// The customer.
    pub customer: CustomerKey,
    /// The tokens that it asked for.
    pub asked_tokens: u32,
    /// The tokens that were admitted.
    pub admitted_tokens: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    asked_tokens: u64,
    admitted_tokens: u64,
}

#[derive(Clone, Debug)]
struct PeerReport {
    lines: Vec<ShareLine>,
    at_ms: u64,
}

/// Tokens that customers asked for and got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Total {
    asked_tokens: u64,
    admitted_tokens: u64,
}

/// What all customers asked for and got lately.
///
/// ```
/// use curranttrestle::coordination::gateway::shares::{ShareBook, ShareOptions, Standing};
/// use curranttrestle::state::Now;
/// let now = Now::default();
/// let mut book = ShareBook::new(ShareOptions::default());
/// book.asked("small", 1_000, now);
/// book.asked("large", 90_000, now);
/// book.admitted("large", 50_000, now);
/// assert!(matches!(book.standing("large", 10_000, now), Standing::Beyond { .. }));
/// assert_eq!(book.standing("small", 10_000, now), Standing::Within);
/// ```
#[derive(Clone, Debug)]
pub struct ShareBook {
    options: ShareOptions,
    customers: IndexMap<CustomerKey, [Slice; SLICES]>,
    peers: IndexMap<PeerKey, PeerReport>,
    /// The sum of the reports in `peers`, the old ones too. A flood asks for it far more often
    /// than reports come.
    reported: IndexMap<CustomerKey, Total>,
}

impl ShareBook {
    /// Nobody asked for anything.
    #[must_use]
    pub fn new(options: ShareOptions) -> Self {
        Self {
            options,
            customers: IndexMap::new(),
            peers: IndexMap::new(),
            reported: IndexMap::new(),
        }
    }

    /// A customer asks for tokens.
    pub fn asked(&mut self, customer: &str, tokens: u64, now: Now) {
        self.slice(customer, now).asked_tokens += tokens;
    }

    /// Tokens of a customer were admitted.
    pub fn admitted(&mut self, customer: &str, tokens: u64, now: Now) {
        self.slice(customer, now).admitted_tokens += tokens;
    }

    /// Takes a peer's report; it replaces the one before.
    pub fn report_received(&mut self, peer: PeerKey, lines: Vec<ShareLine>, now: Now) {
        let life_ms = self.options.report_life_ms;
        let reported = &mut self.reported;
        self.peers.retain(|known, report| {
            let is_kept = *known != peer && now.since_ms(report.at_ms) < life_ms;
            if !is_kept {
                report
                    .lines
                    .iter()
                    .for_each(|line| subtract(reported, line));
            }
            is_kept
        });
        for line in &lines {
            let total = reported.entry(line.customer).or_default();
            total.asked_tokens += u64::from(line.asked_tokens);
            total.admitted_tokens += u64::from(line.admitted_tokens);
        }
        let at_ms = now.steady_ms;
        self.peers.insert(peer, PeerReport { lines, at_ms });
    }

    /// This gateway's report for its peers.
    #[must_use]
    pub fn report(&self, now: Now) -> Vec<ShareLine> {
        let lines = self.customers.iter().map(|(customer, slices)| {
            let (asked, admitted) = self.sums(slices, now);
            ShareLine {
                customer: *customer,
                asked_tokens: u32::try_from(asked).unwrap_or(u32::MAX),
                admitted_tokens: u32::try_from(admitted).unwrap_or(u32::MAX),
            }
        });
        lines.filter(|line| line.asked_tokens > 0).collect()
    }

    /// The tokens that a customer asked for in the window, and those that were admitted.
    #[must_use]
    pub fn window(&self, customer: &str, now: Now) -> (f64, f64) {
        let totals = self.totals(now);
        totals
            .get(&CustomerKey::of(customer))
            .copied()
            .unwrap_or_default()
    }

    /// Where a customer stands when all engines together serve `tokens_per_s` at best.
    ///
    /// Engines may serve less than that. Then something is refused although the nominal rate
    /// is not reached, and whoever got more than a customer that lacks something stands back.
    #[must_use]
    pub fn standing(&self, customer: &str, tokens_per_s: u64, now: Now) -> Standing {
        if tokens_per_s == 0 {
            return Standing::Within;
        }
        let totals = self.totals(now);
        let Some((asked, admitted)) = totals.get(&CustomerKey::of(customer)) else {
            return Standing::Within;
        };
        #[expect(
            clippy::cast_precision_loss,
            reason = "token counts are far below 2^52"
        )]
        let capacity = tokens_per_s as f64 * self.counted_ms(now) as f64 / 1_000.0;
        let level_of = |capacity| fair_level(totals.values().map(|(asked, _)| *asked), capacity);
        let nominal_level = level_of(capacity);
        // What was admitted, shared out anew: whoever got more than its share of that took it
        // from a customer that lacks it.
        let all_admitted = totals.values().map(|(_, admitted)| admitted).sum();
        let level = level_of(all_admitted);
        let has_its_share = *admitted >= nominal_level && *asked > nominal_level;
        let is_ahead = *admitted > level * self.options.ahead_factor;
        if has_its_share || is_ahead {
            let times = *admitted / level.min(nominal_level).max(1.0);
            Standing::Beyond {
                times: times.max(1.0),
            }
        } else {
            Standing::Within
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    fn totals(&self, now: Now) -> IndexMap<CustomerKey, (f64, f64)> {
        let mut totals = self.reported.clone();
        for report in self.peers.values() {
            if now.since_ms(report.at_ms) >= self.options.report_life_ms {
                report
                    .lines
                    .iter()
                    .for_each(|line| subtract(&mut totals, line));
            }
        }
        for (customer, slices) in &self.customers {
            let (asked, admitted) = self.sums(slices, now);
            let total = totals.entry(*customer).or_default();
            total.asked_tokens += asked;
            total.admitted_tokens += admitted;
        }
        let totals = totals.into_iter();
        totals
            .map(|(customer, total)| {
                let tokens = (total.asked_tokens as f64, total.admitted_tokens as f64);
                (customer, tokens)
            })
            .collect()
    }

    fn sums(&self, slices: &[Slice], now: Now) -> (u64, u64) {
        let number = self.slice_number(now);
        let recent = slices
            .iter()
            .filter(|slice| slice.number + SLICES as u64 > number);
        recent.fold((0, 0), |(asked, admitted), slice| {
            (asked + slice.asked_tokens, admitted + slice.admitted_tokens)
        })
    }

    fn slice(&mut self, customer: &str, now: Now) -> &mut Slice {
        let number = self.slice_number(now);
        let slices = self.customers.entry(CustomerKey::of(customer)).or_default();
        let place = usize::try_from(number).unwrap_or_default() % SLICES;
        let slice = &mut slices[place];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        slice
    }

    /// The time that the slices cover now; the present one is not over yet.
    fn counted_ms(&self, now: Now) -> u64 {
        let slice_ms = self.slice_ms();
        slice_ms * (SLICES as u64 - 1) + now.steady_ms % slice_ms
    }

    fn slice_ms(&self) -> u64 {
        (self.options.window_ms / SLICES as u64).max(1)
    }

    /// Counted from one, so that empty slices are older than the window.
    fn slice_number(&self, now: Now) -> u64 {
        now.steady_ms / self.slice_ms() + SLICES as u64
    }
}

/// Takes a line of a report out of a sum that holds it.
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

/// The most that anybody gets when `capacity` is shared out by max-min fairness.
///
/// ```
/// use curranttrestle::coordination::gateway::shares::fair_level;
/// assert_eq!(fair_level([10.0, 50.0, 90.0].into_iter(), 100.0), 45.0);
/// ```
#[must_use]
pub fn fair_level(asked: impl Iterator<Item = f64>, capacity: f64) -> f64 {
    let mut asked: Vec<f64> = asked.collect();
    asked.sort_unstable_by(f64::total_cmp);
    let mut left = capacity;
    for (place, amount) in asked.iter().enumerate() {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred customers")]
        let level = left / (asked.len() - place) as f64;
        if *amount > level {
            return level;
        }
        left -= amount;
    }
    f64::INFINITY
}
