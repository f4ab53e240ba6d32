//! Puts the frames of a response in order.

use std::collections::BTreeMap;

use crate::protocol::endpoint::{Frame, StreamLine};
use crate::transport::endpoint::InterruptCause;

/// The maximum number of early frames that are buffered until the missing one arrives.
const MAX_EARLY_FRAMES: usize = 32;

/// A part of a response. It begins where the previous chunk ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The offset in bytes of `text` in the response.
    pub offset: u64,
    /// The text.
    pub text: String,
    /// The number of tokens in the response up to the end of this chunk.
    pub tokens_total: u64,
}

/// Counts frames that were dropped or buffered instead of delivered immediately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrameCounters {
    /// Dropped frames of other attempts.
    pub other_attempt: u64,
    /// Dropped frames whose bytes had all been received before.
    pub duplicate: u64,
    /// Buffered frames that arrived before the bytes preceding them.
    pub early: u64,
}

/// Puts the frames of one attempt in order.
///
/// ```
/// use curranttrestle::protocol::endpoint::{Frame, StreamLine};
/// use curranttrestle::transport::frames::FrameAssembler;
///
/// let frame = |offset, text: &str| {
///     StreamLine::Frame(Frame {
///         attempt: "a".into(),
///         offset,
///         text: text.into(),
///         tokens_total: 1,
///     })
/// };
/// let mut assembler = FrameAssembler::new("a", 0);
/// assembler.accept(frame(3, "def"));
/// assert_eq!(assembler.next_chunk(), None);
/// assembler.accept(frame(0, "abc"));
/// assert_eq!(assembler.next_chunk().unwrap().text, "abc");
/// assert_eq!(assembler.next_chunk().unwrap().text, "def");
/// assert_eq!(assembler.offset(), 6);
/// ```
#[derive(Clone, Debug)]
pub struct FrameAssembler {
    attempt: String,
    offset: u64,
    /// Frames that were not delivered yet, by offset.
    buffered: BTreeMap<u64, Frame>,
    /// The length in bytes and the token count of the complete response, once received.
    done: Option<(u64, u64)>,
    malformed: bool,
    counters: FrameCounters,
}

impl FrameAssembler {
    /// Creates an assembler for the frames of `attempt` from byte `offset` of the response.
    #[must_use]
    pub fn new(attempt: &str, offset: u64) -> Self {
        Self {
            attempt: attempt.to_owned(),
            offset,
            buffered: BTreeMap::new(),
            done: None,
            malformed: false,
            counters: FrameCounters::default(),
        }
    }

    /// Accepts one line of the stream.
    pub fn accept(&mut self, line: StreamLine) {
        match line {
            StreamLine::Opened { .. } => {}
            StreamLine::Frame(frame) => self.accept_frame(frame),
            StreamLine::Done {
                attempt,
                length,
                tokens_total,
            } => self.accept_done(&attempt, length, tokens_total),
        }
    }

    fn accept_frame(&mut self, frame: Frame) {
        if frame.attempt != self.attempt {
            self.counters.other_attempt += 1;
            return;
        }
        let end = frame.offset.saturating_add(frame.text.len() as u64);
        if end <= self.offset {
            self.counters.duplicate += 1;
            return;
        }
        if frame.offset > self.offset {
            self.counters.early += 1;
        }
        self.buffer(frame);
    }

    /// Buffers a frame. Of two frames with the same offset, the longer one is retained.
    fn buffer(&mut self, frame: Frame) {
        match self.buffered.get(&frame.offset) {
            Some(other) if other.text.len() >= frame.text.len() => self.counters.duplicate += 1,
            _ => {
                self.buffered.insert(frame.offset, frame);
            }
        }
    }

    fn accept_done(&mut self, attempt: &str, length: u64, tokens_total: u64) {
        if attempt != self.attempt {
            self.counters.other_attempt += 1;
            return;
        }
        self.done = Some((length, tokens_total));
    }

    /// Returns the next chunk of the response, if it has arrived.
    pub fn next_chunk(&mut self) -> Option<Chunk> {
        loop {
            let first = self.buffered.first_entry()?;
            if *first.key() > self.offset {
                return None;
            }
            let frame = first.remove();
            if let Some(chunk) = self.trim_delivered(&frame) {
                self.offset += chunk.text.len() as u64;
                return Some(chunk);
            }
        }
    }

    /// Removes the bytes that were already delivered. Returns `None` if none remain, or if the cut
    /// falls within a character, which makes the stream malformed.
    fn trim_delivered(&mut self, frame: &Frame) -> Option<Chunk> {
        let delivered_bytes = self.offset - frame.offset;
        if delivered_bytes >= frame.text.len() as u64 {
            self.counters.duplicate += 1;
            return None;
        }
        let delivered_bytes = usize::try_from(delivered_bytes).ok()?;
        let Some(text) = frame.text.get(delivered_bytes..) else {
            self.malformed = true;
            return None;
        };
        Some(Chunk {
            offset: self.offset,
            text: text.to_owned(),
            tokens_total: frame.tokens_total,
        })
    }

    /// Returns the number of bytes of the response delivered so far, including those delivered
    /// before the stream was resumed.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns the token count of the response once all of it has been delivered.
    #[must_use]
    pub fn finished(&self) -> Option<u64> {
        self.done
            .filter(|(length, _)| *length == self.offset)
            .map(|(_, tokens_total)| tokens_total)
    }

    /// Returns the reason for which this stream cannot complete the response, if there is one.
    #[must_use]
    pub fn interrupt_cause(&self) -> Option<InterruptCause> {
        let overrun = self.done.is_some_and(|(length, _)| length < self.offset);
        if self.malformed || overrun {
            return Some(InterruptCause::Malformed);
        }
        if self.buffered.len() > MAX_EARLY_FRAMES {
            return Some(InterruptCause::Gap);
        }
        None
    }

    /// Returns the number of frames dropped or buffered so far.
    #[must_use]
    pub fn counters(&self) -> FrameCounters {
        self.counters
    }

    /// Returns whether the line that ends the response was received. If the stream ends after it
    /// although the response is incomplete, bytes are missing within the response.
    pub(super) fn has_end_line(&self) -> bool {
        self.done.is_some()
    }
}
