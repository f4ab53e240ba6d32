//! Invariants checked at run time.

use std::fmt::Display;

use indexmap::IndexMap;

/// Counts invariant violations by name.
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
    /// Creates a counter. If `fatal`, the first violation panics.
    #[must_use]
    pub fn new(fatal: bool) -> Self {
        Self {
            fatal,
            violations: IndexMap::new(),
        }
    }

    /// Records a violation of the invariant `name` unless it `holds`.
    ///
    /// # Panics
    ///
    /// Panics on a violation if the counter was created as fatal.
    pub fn check(&mut self, holds: bool, name: &'static str, detail: impl Display) {
        if holds {
            return;
        }
        *self.violations.entry(name).or_default() += 1;
        assert!(!self.fatal, "invariant {name} violated: {detail}");
    }

    /// Returns the number of violations by invariant name, as exported in the metrics.
    pub fn violations(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.violations.iter().map(|(name, count)| (*name, *count))
    }

    /// Returns the total number of violations.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.violations.values().sum()
    }
}
