//! Slots in doubt: their leases ended without a return, so a request may still run there.

use indexmap::IndexMap;

use crate::state::{EndpointId, InstanceId, Now};

use super::owner::{EndpointState, Held, SlotOwner};
use super::{LoadReport, ReportMode};

impl SlotOwner {
    /// Ends the leases of a router that was restarted. Its requests may run on for a while,
    /// so that their slots stay in doubt as after an expiry.
    pub fn holder_restarted(&mut self, holder: &InstanceId, now: Now) {
        self.forget_holder(holder, now);
        self.end_leases(now, |held| held.holder == *holder);
    }

    /// Takes a load report. In [`ReportMode::Reconcile`] it ends the doubt about slots whose
    /// leases lapsed before it was taken, if it shows just the attempts that should run or
    /// no more attempts than there were leases. `expected_digest` is the digest of the attempts that should run,
    /// where the caller knows it.
    pub fn observe_report(
        &mut self,
        endpoint: &EndpointId,
        report: LoadReport,
        expected_digest: Option<u64>,
        _now: Now,
    ) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        match self.options.report_mode {
            ReportMode::Ignore => {}
            ReportMode::Trust => state.reported = Some(report),
            ReportMode::Reconcile => {
                let matches = expected_digest == Some(report.digest);
                if matches || report.running <= state.lent_at(report.taken_ms) {
                    state
                        .orphans_ms
                        .retain(|ended_ms| *ended_ms > report.taken_ms);
                }
            }
        }
    }

    /// Notes how many leases of each endpoint are out.
    pub(super) fn note_lent(&mut self, now: Now) {
        let mut counts: IndexMap<&EndpointId, u32> = IndexMap::new();
        for held in self.leases.values() {
            *counts.entry(&held.lease.endpoint).or_default() += 1;
        }
        let oldest_ms = now.steady_ms.saturating_sub(self.options.orphan_timeout_ms);
        for (endpoint, state) in &mut self.endpoints {
            let count = counts.get(endpoint).copied().unwrap_or(0);
            if state.lent_history.back().map(|(_, known)| *known) != Some(count) {
                state.lent_history.push_back((now.steady_ms, count));
            }
            // The last entry before the oldest time still tells of that time.
            while state.lent_history.len() > 1 && state.lent_history[1].0 <= oldest_ms {
                state.lent_history.pop_front();
            }
        }
    }

    /// Ends leases that were not returned. A request may still run in their slots.
    pub(super) fn end_leases(&mut self, now: Now, is_ended: impl Fn(&Held) -> bool) {
        let keeps_orphans = self.options.report_mode == ReportMode::Reconcile;
        let endpoints = &mut self.endpoints;
        self.leases.retain(|_, held| {
            let ends = is_ended(held);
            if ends
                && keeps_orphans
                && let Some(state) = endpoints.get_mut(&held.lease.endpoint)
            {
                state.orphans_ms.push(now.steady_ms);
            }
            !ends
        });
    }
}

impl EndpointState {
    /// How many leases were out at a time.
    fn lent_at(&self, time_ms: u64) -> u32 {
        self.lent_history
            .iter()
            .rev()
            .find(|(since_ms, _)| *since_ms <= time_ms)
            .map_or(0, |(_, count)| *count)
    }
}
