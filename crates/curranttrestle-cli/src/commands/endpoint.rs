//! `endpoint`: takes an endpoint out of service.

use clap::{Args, Subcommand};
use curranttrestle::state::marks::Mark;
use serde::{Deserialize, Serialize};

use super::Spread;
use crate::client::{first_reply, poll_until};
use crate::error::CliError;
use crate::fleet::FleetOptions;
use crate::output;

/// How long the store may take to accept a mark.
const ACCEPT_TIMEOUT_MS: u64 = 30_000;

/// Takes an endpoint out of service. A mark is never withdrawn.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Gives an endpoint no new work; what runs on it goes on.
    #[command(after_help = "\
Example:
  curranttrestle endpoint leave rennes-m1 --fleet fleet.toml")]
    Leave(MarkArguments),
    /// Gives an endpoint no new work and stops it once nothing runs on it.
    #[command(after_help = "\
Example:
  curranttrestle endpoint stop rennes-m1 --fleet fleet.toml --wait-ms 10000")]
    Stop(MarkArguments),
}

#[derive(Debug, Args)]
struct MarkArguments {
    /// The endpoint, as the sheet names it.
    name: String,
    /// Only this run of the endpoint. Without it the name is out of service for good.
    #[arg(long, value_name = "N")]
    incarnation: Option<u64>,
    /// How long to wait until all named routers know.
    #[arg(long, value_name = "MS", default_value_t = 30_000)]
    wait_ms: u64,
    /// Prints one JSON document.
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    fleet: FleetOptions,
}

/// What a router is asked.
#[derive(Debug, Serialize)]
struct MarkRequest<'a> {
    endpoint: &'a str,
    mark: Mark,
    incarnation: Option<u64>,
}

/// What a router answers.
#[derive(Debug, Deserialize)]
struct MarkAccepted {
    version: u64,
}

/// The report in JSON.
#[derive(Debug, Serialize)]
struct Report<'a> {
    endpoint: &'a str,
    mark: Mark,
    version: u64,
    #[serde(flatten)]
    spread: Spread,
}

/// Runs the command.
pub async fn run(arguments: Arguments) -> Result<(), CliError> {
    match arguments.command {
        Command::Leave(arguments) => mark(&arguments, Mark::Leaving).await,
        Command::Stop(arguments) => mark(&arguments, Mark::Stop).await,
    }
}

async fn mark(arguments: &MarkArguments, mark: Mark) -> Result<(), CliError> {
    let clients = arguments.fleet.clients()?;
    let request = MarkRequest {
        endpoint: &arguments.name,
        mark,
        incarnation: arguments.incarnation,
    };
    let body = serde_json::to_vec(&request).unwrap_or_default();
    // Adding the same mark again changes nothing, so the next command repairs any doubt.
    let reply = first_reply(&clients, |client| {
        client.post("/v1/marks", body.clone(), ACCEPT_TIMEOUT_MS)
    });
    let accepted: MarkAccepted = reply.await?.value()?;
    let version = accepted.version;
    let is_known = move |status: &crate::client::RouterStatus| status.marks_version >= version;
    let statuses = poll_until(&clients, arguments.wait_ms, is_known).await;
    let spread = Spread::of(&clients, &statuses, is_known);
    write_report(arguments, mark, version, spread)
}

fn write_report(
    arguments: &MarkArguments,
    mark: Mark,
    version: u64,
    spread: Spread,
) -> Result<(), CliError> {
    let is_complete = spread.is_complete();
    let endpoint = arguments.name.as_str();
    if arguments.json {
        output::json(&Report {
            endpoint,
            mark,
            version,
            spread,
        })?;
    } else {
        output::line(&format!("endpoint {endpoint} is marked {mark}"))?;
        for line in spread.lines() {
            output::line(&line)?;
        }
    }
    if is_complete {
        return Ok(());
    }
    let message = "the mark is accepted, but not known to all routers yet";
    Err(CliError::Failed(message.to_owned()))
}
