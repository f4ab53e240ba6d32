//! Timeouts for callers that send too slowly, send nothing or read nothing.

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

/// Timeouts for a caller's connection.
///
/// It implements [`Acceptor`] and wraps each connection of an HTTP server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// The maximum time that a connection may be idle before a request begins.
    pub idle_timeout_ms: u64,
    /// The maximum time from the first byte of a request to its last.
    pub request_timeout_ms: u64,
    /// The maximum time that a caller may read nothing while response bytes wait to be sent.
    pub write_stall_timeout_ms: u64,
}

#[async_trait]
impl<T: Transport> Acceptor<T> for ConnectionTimeouts {
    type Output = TimeoutTransport<T>;
    type Error = Infallible;

    async fn accept(&self, transport: T) -> Result<Self::Output, Infallible> {
        Ok(TimeoutTransport {
            transport,
            timeouts: *self,
            first_byte_at: None,
            read_timer: None,
            write_timer: None,
        })
    }
}

/// A connection whose reads and writes fail with [`io::ErrorKind::TimedOut`] after a timeout
/// of [`ConnectionTimeouts`].
#[derive(Debug)]
pub struct TimeoutTransport<T> {
    transport: T,
    timeouts: ConnectionTimeouts,
    /// When the first byte of the current request arrived.
    first_byte_at: Option<Instant>,
    /// Fires at the deadline of a pending read from the caller.
    read_timer: Option<Timer>,
    /// Fires after a write to the caller has been pending for
    /// [`ConnectionTimeouts::write_stall_timeout_ms`].
    write_timer: Option<Timer>,
}

impl<T> TimeoutTransport<T> {
    fn read_deadline(&self) -> Instant {
        match self.first_byte_at {
            Some(first_byte_at) => {
                first_byte_at + Duration::from_millis(self.timeouts.request_timeout_ms)
            }
            None => Instant::now() + Duration::from_millis(self.timeouts.idle_timeout_ms),
        }
    }
}

impl<T: Transport> AsyncRead for TimeoutTransport<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.transport).poll_read(context, buffer);
        if let Poll::Ready(result) = read {
            self.read_timer = None;
            if matches!(result, Ok(length) if length > 0) && self.first_byte_at.is_none() {
                self.first_byte_at = Some(Instant::now());
            }
            return Poll::Ready(result);
        }
        let deadline = self.read_deadline();
        let read_timer = self.read_timer.get_or_insert_with(|| Timer::at(deadline));
        match Pin::new(read_timer).poll(context) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<T: Transport> AsyncWrite for TimeoutTransport<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        // A response ends the request; the next byte read belongs to a new one.
        self.first_byte_at = None;
        self.read_timer = None;
        let written = Pin::new(&mut self.transport).poll_write(context, buffer);
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let timeout = Duration::from_millis(self.timeouts.write_stall_timeout_ms);
        let write_timer = self
            .write_timer
            .get_or_insert_with(|| Timer::after(timeout));
        match Pin::new(write_timer).poll(context) {
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

impl<T: Transport> Transport for TimeoutTransport<T> {
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
