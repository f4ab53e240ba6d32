//! Calls whose answers are read whole, such as those to the platform's store.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use thiserror::Error;

use super::connection::{ConnectError, SendError};
use super::pool::Pool;
use crate::timer::within;

/// The longest answer that is read.
const MAX_ANSWER_BYTES: usize = 8 * 1_048_576;

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection failed on the way.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The answer broke off or is too long.
    #[error("the answer cannot be read: {0}")]
    Answer(String),
    /// No answer came in time.
    #[error("no answer within {0} ms")]
    Timeout(u64),
}

/// Makes calls over kept connections.
#[derive(Clone, Debug)]
pub struct HttpCaller {
    pool: Rc<Pool>,
}

impl HttpCaller {
    /// A caller that shares `pool`.
    #[must_use]
    pub fn new(pool: Rc<Pool>) -> Self {
        Self { pool }
    }

    /// Sends a request and reads the whole answer: its status and body.
    ///
    /// # Errors
    ///
    /// [`CallError`]; the call may have had its effect.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<(u16, Bytes), CallError> {
        let exchange = self.exchange(address, request, timeout_ms);
        let in_time = within(timeout_ms, exchange).await;
        in_time.unwrap_or(Err(CallError::Timeout(timeout_ms)))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<(u16, Bytes), CallError> {
        let mut kept = self.pool.take(address, u64::MAX);
        loop {
            let mut connection = match kept.take() {
                Some(connection) => connection,
                None => self.pool.open(address, timeout_ms).await?,
            };
            let response = match connection.send(request).await {
                Ok(response) => response,
                // The kept connection had been closed; nothing was sent.
                Err(SendError::NotSent(unsent)) => {
                    request = *unsent;
                    kept = None;
                    continue;
                }
                Err(error) => return Err(error.into()),
            };
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let body = body.collect().await;
            let body = body.map_err(|error| CallError::Answer(error.to_string()))?;
            self.pool.put_back(connection, usize::MAX);
            return Ok((status, body.to_bytes()));
        }
    }
}
