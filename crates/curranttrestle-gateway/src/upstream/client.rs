//! An HTTP client that reads whole responses, such as those of the platform's store.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response};
use thiserror::Error;

use super::connection::{ConnectError, Connection, SendError, SocketOptions};
use crate::executor::TaskQueue;
use crate::timer::with_timeout;

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 8 * 1_048_576;

/// Why a call has no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be opened.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection failed during the call.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The response ended early or is too long.
    #[error("response incomplete or too long: {0}")]
    Body(String),
    /// No response arrived in time.
    #[error("timed out after {0} ms")]
    Timeout(u64),
}

/// Makes calls, each over a new connection: an open one may have gone silent, which only the timeout
/// of a call would show.
#[derive(Clone, Debug)]
pub struct HttpClient {
    executor: TaskQueue,
    options: HttpClientOptions,
}

/// Timeouts of the connections of an [`HttpClient`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpClientOptions {
    /// Timeout for connecting.
    pub connect_timeout_ms: u64,
    /// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub tcp_user_timeout_ms: u32,
}

impl HttpClient {
    /// Creates a client whose connections run on `executor`.
    #[must_use]
    pub fn new(executor: TaskQueue, options: HttpClientOptions) -> Self {
        Self { executor, options }
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// [`CallError`]. Except after [`CallError::Connect`], the call may have taken effect.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Response<Bytes>, CallError> {
        let HttpClientOptions {
            connect_timeout_ms,
            tcp_user_timeout_ms,
        } = self.options;
        let exchange = async {
            let options = SocketOptions {
                tcp_user_timeout_ms,
                receive_buffer_bytes: None,
            };
            let opening = Connection::open(&self.executor, address, connect_timeout_ms, options);
            let mut connection = opening.await?;
            let response = connection.send(request).await?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES);
            let body = body.collect().await;
            let body = body.map_err(|error| CallError::Body(error.to_string()))?;
            Ok(Response::from_parts(parts, body.to_bytes()))
        };
        let completed = with_timeout(timeout_ms, exchange).await;
        completed.unwrap_or(Err(CallError::Timeout(timeout_ms)))
    }
}
