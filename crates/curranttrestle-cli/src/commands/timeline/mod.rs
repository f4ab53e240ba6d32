//! `timeline`: shows the events of all routers or gateways in order.

mod log_lines;

use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::Args;
use curranttrestle::state::event::HybridTime;
use curranttrestle::state::{Event, Incarnation, InstanceId, RequestId};
use indexmap::IndexSet;
use smol::Timer;

use crate::client::{OperatorClient, query_all};
use crate::error::CliError;
use crate::fleet::FleetOptions;
use crate::output;

/// The interval between two requests for new events.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);
/// How far each request reaches back before the newest known event, because router clocks
/// differ.
const FOLLOW_OVERLAP_MS: u64 = 5_000;

/// Shows the events of all routers or gateways in order.
///
/// With `--log`, the log lines of gateways are read from files. Otherwise the events of all
/// routers are fetched and merged by their hybrid logical clocks, which order causes before
/// effects. Each router retains a bounded number of its newest events. With `--follow`, events
/// of a router whose clock is more than five seconds behind the others may be missed.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle timeline --fleet fleet.toml --request 0199c3f2-5f5e-7e41-a1b2-5a4f8f0c9d11
  curranttrestle timeline --fleet fleet.toml --customer atelier --last-s 60
  curranttrestle timeline --fleet fleet.toml --kind refused --kind retried --json
  curranttrestle timeline --fleet fleet.toml --customer atelier --last-s 10 --follow
  curranttrestle timeline --log rennes-1.log --log brest-1.log --request 6e26a900fff5af6d

Exit code 1 if a router did not respond, so that events may be missing; 3 if none responded.")]
pub struct Arguments {
    #[command(flatten)]
    fleet: FleetOptions,
    /// A file with log lines of gateways, `-` for standard input; may be given several times.
    /// Routers are not queried then.
    #[arg(long = "log", value_name = "FILE", conflicts_with = "follow")]
    logs: Vec<PathBuf>,
    /// Also shows the lines that the gateways of the selected requests logged about themselves
    /// and about the endpoints of those requests, from this many seconds before each request
    /// until its end.
    #[arg(long, value_name = "S", requires = "logs")]
    context_s: Option<u64>,
    /// Shows only the events of this request.
    #[arg(long, value_name = "ID")]
    request: Option<String>,
    /// Shows only events that name this customer and all events of its requests.
    #[arg(long, value_name = "NAME")]
    customer: Option<String>,
    /// Shows only events that name this endpoint.
    #[arg(long, value_name = "NAME")]
    endpoint: Option<String>,
    /// Shows only events of this kind, such as `refused`; may be given several times.
    #[arg(long = "kind", value_name = "KIND")]
    kinds: Vec<String>,
    /// Shows only events of the last seconds; for log lines, counted back from the newest one.
    #[arg(long, value_name = "S")]
    last_s: Option<u64>,
    /// Keeps printing new events until interrupted.
    #[arg(long)]
    follow: bool,
    /// Prints one JSON document per line.
    #[arg(long)]
    json: bool,
}

/// The state of a timeline between two requests for new events.
#[derive(Debug, Default)]
struct FollowState {
    /// The events already processed that may be fetched again.
    events: IndexSet<(HybridTime, InstanceId, Incarnation)>,
    /// The known requests of the selected customer.
    requests: IndexSet<RequestId>,
    /// The time of the newest event so far.
    newest_unix_ms: u64,
}

impl FollowState {
    /// Evicts events that are too old to be fetched again.
    fn evict_old_events(&mut self) {
        let oldest_ms = self.newest_unix_ms.saturating_sub(FOLLOW_OVERLAP_MS);
        self.events.retain(|(time, _, _)| time.unix_ms >= oldest_ms);
    }
}

/// Runs the command.
pub async fn run(arguments: &Arguments) -> Result<(), CliError> {
    if !arguments.logs.is_empty() {
        return log_lines::print(arguments);
    }
    let clients = arguments.fleet.clients()?;
    let mut state = FollowState::default();
    let failures = print_new_events(
        arguments,
        &clients,
        arguments.initial_after_ms(),
        &mut state,
    )
    .await?;
    if failures == clients.len() {
        let message = "all given routers; see the errors above".to_owned();
        return Err(CliError::NotReachable(message));
    }
    if arguments.follow {
        return follow(arguments, &clients, &mut state).await;
    }
    if failures > 0 {
        let message = "some routers did not respond; events may be missing";
        return Err(CliError::Failed(message.to_owned()));
    }
    Ok(())
}

/// Prints new events until the output is closed.
async fn follow(
    arguments: &Arguments,
    clients: &[OperatorClient],
    state: &mut FollowState,
) -> Result<(), CliError> {
    loop {
        Timer::after(FOLLOW_INTERVAL).await;
        let after_ms = state.newest_unix_ms.saturating_sub(FOLLOW_OVERLAP_MS);
        print_new_events(arguments, clients, Some(after_ms), state).await?;
    }
}

/// Fetches the events after `after_unix_ms` and prints the new ones. Returns how many routers
/// failed to respond.
async fn print_new_events(
    arguments: &Arguments,
    clients: &[OperatorClient],
    after_unix_ms: Option<u64>,
    state: &mut FollowState,
) -> Result<usize, CliError> {
    let events_path = arguments.events_path(after_unix_ms);
    let responses = query_all(clients, |client| fetch_events(client, &events_path)).await;
    let failures = report_failures(&responses);
    let mut events: Vec<Event> = responses.into_iter().flatten().flatten().collect();
    events.sort_by_cached_key(event_key);
    events.retain(|event| state.events.insert(event_key(event)));
    state.evict_old_events();
    for event in arguments.select(events, state) {
        if arguments.json {
            output::json(&event)?;
        } else {
            output::line(&event.to_string())?;
        }
    }
    Ok(failures)
}

/// Returns the sort key of an event, which is unique in the fleet.
fn event_key(event: &Event) -> (HybridTime, InstanceId, Incarnation) {
    (event.time, event.instance.clone(), event.incarnation)
}

async fn fetch_events(client: &OperatorClient, events_path: &str) -> Result<Vec<Event>, CliError> {
    client.get_value(events_path).await
}

fn report_failures(responses: &[Result<Vec<Event>, CliError>]) -> usize {
    let failures = responses
        .iter()
        .filter_map(|response| response.as_ref().err());
    failures.inspect(|error| eprintln!("{error}")).count()
}

impl Arguments {
    /// Returns the Unix time in milliseconds after which the first request fetches events, or
    /// `None` to fetch all.
    fn initial_after_ms(&self) -> Option<u64> {
        let last_s = self.last_s?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
        Some(now_ms.saturating_sub(last_s.saturating_mul(1_000)))
    }

    /// Returns the request path with the filters that routers apply themselves.
    fn events_path(&self, after_unix_ms: Option<u64>) -> String {
        let mut parameters = Vec::new();
        if let Some(after_ms) = after_unix_ms {
            parameters.push(format!("after_unix_ms={after_ms}"));
        }
        // A text with characters that no request ID contains would break the query. It is not
        // sent, and the local filter matches no event.
        let is_id_like =
            |text: &&String| text.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
        if let Some(request) = self.request.as_ref().filter(is_id_like) {
            parameters.push(format!("request={request}"));
        }
        if parameters.is_empty() {
            return "/v1/events".to_owned();
        }
        format!("/v1/events?{}", parameters.join("&"))
    }

    /// Returns the events that match the filters and updates `state`.
    fn select(&self, mut events: Vec<Event>, state: &mut FollowState) -> Vec<Event> {
        let of_customer = events.iter().filter(|event| self.mentions_customer(event));
        let requests = of_customer.filter_map(|event| event.request);
        state.requests.extend(requests);
        let newest = events.iter().map(|event| event.time.unix_ms).max();
        state.newest_unix_ms = state.newest_unix_ms.max(newest.unwrap_or_default());
        events.retain(|event| self.matches(event, &state.requests));
        events
    }

    fn mentions_customer(&self, event: &Event) -> bool {
        self.customer.is_some() && event.details.get("customer") == self.customer.as_ref()
    }

    fn matches(&self, event: &Event, requests: &IndexSet<RequestId>) -> bool {
        let of_request = self.request.as_ref().is_none_or(|wanted| {
            let request = event.request.map(|request| request.to_string());
            request.as_ref() == Some(wanted)
        });
        let of_customer = self.customer.is_none()
            || self.mentions_customer(event)
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
