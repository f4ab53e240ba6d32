//! Keeps the events of a stream in order: drops repeated ones and stops at a gap.

use bytes::{Bytes, BytesMut};

use super::events::split_events;

/// The events of a stream that may be forwarded, in the order of their ids.
///
/// Engines number the events of a stream from 1. Events without an id pass.
///
/// ```
/// use curranttrestle_gateway::front::event_order::EventOrder;
/// let mut order = EventOrder::after(Some(1));
/// let accepted = order.accept(&"id: 1\n\nid: 2\n\nid: 4\n\n".into());
/// assert_eq!(&accepted.bytes[..], b"id: 2\n\n");
/// assert_eq!((accepted.repeated, accepted.gap_before), (1, Some(4)));
/// assert_eq!(order.last_id(), Some(2));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventOrder {
    last_id: Option<u64>,
}

/// What may be forwarded of some events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Accepted {
    /// The new events up to the first gap. They are not copied unless repeated ones lie between them.
    pub bytes: Bytes,
    /// How many events were dropped because the client has them.
    pub repeated: u64,
    /// The id of the event that does not follow the one before it; it and all later ones were dropped.
    pub gap_before: Option<u64>,
}

/// The place of an event in its stream.
enum Place {
    Next,
    Repeated,
    AfterGap,
}

impl EventOrder {
    /// The order of a stream whose client has the events up to `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id }
    }

    /// The id of the last event that the client has.
    #[must_use]
    pub fn last_id(self) -> Option<u64> {
        self.last_id
    }

    /// Selects the events that may be forwarded from complete ones.
    pub fn accept(&mut self, events: &Bytes) -> Accepted {
        let mut accepted = Accepted::default();
        let mut copied = BytesMut::new();
        let (mut start, mut end) = (0, 0);
        for (event, id) in split_events(events) {
            match id.map_or(Place::Next, |id| self.place(id)) {
                Place::Next => {}
                Place::Repeated => {
                    accepted.repeated += 1;
                    copied.extend_from_slice(&events[start..end]);
                    start = end + event.len();
                }
                Place::AfterGap => {
                    accepted.gap_before = id;
                    break;
                }
            }
            end += event.len();
            self.last_id = self.last_id.max(id);
        }
        accepted.bytes = if copied.is_empty() {
            events.slice(start..end)
        } else {
            copied.extend_from_slice(&events[start..end]);
            copied.freeze()
        };
        accepted
    }

    fn place(self, id: u64) -> Place {
        match self.last_id {
            Some(last_id) if id <= last_id => Place::Repeated,
            last_id if id - last_id.unwrap_or(0) > 1 => Place::AfterGap,
            _ => Place::Next,
        }
    }
}
