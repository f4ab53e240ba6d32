//! Limits the bytes that a peer may send before the head of a response is complete, and those of one
//! read.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum bytes before the end of a response head, including interim responses.
const MAX_HEAD_BYTES: usize = 65_536;

/// Maximum bytes of one read. The HTTP library doubles its buffer after each read that fills it, up to
/// 417,792 bytes, which a connection would hold while its client does not read.
const MAX_READ_BYTES: usize = 16_384;

/// The bytes that may still be received before the head of the response is complete; `None` while
/// no head is expected.
#[derive(Clone, Debug, Default)]
pub struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// A request is sent, so a head follows.
    pub fn expect_head(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// The head is complete.
    pub fn head_received(&self) {
        self.0.set(None);
    }
}

/// A connection whose reads fail when a response head does not end.
///
/// The HTTP library reads interim responses in a loop that does not end as long as bytes are
/// available, which would block all other tasks.
#[derive(Debug)]
pub struct HeadLimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl HeadLimitedStream {
    /// Limits the reads of `stream`.
    #[must_use]
    pub fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left_bytes = self.limit.0.get();
        if left_bytes == Some(0) {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the response head is too long");
            return Poll::Ready(Err(error));
        }
        let filled_bytes = buffer.filled().len();
        let read = if buffer.remaining() <= MAX_READ_BYTES {
            Pin::new(&mut self.stream).poll_read(context, buffer)
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(MAX_READ_BYTES));
            let read = Pin::new(&mut self.stream).poll_read(context, &mut part);
            let read_bytes = part.filled().len();
            buffer.advance(read_bytes);
            read
        };
        if let (Some(left_bytes), Poll::Ready(Ok(()))) = (left_bytes, &read) {
            let read_bytes = buffer.filled().len() - filled_bytes;
            self.limit
                .0
                .set(Some(left_bytes.saturating_sub(read_bytes)));
        }
        read
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
