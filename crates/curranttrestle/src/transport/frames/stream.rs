//! Reads the frames of an answer from a connection.

use futures_lite::AsyncReadExt;
use trillium_http::ReceivedBody;
use trillium_http::transport::BoxedTransport;

use super::{Chunk, FrameAssembler, FrameCounters};
use crate::protocol::endpoint::{COMMENT_PREFIX, StreamId, StreamLine};
use crate::transport::body::READ_BYTES;
use crate::transport::endpoint::{AttemptError, InterruptCause, Result};
use crate::transport::http_client::within;

/// The longest line that is read.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// How long a stream may stay silent.
#[derive(Clone, Copy, Debug)]
pub(in crate::transport) struct FrameTimeouts {
    /// Before its first frame.
    pub(in crate::transport) first_byte_ms: u64,
    /// After its first frame.
    pub(in crate::transport) idle_ms: u64,
}

/// The answer to one attempt on a model engine, as it is streamed.
pub struct FrameStream {
    body: ReceivedBody<'static, BoxedTransport>,
    buffer: Vec<u8>,
    timeouts: FrameTimeouts,
    has_begun: bool,
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
        let mut opening = Self {
            body,
            buffer: Vec::new(),
            timeouts,
            has_begun: false,
            stream: StreamId(String::new()),
            incarnation: 0,
            assembler: FrameAssembler::new(attempt, offset),
        };
        let StreamLine::Opened {
            stream,
            incarnation,
        } = opening.read_line().await?
        else {
            return Err(opening.interrupted(InterruptCause::Malformed));
        };
        opening.stream = stream;
        opening.incarnation = incarnation;
        Ok(opening)
    }

    /// The name of the stream at the engine.
    #[must_use]
    pub fn stream(&self) -> &StreamId {
        &self.stream
    }

    /// The run of the engine.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The number of bytes of the answer that were delivered, also before a resumption.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.assembler.offset()
    }

    /// What was dropped or kept back so far.
    #[must_use]
    pub fn counters(&self) -> FrameCounters {
        self.assembler.counters()
    }

    /// The token count of the whole answer once all of it was delivered.
    #[must_use]
    pub fn finished(&self) -> Option<u64> {
        self.assembler.finished()
    }

    /// Returns the next part of the answer, or none when all of it was delivered.
    ///
    /// Dropping the future loses nothing; the next call goes on from there.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptError::Interrupted`] with the offset reached when the connection
    /// breaks, stays silent for the idle time, ends early or leaves a gap.
    pub async fn next(&mut self) -> Result<Option<Chunk>> {
        loop {
            if let Some(chunk) = self.assembler.next_chunk() {
                return Ok(Some(chunk));
            }
            if let Some(cause) = self.assembler.fault() {
                return Err(self.interrupted(cause));
            }
            if self.assembler.finished().is_some() {
                return Ok(None);
            }
            let line = self.read_line().await?;
            self.has_begun = true;
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
        let timeout_ms = if self.has_begun {
            self.timeouts.idle_ms
        } else {
            self.timeouts.first_byte_ms
        };
        let read = self.body.read(&mut bytes);
        match within(timeout_ms, read).await {
            Some(Ok(0)) => Err(self.interrupted(self.end_cause())),
            Some(Ok(length)) => {
                self.buffer.extend_from_slice(&bytes[..length]);
                Ok(())
            }
            Some(Err(_)) => Err(self.interrupted(InterruptCause::ConnectionLost)),
            None => Err(self.interrupted(InterruptCause::Silent)),
        }
    }

    fn end_cause(&self) -> InterruptCause {
        if self.assembler.ended_with_gap() {
            return InterruptCause::Gap;
        }
        InterruptCause::EndedEarly
    }

    fn interrupted(&self, cause: InterruptCause) -> AttemptError {
        AttemptError::Interrupted {
            offset: self.assembler.offset(),
            cause,
        }
    }
}
