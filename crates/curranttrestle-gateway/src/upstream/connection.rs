//! One HTTP/1.1 connection. Dropping it closes it, also with a request in flight.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use async_task::Task;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{self, HeaderMap};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use thiserror::Error;
use tokio::net::TcpStream;

use super::head_limit::{HeadLimit, HeadLimitedStream};
use crate::clock;
use crate::executor::TaskQueue;
use crate::timer::with_timeout;

/// Why no connection could be opened. Nothing was sent.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The peer refused the connection or is unreachable.
    #[error("cannot connect: {0}")]
    Io(#[from] std::io::Error),
    /// The peer did not respond in time.
    #[error("no connection within {0} ms")]
    Timeout(u64),
    /// The HTTP library refused the connection.
    #[error("HTTP handshake failed: {0}")]
    Http(#[from] hyper::Error),
}

impl ConnectError {
    /// Whether the connection was refused or reset, so that the peer may have crashed.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        match self {
            Self::Io(error) => matches!(
                error.kind(),
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
            ),
            Self::Timeout(_) | Self::Http(_) => false,
        }
    }
}

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// Nothing of the request was sent.
    #[error("the connection was closed before the request was sent")]
    NotSent(Box<Request<Full<Bytes>>>),
    /// The peer may have received the request or part of it.
    #[error("the connection failed: {0}")]
    ConnectionFailed(hyper::Error),
}

/// Options of the socket of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketOptions {
    /// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub tcp_user_timeout_ms: u32,
    /// Size of the receive buffer; `None` leaves it to the operating system.
    pub receive_buffer_bytes: Option<usize>,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    /// Drives the connection; dropping it closes the socket.
    _driver: Task<()>,
    address: SocketAddr,
    /// When the process at the other end started, in Unix milliseconds; `None` if it is not known.
    pub process_started_unix_ms: Option<u64>,
    /// When the connection was opened, by the steady clock.
    opened_ms: u64,
    /// When the connection was last used, by the steady clock.
    pub(super) last_used_ms: u64,
    /// Idle timeout that the peer announced.
    keep_alive_ms: Option<u64>,
    will_close: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]; nothing of a request was sent.
    pub async fn open(
        executor: &TaskQueue,
        address: SocketAddr,
        timeout_ms: u64,
        options: SocketOptions,
    ) -> Result<Self, ConnectError> {
        let connected = with_timeout(timeout_ms, TcpStream::connect(address)).await;
        let stream = connected.ok_or(ConnectError::Timeout(timeout_ms))??;
        stream.set_nodelay(true)?;
        // Without this timeout, a peer that vanished would hold the connection forever.
        let set_timeout = sockopt::set_tcp_user_timeout(&stream, options.tcp_user_timeout_ms);
        let set_buffer = options.receive_buffer_bytes.map_or(Ok(()), |bytes| {
            sockopt::set_socket_recv_buffer_size(&stream, bytes)
        });
        // A connection that is closed with a request in flight is reset: the operating system would go
        // on delivering an abandoned request after a cut.
        let set_linger = sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
        if let Err(error) = set_timeout.and(set_buffer).and(set_linger) {
            log::debug!("kind=socket-option-failed address={address} error={error:?}");
        }
        let head_limit = HeadLimit::default();
        let stream = HeadLimitedStream::new(stream, head_limit.clone());
        let (sender, driver) = http1::Builder::new()
            // Otherwise the library copies a body before it sends it.
            .writev(true)
            .handshake(TokioIo::new(stream))
            .await?;
        let driver = executor.spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("kind=connection-failed address={address} error={error:?}");
            }
        });
        Ok(Self {
            sender,
            head_limit,
            _driver: driver,
            address,
            process_started_unix_ms: None,
            opened_ms: clock::now().steady_ms,
            last_used_ms: clock::now().steady_ms,
            keep_alive_ms: None,
            will_close: false,
        })
    }

    /// The address of the peer.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`SendError`] says whether the peer may have received the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.head_limit.expect_head();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.head_limit.head_received();
                self.read_connection_headers(response.headers());
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotSent(Box::new(request))),
                None => Err(SendError::ConnectionFailed(error.into_error())),
            },
        }
    }

    /// Waits until another request can be sent; false if the connection is closed.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether another request may be sent now.
    #[must_use]
    pub fn is_usable(&self, idle_timeout_ms: u64, margin_ms: u64, now_ms: u64) -> bool {
        let max_idle_ms = self
            .keep_alive_ms
            .unwrap_or(idle_timeout_ms)
            .saturating_sub(margin_ms);
        !self.will_close
            && !self.sender.is_closed()
            && self.sender.is_ready()
            && now_ms.saturating_sub(self.last_used_ms) < max_idle_ms.min(idle_timeout_ms)
    }

    /// When the connection was opened, by the steady clock; `None` if it is closed.
    #[must_use]
    pub fn open_since_ms(&self) -> Option<u64> {
        (!self.sender.is_closed()).then_some(self.opened_ms)
    }

    /// Whether the peer announced that it closes the connection.
    #[must_use]
    pub fn will_close(&self) -> bool {
        self.will_close
    }

    fn read_connection_headers(&mut self, headers: &HeaderMap) {
        let connection = headers
            .get(header::CONNECTION)
            .and_then(|value| value.to_str().ok());
        if connection.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
            self.will_close = true;
        }
        let keep_alive = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok());
        if let Some(seconds) = keep_alive.and_then(keep_alive_timeout_s) {
            self.keep_alive_ms = Some(seconds * 1_000);
        }
    }
}

/// Parses the timeout in seconds of a `Keep-Alive` header.
///
/// ```
/// use curranttrestle_gateway::upstream::connection::keep_alive_timeout_s;
/// assert_eq!(keep_alive_timeout_s("timeout=5, max=100"), Some(5));
/// ```
#[must_use]
pub fn keep_alive_timeout_s(value: &str) -> Option<u64> {
    value.split(',').find_map(|item| {
        let (name, number) = item.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| number.trim().parse().ok())?
    })
}
