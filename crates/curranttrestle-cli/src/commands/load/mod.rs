//! `load`: calls an operation many times at random moments and measures the answers.

mod arrivals;
mod customers;
mod progress;
mod report;
mod runner;

use std::net::SocketAddr;

use clap::Args;

use crate::error::CliError;
use crate::output;
use arrivals::{ArrivalOptions, Tokens};
use customers::LoadCustomer;

/// Calls an operation many times at random moments and measures the answers.
///
/// The moments do not depend on the answers: a slow fleet is not spared. They, the choice
/// of customers and the lengths asked for depend on the seed alone. Times count from the
/// moment a call was due.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle load answer-renter --router 127.0.0.1:7101 --customer atelier:secret \\
      --rate 20 --count 500 --prompt 'question %n' --max-tokens 10-200
  curranttrestle load book-camera --router 127.0.0.1:7101 --router 127.0.0.1:7201 \\
      --customer atelier:secret:3 --customer pompiers:other:1 \\
      --idempotency-keys --body '{\"camera\": %n}' --duration-s 10 --json

Exit code 0 when every call ended as `answered` or `not-run`, 5 when some outcomes are not
known, 3 when no router could be reached.")]
pub struct Arguments {
    /// The operation, as the sheet names it.
    operation: String,
    /// The callers' listener of a router; may be repeated, calls go to each in turn.
    #[arg(long = "router", value_name = "IP:PORT", required = true)]
    routers: Vec<SocketAddr>,
    /// A customer with its key and, optionally, its part of the calls; may be repeated.
    #[arg(long = "customer", value_name = "NAME:KEY[:PART]", required = true)]
    customers: Vec<LoadCustomer>,
    /// How many calls a second, on average.
    #[arg(long, value_name = "N", default_value_t = 10.0)]
    rate: f64,
    /// How many calls at most.
    #[arg(long, value_name = "N", default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    count: u64,
    /// How long calls are made at most.
    #[arg(long, value_name = "S", default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    duration_s: u64,
    /// How many calls may be under way; a call due beyond that is counted and not made.
    #[arg(long, value_name = "N", default_value_t = 2_000)]
    most_under_way: usize,
    /// The seed.
    #[arg(long, value_name = "N", default_value_t = 1)]
    seed: u64,
    /// The body as text; `%n` becomes the number of the call.
    #[arg(long, value_name = "TEXT", conflicts_with = "prompt")]
    body: Option<String>,
    /// A text for a model to answer; `%n` becomes the number of the call.
    #[arg(long, value_name = "TEXT")]
    prompt: Option<String>,
    /// The most tokens of a model's answer: a number or a range to choose from.
    #[arg(long, value_name = "N|N-M", default_value = "50")]
    max_tokens: Tokens,
    /// Gives each call a new idempotency key.
    #[arg(long)]
    idempotency_keys: bool,
    /// How long each call may wait and run.
    #[arg(long, value_name = "MS")]
    deadline_ms: Option<u64>,
    /// How long to wait for the first part of an answer, and for each further one.
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
    report.exit()
}

impl Arguments {
    fn arrival_options(&self) -> ArrivalOptions {
        ArrivalOptions {
            seed: self.seed,
            rate_per_s: self.rate,
            count: self.count,
            duration_s: self.duration_s,
            parts: self
                .customers
                .iter()
                .map(|customer| customer.part)
                .collect(),
            tokens: self.max_tokens,
        }
    }
}
