//! Time since the configuration in force was last proved to be the newest one.
//!
//! A revoked key must stop working everywhere within a bound, also at a gateway that is
//! partitioned from the store. So a request with a key is accepted only while there is a recent
//! proof that the configuration held here is the newest one. A proof is dated by the time at
//! which the read was *sent*, because the configuration may have changed while the response was
//! in flight. The clock keeps counting while the machine is suspended.

use crate::state::Now;

/// The bound on key revocation and its safety margin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessOptions {
    /// Time after which a revoked key must no longer work. Zero: no bound.
    pub revoke_ms: u64,
    /// Part of the bound reserved for the time between the check and the request's arrival at the
    /// endpoint.
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

/// Proofs that the configuration in force is the newest one.
///
/// ```
/// use curranttrestle::coordination::gateway::freshness::{Freshness, FreshnessOptions};
/// use curranttrestle::state::Now;
/// let mut freshness = Freshness::new(FreshnessOptions::default());
/// assert!(!freshness.is_fresh(Now::default()));
/// freshness.record_proof(7, 1_000);
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
    /// Creates a state without any proof.
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

    /// Records that a linearizable read sent at `sent_ms` found `revision`. A revision older than
    /// the known one proves nothing and is ignored.
    pub fn record_proof(&mut self, revision: u64, sent_ms: u64) {
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

    /// The store revision of the configuration that was proved last.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The age of the last proof; `None` before the first one.
    #[must_use]
    pub fn age_ms(&self, now: Now) -> Option<u64> {
        self.proved_ms.map(|proved| now.since_ms(proved))
    }

    /// Whether a request with a key may be accepted now.
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
