//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// The longest event that is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 65_536;

/// Collects the bytes of a stream and returns complete events.
///
/// ```
/// use curranttrestle_gateway::front::events::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// let events = splitter.push("id: 1\ndata: a\n\nid: 2\nda".into()).unwrap();
/// assert_eq!(&events[..], b"id: 1\ndata: a\n\n");
/// assert!(splitter.has_partial());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are complete now, unchanged; `None` if an event exceeds
    /// `MAX_EVENT_BYTES`.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
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
        Some(complete)
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

/// Returns the events of a stream, each with its end and its id, if it has one.
///
/// ```
/// use curranttrestle_gateway::front::events::split_events;
/// let events: Vec<_> = split_events(b"id: 1\n\ndata: a\n\n").collect();
/// assert_eq!(events, [(&b"id: 1\n\n"[..], Some(1)), (&b"data: a\n\n"[..], None)]);
/// ```
pub fn split_events(bytes: &[u8]) -> impl Iterator<Item = (&[u8], Option<u64>)> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let mut id = None;
        let mut length_bytes = 0;
        for line in rest.split_inclusive(|byte| *byte == b'\n') {
            length_bytes += line.len();
            if let Some(value) = line.strip_prefix(b"id:") {
                id = parse_id(value).or(id);
            } else if line == b"\n" || line == b"\r\n" {
                break;
            }
        }
        let (event, after) = rest.split_at(length_bytes);
        rest = after;
        (!event.is_empty()).then_some((event, id))
    })
}

fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
