//! `endpoint`: takes an endpoint out of service.

use clap::{Args, Subcommand};
use curranttrestle::state::marks::Mark;
use serde::{Deserialize, Serialize};

use super::Rollout;
use crate::client::{first_response, poll_until};
use crate::error::CliError;
use crate::fleet::FleetOptions;
use crate::output;

/// The timeout of a mark request, which includes the write to the store.
const ACCEPT_TIMEOUT_MS: u64 = 30_000;

/// Takes an endpoint out of service by marking it. A mark cannot be removed.
#[derive(Debug, Args)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Sends no new work to an endpoint; running work continues.
    #[command(after_help = "\
Example:
  curranttrestle endpoint leave rennes-m1 --fleet fleet.toml")]
    Leave(MarkArguments),
    /// Sends no new work to an endpoint and stops it once its running work has ended.
    #[command(after_help = "\
Example:
  curranttrestle endpoint stop rennes-m1 --fleet fleet.toml --wait-ms 10000")]
    Stop(MarkArguments),
}

#[derive(Debug, Args)]
struct MarkArguments {
    /// The name of the endpoint in the sheet.
    name: String,
    /// Marks only this incarnation of the endpoint. If not given, the endpoint name is taken out
    /// of service permanently.
    #[arg(long, value_name = "N")]
    incarnation: Option<u64>,
    /// How long to wait until the mark is in force at all given routers.
    #[arg(long, value_name = "MS", default_value_t = 30_000)]
    wait_ms: u64,
    /// Prints one JSON document.
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    fleet: FleetOptions,
}

/// The body of a mark request.
#[derive(Debug, Serialize)]
struct MarkRequest<'a> {
    endpoint: &'a str,
    mark: Mark,
    incarnation: Option<u64>,
}

/// The response to an accepted mark.
#[derive(Debug, Deserialize)]
struct MarkAccepted {
    version: u64,
}

/// The JSON output.
#[derive(Debug, Serialize)]
struct Report<'a> {
    endpoint: &'a str,
    mark: Mark,
    version: u64,
    #[serde(flatten)]
    rollout: Rollout,
}

/// Runs the command.
pub async fn run(arguments: Arguments) -> Result<(), CliError> {
    match arguments.command {
        Command::Leave(arguments) => submit_mark(&arguments, Mark::Leaving).await,
        Command::Stop(arguments) => submit_mark(&arguments, Mark::Stop).await,
    }
}

async fn submit_mark(arguments: &MarkArguments, mark: Mark) -> Result<(), CliError> {
    let clients = arguments.fleet.clients()?;
    let request = MarkRequest {
        endpoint: &arguments.name,
        mark,
        incarnation: arguments.incarnation,
    };
    let body = serde_json::to_vec(&request).unwrap_or_default();
    // Marking is idempotent: after an unknown outcome the command can be run again.
    let response = first_response(&clients, |client| {
        client.post("/v1/marks", body.clone(), ACCEPT_TIMEOUT_MS)
    });
    let accepted: MarkAccepted = response.await?.parse_success()?;
    let version = accepted.version;
    let is_in_force = move |status: &crate::client::RouterStatus| status.marks_version >= version;
    let statuses = poll_until(&clients, arguments.wait_ms, is_in_force).await;
    let rollout = Rollout::of(&clients, &statuses, is_in_force);
    write_report(arguments, mark, version, rollout)
}

fn write_report(
    arguments: &MarkArguments,
    mark: Mark,
    version: u64,
    rollout: Rollout,
) -> Result<(), CliError> {
    let is_complete = rollout.is_complete();
    let endpoint = arguments.name.as_str();
    if arguments.json {
        output::json(&Report {
            endpoint,
            mark,
            version,
            rollout,
        })?;
    } else {
        output::line(&format!("endpoint {endpoint} is marked {mark}"))?;
        for line in rollout.lines() {
            output::line(&line)?;
        }
    }
    if is_complete {
        return Ok(());
    }
    let message = "the mark is accepted, but not yet known to be in force at all given routers";
    Err(CliError::Failed(message.to_owned()))
}
