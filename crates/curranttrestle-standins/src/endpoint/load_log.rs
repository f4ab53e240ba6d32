//! History of the running attempts, from which lagging load reports are built.

use std::collections::VecDeque;

use indexmap::IndexSet;

/// How long snapshots are retained.
const RETENTION_MS: u64 = 30_000;

/// The attempts that were running at one point in time.
#[derive(Clone, Debug)]
struct Snapshot {
    at_unix_ms: u64,
    running: Vec<String>,
}

/// The attempts running now and at recent points in time.
#[derive(Debug, Default)]
pub(crate) struct LoadLog {
    running: IndexSet<String>,
    snapshots: VecDeque<Snapshot>,
}

impl LoadLog {
    /// Records the start of an attempt.
    pub(crate) fn begin(&mut self, unix_ms: u64, attempt: &str) {
        self.running.insert(attempt.to_owned());
        self.record(unix_ms);
    }

    /// Records the end of an attempt.
    pub(crate) fn end(&mut self, unix_ms: u64, attempt: &str) {
        self.running.shift_remove(attempt);
        self.record(unix_ms);
    }

    /// Replaces the id of a running attempt after a resume. Does nothing if it isn't running.
    pub(crate) fn rename(&mut self, unix_ms: u64, old: &str, new: &str) {
        if self.running.shift_remove(old) {
            self.begin(unix_ms, new);
        }
    }

    /// Records the end of all attempts.
    pub(crate) fn clear(&mut self, unix_ms: u64) {
        self.running.clear();
        self.record(unix_ms);
    }

    /// Returns the attempts that were running at the given time.
    pub(crate) fn running_at(&self, unix_ms: u64) -> Vec<String> {
        let not_later = |snapshot: &&Snapshot| snapshot.at_unix_ms <= unix_ms;
        let snapshot = self.snapshots.iter().rev().find(not_later);
        snapshot.map_or_else(Vec::new, |snapshot| snapshot.running.clone())
    }

    /// Number of running attempts.
    pub(crate) fn len(&self) -> usize {
        self.running.len()
    }

    fn record(&mut self, unix_ms: u64) {
        self.snapshots.push_back(Snapshot {
            at_unix_ms: unix_ms,
            running: self.running.iter().cloned().collect(),
        });
        let cutoff_ms = unix_ms.saturating_sub(RETENTION_MS);
        while self.snapshots.len() > 2 && self.snapshots[1].at_unix_ms < cutoff_ms {
            self.snapshots.pop_front();
        }
    }
}
