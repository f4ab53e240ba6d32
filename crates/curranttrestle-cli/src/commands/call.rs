//! `call`: calls an operation as a customer.

use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use curranttrestle::protocol::Outcome;
use smol::Timer;
use uuid::Uuid;

use crate::client::{Answer, CallRequest, Called, ClientError, Interrupted};
use crate::error::CliError;
use crate::output;

/// How often a stream that broke off is resumed.
const MOST_RESUMES: usize = 10;

/// The time between two attempts to resume.
const RESUME_PAUSE: Duration = Duration::from_millis(200);

/// Calls an operation as a customer and prints the answer.
///
/// The answer of a model is printed as it comes. When a stream breaks off it is resumed
/// through the next named router. The call itself is sent once; only a router that can't
/// be connected to is passed over.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle call answer-renter --router 127.0.0.1:7101 --key secret --prompt 'Is it due?'
  curranttrestle call book-camera --router 127.0.0.1:7101 --key secret \\
      --idempotency-key auto --body '{\"camera\": 7}'

Exit code 0 when answered, 1 when the request did not run, 3 when no router could be
reached, 5 when it is not known whether it ran.")]
pub struct Arguments {
    /// The operation, as the sheet names it.
    operation: String,
    /// The callers' listener of a router; may be repeated.
    #[arg(long = "router", value_name = "IP:PORT", required = true)]
    routers: Vec<SocketAddr>,
    /// The customer's key.
    #[arg(
        long,
        value_name = "KEY",
        env = "CURRANTTRESTLE_KEY",
        hide_env_values = true
    )]
    key: String,
    /// The body as text.
    #[arg(long, value_name = "TEXT", conflicts_with_all = ["body_file", "prompt"])]
    body: Option<String>,
    /// A file with the body; `-` is the standard input.
    #[arg(long, value_name = "FILE", conflicts_with = "prompt")]
    body_file: Option<PathBuf>,
    /// A text for a model to answer.
    #[arg(long, value_name = "TEXT")]
    prompt: Option<String>,
    /// The most tokens of a model's answer.
    #[arg(long, value_name = "N", default_value_t = 256)]
    max_tokens: u32,
    /// A version 7 UUID, or `auto` for a new one, which is printed.
    #[arg(long, value_name = "UUID|auto")]
    idempotency_key: Option<String>,
    /// How long the request may wait and run.
    #[arg(long, value_name = "MS")]
    deadline_ms: Option<u64>,
    /// How long to wait for the first part of the answer, and for each further one.
    #[arg(long, value_name = "MS", default_value_t = 65_000)]
    timeout_ms: u64,
    /// Prints one JSON document with the outcome and the answer as text.
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
    let called = send(arguments, &request, &mut printer).await?;
    let answer = match called {
        Called::Answered(answer) => answer,
        Called::Interrupted(stream) => resume(arguments, &request, stream, &mut printer).await?,
    };
    printer.finish(&answer)?;
    exit_of(&answer)
}

/// Sends the call to the first router that can be connected to.
async fn send(
    arguments: &Arguments,
    request: &CallRequest<'_>,
    printer: &mut Printer,
) -> Result<Called, CliError> {
    let mut last = None;
    for router in &arguments.routers {
        match request
            .send(*router, &mut |bytes| printer.take(bytes))
            .await
        {
            Err(error @ ClientError::NotReachable { .. }) => last = Some(error),
            Err(error) => return Err(error.into()),
            Ok(called) => return Ok(called),
        }
    }
    let message = last.map(|error| error.to_string()).unwrap_or_default();
    Err(CliError::NotReachable(message))
}

/// Resumes a stream, through one router after the other.
async fn resume(
    arguments: &Arguments,
    request: &CallRequest<'_>,
    mut stream: Interrupted,
    printer: &mut Printer,
) -> Result<Answer, CliError> {
    let routers = arguments.routers.iter().cycle().skip(1);
    for router in routers.take(MOST_RESUMES) {
        eprintln!(
            "resuming request={} offset={} router={router} reason={:?}",
            stream.request, stream.received_bytes, stream.reason
        );
        let mut sink = |bytes: &[u8]| printer.take(bytes);
        match request.resume(*router, &stream, &mut sink).await {
            Ok(Called::Answered(answer)) => return Ok(answer),
            Ok(Called::Interrupted(again)) => stream = again,
            Err(error) => stream.reason = error.to_string(),
        }
        Timer::after(RESUME_PAUSE).await;
    }
    Err(CliError::Unknown(stream.reason))
}

fn exit_of(answer: &Answer) -> Result<(), CliError> {
    let problem = answer.problem.clone().unwrap_or_default();
    let message = format!(
        "outcome={} status={} reason={} detail={:?}",
        answer.outcome, answer.status, problem.reason, problem.detail
    );
    match answer.outcome {
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
                CliError::Usage(format!("{text:?} is neither a UUID nor auto: {error}"))
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

/// The body of a call of a model.
pub fn prompt_body(prompt: &str, max_tokens: u32) -> Vec<u8> {
    serde_json::json!({ "prompt": prompt, "max_tokens": max_tokens })
        .to_string()
        .into_bytes()
}

/// Prints an answer as it comes, or collects it for JSON.
struct Printer {
    collected: Option<Vec<u8>>,
    error: Option<CliError>,
    ends_with_newline: bool,
}

impl Printer {
    fn new(collects: bool) -> Self {
        Self {
            collected: collects.then(Vec::new),
            error: None,
            ends_with_newline: true,
        }
    }

    fn take(&mut self, bytes: &[u8]) {
        if let Some(collected) = &mut self.collected {
            return collected.extend_from_slice(bytes);
        }
        self.ends_with_newline = bytes.ends_with(b"\n");
        let written = output::write_bytes(bytes);
        self.error = self.error.take().or(written.err());
    }

    fn finish(self, answer: &Answer) -> Result<(), CliError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        match self.collected {
            Some(collected) => {
                let mut document = serde_json::json!(answer);
                document["answer"] = String::from_utf8_lossy(&collected).into();
                output::json(&document)
            }
            None if !self.ends_with_newline => output::write("\n"),
            None => Ok(()),
        }
    }
}
