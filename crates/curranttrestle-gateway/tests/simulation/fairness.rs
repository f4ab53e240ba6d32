//! What customers requested and received, and the fairness rule on it.

use std::fmt;

use indexmap::IndexMap;

/// Length of the window of the rule.
const WINDOW_S: u64 = 6;

/// What one customer requested and received in one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    requested_tokens: u64,
    /// Tokens of requests that engines began to run.
    received_tokens: u64,
    /// Whether a request was refused or waited longer than its target latency.
    is_unmet: bool,
}

/// A customer that received less than its share in a window.
#[derive(Clone, Copy, Debug)]
pub struct Violation {
    pub from_s: u64,
    pub requested_tokens: u64,
    pub received_tokens: u64,
    /// What the best-served customer received.
    pub best_tokens: u64,
    /// What the customer should have received at least.
    pub least_tokens: u64,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "from {} s: requested {} tokens, received {}, best-served received {}, at least {} are due",
            self.from_s,
            self.requested_tokens,
            self.received_tokens,
            self.best_tokens,
            self.least_tokens
        )
    }
}

/// What customers requested and received, by second.
#[derive(Clone, Debug, Default)]
pub struct ServiceRecord {
    customers: IndexMap<&'static str, IndexMap<u64, Second>>,
    largest_tokens: u64,
}

impl ServiceRecord {
    pub fn record_requested(&mut self, customer: &'static str, tokens: u64, now_ms: u64) {
        self.largest_tokens = self.largest_tokens.max(tokens);
        self.second(customer, now_ms).requested_tokens += tokens;
    }

    pub fn record_refused(&mut self, customer: &'static str, now_ms: u64) {
        self.second(customer, now_ms).is_unmet = true;
    }

    pub fn record_started(
        &mut self,
        customer: &'static str,
        tokens: u64,
        is_late: bool,
        now_ms: u64,
    ) {
        let second = self.second(customer, now_ms);
        second.received_tokens += tokens;
        second.is_unmet |= is_late;
    }

    /// The tokens that a customer requested and received in `seconds`.
    pub fn totals(&self, customer: &str, seconds: std::ops::Range<u64>) -> (u64, u64) {
        seconds.fold((0, 0), |(requested, received), second| {
            let second = self.at(customer, second);
            (
                requested + second.requested_tokens,
                received + second.received_tokens,
            )
        })
    }

    /// Finds windows in which a customer had a request that was refused or late in each second and
    /// received less than half of what it requested or of what the best-served customer received,
    /// whichever was less, second by second, minus three of the largest requests.
    pub fn violations(&self, customer: &str, seconds: std::ops::Range<u64>) -> Vec<Violation> {
        let starts = seconds.start..(seconds.end + 1).saturating_sub(WINDOW_S);
        starts
            .filter_map(|from_s| self.violation(customer, from_s))
            .collect()
    }

    fn violation(&self, customer: &str, from_s: u64) -> Option<Violation> {
        let window = from_s..from_s + WINDOW_S;
        let is_unmet = window
            .clone()
            .all(|second| self.at(customer, second).is_unmet);
        let best = self
            .customers
            .keys()
            .copied()
            .max_by_key(|other| self.totals(other, window.clone()).1)?;
        let owed: u64 = window
            .clone()
            .map(|second| {
                let requested = self.at(customer, second).requested_tokens;
                requested.min(self.at(best, second).received_tokens)
            })
            .sum();
        let least_tokens = (owed / 2).saturating_sub(3 * self.largest_tokens);
        let (requested_tokens, received_tokens) = self.totals(customer, window.clone());
        (is_unmet && received_tokens < least_tokens).then(|| Violation {
            from_s,
            requested_tokens,
            received_tokens,
            best_tokens: self.totals(best, window).1,
            least_tokens,
        })
    }

    fn at(&self, customer: &str, second: u64) -> Second {
        let seconds = self.customers.get(customer);
        let second = seconds.and_then(|seconds| seconds.get(&second));
        second.copied().unwrap_or_default()
    }

    fn second(&mut self, customer: &'static str, now_ms: u64) -> &mut Second {
        let seconds = self.customers.entry(customer).or_default();
        seconds.entry(now_ms / 1_000).or_default()
    }
}
