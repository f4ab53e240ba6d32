//! The attempts that ran at each moment, for load reports that lag.

use std::collections::VecDeque;

use indexmap::IndexSet;

/// How long a past state is kept.
const KEPT_MS: u64 = 30_000;

/// The running attempts of one moment.
#[derive(Clone, Debug)]
struct Snapshot {
    at_unix_ms: u64,
    running: Vec<String>,
}

/// The running attempts, now and in the past.
#[derive(Debug, Default)]
pub(crate) struct LoadLog {
    running: IndexSet<String>,
    snapshots: VecDeque<Snapshot>,
}

impl LoadLog {
    /// Notes that an attempt began.
    pub(crate) fn begin(&mut self, unix_ms: u64, attempt: &str) {
        self.running.insert(attempt.to_owned());
        self.record(unix_ms);
    }

    /// Notes that an attempt ended.
    pub(crate) fn end(&mut self, unix_ms: u64, attempt: &str) {
        self.running.shift_remove(attempt);
        self.record(unix_ms);
    }

    /// Notes that an attempt goes on under another name, if it runs.
    pub(crate) fn rename(&mut self, unix_ms: u64, before: &str, after: &str) {
        if self.running.shift_remove(before) {
            self.begin(unix_ms, after);
        }
    }

    /// Notes that all attempts ended.
    pub(crate) fn clear(&mut self, unix_ms: u64) {
        self.running.clear();
        self.record(unix_ms);
    }

    /// The attempts that ran at a moment.
    pub(crate) fn running_at(&self, unix_ms: u64) -> Vec<String> {
        let before = |snapshot: &&Snapshot| snapshot.at_unix_ms <= unix_ms;
        let snapshot = self.snapshots.iter().rev().find(before);
        snapshot.map_or_else(Vec::new, |snapshot| snapshot.running.clone())
    }

    /// How many attempts run.
    pub(crate) fn len(&self) -> usize {
        self.running.len()
    }

    fn record(&mut self, unix_ms: u64) {
        self.snapshots.push_back(Snapshot {
            at_unix_ms: unix_ms,
            running: self.running.iter().cloned().collect(),
        });
        let kept_from = unix_ms.saturating_sub(KEPT_MS);
        while self.snapshots.len() > 2 && self.snapshots[1].at_unix_ms < kept_from {
            self.snapshots.pop_front();
        }
    }
}
