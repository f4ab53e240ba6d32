//! `sheet show`: prints the sheet in force.

use clap::Args;
use curranttrestle::state::sheet::write_csv;

use super::sheet_in_force;
use crate::error::CliError;
use crate::fleet::FleetOptions;
use crate::output;

/// Prints the sheet in force at the first router that can be reached, as CSV that `sheet
/// submit` accepts.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle sheet show --fleet fleet.toml > today.csv
  curranttrestle sheet show --fleet fleet.toml --json")]
pub struct Arguments {
    #[command(flatten)]
    fleet: FleetOptions,
    /// Prints one JSON document.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub async fn run(arguments: &Arguments) -> Result<(), CliError> {
    let clients = arguments.fleet.clients()?;
    let sheet = sheet_in_force(&clients).await?;
    if sheet.number == 0 {
        return Err(CliError::Failed("no sheet is in force".to_owned()));
    }
    if arguments.json {
        return output::json(&sheet);
    }
    output::line(&format!("# sheet {}", sheet.number))?;
    output::write(&write_csv(&sheet))
}
