//! `sheet`: checks, submits, prints and compares sheets.

mod check;
mod diff;
mod show;
mod submit;

use std::path::Path;

use clap::{Args, Subcommand};
use curranttrestle::state::sheet::{Sheet, read_sheet};

use crate::client::OperatorClient;
use crate::error::CliError;

/// Checks, submits, prints and compares sheets.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks a sheet and prints all findings, each with its line and cell.
    Check(check::Arguments),
    /// Submits a sheet and waits until it is in force at all given routers.
    Submit(submit::Arguments),
    /// Prints the sheet in force.
    Show(show::Arguments),
    /// Prints what a sheet would change.
    Diff(diff::Arguments),
}

/// Runs the command.
pub async fn run(arguments: Arguments) -> Result<(), CliError> {
    match arguments.command {
        Command::Check(arguments) => check::run(&arguments),
        Command::Submit(arguments) => submit::run(&arguments).await,
        Command::Show(arguments) => show::run(&arguments).await,
        Command::Diff(arguments) => diff::run(&arguments).await,
    }
}

/// Reads the bytes of a sheet file.
fn read_file(path: &Path) -> Result<Vec<u8>, CliError> {
    std::fs::read(path).map_err(|error| CliError::File {
        path: path.to_owned(),
        error,
    })
}

/// Reads and parses a sheet file.
fn read_sheet_file(path: &Path) -> Result<Sheet, CliError> {
    let bytes = read_file(path)?;
    Ok(read_sheet(&path.display().to_string(), &bytes)?)
}

/// Fetches the sheet in force at the first router that returns one.
async fn sheet_in_force(clients: &[OperatorClient]) -> Result<Sheet, CliError> {
    let mut response = Err(CliError::NotReachable("no router given".to_owned()));
    for client in clients {
        response = client.get_value("/v1/sheet").await;
        if response.is_ok() {
            break;
        }
    }
    response
}
