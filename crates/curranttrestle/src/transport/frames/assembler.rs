//! Puts the frames of an answer in order.

use std::collections::BTreeMap;

use crate::protocol::endpoint::{Frame, StreamLine};
use crate::transport::endpoint::InterruptCause;

/// How many frames that came too early are kept until the missing one comes.
const MAX_EARLY_FRAMES: usize = 32;

/// A part of an answer that continues exactly where the previous one ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The position of its first byte in the whole answer.
    pub offset: u64,
    /// The text.
    pub text: String,
    /// How many tokens of the answer exist up to the end of this part.
    pub tokens_total: u64,
}

/// Counts of frames that were not delivered as they came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrameCounters {
    /// Frames of other attempts, dropped.
    pub other_attempt: u64,
    /// Frames whose bytes had all been delivered before, dropped.
    pub duplicate: u64,
    /// Frames that came before the bytes in front of them, kept.
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
    early: BTreeMap<u64, Frame>,
    done: Option<(u64, u64)>,
    malformed: bool,
    counters: FrameCounters,
}

impl FrameAssembler {
    /// Expects the frames of `attempt` from byte `offset` of the answer on.
    #[must_use]
    pub fn new(attempt: &str, offset: u64) -> Self {
        Self {
            attempt: attempt.to_owned(),
            offset,
            early: BTreeMap::new(),
            done: None,
            malformed: false,
            counters: FrameCounters::default(),
        }
    }

    /// Takes in one line of the stream.
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
        self.keep(frame);
    }

    /// Keeps the longer of two frames that begin at the same byte.
    fn keep(&mut self, frame: Frame) {
        match self.early.get(&frame.offset) {
            Some(kept) if kept.text.len() >= frame.text.len() => self.counters.duplicate += 1,
            _ => {
                self.early.insert(frame.offset, frame);
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

    /// The next part of the answer, if it has come.
    pub fn next_chunk(&mut self) -> Option<Chunk> {
        loop {
            let first = self.early.first_entry()?;
            if *first.key() > self.offset {
                return None;
            }
            let frame = first.remove();
            if let Some(chunk) = self.trim(&frame) {
                self.offset += chunk.text.len() as u64;
                return Some(chunk);
            }
        }
    }

    /// Cuts off the bytes that were delivered before.
    fn trim(&mut self, frame: &Frame) -> Option<Chunk> {
        let known = self.offset - frame.offset;
        if known >= frame.text.len() as u64 {
            self.counters.duplicate += 1;
            return None;
        }
        let known = usize::try_from(known).ok()?;
        let Some(text) = frame.text.get(known..) else {
            self.malformed = true;
            return None;
        };
        Some(Chunk {
            offset: self.offset,
            text: text.to_owned(),
            tokens_total: frame.tokens_total,
        })
    }

    /// The number of bytes of the answer that were delivered, also before a resumption.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// The token count of the whole answer once all of it was delivered.
    #[must_use]
    pub fn finished(&self) -> Option<u64> {
        self.done
            .filter(|(length, _)| *length == self.offset)
            .map(|(_, tokens_total)| tokens_total)
    }

    /// Why the answer cannot be completed from this stream, if so.
    #[must_use]
    pub fn fault(&self) -> Option<InterruptCause> {
        let overrun = self.done.is_some_and(|(length, _)| length < self.offset);
        if self.malformed || overrun {
            return Some(InterruptCause::Malformed);
        }
        if self.early.len() > MAX_EARLY_FRAMES {
            return Some(InterruptCause::Gap);
        }
        None
    }

    /// What was dropped or kept back so far.
    #[must_use]
    pub fn counters(&self) -> FrameCounters {
        self.counters
    }

    /// Whether the line that ends the answer has come before all of its bytes.
    pub(super) fn ended_with_gap(&self) -> bool {
        self.done.is_some()
    }
}
