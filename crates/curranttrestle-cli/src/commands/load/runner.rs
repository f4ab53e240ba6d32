//! Makes each call when it is due.

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
use super::report::{CallSample, LoadReport};
use crate::client::{CallRequest, CallStatus, ClientError};
use crate::commands::call::prompt_body;

/// The placeholder for the call's number in a body or prompt.
const NUMBER_PLACEHOLDER: &str = "%n";

/// The longest time that result collection waits before it refreshes the progress line.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Makes all calls and returns the measurements.
pub async fn run(arguments: &Arguments) -> LoadReport {
    let names = arguments
        .customers
        .iter()
        .map(|customer| customer.name.as_str());
    let mut run = LoadRun {
        arguments,
        start: Instant::now(),
        report: LoadReport::new(names),
        in_flight: 0,
        progress: Progress::new(),
    };
    run.make_all_calls().await;
    run.progress.clear();
    run.report.set_elapsed(run.start.elapsed());
    run.report
}

/// The state of a load run.
struct LoadRun<'a> {
    arguments: &'a Arguments,
    start: Instant,
    report: LoadReport,
    in_flight: usize,
    progress: Progress,
}

/// The data of a call, owned by its task.
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
            if self.in_flight >= self.arguments.most_under_way {
                self.report.record_not_made();
            } else {
                self.start_call(&arrival, due, &sender);
            }
        }
        while self.in_flight > 0 {
            let next_refresh = Instant::now() + REFRESH_INTERVAL;
            self.collect_until(next_refresh, &results).await;
        }
    }

    fn start_call(&mut self, arrival: &Arrival, due: Instant, sender: &Sender<CallSample>) {
        self.report.record_sent(arrival.customer);
        self.in_flight += 1;
        let call = self.build_call(arrival, due);
        let sender = sender.clone();
        smol::spawn(async move {
            let _ = sender.send(call.make().await).await;
        })
        .detach();
    }

    fn build_call(&self, arrival: &Arrival, due: Instant) -> OwnedCall {
        let arguments = self.arguments;
        let router_index = arrival.number % arguments.routers.len() as u64;
        let router = arguments.routers[usize::try_from(router_index).unwrap_or(0)];
        let number = arrival.number.to_string();
        let body = match (&arguments.prompt, &arguments.body) {
            (Some(prompt), _) => {
                let prompt = prompt.replace(NUMBER_PLACEHOLDER, &number);
                prompt_body(&prompt, arrival.max_tokens)
            }
            (None, Some(body)) => body.replace(NUMBER_PLACEHOLDER, &number).into_bytes(),
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

    /// Collects results and refreshes the progress line until the time `until`.
    async fn collect_until(&mut self, until: Instant, results: &Receiver<CallSample>) {
        loop {
            let wait_until = until.min(Instant::now() + REFRESH_INTERVAL);
            let timed_out = async {
                Timer::at(wait_until).await;
                None
            };
            let received = async { results.recv().await.ok() };
            if let Some(result) = received.or(timed_out).await {
                self.in_flight -= 1;
                self.report.record_result(&result);
            }
            self.progress.show(&self.report, self.in_flight);
            if Instant::now() >= until {
                return;
            }
        }
    }
}

impl OwnedCall {
    async fn make(self) -> CallSample {
        let request = CallRequest {
            key: &self.key,
            operation: &self.operation,
            idempotency_key: self.idempotency_key,
            deadline_ms: self.deadline_ms,
            body: self.body.clone(),
            timeout_ms: self.timeout_ms,
        };
        let mut first_byte = None;
        let mut sink = |_: &[u8]| {
            first_byte.get_or_insert_with(|| self.due.elapsed());
        };
        let status = request.send(self.router, &mut sink).await;
        let (outcome, reason) = outcome_and_reason(status);
        CallSample {
            customer: self.customer,
            outcome,
            reason,
            first_byte,
            total_time: self.due.elapsed(),
        }
    }
}

fn outcome_and_reason(status: Result<CallStatus, ClientError>) -> (Option<Outcome>, String) {
    match status {
        Ok(CallStatus::Completed(response)) => {
            let reason = response.problem.map(|problem| problem.reason);
            (Some(response.outcome), reason.unwrap_or_default())
        }
        Ok(CallStatus::Interrupted(_)) => (Some(Outcome::Unknown), "broken-off".to_owned()),
        Err(ClientError::NotReachable { .. }) => (None, "not-connected".to_owned()),
        Err(ClientError::TimedOut { .. }) => (Some(Outcome::Unknown), "timed-out".to_owned()),
        Err(ClientError::ConnectionLost { .. }) => {
            (Some(Outcome::Unknown), "connection-lost".to_owned())
        }
    }
}
