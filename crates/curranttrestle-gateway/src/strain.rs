//! Detects that this gateway lacks processor time or information from its peers.

use std::rc::Rc;

use curranttrestle::coordination::gateway::shares::ShareCoverage;
use curranttrestle::state::Now;

use crate::clock;
use crate::gateway::Gateway;
use crate::peers::ReportState;
use crate::timer::sleep_until;

/// Minimum interval between two log lines.
const LOG_INTERVAL_MS: u64 = 1_000;

/// A timer or task that is this late indicates a lack of processor time.
const LOGGED_DELAY_MS: u64 = 100;

/// Interval of the probes that measure the scheduling delay.
const PROBE_INTERVAL_MS: u64 = 100;

/// Interval of the probes while they are late, since the delay then changes quickly.
const LATE_PROBE_INTERVAL_MS: u64 = 50;

/// Measures how late this gateway handles events; never returns. A probe waits for the reactor and
/// for its turn among the traffic tasks, like a response of an endpoint.
pub async fn measure_own_delay(gateway: Rc<Gateway>) {
    let mut interval_ms = PROBE_INTERVAL_MS;
    loop {
        let due_ms = clock::now().steady_ms + interval_ms;
        let control = &gateway.control;
        control.borrow_mut().load.own_delay.expect_probe(due_ms);
        sleep_until(due_ms).await;
        let now = clock::now();
        let delay_ms = control.borrow_mut().load.own_delay.record_probe(now);
        let delay_ms = delay_ms.unwrap_or_default();
        gateway.strain.borrow_mut().record_task_delay(delay_ms);
        interval_ms = if delay_ms < LATE_PROBE_INTERVAL_MS {
            PROBE_INTERVAL_MS
        } else {
            LATE_PROBE_INTERVAL_MS
        };
    }
}

/// What a gateway did in an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounts {
    /// Client connections that were accepted.
    pub accepted_connections: u64,
    /// Requests whose head was read.
    pub received_requests: u64,
    /// Connections to endpoints that were opened.
    pub opened_connections: u64,
    /// Parts of streams that were forwarded.
    pub forwarded_parts: u64,
    /// Messages of other gateways that were received.
    pub peer_messages: u64,
}

/// Totals since the process started, of which a log line has the difference to the previous one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkTotals {
    /// Turns of tasks.
    pub task_turns: u64,
    /// Processor time of the process.
    pub processor_ms: u64,
}

/// Tracks how late the timers of the event loop fire, and how long tasks wait for their turn.
///
/// ```
/// use curranttrestle::coordination::gateway::shares::ShareCoverage;
/// use curranttrestle::state::Now;
/// use curranttrestle_gateway::peers::ReportState;
/// use curranttrestle_gateway::strain::{StrainMonitor, WorkTotals};
/// let mut monitor = StrainMonitor::default();
/// let reports = ReportState { live_peers: 0, interval_ms: 100, round_bytes: 0 };
/// let now = Now::default().plus_ms(5_000);
/// monitor.record_tick(70, 50);
/// let totals = WorkTotals::default();
/// assert_eq!(monitor.log_line(reports, ShareCoverage::default(), 0, 0, totals, now), None);
/// monitor.record_tick(400, 50);
/// assert!(monitor.log_line(reports, ShareCoverage::default(), 0, 0, totals, now).is_some());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StrainMonitor {
    last_delay_ms: u64,
    /// Maximum delay since the last log line.
    max_delay_ms: u64,
    last_task_delay_ms: u64,
    /// Maximum delay of a task since the last log line.
    max_task_delay_ms: u64,
    logged_ms: u64,
    /// Counts since the last log line.
    pub work: WorkCounts,
    /// Totals at the last log line.
    logged_totals: WorkTotals,
}

impl StrainMonitor {
    /// Records that a timer of `interval_ms` fired after `elapsed_ms`.
    pub fn record_tick(&mut self, elapsed_ms: u64, interval_ms: u64) {
        self.last_delay_ms = elapsed_ms.saturating_sub(interval_ms);
        self.max_delay_ms = self.max_delay_ms.max(self.last_delay_ms);
    }

    /// Records that a task that was ready to run waited `delay_ms` for its turn.
    pub fn record_task_delay(&mut self, delay_ms: u64) {
        self.last_task_delay_ms = delay_ms;
        self.max_task_delay_ms = self.max_task_delay_ms.max(delay_ms);
    }

    /// How long the last measured task waited for its turn.
    #[must_use]
    pub fn task_delay_ms(&self) -> u64 {
        self.last_task_delay_ms
    }

    /// How late the last timer fired.
    #[must_use]
    pub fn delay_ms(&self) -> u64 {
        self.last_delay_ms
    }

    /// Returns a log line if timers fired late, reports are sent rarely or share reports of peers
    /// are missing, at most once per second.
    #[must_use]
    pub fn log_line(
        &mut self,
        reports: ReportState,
        shares: ShareCoverage,
        open_requests: usize,
        directory_age_ms: u64,
        totals: WorkTotals,
        now: Now,
    ) -> Option<String> {
        let interval_ms = now.since_ms(self.logged_ms);
        if interval_ms < LOG_INTERVAL_MS {
            return None;
        }
        let delay_ms = self.max_delay_ms;
        let task_delay_ms = self.max_task_delay_ms;
        let is_strained = delay_ms.max(task_delay_ms) >= LOGGED_DELAY_MS
            || reports.interval_ms >= LOG_INTERVAL_MS
            || shares.reports < reports.live_peers;
        if !is_strained {
            return None;
        }
        self.logged_ms = now.steady_ms;
        self.max_delay_ms = 0;
        self.max_task_delay_ms = 0;
        let WorkCounts {
            accepted_connections,
            received_requests,
            opened_connections,
            forwarded_parts,
            peer_messages,
        } = std::mem::take(&mut self.work);
        let before = std::mem::replace(&mut self.logged_totals, totals);
        let task_turns = totals.task_turns - before.task_turns;
        let processor_ms = totals.processor_ms.saturating_sub(before.processor_ms);
        Some(format!(
            "kind=gateway-strained loop_delay_ms={delay_ms} task_delay_ms={task_delay_ms} directory_age_ms={directory_age_ms} report_interval_ms={} round_bytes={} live_peers={} share_reports={} oldest_share_ms={} open_requests={open_requests} interval_ms={interval_ms} accepted_connections={accepted_connections} received_requests={received_requests} opened_connections={opened_connections} forwarded_parts={forwarded_parts} peer_messages={peer_messages} task_turns={task_turns} processor_ms={processor_ms}",
            reports.interval_ms,
            reports.round_bytes,
            reports.live_peers,
            shares.reports,
            shares.oldest_age_ms,
        ))
    }
}
