//! Invariants that the program asserts while it runs.

use std::fmt::Display;

use indexmap::IndexMap;

/// Counts the invariants that did not hold.
///
/// ```
/// use curranttrestle::coordination::invariant::Invariants;
/// let mut invariants = Invariants::new(false);
/// invariants.check(1 + 1 == 2, "sums", "one and one");
/// assert_eq!(invariants.total(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    fatal: bool,
    violations: IndexMap<&'static str, u64>,
}

impl Invariants {
    /// Counts violations, and panics at the first one when `fatal`.
    #[must_use]
    pub fn new(fatal: bool) -> Self {
        Self {
            fatal,
            violations: IndexMap::new(),
        }
    }

    /// Counts a violation of the invariant `name` unless it `holds`.
    ///
    /// # Panics
    ///
    /// Panics on a violation when the counter is fatal.
    pub fn check(&mut self, holds: bool, name: &'static str, detail: impl Display) {
        if holds {
            return;
        }
        *self.violations.entry(name).or_default() += 1;
        assert!(!self.fatal, "invariant {name} violated: {detail}");
    }

    /// The violations by the name of the invariant, for the metrics.
    pub fn violations(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.violations.iter().map(|(name, count)| (*name, *count))
    }

    /// The number of all violations.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.violations.values().sum()
    }
}
