//! HTTP clients of the routers' listeners.

mod answer;
mod caller;
mod events;
mod operator;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use smol::Timer;
use smol::future::FutureExt;
use thiserror::Error;
use trillium_client::{Client, Conn, Error};
use trillium_smol::ClientConfig;

pub use answer::{Answer, Problem};
pub use caller::{CallRequest, Called, Interrupted};
pub use operator::{OperatorClient, Reply, RouterStatus, ask_all, first_reply, poll_until};

/// Why an exchange gave no answer.
#[derive(Clone, Debug, Error)]
pub enum ClientError {
    /// No connection was made, so nothing was sent.
    #[error("{address}: {reason}")]
    NotReachable {
        /// Where.
        address: SocketAddr,
        /// Why.
        reason: String,
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

/// A client that opens a connection for each request and repeats none.
fn http() -> Client {
    Client::new(ClientConfig::new().with_nodelay(true))
}

/// Sends a request and waits for the head of the answer.
async fn send(conn: Conn, address: SocketAddr, timeout_ms: u64) -> Result<Conn, ClientError> {
    let sent = within(timeout_ms, conn.into_future()).await;
    let sent = sent.ok_or(ClientError::TimedOut {
        address,
        timeout_ms,
    })?;
    sent.map_err(|error| {
        let reason = error.to_string();
        if is_connect_failure(&error) {
            ClientError::NotReachable { address, reason }
        } else {
            ClientError::Broken { address, reason }
        }
    })
}

/// Awaits a future for at most `timeout_ms`.
async fn within<F: Future>(timeout_ms: u64, future: F) -> Option<F::Output> {
    let finished = async { Some(future.await) };
    let timed_out = async {
        Timer::after(Duration::from_millis(timeout_ms)).await;
        None
    };
    finished.or(timed_out).await
}

/// Whether the error can only come from opening the connection.
fn is_connect_failure(error: &Error) -> bool {
    use std::io::ErrorKind;
    let Error::Io(error) = error else {
        return false;
    };
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::AddrNotAvailable
    )
}
