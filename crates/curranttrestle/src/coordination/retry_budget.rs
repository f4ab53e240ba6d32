//! Budget that limits extra attempts to a small fraction of the load.

use std::collections::VecDeque;

use crate::state::Now;

/// Number of slices into which the sliding window is divided.
const SLICES: u64 = 10;

/// Limits of a [`RetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// Extra attempts allowed per first attempt in the window.
    pub ratio: f64,
    /// Extra attempts always allowed per window, even without first attempts.
    pub min_extra_attempts: u64,
    /// Length of the sliding window.
    pub window_ms: u64,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            min_extra_attempts: 3,
            window_ms: 10_000,
        }
    }
}

/// Attempts counted in one slice of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    first_attempts: u64,
    extra_attempts: u64,
}

/// Grants extra attempts in proportion to first attempts, over a sliding window.
///
/// Retries and hedges have separate budgets.
///
/// ```
/// use curranttrestle::coordination::retry_budget::{RetryBudget, RetryBudgetOptions};
/// use curranttrestle::state::Now;
/// let options = RetryBudgetOptions { ratio: 0.5, min_extra_attempts: 0, ..Default::default() };
/// let mut budget = RetryBudget::new(options);
/// budget.record_first(Now::default());
/// budget.record_first(Now::default());
/// assert!(budget.try_withdraw(Now::default()));
/// assert!(!budget.try_withdraw(Now::default()));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    slices: VecDeque<Slice>,
    granted: u64,
    refused: u64,
}

impl RetryBudget {
    /// Creates a budget without recorded attempts.
    #[must_use]
    pub fn new(options: RetryBudgetOptions) -> Self {
        Self {
            options,
            slices: VecDeque::new(),
            granted: 0,
            refused: 0,
        }
    }

    /// Replaces the options. Recorded attempts are retained.
    pub fn set_options(&mut self, options: RetryBudgetOptions) {
        self.options = options;
    }

    /// Records a first attempt.
    pub fn record_first(&mut self, now: Now) {
        self.current(now).first_attempts += 1;
    }

    /// Takes one extra attempt from the budget. Returns false if the budget is exhausted.
    pub fn try_withdraw(&mut self, now: Now) -> bool {
        // Removes the slices that have left the window.
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

    /// Returns the number of extra attempts granted since creation.
    #[must_use]
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Returns the number of extra attempts refused since creation.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the number of extra attempts allowed in the current window.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "counts of one window are small and the ratio is not negative"
    )]
    fn allowed(&self) -> u64 {
        let first_attempts: u64 = self.slices.iter().map(|slice| slice.first_attempts).sum();
        let proportional = first_attempts as f64 * self.options.ratio;
        self.options.min_extra_attempts.max(proportional as u64)
    }

    /// Returns the current slice after removing slices that have left the window.
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
