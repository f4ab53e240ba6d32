//! HTTP clients of the routers' listeners.

mod answer;
mod caller;
mod events;
mod operator;

use std::net::SocketAddr;

use curranttrestle::transport::http_client::{self, SendError};
use thiserror::Error;
use trillium_client::{Client, Conn};

pub use answer::{Answer, Problem};
pub use caller::{CallRequest, Called, Interrupted};
pub use operator::{OperatorClient, Reply, RouterStatus, ask_all, first_reply, poll_until};

/// How long opening a connection may take.
const CONNECT_TIMEOUT_MS: u64 = 2_000;

/// Why an exchange gave no answer.
#[derive(Clone, Debug, Error)]
pub enum ClientError {
    /// No connection was made, so nothing was sent.
    #[error("{address}: cannot connect")]
    NotReachable {
        /// Where.
        address: SocketAddr,
    },
    /// No answer came in time.
    #[error("{address}: no answer within {timeout_ms} ms")]
    TimedOut {
        /// Where.
        address: SocketAddr,
        /// How long it was waited for.
        timeout_ms: u64,
    },
    /// The connection broke after the request may have been sent.
    #[error("{address}: {reason}")]
    Broken {
        /// Where.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
}

impl ClientError {
    /// Whether the request may have reached the router.
    #[must_use]
    pub fn may_have_arrived(&self) -> bool {
        match self {
            Self::NotReachable { .. } => false,
            Self::TimedOut { .. } | Self::Broken { .. } => true,
        }
    }
}

/// A client that opens a connection for each request and repeats none.
fn http() -> Client {
    http_client::unpooled_client(CONNECT_TIMEOUT_MS)
}

/// Sends a request and waits for the head of the answer.
async fn send(conn: Conn, address: SocketAddr, timeout_ms: u64) -> Result<Conn, ClientError> {
    let sent = http_client::send(conn, timeout_ms).await;
    sent.map_err(|error| match error {
        SendError::NotConnected => ClientError::NotReachable { address },
        SendError::TimedOut => ClientError::TimedOut {
            address,
            timeout_ms,
        },
        SendError::ConnectionLost => ClientError::Broken {
            address,
            reason: "the connection was lost".to_owned(),
        },
    })
}
