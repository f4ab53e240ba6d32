//! HTTP clients for the routers' listeners.

mod caller;
mod events;
mod operator;
mod response;

use std::net::SocketAddr;

use curranttrestle::transport::http_client::{self, SendError};
use thiserror::Error;
use trillium_client::{Client, Conn};

pub use caller::{CallRequest, CallStatus, InterruptedStream};
pub use operator::{
    OperatorClient, OperatorResponse, RouterStatus, first_response, poll_until, query_all,
};
pub use response::{CallResponse, Problem};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT_MS: u64 = 2_000;

/// Why a request got no response.
#[derive(Clone, Debug, Error)]
pub enum ClientError {
    /// No connection was made, so nothing was sent.
    #[error("{address}: cannot connect")]
    NotReachable {
        /// The router's address.
        address: SocketAddr,
    },
    /// The response did not arrive in time.
    #[error("{address}: no response within {timeout_ms} ms")]
    TimedOut {
        /// The router's address.
        address: SocketAddr,
        /// The timeout that passed.
        timeout_ms: u64,
    },
    /// The connection was lost after the request may have been sent.
    #[error("{address}: {reason}")]
    ConnectionLost {
        /// The router's address.
        address: SocketAddr,
        /// Why the connection was lost.
        reason: String,
    },
}

impl ClientError {
    /// Returns whether the request may have reached the router.
    #[must_use]
    pub fn may_have_arrived(&self) -> bool {
        match self {
            Self::NotReachable { .. } => false,
            Self::TimedOut { .. } | Self::ConnectionLost { .. } => true,
        }
    }
}

/// Returns a client that opens a new connection for each request and never retries.
fn unpooled_client() -> Client {
    http_client::fresh_connections(CONNECT_TIMEOUT_MS)
}

/// Sends a request and waits for the response head.
async fn send(conn: Conn, address: SocketAddr, timeout_ms: u64) -> Result<Conn, ClientError> {
    let result = http_client::send(conn, timeout_ms).await;
    result.map_err(|error| match error {
        SendError::NotSent => ClientError::NotReachable { address },
        SendError::TimedOut => ClientError::TimedOut {
            address,
            timeout_ms,
        },
        SendError::ConnectionLost => ClientError::ConnectionLost {
            address,
            reason: "the connection was lost".to_owned(),
        },
    })
}
