//! When an endpoint that is leaving may be stopped.
//!
//! No new work can reach it once the news has spread and the last lease has expired. Only
//! load reports taken after that count, and several in a row must show nothing running.

use crate::protocol::endpoint::LoadReport;
use crate::state::Now;

use super::DrainOptions;

/// How far the stop of one run of an endpoint is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StopProgress {
    /// The run.
    pub run: u64,
    /// When no lease can be left, on the steady clock.
    quiet_ms: u64,
    /// The same on the wall clock.
    quiet_unix_ms: u64,
    /// How far the endpoint's clock is seen to be ahead.
    ahead_ms: u64,
    /// How many reports in a row showed nothing running.
    empty_reports: u32,
    /// When the last of them was taken, by the endpoint's clock.
    last_empty_unix_ms: u64,
    /// When another router last said that its attempts run, on the steady clock.
    busy_ms: Option<u64>,
    /// When the order was last sent, on the steady clock.
    pub ordered_ms: Option<u64>,
}

impl StopProgress {
    /// The stop mark of `run` was learned now.
    pub(super) fn new(run: u64, now: Now, options: &DrainOptions) -> Self {
        let quiet = now.plus_ms(options.spread_ms + options.lease_ms);
        Self {
            run,
            quiet_ms: quiet.steady_ms,
            quiet_unix_ms: quiet.unix_ms,
            ahead_ms: 0,
            empty_reports: 0,
            last_empty_unix_ms: 0,
            busy_ms: None,
            ordered_ms: None,
        }
    }

    /// Another router says that its attempts run on the endpoint.
    pub(super) fn busy(&mut self, now: Now) {
        self.busy_ms = Some(now.steady_ms);
        self.empty_reports = 0;
    }

    /// Takes a load report that just arrived.
    pub(super) fn report(&mut self, report: &LoadReport, now: Now, options: &DrainOptions) {
        let ahead_ms = report.taken_unix_ms.saturating_sub(now.unix_ms);
        if ahead_ms > self.ahead_ms {
            // Earlier reports may have been taken before their time: count anew.
            self.ahead_ms = ahead_ms;
            self.empty_reports = 0;
        }
        if !report.running.is_empty() {
            self.empty_reports = 0;
            return;
        }
        let earliest_unix_ms = self.quiet_unix_ms + self.ahead_ms + options.clock_margin_ms;
        let is_late = now.steady_ms > self.quiet_ms && report.taken_unix_ms > earliest_unix_ms;
        let is_spaced = self.empty_reports == 0
            || report.taken_unix_ms >= self.last_empty_unix_ms + options.report_spacing_ms;
        if is_late && is_spaced {
            self.empty_reports += 1;
            self.last_empty_unix_ms = report.taken_unix_ms;
        }
    }

    /// Whether the order may be sent as far as reports and other routers tell.
    pub(super) fn is_quiet(&self, now: Now, options: &DrainOptions) -> bool {
        let is_busy = self
            .busy_ms
            .is_some_and(|busy_ms| now.since_ms(busy_ms) < options.busy_hold_ms);
        self.empty_reports >= options.empty_reports && !is_busy
    }

    /// Whether enough time passed since the last order.
    pub(super) fn is_due(&self, now: Now, options: &DrainOptions) -> bool {
        self.ordered_ms
            .is_none_or(|ordered_ms| now.since_ms(ordered_ms) >= options.order_interval_ms)
    }

    /// The order was sent: the next one needs new reports.
    pub(super) fn ordered(&mut self, now: Now) {
        self.ordered_ms = Some(now.steady_ms);
        self.empty_reports = 0;
    }
}
