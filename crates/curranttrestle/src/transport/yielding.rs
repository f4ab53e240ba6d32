//! A transport that yields to other tasks.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use trillium_server_common::Transport;
use trillium_smol::SmolTransport;

/// Reads in a row after which the transport yields once.
const READS_PER_TURN: u32 = 4;

/// Maximum length of a read. The library moves all bytes behind an interim response to the front of
/// its buffer, so the cost of such a response grows with the bytes that are buffered.
const MAX_READ_BYTES: usize = 4_096;

/// A TCP connection that yields after a number of reads in a row.
///
/// The HTTP library reads interim responses in a loop. A peer that always has more to send would
/// keep the task from returning, so that no timeout could end it.
#[derive(Debug)]
pub struct YieldingTransport {
    transport: SmolTransport<TcpStream>,
    reads: u32,
}

impl YieldingTransport {
    /// Wraps a connection.
    #[must_use]
    pub fn new(transport: SmolTransport<TcpStream>) -> Self {
        Self {
            transport,
            reads: 0,
        }
    }
}

impl AsyncRead for YieldingTransport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.reads >= READS_PER_TURN {
            self.reads = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = buffer.len().min(MAX_READ_BYTES);
        let read = Pin::new(&mut self.transport).poll_read(context, &mut buffer[..length]);
        self.reads = if read.is_ready() { self.reads + 1 } else { 0 };
        read
    }
}

impl AsyncWrite for YieldingTransport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.transport).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.transport).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.transport).poll_close(context)
    }
}

impl Transport for YieldingTransport {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.transport.peer_addr()
    }
}
