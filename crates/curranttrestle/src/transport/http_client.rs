//! What all HTTP clients share: those of this layer and those of the command-line tool.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use smol::Timer;
use smol::net::TcpStream;
use trillium_client::{Client, Conn, Connector, Url, async_trait};
use trillium_smol::{ClientConfig, SmolTransport};

/// Marks an error that happened before a connection existed, so that surely nothing was sent.
#[derive(Debug, thiserror::Error)]
#[error("the connection could not be made: {0}")]
struct ConnectFailed(io::Error);

/// Opens TCP connections within a time limit.
#[derive(Clone, Copy, Debug)]
struct TimedConnector {
    connect_timeout_ms: u64,
}

#[async_trait]
impl Connector for TimedConnector {
    type Transport = SmolTransport<TcpStream>;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        let config = ClientConfig::new().with_nodelay(true);
        let connecting = config.connect(url);
        let connected = within(self.connect_timeout_ms, connecting)
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
        connected.map_err(|error| io::Error::other(ConnectFailed(error)))
    }

    fn spawn<Fut: Future<Output = ()> + Send + 'static>(&self, future: Fut) {
        smol::spawn(future).detach();
    }
}

/// Why a request got no response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection was made: surely nothing was sent.
    NotSent,
    /// The connection broke after the request may have been sent.
    ConnectionLost,
    /// No response head came in time.
    TimedOut,
}

/// Returns a client that opens a fresh connection for each request.
#[must_use]
pub fn fresh_connections(connect_timeout_ms: u64) -> Client {
    Client::new(TimedConnector { connect_timeout_ms })
}

/// Returns a client that keeps connections for later requests.
pub(crate) fn kept_connections(connect_timeout_ms: u64) -> Client {
    fresh_connections(connect_timeout_ms).with_default_pool()
}

/// Builds the URL of a path given as segments, each of which is percent-encoded.
///
/// ```
/// use curranttrestle::transport::http_client::url;
/// let url = url("127.0.0.1:80".parse().unwrap(), &["v1", "a/b"]);
/// assert_eq!(url.as_str(), "http://127.0.0.1/v1/a%2Fb");
/// ```
///
/// # Panics
///
/// Never: a socket address makes a valid URL.
#[must_use]
pub fn url(address: SocketAddr, segments: &[&str]) -> Url {
    let mut url: Url = format!("http://{address}/")
        .parse()
        .expect("a socket address makes a valid URL");
    url.path_segments_mut()
        .expect("an HTTP URL has a path")
        .pop_if_empty()
        .extend(segments);
    url
}

/// Sends a request and waits for the head of the response.
///
/// # Errors
///
/// Returns an error when no head came within `timeout_ms`. It tells whether anything can
/// have been sent.
pub async fn send(conn: Conn, timeout_ms: u64) -> Result<Conn, SendError> {
    match within(timeout_ms, conn.into_future()).await {
        Some(Ok(conn)) => Ok(conn),
        Some(Err(trillium_client::Error::Io(error))) if is_connect_failure(&error) => {
            Err(SendError::NotSent)
        }
        Some(Err(_)) => Err(SendError::ConnectionLost),
        None => Err(SendError::TimedOut),
    }
}

/// Awaits a future for at most `timeout_ms`.
pub async fn within<F: Future>(timeout_ms: u64, future: F) -> Option<F::Output> {
    let finished = async { Some(future.await) };
    let timed_out = async {
        Timer::after(Duration::from_millis(timeout_ms)).await;
        None
    };
    smol::future::or(finished, timed_out).await
}

fn is_connect_failure(error: &io::Error) -> bool {
    let inner = error.get_ref();
    inner.is_some_and(<dyn std::error::Error + Send + Sync>::is::<ConnectFailed>)
}
