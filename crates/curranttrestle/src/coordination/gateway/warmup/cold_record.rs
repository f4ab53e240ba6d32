//! What is known of one endpoint, and until when it counts as cold.

use std::collections::VecDeque;

use super::{RatePart, WarmupOptions};
use crate::coordination::gateway::directory::EndpointRun;
use crate::state::Now;
use crate::state::gateway::Warmup;

/// Time after which a written entry proves that the endpoint did not restart in between: entries
/// are written every 1,200 ms and watched every 1,550 ms in a fleet of 62 gateways.
pub(super) const ENTRY_LAG_MS: u64 = 3_000;

/// Time after which an older connection that is open proves that its endpoint did not crash. A busy
/// gateway may notice that it is closed some 100 ms late.
const ALIVE_AFTER_MS: u64 = 1_000;

/// Why an endpoint counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// It was not listed before, or returned after a removal.
    New,
    /// It restarted under the same id.
    Restarted,
    /// Its entry says so.
    Entry,
    /// Its connection was refused or reset, so it may have restarted.
    ConnectionLost,
    /// It may have become cold without a request of this gateway.
    PossiblyCold,
}

impl ColdCause {
    /// The name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Restarted => "restarted",
            Self::Entry => "entry",
            Self::ConnectionLost => "connection-lost",
            Self::PossiblyCold => "possibly-cold",
        }
    }
}

/// The limit for the endpoints of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// How long an endpoint is cold after a start.
    pub duration_ms: u64,
    /// The part of the rate that each selected gateway has.
    pub part: RatePart,
}

impl ColdLimit {
    /// The limit for a service that warms up.
    #[must_use]
    pub fn new(warmup: Warmup, options: WarmupOptions) -> Self {
        Self {
            duration_ms: warmup.duration_ms,
            part: RatePart::new(warmup.requests_per_s, options),
        }
    }
}

/// A reason to assume that an endpoint is cold, other than what its entry says.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    pub(super) cause: ColdCause,
    pub(super) since_ms: u64,
    /// When a request that was sent later was answered.
    pub(super) answered_ms: Option<u64>,
}

impl Suspicion {
    /// Whether an older connection that is open now shows that the suspicion is unfounded.
    pub(super) fn is_unproven_loss(&self, now: Now) -> bool {
        self.cause == ColdCause::ConnectionLost && now.since_ms(self.since_ms) >= ALIVE_AFTER_MS
    }
}

#[derive(Clone, Debug)]
pub(super) struct ColdRecord {
    pub(super) service: String,
    pub(super) run: EndpointRun,
    /// Known gateways that come before this one in the ranking for this run.
    pub(super) ranked_before: usize,
    /// When a new run was first seen.
    pub(super) new_ms: Option<u64>,
    /// The end of the time given by the entry.
    pub(super) entry_until_ms: u64,
    pub(super) suspicion: Option<Suspicion>,
    /// Requests that were placed while the endpoint was cold and are not sent yet.
    pub(super) placed_ms: VecDeque<u64>,
    /// Requests that were sent while the endpoint was cold.
    pub(super) sent_ms: VecDeque<u64>,
    pub(super) removed_ms: Option<u64>,
    pub(super) cause: ColdCause,
    pub(super) was_cold: bool,
}

impl ColdRecord {
    pub(super) fn cold_until_ms(&self, limit: &ColdLimit) -> u64 {
        let duration_ms = limit.duration_ms;
        let new_until_ms = self.new_ms.map_or(0, |new_ms| new_ms + duration_ms);
        let suspected_until_ms = self.suspicion.map_or(0, |suspicion| {
            match suspicion.answered_ms {
                Some(answered_ms) => answered_ms + duration_ms,
                // Without an answer and without the store, it is not known when it returned.
                None => suspicion.since_ms + 2 * duration_ms + ENTRY_LAG_MS,
            }
        });
        new_until_ms
            .max(self.entry_until_ms)
            .max(suspected_until_ms)
    }

    /// The cause that lasts longest.
    pub(super) fn current_cause(&self, limit: &ColdLimit) -> ColdCause {
        let until_ms = self.cold_until_ms(limit);
        let is_new = self
            .new_ms
            .is_some_and(|new_ms| new_ms + limit.duration_ms == until_ms);
        match self.suspicion {
            _ if is_new => self.cause,
            _ if self.entry_until_ms == until_ms => ColdCause::Entry,
            Some(suspicion) => suspicion.cause,
            None => self.cause,
        }
    }

    /// The time until the next permit; zero if there is one now.
    pub(super) fn next_permit_ms(&self, part: &RatePart, counts_placed: bool, now: Now) -> u64 {
        let is_recent = |sent_ms: &&u64| now.since_ms(**sent_ms) < part.window_ms;
        let placed = self.placed_ms.iter().filter(|_| counts_placed);
        let mut recent: Vec<u64> = self
            .sent_ms
            .iter()
            .chain(placed)
            .filter(is_recent)
            .copied()
            .collect();
        if recent.len() < part.requests {
            return 0;
        }
        recent.sort_unstable();
        // A permit is free once all but `requests - 1` of them are out of the window.
        let blocking_ms = recent[recent.len() - part.requests];
        (blocking_ms + part.window_ms).saturating_sub(now.steady_ms)
    }

    pub(super) fn drop_old(&mut self, window_ms: u64, now: Now) {
        for times in [&mut self.placed_ms, &mut self.sent_ms] {
            while times
                .front()
                .is_some_and(|sent_ms| now.since_ms(*sent_ms) >= window_ms)
            {
                times.pop_front();
            }
        }
    }
}
