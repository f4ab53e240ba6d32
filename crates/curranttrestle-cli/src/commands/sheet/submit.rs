//! `sheet submit`: submits a sheet and waits until it is in force at all given routers.

use std::path::PathBuf;

use clap::Args;
use curranttrestle::state::Findings;
use curranttrestle::state::sheet::{Sheet, SheetStamp};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::{read_file, read_sheet_file, sheet_in_force};
use crate::client::{
    ClientError, OperatorClient, OperatorResponse, RouterStatus, first_response, poll_until,
    query_all,
};
use crate::commands::Rollout;
use crate::error::CliError;
use crate::fleet::FleetOptions;
use crate::output;

/// The timeout of a submission, which includes the write to the store.
const ACCEPT_TIMEOUT_MS: u64 = 30_000;

/// Submits a sheet and waits until it is in force at all given routers.
///
/// The sheet is checked first; a sheet with findings is not sent. If a router does not respond,
/// the submission is retried at the next one with the same ID, so that the sheet is accepted
/// only once. If two operators submit at the same time, one sheet is accepted, and the other
/// command reports its number and operator.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle sheet submit tomorrow.csv --fleet fleet.toml
  curranttrestle sheet submit tomorrow.csv --operator 127.0.0.1:7102 --operator 127.0.0.1:7202 --json

Exit code 1 if the sheet has findings, or was accepted but is not in force everywhere yet;
4 if another sheet was accepted instead; 5 if it is unknown whether it was accepted.")]
pub struct Arguments {
    /// The sheet as a CSV file.
    file: PathBuf,
    #[command(flatten)]
    fleet: FleetOptions,
    /// How long to wait until the sheet is in force at all given routers.
    #[arg(long, value_name = "MS", default_value_t = 30_000)]
    wait_ms: u64,
    /// Prints one JSON document.
    #[arg(long)]
    json: bool,
}

/// The response to an accepted sheet.
#[derive(Debug, Deserialize)]
struct Accepted {
    number: u64,
    #[serde(default)]
    replaced_by: Option<SheetStamp>,
}

/// The response to a sheet that lost against a concurrent submission.
#[derive(Debug, Deserialize)]
struct LostRace {
    winner: SheetStamp,
}

/// The JSON output.
#[derive(Debug, Serialize)]
struct Report {
    number: u64,
    replaced_by: Option<SheetStamp>,
    #[serde(flatten)]
    rollout: Rollout,
}

/// Runs the command.
pub async fn run(arguments: &Arguments) -> Result<(), CliError> {
    let sheet = read_sheet_file(&arguments.file)?;
    let body = read_file(&arguments.file)?;
    let clients = arguments.fleet.clients()?;
    let previous_number = highest_sheet_number(&clients).await;
    let submission_id = Uuid::now_v7();
    let response = first_response(&clients, |client| {
        client.submit(body.clone(), submission_id, ACCEPT_TIMEOUT_MS)
    });
    let accepted = match response.await {
        Ok(response) => parse_response(&response)?,
        Err(error @ ClientError::NotReachable { .. }) => return Err(error.into()),
        Err(error) => {
            resolve_unknown_outcome(&sheet, previous_number, &clients, arguments.wait_ms, &error)
                .await?
        }
    };
    let number = accepted.number;
    let is_in_force = move |status: &RouterStatus| status.sheet_number >= number;
    let statuses = poll_until(&clients, arguments.wait_ms, is_in_force).await;
    let rollout = Rollout::of(&clients, &statuses, is_in_force);
    write_report(arguments, accepted, rollout)
}

/// Interprets the response to a submission.
fn parse_response(response: &OperatorResponse) -> Result<Accepted, CliError> {
    match response.status {
        409 => match response.parse_body::<LostRace>() {
            Some(LostRace { winner }) => Err(CliError::LostRace { winner }),
            None => Err(response.to_error()),
        },
        422 => match response.parse_body::<Findings>() {
            Some(findings) => Err(findings.into()),
            None => Err(response.to_error()),
        },
        504 => Err(CliError::Unknown(response.to_error().to_string())),
        _ => response.parse_success(),
    }
}

/// Returns the highest number of a sheet in force at any given router.
async fn highest_sheet_number(clients: &[OperatorClient]) -> u64 {
    let statuses = query_all(clients, OperatorClient::status).await;
    let numbers = statuses.iter().flatten().map(|status| status.sheet_number);
    numbers.max().unwrap_or_default()
}

/// Determines whether `sheet` was accepted although no response arrived: polls until a sheet
/// newer than `previous_number` is in force and compares it with `sheet`.
async fn resolve_unknown_outcome(
    sheet: &Sheet,
    previous_number: u64,
    clients: &[OperatorClient],
    wait_ms: u64,
    error: &ClientError,
) -> Result<Accepted, CliError> {
    eprintln!("{error}; checking whether the sheet was accepted");
    poll_until(clients, wait_ms, |status| {
        status.sheet_number > previous_number
    })
    .await;
    let mut in_force = sheet_in_force(clients).await?;
    let number = std::mem::take(&mut in_force.number);
    if number > previous_number && in_force == *sheet {
        let replaced_by = None;
        return Ok(Accepted {
            number,
            replaced_by,
        });
    }
    let message = format!("{error}; the sheet in force is number {number}, not this one");
    Err(CliError::Unknown(message))
}

fn write_report(
    arguments: &Arguments,
    accepted: Accepted,
    rollout: Rollout,
) -> Result<(), CliError> {
    let is_complete = rollout.is_complete();
    let number = accepted.number;
    if arguments.json {
        output::json(&Report {
            number,
            replaced_by: accepted.replaced_by,
            rollout,
        })?;
    } else {
        output::line(&format!("sheet {number} is accepted"))?;
        if let Some(stamp) = accepted.replaced_by {
            let (by, later) = (stamp.submitted_by, stamp.number);
            output::line(&format!("{by} has replaced it by sheet {later}"))?;
        }
        for line in rollout.lines() {
            output::line(&line)?;
        }
    }
    if is_complete {
        return Ok(());
    }
    let message = "the sheet is accepted, but not yet known to be in force at all given routers";
    Err(CliError::Failed(message.to_owned()))
}
