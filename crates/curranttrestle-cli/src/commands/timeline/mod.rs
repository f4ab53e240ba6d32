//! `timeline`: what happened, over all routers or gateways in order.

mod log_lines;

use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::Args;
use curranttrestle::state::event::HybridTime;
use curranttrestle::state::{Event, Incarnation, InstanceId, RequestId};
use indexmap::IndexSet;
use smol::Timer;

use crate::client::{OperatorClient, ask_all};
use crate::error::CliError;
use crate::fleet::FleetOptions;
use crate::output;

/// The time between two questions for new events.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);
/// How far back each question goes, because the clocks of routers differ.
const FOLLOW_OVERLAP_MS: u64 = 5_000;

/// Shows what happened, over all routers or gateways in order.
///
/// With `--log` the log lines of gateways are read from files. Otherwise routers are asked:
/// the events of all routers are merged by a clock that orders causes before effects. Each
/// router holds a bounded number of its newest events. With `--follow`, events of a router
/// whose clock is more than five seconds behind the others may be missed.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle timeline --fleet fleet.toml --request 0199c3f2-5f5e-7e41-a1b2-5a4f8f0c9d11
  curranttrestle timeline --fleet fleet.toml --customer atelier --last-s 60
  curranttrestle timeline --fleet fleet.toml --kind refused --kind retried --json
  curranttrestle timeline --fleet fleet.toml --customer atelier --last-s 10 --follow
  curranttrestle timeline --log rennes-1.log --log brest-1.log --request 6e26a900fff5af6d

Exit code 1 when a router did not answer, so that events may be missing; 3 when none did.")]
pub struct Arguments {
    #[command(flatten)]
    fleet: FleetOptions,
    /// A file with log lines of gateways, `-` for standard input; may be repeated. No router
    /// is asked then.
    #[arg(long = "log", value_name = "FILE", conflicts_with = "follow")]
    logs: Vec<PathBuf>,
    /// Also shows what the gateways of the chosen requests logged of themselves and of the
    /// endpoints of those requests, from this many seconds before each request to its end.
    #[arg(long, value_name = "S", requires = "logs")]
    context_s: Option<u64>,
    /// Only the events of this request.
    #[arg(long, value_name = "ID")]
    request: Option<String>,
    /// Only events that name this customer, and all events of its requests.
    #[arg(long, value_name = "NAME")]
    customer: Option<String>,
    /// Only events that name this endpoint.
    #[arg(long, value_name = "NAME")]
    endpoint: Option<String>,
    /// Only events of this kind, such as `refused`; may be repeated.
    #[arg(long = "kind", value_name = "KIND")]
    kinds: Vec<String>,
    /// Only events of the last seconds; of log lines, before the newest one.
    #[arg(long, value_name = "S")]
    last_s: Option<u64>,
    /// Goes on and prints events as they happen, until it is interrupted.
    #[arg(long)]
    follow: bool,
    /// Prints one JSON document a line.
    #[arg(long)]
    json: bool,
}

/// What a followed time line has shown so far.
#[derive(Debug, Default)]
struct Shown {
    /// The events printed or passed over that may be read again.
    events: IndexSet<(HybridTime, InstanceId, Incarnation)>,
    /// The requests of the customer that is asked for.
    requests: IndexSet<RequestId>,
    /// The time of the newest event.
    newest_unix_ms: u64,
}

impl Shown {
    /// Forgets the events that are not read again.
    fn forget_old(&mut self) {
        let read_again_ms = self.newest_unix_ms.saturating_sub(FOLLOW_OVERLAP_MS);
        self.events
            .retain(|(time, _, _)| time.unix_ms >= read_again_ms);
    }
}

/// Runs the command.
pub async fn run(arguments: &Arguments) -> Result<(), CliError> {
    if !arguments.logs.is_empty() {
        return log_lines::show(arguments);
    }
    let clients = arguments.fleet.clients()?;
    let mut shown = Shown::default();
    let failures = show_next(arguments, &clients, arguments.first_ms(), &mut shown).await?;
    if failures == clients.len() {
        let message = "see above".to_owned();
        return Err(CliError::NotReachable(message));
    }
    if arguments.follow {
        return follow(arguments, &clients, &mut shown).await;
    }
    if failures > 0 {
        let message = "some routers did not answer; events may be missing";
        return Err(CliError::Failed(message.to_owned()));
    }
    Ok(())
}

/// Prints events as they happen, until the output is closed.
async fn follow(
    arguments: &Arguments,
    clients: &[OperatorClient],
    shown: &mut Shown,
) -> Result<(), CliError> {
    loop {
        Timer::after(FOLLOW_INTERVAL).await;
        let after_ms = shown.newest_unix_ms.saturating_sub(FOLLOW_OVERLAP_MS);
        show_next(arguments, clients, Some(after_ms), shown).await?;
    }
}

/// Prints the events after a time that were not printed yet; returns how many routers did
/// not answer.
async fn show_next(
    arguments: &Arguments,
    clients: &[OperatorClient],
    after_unix_ms: Option<u64>,
    shown: &mut Shown,
) -> Result<usize, CliError> {
    let path = arguments.path(after_unix_ms);
    let answers = ask_all(clients, |client| events_of(client, &path)).await;
    let failures = report_failures(&answers);
    let mut events: Vec<Event> = answers.into_iter().flatten().flatten().collect();
    events.sort_by_cached_key(key_of);
    events.retain(|event| shown.events.insert(key_of(event)));
    shown.forget_old();
    for event in arguments.choose(events, shown) {
        if arguments.json {
            output::json(&event)?;
        } else {
            output::line(&event.to_string())?;
        }
    }
    Ok(failures)
}

/// The place of an event in the time line, unique in the fleet.
fn key_of(event: &Event) -> (HybridTime, InstanceId, Incarnation) {
    (event.time, event.instance.clone(), event.incarnation)
}

async fn events_of(client: &OperatorClient, path: &str) -> Result<Vec<Event>, CliError> {
    client.read(path).await
}

fn report_failures(answers: &[Result<Vec<Event>, CliError>]) -> usize {
    let failures = answers.iter().filter_map(|answer| answer.as_ref().err());
    failures.inspect(|error| eprintln!("{error}")).count()
}

impl Arguments {
    /// The time after which events are asked for first.
    fn first_ms(&self) -> Option<u64> {
        let last_s = self.last_s?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
        Some(now_ms.saturating_sub(last_s.saturating_mul(1_000)))
    }

    /// The path with what the routers can choose by themselves.
    fn path(&self, after_unix_ms: Option<u64>) -> String {
        let mut parameters = Vec::new();
        if let Some(after_ms) = after_unix_ms {
            parameters.push(format!("after_unix_ms={after_ms}"));
        }
        // A word that is no identifier is left to the choice made here, which finds nothing.
        let is_word = |text: &&String| text.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
        if let Some(request) = self.request.as_ref().filter(is_word) {
            parameters.push(format!("request={request}"));
        }
        if parameters.is_empty() {
            return "/v1/events".to_owned();
        }
        format!("/v1/events?{}", parameters.join("&"))
    }

    /// The events to print.
    fn choose(&self, mut events: Vec<Event>, shown: &mut Shown) -> Vec<Event> {
        let of_customer = events.iter().filter(|event| self.names_customer(event));
        let requests = of_customer.filter_map(|event| event.request);
        shown.requests.extend(requests);
        let newest = events.iter().map(|event| event.time.unix_ms).max();
        shown.newest_unix_ms = shown.newest_unix_ms.max(newest.unwrap_or_default());
        events.retain(|event| self.is_chosen(event, &shown.requests));
        events
    }

    fn names_customer(&self, event: &Event) -> bool {
        self.customer.is_some() && event.details.get("customer") == self.customer.as_ref()
    }

    fn is_chosen(&self, event: &Event, requests: &IndexSet<RequestId>) -> bool {
        let of_request = self.request.as_ref().is_none_or(|wanted| {
            let request = event.request.map(|request| request.to_string());
            request.as_ref() == Some(wanted)
        });
        let of_customer = self.customer.is_none()
            || self.names_customer(event)
            || event
                .request
                .is_some_and(|request| requests.contains(&request));
        let of_endpoint =
            self.endpoint.is_none() || event.details.get("endpoint") == self.endpoint.as_ref();
        let of_kind =
            self.kinds.is_empty() || self.kinds.iter().any(|kind| kind == event.kind.as_str());
        of_request && of_customer && of_endpoint && of_kind
    }
}
