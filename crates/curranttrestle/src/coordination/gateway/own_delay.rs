//! The scheduling delay of this gateway: how late it notices what has already happened.
//!
//! A gateway without processor time reads a response some time after it arrived. Taken for the
//! time of the endpoint, this delay would make every endpoint look slow. A probe that is due at a
//! known time measures it, in the same queue as the responses.

use crate::state::Now;

/// Times that a request waits for its turn between its start and the write to the socket.
const TURNS_TO_SEND: u64 = 1;

/// Times that a response waits for its turn between its arrival and the task of its request: once
/// for the task of the connection and once for that of the request.
const TURNS_TO_RECEIVE: u64 = 2;

/// Longest extension of a timeout. A gateway that is later than this should end requests rather
/// than wait for them.
const MAX_EXTENSION_MS: u64 = 2_000;

/// The scheduling delay, measured by a probe.
///
/// ```
/// use curranttrestle::coordination::gateway::own_delay::OwnDelay;
/// use curranttrestle::state::Now;
/// let now = Now::default().plus_ms(1_000);
/// let mut delay = OwnDelay::default();
/// delay.expect_probe(now.steady_ms);
/// // The probe is overdue, which already shows the delay.
/// assert_eq!(delay.delay_ms(now.plus_ms(80)), 80);
/// assert_eq!(delay.record_probe(now.plus_ms(100)), Some(100));
/// assert_eq!(delay.delay_ms(now.plus_ms(120)), 100);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnDelay {
    /// When the next probe is due, by the steady clock.
    due_ms: Option<u64>,
    last_ms: u64,
}

impl OwnDelay {
    /// Records that a probe is due at `due_ms` of the steady clock.
    pub fn expect_probe(&mut self, due_ms: u64) {
        self.due_ms = Some(due_ms);
    }

    /// Records that the expected probe runs now. Returns its delay; `None` if none was expected.
    pub fn record_probe(&mut self, now: Now) -> Option<u64> {
        let due_ms = self.due_ms.take()?;
        self.last_ms = now.since_ms(due_ms);
        Some(self.last_ms)
    }

    /// The delay of what is handled now: that of the last probe, or that of the expected one if it
    /// is already later. The latter shows a stall of the process before any probe has run after it.
    #[must_use]
    pub fn delay_ms(&self, now: Now) -> u64 {
        let overdue_ms = self.due_ms.map_or(0, |due_ms| now.since_ms(due_ms));
        self.last_ms.max(overdue_ms)
    }

    /// The most that this gateway has added to the time from the start of a request until now.
    /// `start_delay_ms` was the delay at the start.
    #[must_use]
    pub fn added_ms(&self, start_delay_ms: u64, now: Now) -> u64 {
        TURNS_TO_SEND * start_delay_ms + TURNS_TO_RECEIVE * self.delay_ms(now)
    }

    /// Whether a timeout that was due at `due_ms` of the steady clock may be blamed on an endpoint
    /// now: what arrived before `due_ms` has been handled.
    #[must_use]
    pub fn is_timeout_certain(&self, due_ms: u64, now: Now) -> bool {
        let extension_ms = (TURNS_TO_RECEIVE * self.delay_ms(now)).min(MAX_EXTENSION_MS);
        now.steady_ms >= due_ms.saturating_add(extension_ms)
    }
}
