//! `experiment`: runs one of the experiments, or all of them, in this process.

use std::path::PathBuf;

use clap::Args;
use curranttrestle_experiments::{
    ExperimentName, ExperimentOptions, Report, run as run_experiment,
};

use crate::error::CliError;

/// Runs one of the experiments, or all of them, in this process.
///
/// Most compare the fair policy with a naive one on a small fleet. Prints a table for each
/// experiment and writes tables and a plot to a folder. Most experiments take less than a
/// minute. `all` runs every experiment except `slopes` and takes a few minutes; `slopes` takes
/// up to ten.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle experiment fairness --seed 7
  curranttrestle experiment all --output results

Exit code 1 if the experiment could not be run.")]
pub struct Arguments {
    /// The experiment to run.
    #[arg(value_enum)]
    name: ExperimentName,
    /// The random seed of the load.
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// The output folder for tables and plots.
    #[arg(long, value_name = "FOLDER", default_value = "experiments")]
    output: PathBuf,
}

/// Runs the command.
pub async fn run(arguments: Arguments) -> Result<(), CliError> {
    let options = ExperimentOptions {
        output: arguments.output,
        ..ExperimentOptions::default()
    };
    let show = |report: &Report| println!("{report}");
    let running =
        smol::unblock(move || run_experiment(arguments.name, arguments.seed, &options, show));
    match running.await {
        Ok(_) => Ok(()),
        Err(error) => Err(CliError::Failed(error.to_string())),
    }
}
