//! One HTTP/1.1 connection. It is closed when it is dropped, whatever is under way on it.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{self, HeaderMap};
use hyper::{Request, Response};
use smol::net::TcpStream;
use smol::{LocalExecutor, Task};
use smol_hyper::rt::FuturesIo;
use thiserror::Error;

use crate::clock;
use crate::timer::within;

/// Why no connection could be opened. Nothing was sent.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The other side refused, or there is no way to it.
    #[error("cannot connect: {0}")]
    Io(#[from] std::io::Error),
    /// The other side did not answer in time.
    #[error("no connection within {0} ms")]
    Timeout(u64),
    /// The HTTP library refused.
    #[error("cannot start HTTP: {0}")]
    Http(#[from] hyper::Error),
}

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// Not a byte of the request was sent.
    #[error("the connection was closed before the request was sent")]
    NotSent(Box<Request<Full<Bytes>>>),
    /// Some of it may have arrived.
    #[error("the connection failed: {0}")]
    Broken(hyper::Error),
}

/// A connection that serves one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Drives the connection; dropping it closes the socket.
    _driver: Task<()>,
    address: SocketAddr,
    /// When the connection was used last, by the steady clock.
    pub(super) used_ms: u64,
    /// How long the other side keeps it unused.
    keep_alive_ms: Option<u64>,
    closes: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]; no byte of a request was sent.
    pub async fn open(
        executor: &Rc<LocalExecutor<'static>>,
        address: SocketAddr,
        timeout_ms: u64,
        unacknowledged_ms: u32,
    ) -> Result<Self, ConnectError> {
        let connected = within(timeout_ms, TcpStream::connect(address)).await;
        let stream = connected.ok_or(ConnectError::Timeout(timeout_ms))??;
        stream.set_nodelay(true)?;
        // A peer that vanished must not hold a connection for ever.
        if let Err(error) = rustix::net::sockopt::set_tcp_user_timeout(&stream, unacknowledged_ms) {
            log::debug!("kind=socket-option-failed address={address} error={error:?}");
        }
        let (sender, driver) = http1::Builder::new()
            .handshake(FuturesIo::new(stream))
            .await?;
        let driver = executor.spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("kind=connection-failed address={address} error={error:?}");
            }
        });
        Ok(Self {
            sender,
            _driver: driver,
            address,
            used_ms: clock::now().steady_ms,
            keep_alive_ms: None,
            closes: false,
        })
    }

    /// The other side's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`SendError`] says whether the request may have arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.note_head(response.headers());
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::NotSent(Box::new(request))),
                None => Err(SendError::Broken(error.into_error())),
            },
        }
    }

    /// Whether another request may be sent now.
    #[must_use]
    pub fn is_usable(&self, idle_ms: u64, margin_ms: u64, now_ms: u64) -> bool {
        let keep_ms = self
            .keep_alive_ms
            .unwrap_or(idle_ms)
            .saturating_sub(margin_ms);
        !self.closes
            && !self.sender.is_closed()
            && self.sender.is_ready()
            && now_ms.saturating_sub(self.used_ms) < keep_ms.min(idle_ms)
    }

    /// Whether the other side said that it closes the connection.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.closes
    }

    fn note_head(&mut self, headers: &HeaderMap) {
        let connection = headers
            .get(header::CONNECTION)
            .and_then(|value| value.to_str().ok());
        if connection.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
            self.closes = true;
        }
        let keep_alive = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok());
        if let Some(seconds) = keep_alive.and_then(keep_alive_s) {
            self.keep_alive_ms = Some(seconds * 1_000);
        }
    }
}

/// The seconds of a `Keep-Alive` header.
///
/// ```
/// use curranttrestle_gateway::upstream::connection::keep_alive_s;
/// assert_eq!(keep_alive_s("timeout=5, max=100"), Some(5));
/// ```
#[must_use]
pub fn keep_alive_s(value: &str) -> Option<u64> {
    value.split(',').find_map(|item| {
        let (name, number) = item.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| number.trim().parse().ok())?
    })
}
