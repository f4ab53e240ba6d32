//! How long ago the configuration in force was certainly the newest one.
//!
//! A key that was taken away must stop working everywhere within a bound, also at a gateway
//! that is cut off. So a request with a key passes only while a recent proof exists that the
//! configuration held here was the newest. A proof is dated by the *sending* of the read that
//! gave it, because the configuration may have changed while the answer was under way. The
//! clock counts the time of a suspension.

use crate::state::Now;

/// The bound on revocation, and the part of it that is not used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessOptions {
    /// The time after which a key that was taken away must not work. Zero: no bound.
    pub revoke_ms: u64,
    /// Kept back for the way from the check to the endpoint.
    pub margin_ms: u64,
}

impl Default for FreshnessOptions {
    fn default() -> Self {
        Self {
            revoke_ms: 5_000,
            margin_ms: 500,
        }
    }
}

/// The proofs that the configuration in force is the newest one.
///
/// ```
/// use curranttrestle::coordination::gateway::freshness::{Freshness, FreshnessOptions};
/// use curranttrestle::state::Now;
/// let mut freshness = Freshness::new(FreshnessOptions::default());
/// assert!(!freshness.is_fresh(Now::default()));
/// freshness.confirmed(7, 1_000);
/// assert!(freshness.is_fresh(Now { steady_ms: 5_000, unix_ms: 0 }));
/// assert!(!freshness.is_fresh(Now { steady_ms: 5_600, unix_ms: 0 }));
/// ```
#[derive(Clone, Debug)]
pub struct Freshness {
    options: FreshnessOptions,
    revision: u64,
    proved_ms: Option<u64>,
}

impl Freshness {
    /// No proof yet.
    #[must_use]
    pub fn new(options: FreshnessOptions) -> Self {
        Self {
            options,
            revision: 0,
            proved_ms: None,
        }
    }

    /// Changes the bound.
    pub fn set_options(&mut self, options: FreshnessOptions) {
        self.options = options;
    }

    /// A linearizable read that was sent at `sent_ms` found `revision`. Older revisions than
    /// the one known prove nothing.
    pub fn confirmed(&mut self, revision: u64, sent_ms: u64) {
        if revision < self.revision {
            return;
        }
        if revision > self.revision {
            self.revision = revision;
            self.proved_ms = Some(sent_ms);
            return;
        }
        self.proved_ms = Some(self.proved_ms.map_or(sent_ms, |proved| proved.max(sent_ms)));
    }

    /// The store's revision of the configuration that was proved last.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The age of the last proof; none before the first.
    #[must_use]
    pub fn age_ms(&self, now: Now) -> Option<u64> {
        self.proved_ms.map(|proved| now.since_ms(proved))
    }

    /// Whether a request with a key may pass now.
    #[must_use]
    pub fn is_fresh(&self, now: Now) -> bool {
        if self.options.revoke_ms == 0 {
            return self.proved_ms.is_some();
        }
        let limit_ms = self
            .options
            .revoke_ms
            .saturating_sub(self.options.margin_ms);
        self.age_ms(now).is_some_and(|age| age < limit_ms)
    }
}
