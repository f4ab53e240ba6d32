//! Makes the calls when they are due.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use curranttrestle::protocol::Outcome;
use smol::Timer;
use smol::future::FutureExt;
use uuid::Uuid;

use super::Arguments;
use super::arrivals::{Arrival, Arrivals};
use super::progress::Progress;
use super::report::{CallResult, LoadReport};
use crate::client::{CallRequest, Called, ClientError};
use crate::commands::call::prompt_body;

/// The place of the call's number in a body.
const NUMBER_PLACE: &str = "%n";

/// How long the collector waits at most between two looks at the progress line.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Makes all calls and returns what was measured.
pub async fn run(arguments: &Arguments) -> LoadReport {
    let names = arguments
        .customers
        .iter()
        .map(|customer| customer.name.as_str());
    let mut run = LoadRun {
        arguments,
        start: Instant::now(),
        report: LoadReport::new(names),
        under_way: 0,
        progress: Progress::new(),
    };
    run.make_all_calls().await;
    run.progress.clear();
    run.report.finish(run.start.elapsed());
    run.report
}

/// A run under way.
struct LoadRun<'a> {
    arguments: &'a Arguments,
    start: Instant,
    report: LoadReport,
    under_way: usize,
    progress: Progress,
}

/// What a call needs, owned by its task.
struct OwnedCall {
    router: SocketAddr,
    operation: String,
    key: String,
    customer: usize,
    idempotency_key: Option<Uuid>,
    deadline_ms: Option<u64>,
    timeout_ms: u64,
    body: Vec<u8>,
    due: Instant,
}

impl LoadRun<'_> {
    async fn make_all_calls(&mut self) {
        let (sender, results) = async_channel::unbounded();
        for arrival in Arrivals::new(self.arguments.arrival_options()) {
            let due = self.start + arrival.due;
            self.collect_until(due, &results).await;
            if self.under_way >= self.arguments.most_under_way {
                self.report.not_made();
            } else {
                self.start_call(&arrival, due, &sender);
            }
        }
        while self.under_way > 0 {
            let next_look = Instant::now() + LOOK_INTERVAL;
            self.collect_until(next_look, &results).await;
        }
    }

    fn start_call(&mut self, arrival: &Arrival, due: Instant, sender: &Sender<CallResult>) {
        self.report.sent(arrival.customer);
        self.under_way += 1;
        let call = self.call_of(arrival, due);
        let sender = sender.clone();
        smol::spawn(async move {
            let _ = sender.send(call.make().await).await;
        })
        .detach();
    }

    fn call_of(&self, arrival: &Arrival, due: Instant) -> OwnedCall {
        let arguments = self.arguments;
        let turn = arrival.number % arguments.routers.len() as u64;
        let router = arguments.routers[usize::try_from(turn).unwrap_or(0)];
        let number = arrival.number.to_string();
        let body = match (&arguments.prompt, &arguments.body) {
            (Some(prompt), _) => {
                let prompt = prompt.replace(NUMBER_PLACE, &number);
                prompt_body(&prompt, arrival.max_tokens)
            }
            (None, Some(body)) => body.replace(NUMBER_PLACE, &number).into_bytes(),
            (None, None) => Vec::new(),
        };
        OwnedCall {
            router,
            operation: arguments.operation.clone(),
            key: arguments.customers[arrival.customer].key.clone(),
            customer: arrival.customer,
            idempotency_key: arguments.idempotency_keys.then(Uuid::now_v7),
            deadline_ms: arguments.deadline_ms,
            timeout_ms: arguments.timeout_ms,
            body,
            due,
        }
    }

    /// Takes results until the time `until` has come.
    async fn collect_until(&mut self, until: Instant, results: &Receiver<CallResult>) {
        loop {
            let look = until.min(Instant::now() + LOOK_INTERVAL);
            let timed_out = async {
                Timer::at(look).await;
                None
            };
            let received = async { results.recv().await.ok() };
            if let Some(result) = received.or(timed_out).await {
                self.under_way -= 1;
                self.report.ended(&result);
            }
            self.progress.show(&self.report, self.under_way);
            if Instant::now() >= until {
                return;
            }
        }
    }
}

impl OwnedCall {
    async fn make(self) -> CallResult {
        let request = CallRequest {
            key: &self.key,
            operation: &self.operation,
            idempotency_key: self.idempotency_key,
            deadline_ms: self.deadline_ms,
            body: self.body.clone(),
            timeout_ms: self.timeout_ms,
        };
        let mut first = None;
        let mut sink = |_: &[u8]| {
            first.get_or_insert_with(|| self.due.elapsed());
        };
        let called = request.send(self.router, &mut sink).await;
        let (outcome, reason) = outcome_of(called);
        CallResult {
            customer: self.customer,
            outcome,
            reason,
            first,
            whole: self.due.elapsed(),
        }
    }
}

fn outcome_of(called: Result<Called, ClientError>) -> (Option<Outcome>, String) {
    match called {
        Ok(Called::Answered(answer)) => {
            let reason = answer.problem.map(|problem| problem.reason);
            (Some(answer.outcome), reason.unwrap_or_default())
        }
        Ok(Called::Interrupted(_)) => (Some(Outcome::Unknown), "broken-off".to_owned()),
        Err(ClientError::NotReachable { .. }) => (None, "not-connected".to_owned()),
        Err(ClientError::TimedOut { .. }) => (Some(Outcome::Unknown), "timed-out".to_owned()),
        Err(ClientError::Broken { .. }) => (Some(Outcome::Unknown), "connection-lost".to_owned()),
    }
}
