//! A bounded buffer of events.

use std::collections::VecDeque;

use super::Event;

/// The newest events of a process. The oldest give way when it is full.
#[derive(Clone, Debug)]
pub struct EventRing {
    events: VecDeque<Event>,
    capacity: usize,
    dropped: u64,
}

impl EventRing {
    /// An empty ring that holds at most `capacity` events.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity,
            dropped: 0,
        }
    }

    /// Appends an event.
    pub fn push(&mut self, event: Event) {
        if self.events.len() >= self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// The events held, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// The number of events that gave way.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
