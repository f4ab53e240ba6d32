//! The HTTP client for model engines and plain services.
//!
//! Each request uses a new connection and is sent once. This module never retries.

use std::net::SocketAddr;

use serde::Serialize;
use serde::de::DeserializeOwned;
use trillium_client::{Client, Conn, KnownHeaderName, Status};

use super::body::read_to_end;
use super::frames::{FrameStream, FrameTimeouts};
use super::http_client::{SendError, send, unpooled_client, url, with_timeout};
use crate::protocol::endpoint::{
    ATTEMPT_HEADER, CacheEvent, IDEMPOTENCY_KEY_HEADER, LoadReport, Order, OrderResponse, StreamId,
    StreamRequest,
};
use crate::protocol::outcome::{OUTCOME_HEADER, Outcome};
use crate::state::AttemptId;

/// The reason for which an attempt returned no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// The attempt provably did not run.
    #[error("the attempt did not run: {reason}")]
    NotRun {
        /// The reason for which it is certain that the attempt did not run.
        reason: NotRunReason,
    },
    /// The request may have been sent, but no complete response was received.
    #[error("the attempt was interrupted after {offset} bytes: {cause}")]
    Interrupted {
        /// The number of bytes delivered from the beginning of the response.
        offset: u64,
        /// The cause of the interruption.
        cause: InterruptCause,
    },
}

/// The reason for which it is certain that an attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotRunReason {
    /// No connection was established, so nothing was sent.
    #[error("no connection to the endpoint")]
    Unreachable,
    /// The endpoint reported that it refused the request before running it.
    #[error("refused by the endpoint")]
    Refused,
}

/// The cause of the interruption of an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InterruptCause {
    /// The connection was lost, or the response body was longer than
    /// [`EndpointClientOptions::max_response_bytes`].
    #[error("the connection was lost")]
    ConnectionLost,
    /// Nothing was received before the timeout.
    #[error("nothing was received before the timeout")]
    TimedOut,
    /// The stream ended before the response was complete.
    #[error("the stream ended before the response was complete")]
    IncompleteStream,
    /// Bytes of the response are missing.
    #[error("bytes of the response are missing")]
    Gap,
    /// The endpoint sent data that cannot be parsed.
    #[error("the response is malformed")]
    Malformed,
    /// The endpoint responded with status 404. For a stream, the engine no longer has it.
    #[error("the endpoint does not have the requested stream or path (status 404)")]
    NotFound,
    /// The endpoint responded with this unexpected status.
    #[error("the endpoint responded with status {0}")]
    Status(u16),
}

/// The result of an attempt.
pub type Result<T> = std::result::Result<T, AttemptError>;

/// Settings of an [`EndpointClient`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointClientOptions {
    /// The timeout for opening a connection.
    pub connect_timeout_ms: u64,
    /// The timeout for the response head of a stream, and again for each read until its first
    /// frame.
    pub first_frame_timeout_ms: u64,
    /// The timeout for each read of a stream after its first frame.
    pub idle_timeout_ms: u64,
    /// The timeout for a call to a plain service, including its response body.
    pub service_timeout_ms: u64,
    /// The timeout for a control call: a load report, an order, a cancellation or cache events.
    pub control_timeout_ms: u64,
    /// The maximum length of the response body of a plain service or a control call, in bytes.
    pub max_response_bytes: u64,
}

impl Default for EndpointClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            first_frame_timeout_ms: 5_000,
            idle_timeout_ms: 3_000,
            service_timeout_ms: 30_000,
            control_timeout_ms: 2_000,
            max_response_bytes: 16 * 1024 * 1024,
        }
    }
}

/// A call to a plain service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCall<'a> {
    /// The operation.
    pub operation: &'a str,
    /// The body, forwarded unchanged.
    pub body: &'a [u8],
    /// The attempt ID.
    pub attempt: &'a AttemptId,
    /// The caller's idempotency key, if any.
    pub idempotency_key: Option<&'a str>,
}

/// The response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// Sends requests and orders to endpoints.
///
/// ```no_run
/// use curranttrestle::transport::endpoint::{EndpointClient, EndpointClientOptions};
///
/// let client = EndpointClient::new(EndpointClientOptions::default());
/// let address = "127.0.0.1:7001".parse().unwrap();
/// let report = smol::block_on(client.load(address));
/// println!("{report:?}");
/// ```
#[derive(Debug)]
pub struct EndpointClient {
    options: EndpointClientOptions,
    client: Client,
}

impl EndpointClient {
    /// Creates a client.
    #[must_use]
    pub fn new(options: EndpointClientOptions) -> Self {
        Self {
            options,
            client: unpooled_client(options.connect_timeout_ms),
        }
    }

    /// Starts a stream and returns after the engine has opened it.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError::NotRun`] if the attempt provably did not run, and
    /// [`AttemptError::Interrupted`] for any other failure.
    pub async fn start_stream(
        &self,
        address: SocketAddr,
        request: &StreamRequest,
    ) -> Result<FrameStream> {
        let conn = self.client.post(url(address, &["v1", "streams"]));
        let conn = with_json(conn, request)?;
        self.open_stream(conn, &request.attempt, 0).await
    }

    /// Resumes a stream from a byte offset over a new connection.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::start_stream`]. [`AttemptError::NotRun`] only means that
    /// the stream was not resumed.
    pub async fn resume_stream(
        &self,
        address: SocketAddr,
        stream: &StreamId,
        attempt: &AttemptId,
        offset: u64,
    ) -> Result<FrameStream> {
        let attempt = attempt.to_string();
        let mut url = url(address, &["v1", "streams", &stream.0]);
        url.query_pairs_mut()
            .append_pair("offset", &offset.to_string())
            .append_pair("attempt", &attempt);
        self.open_stream(self.client.get(url), &attempt, offset)
            .await
    }

    async fn open_stream(&self, conn: Conn, attempt: &str, offset: u64) -> Result<FrameStream> {
        let timeout_ms = self.options.first_frame_timeout_ms;
        let conn = send(conn, timeout_ms)
            .await
            .map_err(|error| attempt_error(error, offset))?;
        check_status(&conn, offset)?;
        let timeouts = FrameTimeouts {
            first_frame_ms: timeout_ms,
            idle_ms: self.options.idle_timeout_ms,
        };
        FrameStream::open(conn.into(), attempt, offset, timeouts).await
    }

    /// Cancels a stream. A stream that no longer exists counts as cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream was not cancelled or its state is unknown.
    pub async fn cancel_stream(&self, address: SocketAddr, stream: &StreamId) -> Result<()> {
        let conn = self
            .client
            .delete(url(address, &["v1", "streams", &stream.0]));
        match self.control_call(conn).await {
            Ok(_)
            | Err(AttemptError::Interrupted {
                cause: InterruptCause::NotFound,
                ..
            }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Calls a plain service over a new connection.
    ///
    /// A response with any status is returned as a [`ServiceResponse`], except a refusal stating
    /// that the call did not run.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError::NotRun`] if the call provably did not run, and
    /// [`AttemptError::Interrupted`] if no complete response was received.
    pub async fn call_service(
        &self,
        address: SocketAddr,
        call: ServiceCall<'_>,
    ) -> Result<ServiceResponse> {
        let mut conn = self
            .client
            .post(url(address, &["operations", call.operation]))
            .with_request_header(ATTEMPT_HEADER, call.attempt.to_string())
            .with_body(call.body.to_vec());
        if let Some(key) = call.idempotency_key {
            conn = conn.with_request_header(IDEMPOTENCY_KEY_HEADER, key.to_owned());
        }
        let timeout_ms = self.options.service_timeout_ms;
        with_timeout(timeout_ms, self.exchange_service_call(conn))
            .await
            .unwrap_or(Err(interrupted(InterruptCause::TimedOut)))
    }

    async fn exchange_service_call(&self, conn: Conn) -> Result<ServiceResponse> {
        let timeout_ms = self.options.service_timeout_ms;
        let mut conn = send(conn, timeout_ms)
            .await
            .map_err(|error| attempt_error(error, 0))?;
        if is_not_run(&conn) {
            return Err(refused());
        }
        let status = conn.status().map_or(0, |status| status as u16);
        let content_type = conn
            .response_headers()
            .get_str(KnownHeaderName::ContentType)
            .map(str::to_owned);
        let body = read_body(&mut conn, self.options.max_response_bytes).await?;
        Ok(ServiceResponse {
            status,
            content_type,
            body,
        })
    }

    /// Requests a load report from an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid report was received.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport> {
        let conn = self.client.get(url(address, &["v1", "load"]));
        json(&self.control_call(conn).await?)
    }

    /// Sends an order to an endpoint. If the endpoint refuses it, the refusal is returned as an
    /// [`OrderResponse`].
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError::NotRun`] if the order had no effect, and
    /// [`AttemptError::Interrupted`] if that is unknown.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderResponse> {
        let conn = self.client.post(url(address, &["v1", "orders"]));
        let conn = with_json(conn, order)?;
        json(&self.control_call(conn).await?)
    }

    /// Requests the cache events after a sequence number from a model engine.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response was received.
    pub async fn cache_events(&self, address: SocketAddr, after: u64) -> Result<Vec<CacheEvent>> {
        let mut url = url(address, &["v1", "events"]);
        url.query_pairs_mut()
            .append_pair("after", &after.to_string());
        json(&self.control_call(self.client.get(url)).await?)
    }

    /// Makes a control call and returns the response body.
    async fn control_call(&self, conn: Conn) -> Result<Vec<u8>> {
        let timeout_ms = self.options.control_timeout_ms;
        let exchange = async {
            let mut conn = send(conn, timeout_ms)
                .await
                .map_err(|error| attempt_error(error, 0))?;
            check_status(&conn, 0)?;
            read_body(&mut conn, self.options.max_response_bytes).await
        };
        with_timeout(timeout_ms, exchange)
            .await
            .unwrap_or(Err(interrupted(InterruptCause::TimedOut)))
    }
}

fn interrupted(cause: InterruptCause) -> AttemptError {
    AttemptError::Interrupted { offset: 0, cause }
}

fn refused() -> AttemptError {
    AttemptError::NotRun {
        reason: NotRunReason::Refused,
    }
}

fn attempt_error(error: SendError, offset: u64) -> AttemptError {
    let cause = match error {
        SendError::NotConnected => {
            return AttemptError::NotRun {
                reason: NotRunReason::Unreachable,
            };
        }
        SendError::ConnectionLost => InterruptCause::ConnectionLost,
        SendError::TimedOut => InterruptCause::TimedOut,
    };
    AttemptError::Interrupted { offset, cause }
}

fn is_not_run(conn: &Conn) -> bool {
    let outcome = conn.response_headers().get_str(OUTCOME_HEADER);
    conn.status() == Some(Status::ServiceUnavailable) && outcome == Some(Outcome::NotRun.as_str())
}

fn check_status(conn: &Conn, offset: u64) -> Result<()> {
    if is_not_run(conn) {
        return Err(refused());
    }
    let cause = match conn.status() {
        Some(status) if status.is_success() => return Ok(()),
        Some(Status::NotFound) => InterruptCause::NotFound,
        Some(status) => InterruptCause::Status(status as u16),
        None => InterruptCause::Malformed,
    };
    Err(AttemptError::Interrupted { offset, cause })
}

async fn read_body(conn: &mut Conn, max_bytes: u64) -> Result<Vec<u8>> {
    read_to_end(conn.response_body(), max_bytes)
        .await
        .map_err(|_| interrupted(InterruptCause::ConnectionLost))
}

/// Adds a JSON body. A message that cannot be encoded is not sent, which counts as not run.
fn with_json(conn: Conn, message: &impl Serialize) -> Result<Conn> {
    let body = serde_json::to_string(message).map_err(|_| AttemptError::NotRun {
        reason: NotRunReason::Unreachable,
    })?;
    Ok(conn
        .with_request_header(KnownHeaderName::ContentType, "application/json")
        .with_body(body))
}

fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|_| interrupted(InterruptCause::Malformed))
}
