//! `call`: calls an operation as a customer.

use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use curranttrestle::protocol::Outcome;
use smol::Timer;
use uuid::Uuid;

use crate::client::{CallRequest, CallResponse, CallStatus, ClientError, InterruptedStream};
use crate::error::CliError;
use crate::output;

/// The maximum number of attempts to resume an interrupted stream.
const MAX_RESUMES: usize = 10;

/// The delay between two attempts to resume.
const RESUME_DELAY: Duration = Duration::from_millis(200);

/// Calls an operation as a customer and prints the response.
///
/// The response of a model is printed as it arrives. An interrupted stream is resumed through
/// the given routers in turn. The call is sent to one router only; the next one is tried only if
/// no connection can be made.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle call answer-renter --router 127.0.0.1:7101 --key secret --prompt 'Is it due?'
  curranttrestle call book-camera --router 127.0.0.1:7101 --key secret \\
      --idempotency-key auto --body '{\"camera\": 7}'

Exit code 0 if the call was answered, 1 if the request did not run, 3 if no router could be
reached, 5 if it is unknown whether it ran.")]
pub struct Arguments {
    /// The name of the operation in the sheet.
    operation: String,
    /// The address of a router's callers' listener; may be given several times.
    #[arg(long = "router", value_name = "IP:PORT", required = true)]
    routers: Vec<SocketAddr>,
    /// The customer's API key.
    #[arg(
        long,
        value_name = "KEY",
        env = "CURRANTTRESTLE_KEY",
        hide_env_values = true
    )]
    key: String,
    /// The request body as text.
    #[arg(long, value_name = "TEXT", conflicts_with_all = ["body_file", "prompt"])]
    body: Option<String>,
    /// A file with the request body; `-` reads standard input.
    #[arg(long, value_name = "FILE", conflicts_with = "prompt")]
    body_file: Option<PathBuf>,
    /// The prompt for a model; sent as JSON together with `--max-tokens`.
    #[arg(long, value_name = "TEXT")]
    prompt: Option<String>,
    /// The maximum number of output tokens of a model.
    #[arg(long, value_name = "N", default_value_t = 256)]
    max_tokens: u32,
    /// The idempotency key: a version 7 UUID, or `auto` to generate one and print it.
    #[arg(long, value_name = "UUID|auto")]
    idempotency_key: Option<String>,
    /// How long the request may queue and run.
    #[arg(long, value_name = "MS")]
    deadline_ms: Option<u64>,
    /// The timeout for the start of the response and for each further part of it.
    #[arg(long, value_name = "MS", default_value_t = 65_000)]
    timeout_ms: u64,
    /// Prints one JSON document with the outcome and the response content as text.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub async fn run(arguments: &Arguments) -> Result<(), CliError> {
    let request = CallRequest {
        key: &arguments.key,
        operation: &arguments.operation,
        idempotency_key: arguments.idempotency_key()?,
        deadline_ms: arguments.deadline_ms,
        body: arguments.body()?,
        timeout_ms: arguments.timeout_ms,
    };
    if let Some(key) = request.idempotency_key {
        eprintln!("idempotency_key={key}");
    }
    let mut printer = Printer::new(arguments.json);
    let status = send(arguments, &request, &mut printer).await?;
    let response = match status {
        CallStatus::Completed(response) => response,
        CallStatus::Interrupted(stream) => {
            resume(arguments, &request, stream, &mut printer).await?
        }
    };
    printer.finish(&response)?;
    check_outcome(&response)
}

/// Sends the call to the first router that can be connected to.
async fn send(
    arguments: &Arguments,
    request: &CallRequest<'_>,
    printer: &mut Printer,
) -> Result<CallStatus, CliError> {
    let mut last = None;
    for router in &arguments.routers {
        match request
            .send(*router, &mut |bytes| printer.push(bytes))
            .await
        {
            Err(error @ ClientError::NotReachable { .. }) => last = Some(error),
            Err(error) => return Err(error.into()),
            Ok(status) => return Ok(status),
        }
    }
    let message = last.map(|error| error.to_string()).unwrap_or_default();
    Err(CliError::NotReachable(message))
}

/// Resumes a stream, trying the given routers in turn, starting with the second.
async fn resume(
    arguments: &Arguments,
    request: &CallRequest<'_>,
    mut stream: InterruptedStream,
    printer: &mut Printer,
) -> Result<CallResponse, CliError> {
    let routers = arguments.routers.iter().cycle().skip(1);
    for router in routers.take(MAX_RESUMES) {
        eprintln!(
            "resuming request={} offset={} router={router} reason={:?}",
            stream.request, stream.received_bytes, stream.reason
        );
        let mut sink = |bytes: &[u8]| printer.push(bytes);
        match request.resume(*router, &stream, &mut sink).await {
            Ok(CallStatus::Completed(response)) => return Ok(response),
            Ok(CallStatus::Interrupted(next)) => stream = next,
            Err(error) => stream.reason = error.to_string(),
        }
        Timer::after(RESUME_DELAY).await;
    }
    Err(CliError::Unknown(stream.reason))
}

fn check_outcome(response: &CallResponse) -> Result<(), CliError> {
    let problem = response.problem.clone().unwrap_or_default();
    let message = format!(
        "outcome={} status={} reason={} detail={:?}",
        response.outcome, response.status, problem.reason, problem.detail
    );
    match response.outcome {
        Outcome::Answered => Ok(()),
        Outcome::NotRun => Err(CliError::Failed(message)),
        Outcome::Unknown => Err(CliError::Unknown(message)),
    }
}

impl Arguments {
    fn idempotency_key(&self) -> Result<Option<Uuid>, CliError> {
        match self.idempotency_key.as_deref() {
            None => Ok(None),
            Some("auto") => Ok(Some(Uuid::now_v7())),
            Some(text) => text.parse().map(Some).map_err(|error| {
                CliError::Usage(format!(
                    "invalid idempotency key {text:?}; expected a UUID or auto: {error}"
                ))
            }),
        }
    }

    fn body(&self) -> Result<Vec<u8>, CliError> {
        if let Some(prompt) = &self.prompt {
            return Ok(prompt_body(prompt, self.max_tokens));
        }
        if let Some(body) = &self.body {
            return Ok(body.clone().into_bytes());
        }
        let Some(path) = &self.body_file else {
            return Ok(Vec::new());
        };
        let mut body = Vec::new();
        let read = if path.as_os_str() == "-" {
            std::io::stdin().read_to_end(&mut body).map(|_| body)
        } else {
            std::fs::read(path)
        };
        let path = path.clone();
        read.map_err(|error| CliError::File { path, error })
    }
}

/// Returns the request body of a model call.
pub fn prompt_body(prompt: &str, max_tokens: u32) -> Vec<u8> {
    serde_json::json!({ "prompt": prompt, "max_tokens": max_tokens })
        .to_string()
        .into_bytes()
}

/// Prints response content as it arrives, or collects it for the JSON output.
struct Printer {
    collected: Option<Vec<u8>>,
    error: Option<CliError>,
    ends_with_newline: bool,
}

impl Printer {
    fn new(collect: bool) -> Self {
        Self {
            collected: collect.then(Vec::new),
            error: None,
            ends_with_newline: true,
        }
    }

    fn push(&mut self, bytes: &[u8]) {
        if let Some(collected) = &mut self.collected {
            return collected.extend_from_slice(bytes);
        }
        self.ends_with_newline = bytes.ends_with(b"\n");
        let written = output::write_bytes(bytes);
        self.error = self.error.take().or(written.err());
    }

    fn finish(self, response: &CallResponse) -> Result<(), CliError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        match self.collected {
            Some(collected) => {
                let mut document = serde_json::json!(response);
                document["answer"] = String::from_utf8_lossy(&collected).into();
                output::json(&document)
            }
            None if !self.ends_with_newline => output::write("\n"),
            None => Ok(()),
        }
    }
}
