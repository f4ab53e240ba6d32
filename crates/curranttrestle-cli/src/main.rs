//! The command-line tool of a curranttrestle fleet.

mod client;
mod commands;
mod error;
mod fleet;
mod output;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use commands::{call, endpoint, experiment, load, sheet, status, timeline, trial};
use error::{CliError, EXIT_CODES};

/// Operates a curranttrestle fleet and sends calls to it.
#[derive(Debug, Parser)]
#[command(
    name = "curranttrestle",
    version,
    propagate_version = true,
    after_help = EXIT_CODES
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks, submits, prints and compares sheets.
    Sheet(sheet::Arguments),
    /// Shows the state of each router.
    Status(status::Arguments),
    /// Shows the events of all routers or gateways in order.
    Timeline(timeline::Arguments),
    /// Takes an endpoint out of service.
    Endpoint(endpoint::Arguments),
    /// Calls an operation as a customer.
    Call(call::Arguments),
    /// Calls an operation repeatedly at random times and measures the responses.
    Load(load::Arguments),
    /// Runs one of the experiments, or all of them, in this process.
    Experiment(experiment::Arguments),
    /// Runs a complete fleet with stand-ins in this process, to try it out.
    Trial(trial::Arguments),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match smol::block_on(run(cli.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            if !error.is_closed_output() {
                eprintln!("{error}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(command: Command) -> Result<(), CliError> {
    match command {
        Command::Sheet(arguments) => sheet::run(arguments).await,
        Command::Status(arguments) => status::run(&arguments).await,
        Command::Timeline(arguments) => timeline::run(&arguments).await,
        Command::Endpoint(arguments) => endpoint::run(arguments).await,
        Command::Call(arguments) => call::run(&arguments).await,
        Command::Load(arguments) => load::run(&arguments).await,
        Command::Experiment(arguments) => experiment::run(arguments).await,
        Command::Trial(arguments) => trial::run(&arguments).await,
    }
}
