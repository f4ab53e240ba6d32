//! Helpers shared by the HTTP clients of this layer and of the command-line tool.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Timer;
use trillium_client::{Client, Conn, Connector, Url, async_trait};
use trillium_smol::ClientConfig;

use super::yielding::YieldingTransport;

/// An error that occurred before the connection was established, so nothing was sent.
#[derive(Debug, thiserror::Error)]
#[error("connection failed: {0}")]
struct ConnectError(io::Error);

/// Opens TCP connections with a timeout.
#[derive(Clone, Copy, Debug)]
struct TimedConnector {
    connect_timeout_ms: u64,
}

#[async_trait]
impl Connector for TimedConnector {
    type Transport = YieldingTransport;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        let config = ClientConfig::new().with_nodelay(true);
        let connecting = config.connect(url);
        let connected = with_timeout(self.connect_timeout_ms, connecting)
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
        connected
            .map(YieldingTransport::new)
            .map_err(|error| io::Error::other(ConnectError(error)))
    }

    fn spawn<Fut: Future<Output = ()> + Send + 'static>(&self, future: Fut) {
        smol::spawn(future).detach();
    }
}

/// The reason for which no response head was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The connection was lost, and the request may have been sent.
    ConnectionLost,
    /// No response head arrived before the timeout.
    TimedOut,
}

/// Returns a client that opens a new connection for each request.
#[must_use]
pub fn unpooled_client(connect_timeout_ms: u64) -> Client {
    Client::new(TimedConnector { connect_timeout_ms })
}

/// Returns a client that reuses connections from a pool.
pub(crate) fn pooled_client(connect_timeout_ms: u64) -> Client {
    unpooled_client(connect_timeout_ms).with_default_pool()
}

/// Builds a URL from path segments, each of which is percent-encoded.
///
/// ```
/// use curranttrestle::transport::http_client::url;
/// let url = url("127.0.0.1:80".parse().unwrap(), &["v1", "a/b"]);
/// assert_eq!(url.as_str(), "http://127.0.0.1/v1/a%2Fb");
/// ```
///
/// # Panics
///
/// Never: every socket address forms a valid URL.
#[must_use]
pub fn url(address: SocketAddr, segments: &[&str]) -> Url {
    let mut url: Url = format!("http://{address}/")
        .parse()
        .expect("every socket address forms a valid URL");
    url.path_segments_mut()
        .expect("an HTTP URL has path segments")
        .pop_if_empty()
        .extend(segments);
    url
}

/// Sends a request and waits for the response head.
///
/// # Errors
///
/// Returns a [`SendError`] if no response head arrived within `timeout_ms`. It distinguishes
/// whether the request may have been sent.
pub async fn send(conn: Conn, timeout_ms: u64) -> Result<Conn, SendError> {
    // The library panics if the status code is one that it does not know.
    let sending = AssertUnwindSafe(conn.into_future()).catch_unwind();
    match with_timeout(timeout_ms, sending).await {
        Some(Ok(Ok(conn))) => Ok(conn),
        Some(Ok(Err(trillium_client::Error::Io(error)))) if is_connect_error(&error) => {
            Err(SendError::NotConnected)
        }
        Some(Ok(Err(_)) | Err(_)) => Err(SendError::ConnectionLost),
        None => Err(SendError::TimedOut),
    }
}

/// Awaits a future for at most `timeout_ms`. Returns `None` after the timeout.
pub async fn with_timeout<F: Future>(timeout_ms: u64, future: F) -> Option<F::Output> {
    let completed = async { Some(future.await) };
    let timed_out = async {
        Timer::after(Duration::from_millis(timeout_ms)).await;
        None
    };
    smol::future::or(completed, timed_out).await
}

fn is_connect_error(error: &io::Error) -> bool {
    let inner = error.get_ref();
    inner.is_some_and(<dyn std::error::Error + Send + Sync>::is::<ConnectError>)
}
