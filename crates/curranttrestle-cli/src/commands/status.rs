//! `status`: the state of each router.

use clap::Args;
use serde::Serialize;

use crate::client::{OperatorClient, RouterStatus, ask_all};
use crate::error::CliError;
use crate::fleet::FleetOptions;
use crate::output;

/// Shows the state of each router.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle status --fleet fleet.toml
  curranttrestle status --operator 127.0.0.1:7102 --token secret --json

Exit code 1 when a router did not answer or is not ready, 3 when none answered.")]
pub struct Arguments {
    #[command(flatten)]
    fleet: FleetOptions,
    /// Prints one JSON document a line: the router's address, and its state or the error.
    #[arg(long)]
    json: bool,
}

/// One line of the JSON form.
#[derive(Debug, Serialize)]
struct StatusLine {
    operator: String,
    status: Option<serde_json::Value>,
    error: Option<String>,
}

/// Runs the command.
pub async fn run(arguments: &Arguments) -> Result<(), CliError> {
    let clients = arguments.fleet.clients()?;
    let answers = ask_all(&clients, whole_status).await;
    if arguments.json {
        write_json(&clients, &answers)?;
    } else {
        write_table(&clients, &answers)?;
    }
    if answers.iter().all(Result::is_err) {
        return Err(CliError::NotReachable(first_error(&answers)));
    }
    let is_ready = |answer: &Result<serde_json::Value, CliError>| {
        answer.as_ref().is_ok_and(|value| parse(value).ready)
    };
    if answers.iter().all(is_ready) {
        return Ok(());
    }
    let message = "some routers are not ready or did not answer";
    Err(CliError::Failed(message.to_owned()))
}

async fn whole_status(client: &OperatorClient) -> Result<serde_json::Value, CliError> {
    client.read("/v1/status").await
}

fn parse(value: &serde_json::Value) -> RouterStatus {
    serde_json::from_value(value.clone()).unwrap_or_default()
}

fn first_error(answers: &[Result<serde_json::Value, CliError>]) -> String {
    let error = answers.iter().find_map(|answer| answer.as_ref().err());
    error.map(ToString::to_string).unwrap_or_default()
}

fn write_json(
    clients: &[OperatorClient],
    answers: &[Result<serde_json::Value, CliError>],
) -> Result<(), CliError> {
    for (client, answer) in clients.iter().zip(answers) {
        output::json(&StatusLine {
            operator: client.address.to_string(),
            status: answer.as_ref().ok().cloned(),
            error: answer.as_ref().err().map(ToString::to_string),
        })?;
    }
    Ok(())
}

fn write_table(
    clients: &[OperatorClient],
    answers: &[Result<serde_json::Value, CliError>],
) -> Result<(), CliError> {
    let mut rows = Vec::new();
    for (client, answer) in clients.iter().zip(answers) {
        match answer {
            Ok(value) => rows.push(row_of(client, &parse(value))),
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

fn row_of(client: &OperatorClient, status: &RouterStatus) -> Vec<String> {
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
