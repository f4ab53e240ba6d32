//! A budget that keeps retries and hedges a small part of the load.

use std::collections::VecDeque;

use crate::state::Now;

/// The number of slices that the window is counted in.
const SLICES: u64 = 10;

/// How many extra attempts are allowed.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// Extra attempts allowed for each first attempt of the window.
    pub ratio: f64,
    /// Extra attempts allowed in a window without first attempts.
    pub floor: u64,
    /// The length of the window.
    pub window_ms: u64,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            floor: 3,
            window_ms: 10_000,
        }
    }
}

/// Attempts in one slice of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    first_attempts: u64,
    extra_attempts: u64,
}

/// Counts first attempts and grants extra ones in proportion.
///
/// Retries and hedges each have a budget of their own.
///
/// ```
/// use curranttrestle::coordination::retry_budget::{RetryBudget, RetryBudgetOptions};
/// use curranttrestle::state::Now;
/// let options = RetryBudgetOptions { ratio: 0.5, floor: 0, ..Default::default() };
/// let mut budget = RetryBudget::new(options);
/// budget.record_first(Now::default());
/// budget.record_first(Now::default());
/// assert!(budget.try_take(Now::default()));
/// assert!(!budget.try_take(Now::default()));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    slices: VecDeque<Slice>,
    granted: u64,
    refused: u64,
}

impl RetryBudget {
    /// An empty budget.
    #[must_use]
    pub fn new(options: RetryBudgetOptions) -> Self {
        Self {
            options,
            slices: VecDeque::new(),
            granted: 0,
            refused: 0,
        }
    }

    /// Changes the options; attempts that were counted stay.
    pub fn set_options(&mut self, options: RetryBudgetOptions) {
        self.options = options;
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, now: Now) {
        self.current(now).first_attempts += 1;
    }

    /// Takes one extra attempt; false when the budget is spent.
    pub fn try_take(&mut self, now: Now) -> bool {
        self.current(now);
        let extra_attempts: u64 = self.slices.iter().map(|slice| slice.extra_attempts).sum();
        if extra_attempts >= self.allowed() {
            self.refused += 1;
            return false;
        }
        self.current(now).extra_attempts += 1;
        self.granted += 1;
        true
    }

    /// The extra attempts granted since the start.
    #[must_use]
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// The extra attempts refused since the start.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// The extra attempts allowed in the present window.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "counts of one window are small and the ratio is not negative"
    )]
    fn allowed(&self) -> u64 {
        let first_attempts: u64 = self.slices.iter().map(|slice| slice.first_attempts).sum();
        let share = first_attempts as f64 * self.options.ratio;
        self.options.floor.max(share as u64)
    }

    /// The present slice, after removing those that left the window.
    fn current(&mut self, now: Now) -> &mut Slice {
        let slice_ms = (self.options.window_ms / SLICES).max(1);
        let number = now.steady_ms / slice_ms;
        self.slices.retain(|slice| slice.number + SLICES > number);
        let is_new = self.slices.back().is_none_or(|slice| slice.number < number);
        if is_new {
            self.slices.push_back(Slice {
                number,
                first_attempts: 0,
                extra_attempts: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
