//! A bounded ring buffer of events.

use std::collections::VecDeque;

use super::Event;

/// The most recent events of a process. When the buffer is full, each new event evicts the oldest.
#[derive(Clone, Debug)]
pub struct EventRing {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl EventRing {
    /// Creates an empty buffer that holds at most `capacity` events.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity,
            dropped: 0,
        }
    }

    /// Appends an event, evicting the oldest if the buffer is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() >= self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Iterates over the buffered events, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// Returns the number of events evicted so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
