//! `timeline`: what happened, over all routers in order.

use std::time::{SystemTime, UNIX_EPOCH};

use clap::Args;
use curranttrestle::state::{Event, RequestId};
use indexmap::IndexSet;

use crate::client::{OperatorClient, ask_all};
use crate::error::CliError;
use crate::fleet::FleetOptions;
use crate::output;

/// Shows what happened, over all routers in order.
///
/// The events of all routers are merged by a clock that orders causes before effects. Each
/// router holds a bounded number of its newest events.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  curranttrestle timeline --fleet fleet.toml --request 0199c3f2-5f5e-7e41-a1b2-5a4f8f0c9d11
  curranttrestle timeline --fleet fleet.toml --customer atelier --last-s 60
  curranttrestle timeline --fleet fleet.toml --kind refused --kind retried --json

Exit code 1 when a router did not answer, so that events may be missing; 3 when none did.")]
pub struct Arguments {
    #[command(flatten)]
    fleet: FleetOptions,
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
    /// Only events of the last seconds.
    #[arg(long, value_name = "S")]
    last_s: Option<u64>,
    /// Prints one JSON document a line.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub async fn run(arguments: &Arguments) -> Result<(), CliError> {
    let clients = arguments.fleet.clients()?;
    let path = arguments.path();
    let answers = ask_all(&clients, |client| events_of(client, &path)).await;
    let failures = report_failures(&answers);
    if failures == clients.len() {
        let message = "see above".to_owned();
        return Err(CliError::NotReachable(message));
    }
    let mut events: Vec<Event> = answers.into_iter().flatten().flatten().collect();
    events.sort_by(|a, b| {
        let key = |event: &Event| (event.time, event.instance.clone(), event.incarnation);
        key(a).cmp(&key(b))
    });
    for event in arguments.choose(events) {
        if arguments.json {
            output::json(&event)?;
        } else {
            output::line(&event.to_string())?;
        }
    }
    if failures > 0 {
        let message = "some routers did not answer; events may be missing";
        return Err(CliError::Failed(message.to_owned()));
    }
    Ok(())
}

async fn events_of(client: &OperatorClient, path: &str) -> Result<Vec<Event>, CliError> {
    client.read(path).await
}

fn report_failures(answers: &[Result<Vec<Event>, CliError>]) -> usize {
    let failures = answers.iter().filter_map(|answer| answer.as_ref().err());
    failures.inspect(|error| eprintln!("{error}")).count()
}

impl Arguments {
    /// The path with what the routers can choose by themselves.
    fn path(&self) -> String {
        let mut parameters = Vec::new();
        if let Some(last_s) = self.last_s {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            let now_ms = now.map_or(0, |now| now.as_millis());
            let after_ms = now_ms.saturating_sub(u128::from(last_s) * 1_000);
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

    fn choose(&self, events: Vec<Event>) -> Vec<Event> {
        let requests = self.requests_of_customer(&events);
        let mut events = events;
        events.retain(|event| self.is_chosen(event, &requests));
        events
    }

    /// The requests of the customer that is asked for.
    fn requests_of_customer(&self, events: &[Event]) -> IndexSet<RequestId> {
        let of_customer = events.iter().filter(|event| self.names_customer(event));
        of_customer.filter_map(|event| event.request).collect()
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
