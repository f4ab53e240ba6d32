//! `load`: calls an operation repeatedly at random times and measures the responses.

mod arrivals;
mod customers;
mod progress;
mod report;
mod runner;

use std::net::SocketAddr;

use clap::Args;

use crate::error::CliError;
use crate::output;
use arrivals::{ArrivalOptions, TokenRange};
use customers::LoadCustomer;

/// Calls an operation repeatedly at random times and measures the responses.
///
/// This is an open-loop load: call times do not depend on responses, so a slow fleet does not
/// slow the load down. Call times, the choice of customers and the requested output lengths
/// depend only on the seed. Latencies are measured from the time at which a call was due.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle load answer-renter --router 127.0.0.1:7101 --customer atelier:secret \\
      --rate 20 --count 500 --prompt 'question %n' --max-tokens 10-200
  curranttrestle load book-camera --router 127.0.0.1:7101 --router 127.0.0.1:7201 \\
      --customer atelier:secret:3 --customer pompiers:other:1 \\
      --idempotency-keys --body '{\"camera\": %n}' --duration-s 10 --json

Exit code 0 if no outcome is unknown, 5 if some outcomes are unknown, 3 if no router could be
reached.")]
pub struct Arguments {
    /// The name of the operation in the sheet.
    operation: String,
    /// The address of a router's callers' listener; may be given several times to distribute
    /// calls round-robin.
    #[arg(long = "router", value_name = "IP:PORT", required = true)]
    routers: Vec<SocketAddr>,
    /// A customer with its API key and, optionally, its relative share of the calls; may be
    /// given several times.
    #[arg(long = "customer", value_name = "NAME:KEY[:WEIGHT]", required = true)]
    customers: Vec<LoadCustomer>,
    /// The mean number of calls per second.
    #[arg(long, value_name = "N", default_value_t = 10.0)]
    rate: f64,
    /// The maximum number of calls.
    #[arg(long, value_name = "N", default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    count: u64,
    /// The time after which no more calls are made, in seconds.
    #[arg(long, value_name = "S", default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    duration_s: u64,
    /// The maximum number of calls in flight. A call that is due while that many
    /// are in flight is counted but not made.
    #[arg(long, value_name = "N", default_value_t = 2_000)]
    most_under_way: usize,
    /// The random seed.
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// The request body as text; `%n` is replaced by the number of the call.
    #[arg(long, value_name = "TEXT", conflicts_with = "prompt")]
    body: Option<String>,
    /// The prompt for a model; `%n` is replaced by the number of the call.
    #[arg(long, value_name = "TEXT")]
    prompt: Option<String>,
    /// The maximum number of output tokens of a model: a number, or a range to draw from.
    #[arg(long, value_name = "N|N-M", default_value = "50")]
    max_tokens: TokenRange,
    /// Sends a new idempotency key with each call.
    #[arg(long)]
    idempotency_keys: bool,
    /// How long each call may queue and run.
    #[arg(long, value_name = "MS")]
    deadline_ms: Option<u64>,
    /// The timeout for the start of a response and for each further part of it.
    #[arg(long, value_name = "MS", default_value_t = 65_000)]
    timeout_ms: u64,
    /// Prints one JSON document.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub async fn run(arguments: &Arguments) -> Result<(), CliError> {
    if !(arguments.rate > 0.0 && arguments.rate <= 10_000.0) {
        let message = "--rate must be above 0 and at most 10000";
        return Err(CliError::Usage(message.to_owned()));
    }
    let report = runner::run(arguments).await;
    if arguments.json {
        output::json(&report.document())?;
    } else {
        report.write_table()?;
    }
    report.result()
}

impl Arguments {
    fn arrival_options(&self) -> ArrivalOptions {
        ArrivalOptions {
            seed: self.seed,
            rate_per_s: self.rate,
            count: self.count,
            duration_s: self.duration_s,
            weights: self
                .customers
                .iter()
                .map(|customer| customer.weight)
                .collect(),
            tokens: self.max_tokens,
        }
    }
}
