//! Cuts off callers that send too slowly or not at all, and callers that read nothing.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite};
use trillium_server_common::{Acceptor, Transport, async_trait};

/// How long a caller may take to send and to read.
///
/// As an acceptor it wraps each connection of an HTTP server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderLimit {
    /// How long a connection may be without a request.
    pub idle_timeout_ms: u64,
    /// How long a whole request may take from its first byte on.
    pub request_timeout_ms: u64,
    /// How long a caller may take none of an answer that waits for it.
    pub read_timeout_ms: u64,
}

#[async_trait]
impl<T: Transport> Acceptor<T> for SenderLimit {
    type Output = LimitedTransport<T>;
    type Error = Infallible;

    async fn accept(&self, transport: T) -> Result<Self::Output, Infallible> {
        Ok(LimitedTransport {
            transport,
            limit: *self,
            first_byte: None,
            waiting: None,
            blocked: None,
        })
    }
}

/// A connection whose reads fail once its caller has taken too long.
#[derive(Debug)]
pub struct LimitedTransport<T> {
    transport: T,
    limit: SenderLimit,
    /// When the first byte of the present request came.
    first_byte: Option<Instant>,
    /// Ends the present wait for bytes.
    waiting: Option<Timer>,
    /// Ends the present wait for the caller to read.
    blocked: Option<Timer>,
}

impl<T> LimitedTransport<T> {
    fn deadline(&self) -> Instant {
        match self.first_byte {
            Some(first_byte) => first_byte + Duration::from_millis(self.limit.request_timeout_ms),
            None => Instant::now() + Duration::from_millis(self.limit.idle_timeout_ms),
        }
    }
}

impl<T: Transport> AsyncRead for LimitedTransport<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.transport).poll_read(context, buffer);
        if let Poll::Ready(result) = read {
            self.waiting = None;
            if matches!(result, Ok(length) if length > 0) && self.first_byte.is_none() {
                self.first_byte = Some(Instant::now());
            }
            return Poll::Ready(result);
        }
        let deadline = self.deadline();
        let waiting = self.waiting.get_or_insert_with(|| Timer::at(deadline));
        match Pin::new(waiting).poll(context) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<T: Transport> AsyncWrite for LimitedTransport<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        // An answer ends the request; the next byte read begins another one.
        self.first_byte = None;
        self.waiting = None;
        let written = Pin::new(&mut self.transport).poll_write(context, buffer);
        if written.is_ready() {
            self.blocked = None;
            return written;
        }
        let timeout = Duration::from_millis(self.limit.read_timeout_ms);
        let blocked = self.blocked.get_or_insert_with(|| Timer::after(timeout));
        match Pin::new(blocked).poll(context) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.transport).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.transport).poll_close(context)
    }
}

impl<T: Transport> Transport for LimitedTransport<T> {
    fn set_linger(&mut self, linger: Option<Duration>) -> io::Result<()> {
        self.transport.set_linger(linger)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.transport.set_nodelay(nodelay)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.transport.set_ip_ttl(ttl)
    }

    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.transport.peer_addr()
    }
}
