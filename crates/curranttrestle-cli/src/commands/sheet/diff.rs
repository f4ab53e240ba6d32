//! `sheet diff`: prints what a sheet would change.

use std::path::PathBuf;

use clap::Args;
use curranttrestle::state::sheet::SheetDiff;

use super::{read_sheet_file, sheet_in_force};
use crate::error::CliError;
use crate::fleet::FleetOptions;
use crate::output;

/// Prints what a sheet would change, one row per line: `+` added, `-` removed, `~` changed.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle sheet diff tomorrow.csv --fleet fleet.toml
  curranttrestle sheet diff tomorrow.csv --fleet fleet.toml --json")]
pub struct Arguments {
    /// The sheet as a CSV file.
    file: PathBuf,
    #[command(flatten)]
    fleet: FleetOptions,
    /// Prints one JSON document.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub async fn run(arguments: &Arguments) -> Result<(), CliError> {
    let mut new = read_sheet_file(&arguments.file)?;
    let clients = arguments.fleet.clients()?;
    let old = sheet_in_force(&clients).await?;
    new.number = old.number + 1;
    let diff = SheetDiff::between(&old, &new);
    if arguments.json {
        return output::json(&diff);
    }
    output::line(&format!("# against sheet {}", old.number))?;
    output::write(&diff.report(&old).to_string())
}
