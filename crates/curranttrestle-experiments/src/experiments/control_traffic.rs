//! Bytes and messages between routers, without load and under load.

use std::time::{Duration, Instant};

use super::fairness;
use crate::fleet::{Fleet, FleetPlan, Metrics};
use crate::load::run_load;
use crate::report::{Check, Report, Table};
use crate::simulation::resident_bytes;
use crate::statistics::{float, ratio};
use crate::{ExperimentOptions, Result};

/// Bytes in a kilobyte, as the traffic budget counts them.
const BYTES_PER_KB: f64 = 1_000.0;
/// Traffic budget of a router in kilobytes per second.
const BUDGET_KB_PER_S: f64 = 8.0;
/// CPU budget of a router for control work, in cores.
const BUDGET_CORE: f64 = 0.035;

/// The counters of a fleet at one time.
struct Reading {
    at: Instant,
    metrics: Vec<Metrics>,
    store_calls: u64,
}

impl Reading {
    fn take(fleet: &Fleet) -> Self {
        Self {
            at: Instant::now(),
            metrics: fleet.metrics(),
            store_calls: fleet.store_calls(),
        }
    }

    fn sum(&self, name: &str, label: &str) -> f64 {
        let values = self
            .metrics
            .iter()
            .map(|metrics| metrics.value(name, label));
        values.sum()
    }
}

/// An interval between two readings of the same fleet.
struct Span {
    from: Reading,
    to: Reading,
}

impl Span {
    /// The increase of a metric per router and second.
    fn rate(&self, name: &str, label: &str) -> f64 {
        ratio(
            self.to.sum(name, label) - self.from.sum(name, label),
            self.node_seconds(),
        )
    }

    fn node_seconds(&self) -> f64 {
        let nodes = float(self.to.metrics.len() as u64);
        nodes * (self.to.at - self.from.at).as_secs_f64()
    }

    fn kilobytes_per_s(&self) -> f64 {
        self.rate("curranttrestle_state", "peer_sent_bytes") / BYTES_PER_KB
    }

    fn busy_cores(&self) -> f64 {
        self.rate("curranttrestle_control_busy_us_total", "") / 1e6
    }

    fn store_calls_per_s(&self) -> f64 {
        ratio(
            float(self.to.store_calls - self.from.store_calls),
            self.node_seconds(),
        )
    }

    fn message_kinds(&self) -> Vec<String> {
        let mut kinds: Vec<String> = self
            .to
            .metrics
            .iter()
            .flat_map(|metrics| metrics.label_values("curranttrestle_peer_messages_total"))
            .map(str::to_owned)
            .collect();
        kinds.sort();
        kinds.dedup();
        kinds
    }
}

/// Runs the experiment.
pub fn run(seed: u64, options: &ExperimentOptions) -> Result<Report> {
    let plan = FleetPlan::default();
    let workload = fairness::workload(&plan, seed);
    let fleet = Fleet::start(plan)?;
    let begin = Reading::take(&fleet);
    std::thread::sleep(Duration::from_millis(options.duration_ms));
    let unloaded = Span {
        from: begin,
        to: Reading::take(&fleet),
    };
    let begin = Reading::take(&fleet);
    let observations = run_load(&fleet, &workload, options.duration_ms);
    let loaded = Span {
        from: begin,
        to: Reading::take(&fleet),
    };
    fleet.stop();
    let requests = observations?.samples.len() as u64;
    let mut report = Report::new("control-traffic", seed);
    report.tables = vec![
        totals_table(&unloaded, &loaded, requests),
        kinds_table("quiet", &unloaded),
        kinds_table("loaded", &loaded),
    ];
    for (phase, span) in [("quiet", &unloaded), ("loaded", &loaded)] {
        let kilobytes = format!("{phase}: KB/s per node");
        let busy = format!("{phase}: control cores per node");
        report.checks.extend([
            Check::at_most(&kilobytes, span.kilobytes_per_s(), BUDGET_KB_PER_S),
            Check::at_most(&busy, span.busy_cores(), BUDGET_CORE),
        ]);
    }
    Ok(report)
}

fn totals_table(unloaded: &Span, loaded: &Span, requests: u64) -> Table {
    let columns = [
        "phase",
        "KB/s sent",
        "message KB/s",
        "messages/s",
        "control core %",
        "store calls/s",
        "requests/s",
    ];
    let mut table = Table::new("per node and second", &columns);
    for (phase, span, requests) in [("quiet", unloaded, 0), ("loaded", loaded, requests)] {
        let kinds = span.message_kinds();
        let sum = |name: &str| -> f64 { kinds.iter().map(|kind| span.rate(name, kind)).sum() };
        table.push([
            phase.to_owned(),
            format!("{:.2}", span.kilobytes_per_s()),
            format!(
                "{:.2}",
                sum("curranttrestle_peer_message_bytes_total") / BYTES_PER_KB
            ),
            format!("{:.1}", sum("curranttrestle_peer_messages_total")),
            format!("{:.2}", span.busy_cores() * 100.0),
            format!("{:.2}", span.store_calls_per_s()),
            format!("{:.1}", ratio(float(requests), span.node_seconds())),
        ]);
    }
    let resident_mb = float(resident_bytes()) / 1e6;
    table.title = format!(
        "{} (this process, with all routers, engines and callers: {resident_mb:.0} MB)",
        table.title
    );
    table
}

fn kinds_table(phase: &str, span: &Span) -> Table {
    let title = format!("{phase}: per node and second by kind");
    let mut table = Table::new(&title, &["kind", "messages/s", "bytes/s"]);
    for kind in span.message_kinds() {
        table.push([
            kind.clone(),
            format!(
                "{:.2}",
                span.rate("curranttrestle_peer_messages_total", &kind)
            ),
            format!(
                "{:.1}",
                span.rate("curranttrestle_peer_message_bytes_total", &kind)
            ),
        ]);
    }
    table
}
