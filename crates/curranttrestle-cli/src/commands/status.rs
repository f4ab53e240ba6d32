//! `status`: shows the state of each router.

use clap::Args;
use serde::Serialize;

use crate::client::{OperatorClient, RouterStatus, query_all};
use crate::error::CliError;
use crate::fleet::FleetOptions;
use crate::output;

/// Shows the state of each router.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle status --fleet fleet.toml
  curranttrestle status --operator 127.0.0.1:7102 --token secret --json

Exit code 1 if a router did not respond or is not ready, 3 if none responded.")]
pub struct Arguments {
    #[command(flatten)]
    fleet: FleetOptions,
    /// Prints one JSON document per line: the router's address and its status or error.
    #[arg(long)]
    json: bool,
}

/// A line of the JSON output.
#[derive(Debug, Serialize)]
struct StatusLine {
    operator: String,
    status: Option<serde_json::Value>,
    error: Option<String>,
}

/// Runs the command.
pub async fn run(arguments: &Arguments) -> Result<(), CliError> {
    let clients = arguments.fleet.clients()?;
    let responses = query_all(&clients, fetch_status).await;
    if arguments.json {
        write_json(&clients, &responses)?;
    } else {
        write_table(&clients, &responses)?;
    }
    if responses.iter().all(Result::is_err) {
        return Err(CliError::NotReachable(first_error(&responses)));
    }
    let is_ready = |response: &Result<serde_json::Value, CliError>| {
        response
            .as_ref()
            .is_ok_and(|value| parse_status(value).ready)
    };
    if responses.iter().all(is_ready) {
        return Ok(());
    }
    let message = "some routers are not ready or did not respond";
    Err(CliError::Failed(message.to_owned()))
}

async fn fetch_status(client: &OperatorClient) -> Result<serde_json::Value, CliError> {
    client.get_value("/v1/status").await
}

fn parse_status(value: &serde_json::Value) -> RouterStatus {
    serde_json::from_value(value.clone()).unwrap_or_default()
}

fn first_error(responses: &[Result<serde_json::Value, CliError>]) -> String {
    let error = responses
        .iter()
        .find_map(|response| response.as_ref().err());
    error.map(ToString::to_string).unwrap_or_default()
}

fn write_json(
    clients: &[OperatorClient],
    responses: &[Result<serde_json::Value, CliError>],
) -> Result<(), CliError> {
    for (client, response) in clients.iter().zip(responses) {
        output::json(&StatusLine {
            operator: client.address.to_string(),
            status: response.as_ref().ok().cloned(),
            error: response.as_ref().err().map(ToString::to_string),
        })?;
    }
    Ok(())
}

fn write_table(
    clients: &[OperatorClient],
    responses: &[Result<serde_json::Value, CliError>],
) -> Result<(), CliError> {
    let mut rows = Vec::new();
    for (client, response) in clients.iter().zip(responses) {
        match response {
            Ok(value) => rows.push(table_row(client, &parse_status(value))),
            Err(error) => eprintln!("{error}"),
        }
    }
    let header = [
        "operators",
        "instance",
        "data centre",
        "state",
        "sheet",
        "marks",
        "members",
        "requests",
        "running",
        "waiting",
        "violations",
    ];
    output::table(&header, &rows)
}

fn table_row(client: &OperatorClient, status: &RouterStatus) -> Vec<String> {
    let state = match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let waiting: u64 = status.queues.iter().map(|queue| queue.waiting).sum();
    vec![
        client.address.to_string(),
        status.instance.clone(),
        status.data_centre.clone(),
        state.to_owned(),
        status.sheet_number.to_string(),
        status.marks_version.to_string(),
        status.members.len().to_string(),
        status.active_requests.to_string(),
        status.running_attempts.to_string(),
        waiting.to_string(),
        status.invariant_violations.to_string(),
    ]
}
