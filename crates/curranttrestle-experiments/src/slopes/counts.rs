//! What one router sent and did.

use std::time::Duration;

use curranttrestle::protocol::peer::PeerMessage;
use indexmap::IndexMap;

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindCount {
    /// How many.
    pub messages: u64,
    /// Their encoded bytes.
    pub bytes: u64,
}

/// What one router sent and did since the counts were last cleared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages to other routers by kind.
    pub kinds: IndexMap<&'static str, KindCount>,
    /// Batches of messages to one receiver in one step.
    pub envelopes: u64,
    /// Calls to the store that write.
    pub store_writes: u64,
    /// Calls to the store that read, a watch counted as one.
    pub store_reads: u64,
    /// Inputs handled.
    pub inputs: u64,
    /// Time spent in the router's decisions.
    pub busy: Duration,
    /// Requests handed to endpoints.
    pub dispatched: u64,
    /// Requests refused.
    pub refused: u64,
}

impl Counts {
    /// Counts a message.
    pub fn add_message(&mut self, message: &PeerMessage) {
        let count = self.kinds.entry(message.kind()).or_default();
        count.messages += 1;
        count.bytes += message.encoded_bytes() as u64;
    }

    /// Adds the counts of another router.
    pub fn add(&mut self, other: &Self) {
        for (kind, count) in &other.kinds {
            let own = self.kinds.entry(kind).or_default();
            own.messages += count.messages;
            own.bytes += count.bytes;
        }
        self.envelopes += other.envelopes;
        self.store_writes += other.store_writes;
        self.store_reads += other.store_reads;
        self.inputs += other.inputs;
        self.busy += other.busy;
        self.dispatched += other.dispatched;
        self.refused += other.refused;
    }

    /// The encoded bytes of all messages.
    pub fn bytes(&self) -> u64 {
        self.kinds.values().map(|count| count.bytes).sum()
    }

    /// The number of all messages.
    pub fn messages(&self) -> u64 {
        self.kinds.values().map(|count| count.messages).sum()
    }
}
