//! An LRU prefix cache with limited capacity, whose events are published late and with gaps.

use std::collections::VecDeque;

use curranttrestle::protocol::endpoint::{
    CacheEvent, CacheEventKind, PREFIX_BLOCK_BYTES, prefix_digests,
};
use indexmap::IndexSet;

/// Bytes of a prompt per token.
const BYTES_PER_TOKEN: u32 = 4;

/// Number of events that are retained.
const MAX_EVENTS: usize = 4_096;

/// Digests of the cached prefix blocks, least recently used first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity_blocks: usize,
    blocks: IndexSet<u64>,
    events: VecDeque<(u64, CacheEvent)>,
    next_sequence: u64,
    gap_every: u64,
}

impl PrefixCache {
    /// Creates a cache of `capacity_blocks` blocks. Every `gap_every`th event is dropped; 0
    /// publishes all events.
    pub(super) fn new(capacity_blocks: usize, gap_every: u64) -> Self {
        Self {
            capacity_blocks,
            blocks: IndexSet::new(),
            events: VecDeque::new(),
            next_sequence: 1,
            gap_every,
        }
    }

    /// Caches all prefix blocks of a prompt. Returns how many of its tokens were not cached.
    pub(super) fn insert_prompt(&mut self, now_ms: u64, prompt: &str) -> u32 {
        let digests: Vec<u64> = prefix_digests(prompt).collect();
        let is_cached = |digest: &&u64| self.blocks.contains(*digest);
        let hits = digests.iter().take_while(is_cached).count();
        for (index, digest) in digests.iter().enumerate() {
            let block_count = u32::try_from(index + 1).unwrap_or(u32::MAX);
            self.touch(now_ms, *digest, block_count);
        }
        self.evict(now_ms);
        let cached = u32::try_from(hits * PREFIX_BLOCK_BYTES).unwrap_or(u32::MAX);
        prompt_tokens(prompt).saturating_sub(cached / BYTES_PER_TOKEN)
    }

    /// Clears the cache and its events, as a restart does. Sequence numbers continue.
    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.events.clear();
    }

    /// Returns the published events with a sequence number greater than `after` that are at least
    /// `lag_ms` old.
    pub(super) fn events(&self, now_ms: u64, lag_ms: u64, after: u64) -> Vec<CacheEvent> {
        let visible =
            |event: &&(u64, CacheEvent)| event.0 + lag_ms <= now_ms && event.1.sequence > after;
        let events = self.events.iter().filter(visible);
        events.map(|(_, event)| event.clone()).collect()
    }

    fn touch(&mut self, now_ms: u64, digest: u64, block_count: u32) {
        let was_cached = self.blocks.shift_remove(&digest);
        self.blocks.insert(digest);
        if !was_cached {
            self.publish(now_ms, CacheEventKind::Stored, digest, block_count);
        }
    }

    fn evict(&mut self, now_ms: u64) {
        while self.blocks.len() > self.capacity_blocks {
            let Some(digest) = self.blocks.shift_remove_index(0) else {
                return;
            };
            self.publish(now_ms, CacheEventKind::Evicted, digest, 0);
        }
    }

    fn publish(&mut self, now_ms: u64, kind: CacheEventKind, prefix_digest: u64, block_count: u32) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.gap_every > 0 && sequence.is_multiple_of(self.gap_every) {
            return;
        }
        let block_tokens = u32::try_from(PREFIX_BLOCK_BYTES).unwrap_or(0) / BYTES_PER_TOKEN;
        let event = CacheEvent {
            sequence,
            kind,
            prefix_digest,
            tokens: block_count * block_tokens,
        };
        self.events.push_back((now_ms, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Length of a prompt in tokens.
pub(super) fn prompt_tokens(prompt: &str) -> u32 {
    let bytes = u32::try_from(prompt.len()).unwrap_or(u32::MAX);
    bytes.div_ceil(BYTES_PER_TOKEN)
}
