//! Orphaned slots: their leases ended without a return, so a request may still be running in
//! them.

use indexmap::IndexMap;

use crate::state::{EndpointId, InstanceId, Now};

use super::owner::{EndpointState, LentSlot, SlotOwner};
use super::{ReportMode, SlotLoadReport};

impl SlotOwner {
    /// Ends the leases of a router that has restarted. Its requests may continue to run for a
    /// while, so their slots become orphans, as after an expiry.
    pub fn holder_restarted(&mut self, holder: &InstanceId, now: Now) {
        self.forget_holder(holder, now);
        self.end_leases(now, |lent| lent.holder == *holder);
    }

    /// Receives a load report. In [`ReportMode::Reconcile`], it clears the orphaned slots whose
    /// leases ended before the report was taken, if it shows exactly the expected attempts or
    /// no more attempts than there were leases at that time. `expected_digest` is the digest of
    /// the attempts that should be running, if the caller knows it.
    pub fn receive_load_report(
        &mut self,
        endpoint: &EndpointId,
        report: SlotLoadReport,
        expected_digest: Option<u64>,
        _now: Now,
    ) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        match self.options.report_mode {
            ReportMode::Ignore => {}
            ReportMode::Trust => state.last_report = Some(report),
            ReportMode::Reconcile => {
                let matches = expected_digest == Some(report.digest);
                if matches || report.running <= state.lent_at(report.taken_ms) {
                    state
                        .orphaned_at_ms
                        .retain(|ended_ms| *ended_ms > report.taken_ms);
                }
            }
        }
    }

    /// Records how many slots of each endpoint are lent.
    pub(super) fn record_lent_counts(&mut self, now: Now) {
        let mut counts: IndexMap<&EndpointId, u32> = IndexMap::new();
        for lent in self.leases.values() {
            *counts.entry(&lent.lease.endpoint).or_default() += 1;
        }
        let oldest_ms = now.steady_ms.saturating_sub(self.options.orphan_timeout_ms);
        for (endpoint, state) in &mut self.endpoints {
            let count = counts.get(endpoint).copied().unwrap_or(0);
            if state.lent_history.back().map(|(_, known)| *known) != Some(count) {
                state.lent_history.push_back((now.steady_ms, count));
            }
            // The last entry before the oldest time still applies at that time.
            while state.lent_history.len() > 1 && state.lent_history[1].0 <= oldest_ms {
                state.lent_history.pop_front();
            }
        }
    }

    /// Ends leases that were not returned. A request may still be running in their slots.
    pub(super) fn end_leases(&mut self, now: Now, is_ended: impl Fn(&LentSlot) -> bool) {
        let tracks_orphans = self.options.report_mode == ReportMode::Reconcile;
        let endpoints = &mut self.endpoints;
        self.leases.retain(|_, lent| {
            let ends = is_ended(lent);
            if ends
                && tracks_orphans
                && let Some(state) = endpoints.get_mut(&lent.lease.endpoint)
            {
                state.orphaned_at_ms.push(now.steady_ms);
            }
            !ends
        });
    }
}

impl EndpointState {
    /// Returns how many slots were lent at `time_ms`.
    fn lent_at(&self, time_ms: u64) -> u32 {
        self.lent_history
            .iter()
            .rev()
            .find(|(since_ms, _)| *since_ms <= time_ms)
            .map_or(0, |(_, count)| *count)
    }
}
