//! One router's record of another member.

use crate::protocol::peer::{MemberStatus, MemberUpdate};
use crate::state::Now;

/// The latest update of a member, with the times needed for its timeouts.
#[derive(Clone, Debug)]
pub struct Record {
    /// The latest update.
    pub latest: MemberUpdate,
    /// When the update was recorded, in steady time; for a suspect, when its timeout began.
    pub status_since_ms: u64,
    /// When the member was last known to be running, in steady time: when a message from it, a
    /// new update that reports it alive, or the first update of it was received.
    pub last_contact_ms: u64,
    /// When this router last notified the member of the suspicion, in steady time.
    pub notified_ms: Option<u64>,
    /// Since when a leaving member has not acknowledged probes, in steady time.
    pub unresponsive_since_ms: Option<u64>,
}

impl Record {
    /// Creates a record from an update received now.
    pub fn new(latest: MemberUpdate, now: Now) -> Self {
        Self {
            latest,
            status_since_ms: now.steady_ms,
            last_contact_ms: now.steady_ms,
            notified_ms: None,
            unresponsive_since_ms: None,
        }
    }

    /// Records that a message from the member was received.
    pub fn record_contact(&mut self, now: Now) {
        self.last_contact_ms = now.steady_ms;
        self.unresponsive_since_ms = None;
    }

    /// Replaces the latest update.
    pub fn replace_latest(&mut self, update: &MemberUpdate, now: Now) {
        let last_contact_ms = if update.status == MemberStatus::Alive {
            now.steady_ms
        } else {
            self.last_contact_ms
        };
        *self = Self {
            last_contact_ms,
            ..Self::new(update.clone(), now)
        };
    }

    /// Restarts the member's timeouts, after a pause in which this router received nothing.
    pub fn restart_timeouts(&mut self, now: Now) {
        if self.latest.status == MemberStatus::Suspect {
            self.status_since_ms = now.steady_ms;
        }
        self.unresponsive_since_ms = None;
    }

    /// Whether the member belongs to the live view.
    pub fn is_live(&self) -> bool {
        match self.latest.status {
            MemberStatus::Alive | MemberStatus::Suspect => true,
            MemberStatus::Leaving | MemberStatus::Dead => false,
        }
    }

    /// Whether the member was declared dead.
    pub fn is_dead(&self) -> bool {
        self.latest.status == MemberStatus::Dead
    }

    /// Whether a suspect member failed to refute, or a leaving one to respond, before the timeout.
    pub fn is_timed_out(&self, dead_after_ms: u64, now: Now) -> bool {
        match self.latest.status {
            MemberStatus::Suspect => now.since_ms(self.status_since_ms) >= dead_after_ms,
            MemberStatus::Leaving => self
                .unresponsive_since_ms
                .is_some_and(|since_ms| now.since_ms(since_ms) >= dead_after_ms),
            MemberStatus::Alive | MemberStatus::Dead => false,
        }
    }

    /// Whether the member has been dead long enough to be evicted.
    pub fn is_evictable(&self, evict_after_ms: u64, now: Now) -> bool {
        self.is_dead() && now.since_ms(self.status_since_ms) >= evict_after_ms
    }
}

/// Whether `new` replaces `old`. Compares the incarnation, then the revision, then the severity
/// of the status.
pub fn supersedes(new: &MemberUpdate, old: &MemberUpdate) -> bool {
    let rank = |update: &MemberUpdate| (update.member.incarnation, update.revision, update.status);
    rank(new) > rank(old)
}
