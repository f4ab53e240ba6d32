//! Rate limits and call counts.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

const MS_PER_S: u64 = 1_000;

/// Number of seconds with calls whose counts are retained.
const HISTORY_S: usize = 3_600;

/// The kind of a call for rate limits and counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Read,
    Watch,
    Write,
}

/// Counts of calls. A call is counted when it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of objects, of the list of object names and of the instance list.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Updates and removals.
    pub writes: u64,
    /// Calls of any kind that exceeded the rate limit; also counted above.
    pub over_rate: u64,
    /// Calls of any kind that arrived during an outage; also counted above.
    pub in_outage: u64,
}

impl CallCounts {
    /// Total number of calls.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.reads + self.watches + self.writes
    }

    fn count(&mut self, kind: CallKind) {
        match kind {
            CallKind::Read => self.reads += 1,
            CallKind::Watch => self.watches += 1,
            CallKind::Write => self.writes += 1,
        }
    }
}

/// Counts of the calls in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondCounts {
    /// Seconds since the start of the stand-in.
    pub second: u64,
    /// The counts.
    pub counts: CallCounts,
}

/// A token bucket whose capacity is one second's worth of tokens.
#[derive(Debug)]
struct TokenBucket {
    rate_per_s: u32,
    tokens: f64,
    refilled_ms: u64,
}

impl TokenBucket {
    fn new(rate_per_s: u32) -> Self {
        Self {
            rate_per_s,
            tokens: f64::from(rate_per_s),
            refilled_ms: 0,
        }
    }

    fn take(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = u32::try_from(now_ms.saturating_sub(self.refilled_ms)).unwrap_or(u32::MAX);
        let refill = f64::from(elapsed_ms) * f64::from(self.rate_per_s) / 1_000.0;
        self.tokens = (self.tokens + refill).min(f64::from(self.rate_per_s));
        self.refilled_ms = now_ms;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// The rate limits and the call counts.
#[derive(Debug)]
pub(super) struct Rates {
    reads: TokenBucket,
    writes: TokenBucket,
    total: CallCounts,
    by_second: IndexMap<u64, CallCounts>,
}

impl Rates {
    pub(super) fn new(reads_per_s: u32, writes_per_s: u32) -> Self {
        Self {
            reads: TokenBucket::new(reads_per_s),
            writes: TokenBucket::new(writes_per_s),
            total: CallCounts::default(),
            by_second: IndexMap::new(),
        }
    }

    /// Counts a call. Returns whether the rate limit allows it.
    pub(super) fn admit(&mut self, now_ms: u64, kind: CallKind, in_outage: bool) -> bool {
        let allowed = match kind {
            CallKind::Read | CallKind::Watch => self.reads.take(now_ms),
            CallKind::Write => self.writes.take(now_ms),
        };
        if self.by_second.len() > HISTORY_S {
            self.by_second.shift_remove_index(0);
        }
        let second = self.by_second.entry(now_ms / MS_PER_S).or_default();
        for counts in [second, &mut self.total] {
            counts.count(kind);
            counts.over_rate += u64::from(!allowed);
            counts.in_outage += u64::from(in_outage);
        }
        allowed
    }

    pub(super) fn total(&self) -> CallCounts {
        self.total
    }

    pub(super) fn by_second(&self) -> Vec<SecondCounts> {
        let seconds = self.by_second.iter();
        seconds
            .map(|(second, counts)| SecondCounts {
                second: *second,
                counts: *counts,
            })
            .collect()
    }
}
