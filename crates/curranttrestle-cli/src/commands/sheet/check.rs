//! `sheet check`: prints all findings of a sheet.

use std::path::PathBuf;

use clap::Args;
use curranttrestle::state::sheet::read_sheet;
use serde::Serialize;

use super::read_file;
use crate::error::CliError;
use crate::output;

/// Checks a sheet and prints all findings, each with its line and cell. Changes nothing.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle sheet check examples/armor-pret.csv
  curranttrestle sheet check tomorrow.csv --json")]
pub struct Arguments {
    /// The sheet as a CSV file.
    file: PathBuf,
    /// Prints the findings as one JSON document.
    #[arg(long)]
    json: bool,
}

/// The number of rows of each kind in a valid sheet.
#[derive(Debug, Serialize)]
struct Counts {
    customers: usize,
    operations: usize,
    endpoints: usize,
    pools: usize,
}

/// Runs the command.
pub fn run(arguments: &Arguments) -> Result<(), CliError> {
    let name = arguments.file.display().to_string();
    let sheet = match read_sheet(&name, &read_file(&arguments.file)?) {
        Ok(sheet) => sheet,
        Err(findings) if arguments.json => {
            output::json(&findings)?;
            let message = format!("{} findings", findings.0.len());
            return Err(CliError::Failed(message));
        }
        Err(findings) => return Err(findings.into()),
    };
    let counts = Counts {
        customers: sheet.customers.len(),
        operations: sheet.operations.len(),
        endpoints: sheet.endpoints.len(),
        pools: sheet.pools().len(),
    };
    if arguments.json {
        return output::json(&counts);
    }
    output::line(&format!(
        "{name}: no findings; customers={} operations={} endpoints={} pools={}",
        counts.customers, counts.operations, counts.endpoints, counts.pools
    ))
}
