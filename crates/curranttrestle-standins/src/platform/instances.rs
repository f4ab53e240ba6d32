//! The instance list, which lags behind its changes.

use curranttrestle::protocol::platform::InstanceStatus;
use indexmap::IndexMap;

/// A change of one instance. The status is none if the instance was removed.
#[derive(Debug)]
struct Change {
    at_ms: u64,
    status: Option<InstanceStatus>,
}

/// The history of all instances, by name.
#[derive(Debug, Default)]
pub(super) struct Instances(IndexMap<String, Vec<Change>>);

impl Instances {
    pub(super) fn put(&mut self, now_ms: u64, name: String, status: Option<InstanceStatus>) {
        let change = Change {
            at_ms: now_ms,
            status,
        };
        self.0.entry(name).or_default().push(change);
    }

    /// Returns the list as it was `lag_ms` ago.
    pub(super) fn visible(&self, now_ms: u64, lag_ms: u64) -> Vec<InstanceStatus> {
        let visible_status = |changes: &Vec<Change>| {
            let old_enough = |change: &&Change| change.at_ms + lag_ms <= now_ms;
            let last = changes.iter().rev().find(old_enough)?;
            last.status.clone()
        };
        self.0.values().filter_map(visible_status).collect()
    }
}
