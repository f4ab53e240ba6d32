//! `sheet submit`: submits a sheet and waits until it is in force everywhere.

use std::path::PathBuf;

use clap::Args;
use curranttrestle::state::Findings;
use curranttrestle::state::sheet::{Sheet, SheetStamp};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::{read_file, read_sheet_file, sheet_in_force};
use crate::client::{
    ClientError, OperatorClient, Reply, RouterStatus, ask_all, first_reply, poll_until,
};
use crate::commands::Spread;
use crate::error::CliError;
use crate::fleet::FleetOptions;
use crate::output;

/// How long the store may take to accept a sheet.
const ACCEPT_TIMEOUT_MS: u64 = 30_000;

/// Submits a sheet and waits until it is in force at all named routers.
///
/// The sheet is checked first; one with findings is not sent. When the router that was asked
/// does not answer, the next one is asked with the same identifier, so that the sheet is
/// accepted once. Of two operators who submit
/// at once one is accepted, and the other is told who was.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle sheet submit tomorrow.csv --fleet fleet.toml
  curranttrestle sheet submit tomorrow.csv --operator 127.0.0.1:7102 --operator 127.0.0.1:7202 --json

Exit code 1 when the sheet has findings, or was accepted but is not in force everywhere yet;
4 when another sheet was accepted in its place; 5 when it is not known whether it was.")]
pub struct Arguments {
    /// The sheet, a CSV file.
    file: PathBuf,
    #[command(flatten)]
    fleet: FleetOptions,
    /// How long to wait until the sheet is in force at all named routers.
    #[arg(long, value_name = "MS", default_value_t = 30_000)]
    wait_ms: u64,
    /// Prints one JSON document.
    #[arg(long)]
    json: bool,
}

/// The answer to an accepted sheet.
#[derive(Debug, Deserialize)]
struct Accepted {
    number: u64,
    #[serde(default)]
    replaced_by: Option<SheetStamp>,
}

/// The answer to a sheet that lost a race.
#[derive(Debug, Deserialize)]
struct LostRace {
    winner: SheetStamp,
}

/// The report in JSON.
#[derive(Debug, Serialize)]
struct Report {
    number: u64,
    replaced_by: Option<SheetStamp>,
    #[serde(flatten)]
    spread: Spread,
}

/// Runs the command.
pub async fn run(arguments: &Arguments) -> Result<(), CliError> {
    let sheet = read_sheet_file(&arguments.file)?;
    let body = read_file(&arguments.file)?;
    let clients = arguments.fleet.clients()?;
    let before = greatest_number(&clients).await;
    let attempt = Uuid::now_v7();
    let reply = first_reply(&clients, |client| {
        client.submit(body.clone(), attempt, ACCEPT_TIMEOUT_MS)
    });
    let accepted = match reply.await {
        Ok(reply) => accepted(&reply)?,
        Err(error @ ClientError::NotReachable { .. }) => return Err(error.into()),
        Err(error) => look_for(&sheet, before, &clients, arguments.wait_ms, &error).await?,
    };
    let number = accepted.number;
    let is_in_force = move |status: &RouterStatus| status.sheet_number >= number;
    let statuses = poll_until(&clients, arguments.wait_ms, is_in_force).await;
    let spread = Spread::of(&clients, &statuses, is_in_force);
    write_report(arguments, accepted, spread)
}

/// What the router answered.
fn accepted(reply: &Reply) -> Result<Accepted, CliError> {
    match reply.status {
        409 => match reply.json::<LostRace>() {
            Some(LostRace { winner }) => Err(CliError::LostRace { winner }),
            None => Err(reply.refusal()),
        },
        422 => match reply.json::<Findings>() {
            Some(findings) => Err(findings.into()),
            None => Err(reply.refusal()),
        },
        504 => Err(CliError::Unknown(reply.refusal().to_string())),
        _ => reply.value(),
    }
}

/// The greatest sheet number in force at any named router.
async fn greatest_number(clients: &[OperatorClient]) -> u64 {
    let statuses = ask_all(clients, OperatorClient::status).await;
    let numbers = statuses.iter().flatten().map(|status| status.sheet_number);
    numbers.max().unwrap_or_default()
}

/// Finds out by the sheet in force whether `sheet` was accepted, when the router's answer
/// did not come.
async fn look_for(
    sheet: &Sheet,
    before: u64,
    clients: &[OperatorClient],
    wait_ms: u64,
    error: &ClientError,
) -> Result<Accepted, CliError> {
    eprintln!("{error}; looking whether the sheet was accepted");
    poll_until(clients, wait_ms, |status| status.sheet_number > before).await;
    let mut in_force = sheet_in_force(clients).await?;
    let number = std::mem::take(&mut in_force.number);
    if number > before && in_force == *sheet {
        let replaced_by = None;
        return Ok(Accepted {
            number,
            replaced_by,
        });
    }
    let message = format!("{error}; sheet {number} is in force and it is not this one");
    Err(CliError::Unknown(message))
}

fn write_report(arguments: &Arguments, accepted: Accepted, spread: Spread) -> Result<(), CliError> {
    let is_complete = spread.is_complete();
    let number = accepted.number;
    if arguments.json {
        output::json(&Report {
            number,
            replaced_by: accepted.replaced_by,
            spread,
        })?;
    } else {
        output::line(&format!("sheet {number} is accepted"))?;
        if let Some(stamp) = accepted.replaced_by {
            let (by, later) = (stamp.submitted_by, stamp.number);
            output::line(&format!("{by} has replaced it by sheet {later}"))?;
        }
        for line in spread.lines() {
            output::line(&line)?;
        }
    }
    if is_complete {
        return Ok(());
    }
    let message = "the sheet is accepted, but not in force everywhere yet";
    Err(CliError::Failed(message.to_owned()))
}
