//! Client for a router's operators' listener.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranttrestle::transport::http_client::with_timeout;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol::Timer;
use trillium_client::{Conn, KnownHeaderName};
use uuid::Uuid;

use super::{ClientError, send, unpooled_client};
use crate::error::CliError;

/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// The request header that names the operator.
const OPERATOR_HEADER: &str = "Operator";

/// The request header that carries the ID of a submission.
const SUBMISSION_ID_HEADER: &str = "Attempt-Id";

/// The interval between two status requests to the same router.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The fields of a router's status that commands use.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RouterStatus {
    /// The instance name.
    pub instance: String,
    /// The data centre of the instance.
    pub data_centre: String,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The number of the sheet in force; zero if there is none.
    pub sheet_number: u64,
    /// The version of the marks in force; zero if there are none.
    pub marks_version: u64,
    /// The other routers in its membership view.
    pub members: Vec<MemberStatus>,
    /// Its non-empty queues.
    pub queues: Vec<QueueStatus>,
    /// The number of requests it is processing.
    pub active_requests: u64,
    /// The number of running attempts.
    pub running_attempts: u64,
    /// The number of invariant violations.
    pub invariant_violations: u64,
}

/// A router as seen by another router.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberStatus {
    /// The instance name.
    pub instance: String,
    /// The membership status, such as `alive`.
    pub status: String,
}

/// The queue of one customer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct QueueStatus {
    /// The number of waiting requests.
    pub waiting: u64,
}

/// The response of a router to an operator request.
#[derive(Clone, Debug)]
pub struct OperatorResponse {
    /// The router's address.
    pub address: SocketAddr,
    /// The HTTP status.
    pub status: u16,
    /// The response body.
    pub body: Vec<u8>,
}

impl OperatorResponse {
    /// Parses the body if the status is 200; otherwise returns the response as an error.
    pub fn parse_success<T: DeserializeOwned>(&self) -> Result<T, CliError> {
        if self.status != 200 {
            return Err(self.to_error());
        }
        self.parse_body()
            .ok_or_else(|| CliError::Failed(format!("{}: invalid response body", self.address)))
    }

    /// Parses the body regardless of the status.
    pub fn parse_body<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns the response as an error.
    pub fn to_error(&self) -> CliError {
        let text = String::from_utf8_lossy(&self.body);
        let text = text.trim();
        CliError::Failed(format!("{}: status {}: {text}", self.address, self.status))
    }
}

/// A client for the operators' listener of one router.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// The address of the operators' listener.
    pub address: SocketAddr,
    /// The operators' token.
    pub token: String,
    /// The name under which changes are recorded.
    pub operator_name: String,
    /// The default timeout of a request.
    pub timeout_ms: u64,
}

impl OperatorClient {
    /// Sends a GET request to `path`.
    pub async fn get(&self, path: &str) -> Result<OperatorResponse, ClientError> {
        let url = format!("http://{}{path}", self.address);
        self.send_request(unpooled_client().get(url.as_str()), self.timeout_ms)
            .await
    }

    /// Sends a POST request with `body` to `path`, with `timeout_ms` instead of the default.
    pub async fn post(
        &self,
        path: &str,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<OperatorResponse, ClientError> {
        let url = format!("http://{}{path}", self.address);
        let conn = unpooled_client().post(url.as_str()).with_body(body);
        self.send_request(conn, timeout_ms).await
    }

    /// Submits a sheet. Routers recognise a retry by its `submission_id`.
    pub async fn submit(
        &self,
        sheet: Vec<u8>,
        submission_id: Uuid,
        timeout_ms: u64,
    ) -> Result<OperatorResponse, ClientError> {
        let url = format!("http://{}/v1/sheets", self.address);
        let conn = unpooled_client()
            .post(url.as_str())
            .with_request_header(SUBMISSION_ID_HEADER, submission_id.to_string())
            .with_body(sheet);
        self.send_request(conn, timeout_ms).await
    }

    /// Fetches the status of the router.
    pub async fn status(&self) -> Result<RouterStatus, CliError> {
        self.get_value("/v1/status").await
    }

    /// Sends a GET request to `path` and parses the response body.
    pub async fn get_value<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let response = self.get(path).await;
        let response = response.map_err(|error| CliError::NotReachable(error.to_string()))?;
        response.parse_success()
    }

    async fn send_request(
        &self,
        conn: Conn,
        timeout_ms: u64,
    ) -> Result<OperatorResponse, ClientError> {
        let conn = conn
            .with_request_header(
                KnownHeaderName::Authorization,
                format!("Bearer {}", self.token),
            )
            .with_request_header(OPERATOR_HEADER, self.operator_name.clone());
        let address = self.address;
        let mut conn = send(conn, address, timeout_ms).await?;
        let status = conn.status().map_or(0, |status| status as u16);
        let body = conn.response_body().with_max_len(MAX_RESPONSE_BYTES);
        let body = with_timeout(timeout_ms, body.read_bytes()).await;
        let body = body.ok_or(ClientError::TimedOut {
            address,
            timeout_ms,
        })?;
        let body = body.map_err(|error| ClientError::ConnectionLost {
            address,
            reason: error.to_string(),
        })?;
        Ok(OperatorResponse {
            address,
            status,
            body,
        })
    }
}

/// Queries all routers concurrently and returns their responses in the same order.
pub async fn query_all<'a, T, Query, QueryFuture>(
    clients: &'a [OperatorClient],
    query: Query,
) -> Vec<Result<T, CliError>>
where
    Query: Fn(&'a OperatorClient) -> QueryFuture,
    QueryFuture: Future<Output = Result<T, CliError>> + 'a,
{
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = clients
        .iter()
        .map(|client| executor.spawn(query(client)))
        .collect();
    let responses = async {
        let mut responses = Vec::with_capacity(tasks.len());
        for task in tasks {
            responses.push(task.await);
        }
        responses
    };
    executor.run(responses).await
}

/// Queries the routers one by one and returns the first response. The request must be
/// idempotent, because it is sent to the next router even if it may have reached the previous
/// one. If no router responds, an error after which the request may have arrived takes
/// precedence over one after which it cannot have.
pub async fn first_response<'a, Query, QueryFuture>(
    clients: &'a [OperatorClient],
    query: Query,
) -> Result<OperatorResponse, ClientError>
where
    Query: Fn(&'a OperatorClient) -> QueryFuture,
    QueryFuture: Future<Output = Result<OperatorResponse, ClientError>>,
{
    // Returned only if `clients` is empty.
    let mut failure = ClientError::NotReachable {
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
    };
    for client in clients {
        match query(client).await {
            Ok(response) => return Ok(response),
            Err(error) if error.may_have_arrived() || !failure.may_have_arrived() => {
                failure = error;
            }
            Err(_) => {}
        }
    }
    Err(failure)
}

/// Polls the status of all routers until `is_done` holds for each or `wait_ms` have passed.
pub async fn poll_until(
    clients: &[OperatorClient],
    wait_ms: u64,
    is_done: impl Fn(&RouterStatus) -> bool,
) -> Vec<Result<RouterStatus, CliError>> {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let statuses = query_all(clients, OperatorClient::status).await;
        let all_done = statuses
            .iter()
            .all(|status| status.as_ref().is_ok_and(&is_done));
        if all_done || Instant::now() >= deadline {
            return statuses;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
