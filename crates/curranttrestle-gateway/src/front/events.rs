//! Cuts a stream of server-sent events at the ends of its events.

use bytes::{Bytes, BytesMut};

/// The longest event that is held until its end comes.
const MAX_EVENT_BYTES: usize = 1_048_576;

/// Whole events, as they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Their bytes.
    pub bytes: Bytes,
    /// The ids of those that have one, in order.
    pub ids: Vec<u64>,
}

/// Collects the bytes of a stream and hands out whole events.
///
/// ```
/// use curranttrestle_gateway::front::events::EventCutter;
/// let mut cutter = EventCutter::default();
/// let events = cutter.push("id: 1\ndata: a\n\nid: 2\nda".into()).unwrap();
/// assert_eq!(&events.bytes[..], b"id: 1\ndata: a\n\n");
/// assert_eq!(events.ids, [1]);
/// assert!(cutter.has_part());
/// ```
#[derive(Debug, Default)]
pub struct EventCutter {
    part: BytesMut,
}

impl EventCutter {
    /// Takes more bytes; returns the events that are whole now. None when an event is too
    /// long to be one.
    pub fn push(&mut self, bytes: Bytes) -> Option<Events> {
        let bytes = if self.part.is_empty() {
            bytes
        } else {
            self.part.extend_from_slice(&bytes);
            self.part.split().freeze()
        };
        let end = last_event_end(&bytes);
        let whole = bytes.slice(..end);
        self.part.extend_from_slice(&bytes[end..]);
        if self.part.len() > MAX_EVENT_BYTES {
            return None;
        }
        let ids = ids(&whole);
        Some(Events { bytes: whole, ids })
    }

    /// Whether the beginning of an event is waiting for its end.
    #[must_use]
    pub fn has_part(&self) -> bool {
        !self.part.is_empty()
    }

    /// Drops the beginning of an event.
    pub fn clear(&mut self) {
        self.part.clear();
    }
}

/// The place after the last empty line.
fn last_event_end(bytes: &[u8]) -> usize {
    let ends =
        |place: usize| bytes[..place].ends_with(b"\n\n") || bytes[..place].ends_with(b"\n\r\n");
    (1..=bytes.len())
        .rev()
        .find(|place| ends(*place))
        .unwrap_or(0)
}

fn ids(bytes: &[u8]) -> Vec<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
        .collect()
}
