//! Runs experiments from the command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use curranttrestle_experiments::{ExperimentName, ExperimentOptions, Report, run};

/// Runs one of the experiments, or all of them, in this process.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The experiment to run.
    #[arg(value_enum)]
    name: ExperimentName,
    /// The seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The folder for tables and plots.
    #[arg(long, default_value = "experiments")]
    output: PathBuf,
    /// The length of the measured part of each run, in milliseconds.
    #[arg(long, default_value_t = 15_000)]
    duration_ms: u64,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let options = ExperimentOptions {
        output: arguments.output,
        duration_ms: arguments.duration_ms,
        ..ExperimentOptions::default()
    };
    let print = |report: &Report| println!("{report}");
    match run(arguments.name, arguments.seed, &options, print) {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
