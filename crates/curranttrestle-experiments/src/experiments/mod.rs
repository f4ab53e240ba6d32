//! The experiments, one per module.

mod compare;
mod control_traffic;
mod crest;
mod fairness;
mod load_reports;
mod measures;
mod overhead;
mod short_behind_long;
mod slow_tail;
mod threads;
mod utilisation;
mod water_filling;

use crate::report::Report;
use crate::simulation;
use crate::{ExperimentName, ExperimentOptions, Result};

/// Runs one experiment, or all of them, and writes their tables and plots. Passes each report to
/// `on_report` as soon as it is written.
///
/// # Errors
///
/// Returns an error if a fleet can't be started or a file can't be written.
pub fn run(
    name: ExperimentName,
    seed: u64,
    options: &ExperimentOptions,
    mut on_report: impl FnMut(&Report),
) -> Result<Vec<Report>> {
    init_traffic_executor(options);
    let names = match name {
        ExperimentName::All => ExperimentName::EACH.to_vec(),
        single => vec![single],
    };
    let mut reports = Vec::new();
    for name in names {
        let report = run_one(name, seed, options)?;
        report.write_to(&options.output)?;
        on_report(&report);
        reports.push(report);
    }
    Ok(reports)
}

fn run_one(name: ExperimentName, seed: u64, options: &ExperimentOptions) -> Result<Report> {
    match name {
        ExperimentName::Fairness => fairness::run(seed, options),
        ExperimentName::Utilisation => utilisation::run(seed, options),
        ExperimentName::Crest => crest::run(seed, options),
        ExperimentName::ShortBehindLong => short_behind_long::run(seed, options),
        ExperimentName::SlowTail => slow_tail::run(seed, options),
        ExperimentName::ControlTraffic => control_traffic::run(seed, options),
        ExperimentName::Overhead => overhead::run(seed, options),
        ExperimentName::LoadReports => Ok(load_reports::run(seed)),
        ExperimentName::Slopes => Ok(simulation::run(seed)),
        ExperimentName::All => Ok(Report::new(name.as_str(), seed)),
    }
}

/// Sets the number of threads of the global executor, which serves the routers' traffic.
fn init_traffic_executor(options: &ExperimentOptions) {
    let threads = options.traffic_threads.max(1);
    let config = trillium_smol::async_global_executor::GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads);
    trillium_smol::async_global_executor::init_with_config(config);
}
