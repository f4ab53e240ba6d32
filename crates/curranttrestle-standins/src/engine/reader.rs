//! A reader of a stream: encodes frames as lines and applies frame faults.

use std::collections::VecDeque;
use std::io;

use async_channel::{Receiver, Sender};
use curranttrestle::protocol::endpoint::{Frame, StreamId, StreamLine};

use super::FrameFaults;

/// Length of the comment that opens a stream. Padding is needed because the HTTP library, even with
/// response buffering disabled, holds back a small first chunk until the second one.
const OPENING_COMMENT_BYTES: usize = 600;

/// Number of late copies that are queued before the oldest one is sent.
const MAX_QUEUED_LATE_COPIES: usize = 5;

/// The lines of a stream that are to be sent over a connection.
pub(super) type Lines = Receiver<io::Result<Vec<u8>>>;

/// The sending side of one connection that reads a stream.
#[derive(Debug)]
pub(super) struct Reader {
    attempt: String,
    sender: Sender<io::Result<Vec<u8>>>,
    frames: u64,
    reordered: Option<Frame>,
    late_copies: VecDeque<Frame>,
}

impl Reader {
    /// Creates a reader for an attempt and sends the opening line.
    pub(super) fn open(attempt: &str, stream: &str, incarnation: u64) -> (Self, Lines) {
        let (sender, lines) = async_channel::unbounded();
        let reader = Self {
            attempt: attempt.to_owned(),
            sender,
            frames: 0,
            reordered: None,
            late_copies: VecDeque::new(),
        };
        reader.send_opening(stream, incarnation);
        (reader, lines)
    }

    /// Whether the connection is still reading.
    pub(super) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a part of the response, subject to the frame faults.
    pub(super) fn send_text(
        &mut self,
        offset: u64,
        text: &str,
        tokens_total: u64,
        faults: &FrameFaults,
    ) {
        let frame = Frame {
            attempt: self.attempt.clone(),
            offset,
            text: text.to_owned(),
            tokens_total,
        };
        self.frames += 1;
        self.send_with_faults(frame, faults);
    }

    fn send_with_faults(&mut self, frame: Frame, faults: &FrameFaults) {
        let count = self.frames;
        let due = |every: u64| every > 0 && count.is_multiple_of(every);
        if due(faults.drop_every) {
            return;
        }
        if due(faults.foreign_every) {
            self.send_foreign(&frame);
        }
        if due(faults.late_every) {
            self.late_copies.push_back(frame.clone());
        }
        if due(faults.reorder_every) && self.reordered.is_none() {
            self.reordered = Some(frame);
            return;
        }
        if due(faults.duplicate_every) {
            self.send_line(&StreamLine::Frame(frame.clone()));
        }
        self.send_line(&StreamLine::Frame(frame));
        if let Some(frame) = self.reordered.take() {
            self.send_line(&StreamLine::Frame(frame));
        }
        if self.late_copies.len() > MAX_QUEUED_LATE_COPIES {
            self.send_late_copy();
        }
    }

    fn send_late_copy(&mut self) {
        if let Some(frame) = self.late_copies.pop_front() {
            self.send_line(&StreamLine::Frame(frame));
        }
    }

    /// Sends a frame of another attempt with the same offset.
    fn send_foreign(&self, frame: &Frame) {
        let foreign = Frame {
            attempt: String::from("other"),
            text: String::from("not yours"),
            ..frame.clone()
        };
        self.send_line(&StreamLine::Frame(foreign));
    }

    /// Sends the line that ends the response, and closes the reader.
    pub(super) fn send_done(mut self, length: u64, tokens_total: u64) {
        if let Some(frame) = self.reordered.take() {
            self.send_line(&StreamLine::Frame(frame));
        }
        self.send_line(&StreamLine::Done {
            attempt: self.attempt.clone(),
            length,
            tokens_total,
        });
    }

    /// Aborts the connection with an error.
    pub(super) fn abort(self) {
        let _ = self
            .sender
            .try_send(Err(io::ErrorKind::ConnectionAborted.into()));
    }

    fn send_opening(&self, stream: &str, incarnation: u64) {
        let mut bytes = vec![b' '; OPENING_COMMENT_BYTES];
        bytes[0] = b':';
        bytes.push(b'\n');
        bytes.extend(line_bytes(&StreamLine::Opened {
            stream: StreamId(stream.to_owned()),
            incarnation,
        }));
        let _ = self.sender.try_send(Ok(bytes));
    }

    fn send_line(&self, line: &StreamLine) {
        let _ = self.sender.try_send(Ok(line_bytes(line)));
    }
}

fn line_bytes(line: &StreamLine) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(line).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}
