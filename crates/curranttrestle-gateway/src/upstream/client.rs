//! An HTTP client that reads whole responses, such as those of the platform's store.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use thiserror::Error;

use super::connection::{ConnectError, SendError};
use super::pool::Pool;
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

/// Makes calls over pooled connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pool: Rc<Pool>,
}

impl HttpClient {
    /// Creates a client that uses `pool`.
    #[must_use]
    pub fn new(pool: Rc<Pool>) -> Self {
        Self { pool }
    }

    /// Sends a request and reads the whole response. Returns its status and body.
    ///
    /// # Errors
    ///
    /// [`CallError`]. Except after [`CallError::Connect`], the call may have taken effect.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<(u16, Bytes), CallError> {
        let exchange = self.exchange(address, request, timeout_ms);
        let completed = with_timeout(timeout_ms, exchange).await;
        completed.unwrap_or(Err(CallError::Timeout(timeout_ms)))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<(u16, Bytes), CallError> {
        let mut pooled = self.pool.take(address, u64::MAX);
        loop {
            let mut connection = match pooled.take() {
                Some(connection) => connection,
                None => self.pool.open(address, timeout_ms).await?,
            };
            let response = match connection.send(request).await {
                Ok(response) => response,
                // The connection was closed before anything was sent; open a new one.
                Err(SendError::NotSent(unsent)) => {
                    request = *unsent;
                    pooled = None;
                    continue;
                }
                Err(error) => return Err(error.into()),
            };
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            let body = body.collect().await;
            let body = body.map_err(|error| CallError::Body(error.to_string()))?;
            self.pool.put_back(connection, usize::MAX);
            return Ok((status, body.to_bytes()));
        }
    }
}
