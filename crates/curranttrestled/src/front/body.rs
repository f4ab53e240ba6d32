//! A response body that is written while it is sent.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncRead, Stream};

/// Chunks that may wait for a slow reader.
const CHANNEL_CHUNKS: usize = 64;

/// The reading end of a body, given to the HTTP server.
#[derive(Debug)]
pub struct BodyReader {
    chunks: Pin<Box<Receiver<Vec<u8>>>>,
    current: Vec<u8>,
    position: usize,
}

/// A body and the sender of its chunks. Sending fails once the reader is gone.
#[must_use]
pub fn body_channel() -> (Sender<Vec<u8>>, BodyReader) {
    let (sender, receiver) = async_channel::bounded(CHANNEL_CHUNKS);
    let reader = BodyReader {
        chunks: Box::pin(receiver),
        current: Vec::new(),
        position: 0,
    };
    (sender, reader)
}

impl AsyncRead for BodyReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.position == self.current.len() {
            match self.chunks.as_mut().poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Ready(Some(chunk)) => {
                    self.current = chunk;
                    self.position = 0;
                }
            }
        }
        let rest = &self.current[self.position..];
        let length = rest.len().min(buffer.len());
        buffer[..length].copy_from_slice(&rest[..length]);
        self.position += length;
        Poll::Ready(Ok(length))
    }
}
