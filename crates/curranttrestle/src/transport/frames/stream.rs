//! Reads the frames of a response from a connection.

use futures_lite::AsyncReadExt;
use trillium_http::ReceivedBody;
use trillium_http::transport::BoxedTransport;

use super::{Chunk, FrameAssembler, FrameCounters};
use crate::protocol::endpoint::{COMMENT_PREFIX, StreamId, StreamLine};
use crate::transport::body::READ_BYTES;
use crate::transport::endpoint::{AttemptError, InterruptCause, Result};
use crate::transport::http_client::with_timeout;

/// The maximum length of a line in bytes. A longer line is treated as malformed.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// The maximum time without data on a stream.
#[derive(Clone, Copy, Debug)]
pub(in crate::transport) struct FrameTimeouts {
    /// Before its first frame.
    pub(in crate::transport) first_frame_ms: u64,
    /// After its first frame.
    pub(in crate::transport) idle_ms: u64,
}

/// The streamed response to one attempt on a model engine.
pub struct FrameStream {
    body: ReceivedBody<'static, BoxedTransport>,
    buffer: Vec<u8>,
    timeouts: FrameTimeouts,
    first_frame_received: bool,
    stream: StreamId,
    incarnation: u64,
    assembler: FrameAssembler,
}

impl FrameStream {
    /// Waits for the line that opens the stream.
    pub(in crate::transport) async fn open(
        body: ReceivedBody<'static, BoxedTransport>,
        attempt: &str,
        offset: u64,
        timeouts: FrameTimeouts,
    ) -> Result<Self> {
        let mut frame_stream = Self {
            body,
            buffer: Vec::new(),
            timeouts,
            first_frame_received: false,
            stream: StreamId(String::new()),
            incarnation: 0,
            assembler: FrameAssembler::new(attempt, offset),
        };
        let StreamLine::Opened {
            stream,
            incarnation,
        } = frame_stream.read_line().await?
        else {
            return Err(frame_stream.interrupted(InterruptCause::Malformed));
        };
        frame_stream.stream = stream;
        frame_stream.incarnation = incarnation;
        Ok(frame_stream)
    }

    /// Returns the ID of the stream at the engine.
    #[must_use]
    pub fn stream(&self) -> &StreamId {
        &self.stream
    }

    /// Returns the incarnation of the engine.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the number of bytes of the response delivered so far, including those delivered
    /// before the stream was resumed.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.assembler.offset()
    }

    /// Returns the number of frames dropped or buffered so far.
    #[must_use]
    pub fn counters(&self) -> FrameCounters {
        self.assembler.counters()
    }

    /// Returns the token count of the response once all of it has been delivered.
    #[must_use]
    pub fn finished(&self) -> Option<u64> {
        self.assembler.finished()
    }

    /// Returns the next chunk of the response, or `None` once all of it has been delivered.
    ///
    /// This method is cancel safe: if the future is dropped, the next call continues without
    /// losing data.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError::Interrupted`] with the current offset if the connection is lost,
    /// a read times out, the stream ends before the response is complete, bytes are missing or
    /// a line is malformed.
    pub async fn next(&mut self) -> Result<Option<Chunk>> {
        loop {
            if let Some(chunk) = self.assembler.next_chunk() {
                return Ok(Some(chunk));
            }
            if let Some(cause) = self.assembler.interrupt_cause() {
                return Err(self.interrupted(cause));
            }
            if self.assembler.finished().is_some() {
                return Ok(None);
            }
            let line = self.read_line().await?;
            self.first_frame_received = true;
            self.assembler.accept(line);
        }
    }

    async fn read_line(&mut self) -> Result<StreamLine> {
        loop {
            let Some(line) = self.take_line() else {
                self.read_more().await?;
                continue;
            };
            if line.first() == Some(&COMMENT_PREFIX) || line.trim_ascii().is_empty() {
                continue;
            }
            return serde_json::from_slice(&line)
                .map_err(|_| self.interrupted(InterruptCause::Malformed));
        }
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let rest = self.buffer.split_off(end + 1);
        let mut line = std::mem::replace(&mut self.buffer, rest);
        line.pop();
        Some(line)
    }

    async fn read_more(&mut self) -> Result<()> {
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(self.interrupted(InterruptCause::Malformed));
        }
        let mut bytes = vec![0; READ_BYTES];
        let timeout_ms = if self.first_frame_received {
            self.timeouts.idle_ms
        } else {
            self.timeouts.first_frame_ms
        };
        let read = self.body.read(&mut bytes);
        match with_timeout(timeout_ms, read).await {
            Some(Ok(0)) => Err(self.interrupted(self.end_cause())),
            Some(Ok(length)) => {
                self.buffer.extend_from_slice(&bytes[..length]);
                Ok(())
            }
            Some(Err(_)) => Err(self.interrupted(InterruptCause::ConnectionLost)),
            None => Err(self.interrupted(InterruptCause::TimedOut)),
        }
    }

    fn end_cause(&self) -> InterruptCause {
        if self.assembler.has_end_line() {
            return InterruptCause::Gap;
        }
        InterruptCause::IncompleteStream
    }

    fn interrupted(&self, cause: InterruptCause) -> AttemptError {
        AttemptError::Interrupted {
            offset: self.assembler.offset(),
            cause,
        }
    }
}
