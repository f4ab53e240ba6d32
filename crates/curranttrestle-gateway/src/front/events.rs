//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// The longest event that is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 65_536;

/// Complete events, unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Their bytes.
    pub bytes: Bytes,
    /// The ids of the events that have one, in order.
    pub ids: Vec<u64>,
}

/// Collects the bytes of a stream and returns complete events.
///
/// ```
/// use curranttrestle_gateway::front::events::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// let events = splitter.push("id: 1\ndata: a\n\nid: 2\nda".into()).unwrap();
/// assert_eq!(&events.bytes[..], b"id: 1\ndata: a\n\n");
/// assert_eq!(events.ids, [1]);
/// assert!(splitter.has_partial());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are complete now; `None` if an event exceeds
    /// `MAX_EVENT_BYTES`.
    pub fn push(&mut self, bytes: Bytes) -> Option<Events> {
        // The buffered part contains no end of an event, except for its last two bytes together
        // with the next one.
        let searched = self.partial.len().saturating_sub(2);
        let bytes = if self.partial.is_empty() {
            bytes
        } else {
            self.partial.extend_from_slice(&bytes);
            self.partial.split().freeze()
        };
        let end = last_event_end(&bytes, searched);
        let complete = bytes.slice(..end);
        self.partial.extend_from_slice(&bytes[end..]);
        if self.partial.len() > MAX_EVENT_BYTES {
            return None;
        }
        let ids = ids(&complete);
        Some(Events {
            bytes: complete,
            ids,
        })
    }

    /// Whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// The position after the last empty line that ends after `searched`; zero if there is none.
fn last_event_end(bytes: &[u8], searched: usize) -> usize {
    let ends = |position: usize| {
        bytes[..position].ends_with(b"\n\n") || bytes[..position].ends_with(b"\n\r\n")
    };
    (searched + 1..=bytes.len())
        .rev()
        .find(|position| ends(*position))
        .unwrap_or(0)
}

fn ids(bytes: &[u8]) -> Vec<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
        .collect()
}
