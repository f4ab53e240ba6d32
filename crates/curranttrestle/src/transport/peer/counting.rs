//! A TCP stream that counts its bytes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Counts the bytes sent and received on all connections between this router and others.
#[derive(Clone, Debug, Default)]
pub struct ByteCounts {
    sent_bytes: Arc<AtomicU64>,
    received_bytes: Arc<AtomicU64>,
}

impl ByteCounts {
    /// Returns the number of bytes sent, including framing.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received, including framing.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }
}

/// A TCP stream that adds its traffic to shared [`ByteCounts`].
#[derive(Debug)]
pub struct CountingStream {
    stream: TcpStream,
    counts: ByteCounts,
}

impl CountingStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, counts: ByteCounts) -> Self {
        Self { stream, counts }
    }
}

fn add(counter: &AtomicU64, result: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(length)) = result {
        counter.fetch_add(*length as u64, Ordering::Relaxed);
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        add(&self.counts.received_bytes, &result);
        result
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        add(&self.counts.sent_bytes, &result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
