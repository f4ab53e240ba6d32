//! Counters of one router.

use std::time::Duration;

use curranttrestle::protocol::peer::PeerMessage;
use indexmap::IndexMap;

/// The count of messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindCount {
    /// The number of messages.
    pub messages: u64,
    /// Their encoded size in bytes.
    pub bytes: u64,
}

/// Counters of one router since they were last reset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages to other routers, by kind.
    pub kinds: IndexMap<&'static str, KindCount>,
    /// Envelopes sent: each holds all messages to one receiver in one step.
    pub envelopes: u64,
    /// Store calls that write.
    pub store_writes: u64,
    /// Store calls that read. A watch counts as one call.
    pub store_reads: u64,
    /// Inputs handled.
    pub inputs: u64,
    /// Real time spent in handling inputs.
    pub busy: Duration,
    /// Requests dispatched to endpoints.
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

    /// Adds the counters of another router.
    pub fn merge(&mut self, other: &Self) {
        for (kind, count) in &other.kinds {
            let total = self.kinds.entry(kind).or_default();
            total.messages += count.messages;
            total.bytes += count.bytes;
        }
        self.envelopes += other.envelopes;
        self.store_writes += other.store_writes;
        self.store_reads += other.store_reads;
        self.inputs += other.inputs;
        self.busy += other.busy;
        self.dispatched += other.dispatched;
        self.refused += other.refused;
    }

    /// The encoded size of all messages in bytes.
    pub fn bytes(&self) -> u64 {
        self.kinds.values().map(|count| count.bytes).sum()
    }

    /// The number of all messages.
    pub fn messages(&self) -> u64 {
        self.kinds.values().map(|count| count.messages).sum()
    }
}
