//! The HTTP client for the platform's object API.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use serde::Deserialize;
use serde::de::DeserializeOwned;
use trillium_client::{Client, Conn, KnownHeaderName, Status, Url};

use super::body::read_to_end;
use super::http_client::{SendError, pooled_client, send, unpooled_client, url, with_timeout};
use crate::protocol::platform::{Expected, Object, StoreCall, StoreResponse, Version};

/// The maximum length of a response body in bytes. A longer response counts as lost.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// Settings of a [`PlatformClient`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformClientOptions {
    /// The address of the platform.
    pub address: SocketAddr,
    /// The timeout for opening a connection.
    pub connect_timeout_ms: u64,
    /// The timeout for a call other than a watch.
    pub timeout_ms: u64,
    /// The timeout for a watch. It must exceed the time after which the platform ends a watch.
    pub watch_timeout_ms: u64,
}

impl Default for PlatformClientOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            connect_timeout_ms: 1_000,
            timeout_ms: 2_000,
            watch_timeout_ms: 15_000,
        }
    }
}

/// Makes calls to the platform's object API. It never retries a call.
///
/// ```no_run
/// use curranttrestle::protocol::platform::StoreCall;
/// use curranttrestle::transport::platform::{PlatformClient, PlatformClientOptions};
///
/// let client = PlatformClient::new(PlatformClientOptions {
///     address: "127.0.0.1:7000".parse().unwrap(),
///     ..PlatformClientOptions::default()
/// });
/// let response = smol::block_on(client.call(&StoreCall::Instances));
/// println!("{response:?}");
/// ```
#[derive(Debug)]
pub struct PlatformClient {
    options: PlatformClientOptions,
    /// Reuses connections, except for watches. Replaced after a failure.
    call_client: Mutex<Client>,
    /// Opens a new connection for each watch.
    watch_client: Client,
}

impl PlatformClient {
    /// Creates a client. Connections are opened on demand.
    #[must_use]
    pub fn new(options: PlatformClientOptions) -> Self {
        Self {
            options,
            call_client: Mutex::new(pooled_client(options.connect_timeout_ms)),
            watch_client: unpooled_client(options.connect_timeout_ms),
        }
    }

    /// Makes one call and returns its response.
    ///
    /// [`StoreResponse::Unavailable`] means that the call had no effect: no connection was
    /// established, or the platform responded 503 or 429. Any other failure is
    /// [`StoreResponse::Lost`].
    pub async fn call(&self, call: &StoreCall) -> StoreResponse {
        let timeout_ms = match call {
            StoreCall::Watch { .. } => self.options.watch_timeout_ms,
            _ => self.options.timeout_ms,
        };
        self.call_within(timeout_ms, call).await
    }

    /// Makes one call like [`Self::call`], but with the given timeout.
    pub async fn call_within(&self, timeout_ms: u64, call: &StoreCall) -> StoreResponse {
        let conn = self.request(call);
        let exchange = exchange(conn, timeout_ms);
        let Some(response) = with_timeout(timeout_ms, exchange).await else {
            self.replace_pool();
            return StoreResponse::Lost;
        };
        match response {
            Ok(response) => interpret(call, &response),
            Err(SendError::NotConnected) => StoreResponse::Unavailable,
            Err(SendError::ConnectionLost | SendError::TimedOut) => {
                self.replace_pool();
                StoreResponse::Lost
            }
        }
    }

    /// Replaces the connection pool after a connection in it failed or timed out.
    fn replace_pool(&self) {
        let mut client = self
            .call_client
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *client = pooled_client(self.options.connect_timeout_ms);
    }

    fn request(&self, call: &StoreCall) -> Conn {
        if let StoreCall::Watch { name, after } = call {
            let mut url = self.url(&["objects", name]);
            url.query_pairs_mut()
                .append_pair("after", &after.0.to_string());
            return self.watch_client.get(url);
        }
        let client = self
            .call_client
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        self.pooled_request(&client, call)
    }

    fn pooled_request(&self, client: &Client, call: &StoreCall) -> Conn {
        match call {
            StoreCall::Read { name } | StoreCall::Watch { name, .. } => {
                client.get(self.url(&["objects", name]))
            }
            StoreCall::Update {
                name,
                expected,
                value,
            } => with_condition(client.put(self.url(&["objects", name])), *expected)
                .with_body(value.clone()),
            StoreCall::List { prefix } => {
                let mut url = self.url(&["objects"]);
                url.query_pairs_mut().append_pair("prefix", prefix);
                client.get(url)
            }
            StoreCall::Delete { name } => client.delete(self.url(&["objects", name])),
            StoreCall::Instances => client.get(self.url(&["instances"])),
        }
    }

    fn url(&self, segments: &[&str]) -> Url {
        url(self.options.address, segments)
    }
}

/// The status and body of a response.
struct Response {
    status: Option<Status>,
    body: Vec<u8>,
}

/// The response body of an update or a removal.
#[derive(Deserialize)]
struct UpdateResponse {
    version: Version,
}

fn with_condition(conn: Conn, expected: Expected) -> Conn {
    match expected {
        Expected::Absent => conn.with_request_header(KnownHeaderName::IfNoneMatch, "*"),
        Expected::Version(version) => {
            conn.with_request_header(KnownHeaderName::IfMatch, version.0.to_string())
        }
    }
}

async fn exchange(conn: Conn, timeout_ms: u64) -> Result<Response, SendError> {
    let mut conn = send(conn, timeout_ms).await?;
    let status = conn.status();
    let body = read_to_end(conn.response_body(), MAX_RESPONSE_BYTES)
        .await
        .map_err(|_| SendError::ConnectionLost)?;
    Ok(Response { status, body })
}

fn interpret(call: &StoreCall, response: &Response) -> StoreResponse {
    match response.status {
        Some(Status::Ok) => parse(call, &response.body).unwrap_or(StoreResponse::Lost),
        Some(Status::NotFound | Status::NoContent) => StoreResponse::Absent,
        Some(Status::PreconditionFailed) => StoreResponse::Conflict,
        Some(Status::ServiceUnavailable | Status::TooManyRequests) => StoreResponse::Unavailable,
        _ => StoreResponse::Lost,
    }
}

fn parse(call: &StoreCall, body: &[u8]) -> Option<StoreResponse> {
    match call {
        StoreCall::Read { .. } | StoreCall::Watch { .. } => {
            json::<Object>(body).map(StoreResponse::Found)
        }
        StoreCall::Update { .. } | StoreCall::Delete { .. } => {
            json::<UpdateResponse>(body).map(|update| StoreResponse::Updated(update.version))
        }
        StoreCall::List { .. } => json(body).map(StoreResponse::Names),
        StoreCall::Instances => json(body).map(StoreResponse::Instances),
    }
}

fn json<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}
