//! `experiment`: compares the fair policy with a naive one.

use std::path::PathBuf;

use clap::Args;
use curranttrestle_experiments::{ExperimentName, ExperimentOptions};

use crate::error::CliError;

/// Compares the fair policy with a naive one on a small fleet in this process.
///
/// The load comes from a fixed seed. Tables and plots are written to a folder.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle experiment fairness --seed 7
  curranttrestle experiment all --output results --duration-ms 30000

Exit code 1 when the experiment could not be run.")]
pub struct Arguments {
    /// The experiment.
    #[arg(value_enum)]
    name: ExperimentName,
    /// The seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The folder for tables and plots.
    #[arg(long, value_name = "FOLDER", default_value = "experiments")]
    output: PathBuf,
    /// The measured part of each run.
    #[arg(long, value_name = "MS", default_value_t = 15_000)]
    duration_ms: u64,
}

/// Runs the command.
pub fn run(arguments: &Arguments) -> Result<(), CliError> {
    let options = ExperimentOptions {
        output: arguments.output.clone(),
        duration_ms: arguments.duration_ms,
        ..ExperimentOptions::default()
    };
    let reports = curranttrestle_experiments::run(arguments.name, arguments.seed, &options);
    reports.map_err(|error| CliError::Failed(error.to_string()))?;
    Ok(())
}
