//! Decides when an endpoint that is leaving may be stopped.
//!
//! No new work can reach it once all routers know of the stop and the last lease has expired. Load
//! reports count only if they were taken after that, and several consecutive ones must show nothing
//! running.

use crate::protocol::endpoint::LoadReport;
use crate::state::Now;

use super::DrainOptions;

/// The progress towards stopping one run of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StopProgress {
    pub run: u64,
    /// When the last lease will have expired, on the steady clock.
    leases_expired_ms: u64,
    /// When the last lease will have expired, on the wall clock.
    leases_expired_unix_ms: u64,
    /// The largest observed lead of the endpoint's clock over this router's.
    clock_ahead_ms: u64,
    /// How many consecutive reports showed nothing running.
    idle_reports: u32,
    /// When the last of these reports was taken, by the endpoint's clock.
    last_idle_unix_ms: u64,
    /// When attempts of this or another router were last known to run, on the steady clock.
    last_busy_ms: Option<u64>,
    /// When the stop order was last sent, on the steady clock.
    pub last_order_ms: Option<u64>,
}

impl StopProgress {
    /// Starts the progress for `run`, which this router has just learned is to be stopped.
    pub(super) fn new(run: u64, now: Now, options: &DrainOptions) -> Self {
        let leases_expired = now.plus_ms(options.propagation_ms + options.lease_ms);
        Self {
            run,
            leases_expired_ms: leases_expired.steady_ms,
            leases_expired_unix_ms: leases_expired.unix_ms,
            clock_ahead_ms: 0,
            idle_reports: 0,
            last_idle_unix_ms: 0,
            last_busy_ms: None,
            last_order_ms: None,
        }
    }

    /// Records that attempts run on the endpoint, of this router or as reported by another.
    pub(super) fn mark_busy(&mut self, now: Now) {
        self.last_busy_ms = Some(now.steady_ms);
        self.idle_reports = 0;
    }

    /// Evaluates a load report that was just received.
    pub(super) fn observe_report(&mut self, report: &LoadReport, now: Now, options: &DrainOptions) {
        let clock_ahead_ms = report.taken_unix_ms.saturating_sub(now.unix_ms);
        if clock_ahead_ms > self.clock_ahead_ms {
            // Earlier reports may have been taken before the last lease expired: restart the count.
            self.clock_ahead_ms = clock_ahead_ms;
            self.idle_reports = 0;
        }
        if !report.running.is_empty() {
            self.idle_reports = 0;
            return;
        }
        let earliest_unix_ms =
            self.leases_expired_unix_ms + self.clock_ahead_ms + options.clock_margin_ms;
        let is_after_leases =
            now.steady_ms > self.leases_expired_ms && report.taken_unix_ms > earliest_unix_ms;
        let is_spaced = self.idle_reports == 0
            || report.taken_unix_ms >= self.last_idle_unix_ms + options.min_report_spacing_ms;
        if is_after_leases && is_spaced {
            self.idle_reports += 1;
            self.last_idle_unix_ms = report.taken_unix_ms;
        }
    }

    /// Whether enough reports showed nothing running and no router's attempts were recently known to
    /// run.
    pub(super) fn is_confirmed_idle(&self, now: Now, options: &DrainOptions) -> bool {
        let is_busy = self
            .last_busy_ms
            .is_some_and(|last_busy_ms| now.since_ms(last_busy_ms) < options.busy_ttl_ms);
        self.idle_reports >= options.min_idle_reports && !is_busy
    }

    /// Whether enough time has passed since the last stop order.
    pub(super) fn is_order_due(&self, now: Now, options: &DrainOptions) -> bool {
        self.last_order_ms
            .is_none_or(|last_order_ms| now.since_ms(last_order_ms) >= options.order_interval_ms)
    }

    /// Records that the stop order was sent. The next one needs new reports.
    pub(super) fn record_order(&mut self, now: Now) {
        self.last_order_ms = Some(now.steady_ms);
        self.idle_reports = 0;
    }
}
