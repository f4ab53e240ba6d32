//! A response body that is produced while it is being sent.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::{Receiver, Sender};
use futures_lite::{AsyncRead, Stream};

/// Capacity of the channel of a body, in chunks. Senders wait while it is full.
const BODY_CHANNEL_CAPACITY: usize = 64;

/// The reading end of a body, from which the HTTP server sends.
#[derive(Debug)]
pub struct BodyReader {
    chunks: Pin<Box<Receiver<Vec<u8>>>>,
    current: Vec<u8>,
    position: usize,
}

/// Creates a body and the sender of its chunks. Sending fails once the reader is dropped.
#[must_use]
pub fn body_channel() -> (Sender<Vec<u8>>, BodyReader) {
    let (sender, receiver) = async_channel::bounded(BODY_CHANNEL_CAPACITY);
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
