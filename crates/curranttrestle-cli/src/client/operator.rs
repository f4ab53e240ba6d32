//! The client of a router's operators' listener.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranttrestle::transport::http_client::with_timeout;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol::Timer;
use trillium_client::{Conn, KnownHeaderName};
use uuid::Uuid;

use super::{ClientError, http, send};
use crate::error::CliError;

/// The longest answer that is read.
const LONGEST_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// The request header that names the operator.
const OPERATOR_HEADER: &str = "Operator";

/// The request header with the identifier of a submission.
const ATTEMPT_HEADER: &str = "Attempt-Id";

/// The time between two questions to the same router.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What commands need to know of a router's state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RouterStatus {
    /// Its instance.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// The number of the sheet in force; zero for none.
    pub sheet_number: u64,
    /// The version of the marks in force; zero for none.
    pub marks_version: u64,
    /// The other routers it knows.
    pub members: Vec<MemberStatus>,
    /// Its queues that are not empty.
    pub queues: Vec<QueueStatus>,
    /// Requests it works on.
    pub active_requests: u64,
    /// Attempts that run.
    pub running_attempts: u64,
    /// Violated invariants.
    pub invariant_violations: u64,
}

/// A router as another one sees it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// Its instance.
    pub instance: String,
    /// What is believed of it.
    pub status: String,
}

/// A queue of one customer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct QueueStatus {
    /// How many requests wait.
    pub waiting: u64,
}

/// An answer of a router.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Who answered.
    pub address: SocketAddr,
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// The body as a value, when the status is 200.
    pub fn value<T: DeserializeOwned>(&self) -> Result<T, CliError> {
        if self.status != 200 {
            return Err(self.refusal());
        }
        self.json()
            .ok_or_else(|| CliError::Failed(format!("{}: the answer makes no sense", self.address)))
    }

    /// The body as a value.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }

    /// The answer as an error.
    pub fn refusal(&self) -> CliError {
        let text = String::from_utf8_lossy(&self.body);
        let text = text.trim();
        CliError::Failed(format!("{}: status {}: {text}", self.address, self.status))
    }
}

/// Access to one router.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// Its operators' listener.
    pub address: SocketAddr,
    /// The operators' token.
    pub token: String,
    /// The name under which changes are recorded.
    pub operator_name: String,
    /// How long an answer may take.
    pub timeout_ms: u64,
}

impl OperatorClient {
    /// Asks for `path`.
    pub async fn get(&self, path: &str) -> Result<Reply, ClientError> {
        let url = format!("http://{}{path}", self.address);
        self.exchange(http().get(url.as_str()), self.timeout_ms)
            .await
    }

    /// Sends `body` to `path` and waits up to `timeout_ms`.
    pub async fn post(
        &self,
        path: &str,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<Reply, ClientError> {
        let url = format!("http://{}{path}", self.address);
        let conn = http().post(url.as_str()).with_body(body);
        self.exchange(conn, timeout_ms).await
    }

    /// Submits a sheet under an identifier by which routers know a repeat.
    pub async fn submit(
        &self,
        sheet: Vec<u8>,
        attempt: Uuid,
        timeout_ms: u64,
    ) -> Result<Reply, ClientError> {
        let url = format!("http://{}/v1/sheets", self.address);
        let conn = http()
            .post(url.as_str())
            .with_request_header(ATTEMPT_HEADER, attempt.to_string())
            .with_body(sheet);
        self.exchange(conn, timeout_ms).await
    }

    /// The state of the router.
    pub async fn status(&self) -> Result<RouterStatus, CliError> {
        self.read("/v1/status").await
    }

    /// Reads the value at `path`.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let reply = self.get(path).await;
        let reply = reply.map_err(|error| CliError::NotReachable(error.to_string()))?;
        reply.value()
    }

    async fn exchange(&self, conn: Conn, timeout_ms: u64) -> Result<Reply, ClientError> {
        let conn = conn
            .with_request_header(
                KnownHeaderName::Authorization,
                format!("Bearer {}", self.token),
            )
            .with_request_header(OPERATOR_HEADER, self.operator_name.clone());
        let address = self.address;
        let mut conn = send(conn, address, timeout_ms).await?;
        let status = conn.status().map_or(0, |status| status as u16);
        let body = conn.response_body().with_max_len(LONGEST_ANSWER_BYTES);
        let body = with_timeout(timeout_ms, body.read_bytes()).await;
        let body = body.ok_or(ClientError::TimedOut {
            address,
            timeout_ms,
        })?;
        let body = body.map_err(|error| ClientError::Broken {
            address,
            reason: error.to_string(),
        })?;
        Ok(Reply {
            address,
            status,
            body,
        })
    }
}

/// Asks all routers at once and returns their answers in the same order.
pub async fn ask_all<'a, T, Ask, Asked>(
    clients: &'a [OperatorClient],
    ask: Ask,
) -> Vec<Result<T, CliError>>
where
    Ask: Fn(&'a OperatorClient) -> Asked,
    Asked: Future<Output = Result<T, CliError>> + 'a,
{
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = clients
        .iter()
        .map(|client| executor.spawn(ask(client)))
        .collect();
    let answers = async {
        let mut answers = Vec::with_capacity(tasks.len());
        for task in tasks {
            answers.push(task.await);
        }
        answers
    };
    executor.run(answers).await
}

/// The answer of the first router that gives one. The request must be harmless to repeat,
/// because one that may have arrived is sent to the next router. Without an answer, the
/// error of a router that the request may have reached goes before that of one that it did
/// not reach.
pub async fn first_reply<'a, Ask, Asked>(
    clients: &'a [OperatorClient],
    ask: Ask,
) -> Result<Reply, ClientError>
where
    Ask: Fn(&'a OperatorClient) -> Asked,
    Asked: Future<Output = Result<Reply, ClientError>>,
{
    let mut failure = ClientError::NotReachable {
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
    };
    for client in clients {
        match ask(client).await {
            Ok(reply) => return Ok(reply),
            Err(error) if error.may_have_arrived() || !failure.may_have_arrived() => {
                failure = error;
            }
            Err(_) => {}
        }
    }
    Err(failure)
}

/// Asks all routers for their state until `is_done` holds of each or `wait_ms` have passed.
pub async fn poll_until(
    clients: &[OperatorClient],
    wait_ms: u64,
    is_done: impl Fn(&RouterStatus) -> bool,
) -> Vec<Result<RouterStatus, CliError>> {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let statuses = ask_all(clients, OperatorClient::status).await;
        let all_done = statuses
            .iter()
            .all(|status| status.as_ref().is_ok_and(&is_done));
        if all_done || Instant::now() >= deadline {
            return statuses;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
