//! Which parts of prompts each endpoint probably keeps.
//!
//! An endpoint forgets the part that was unused for the longest time when it needs memory for
//! others. So a part is forgotten after a number of tokens, not after a time. Gateways tell
//! each other what they sent, since each of them alone sees too few uses of a part.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::endpoint_load::{EndpointKey, PeerKey};
use crate::state::Now;
use crate::state::gateway::PromptPart;

/// How long parts are believed to be kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptCacheOptions {
    /// The part of an endpoint's memory that other requests must fill before a part that was
    /// not used meanwhile is forgotten. The rest is taken by what runs.
    pub memory_part: f64,
    /// The most parts that are remembered of one endpoint.
    pub max_parts: usize,
    /// Uses are told to peers for this many intervals of reports, since one may be lost.
    pub told_intervals: u64,
}

impl Default for PromptCacheOptions {
    fn default() -> Self {
        Self {
            memory_part: 0.7,
            max_parts: 1_024,
            told_intervals: 3,
        }
    }
}

/// A prompt that was sent to an endpoint, as peers are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptUse {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The shared parts, each with all those before it.
    pub chains: Vec<u32>,
    /// The tokens that the request adds to the endpoint's memory.
    pub added_tokens: u32,
}

/// The latest uses of one gateway, numbered without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptUses {
    /// The number of the first of them.
    pub first: u64,
    /// The uses in order.
    pub uses: Vec<PromptUse>,
}

#[derive(Clone, Debug, Default)]
struct Memory {
    /// All tokens that were ever added.
    added_tokens: u64,
    /// For each part the tokens that had been added at its last use; the latest used last.
    parts: IndexMap<u32, u64>,
}

/// The parts that all gateways sent to each endpoint lately.
#[derive(Clone, Debug)]
pub struct PromptCache {
    options: PromptCacheOptions,
    endpoints: IndexMap<EndpointKey, Memory>,
    /// Own uses that peers are told of, with their time.
    told: VecDeque<(u64, PromptUse)>,
    next_use: u64,
    /// The number of the next use that is new, for each peer.
    heard: IndexMap<PeerKey, u64>,
}

impl PromptCache {
    /// Nothing is kept anywhere.
    #[must_use]
    pub fn new(options: PromptCacheOptions) -> Self {
        Self {
            options,
            endpoints: IndexMap::new(),
            told: VecDeque::new(),
            next_use: 0,
            heard: IndexMap::new(),
        }
    }

    /// A prompt with these shared parts was sent to an endpoint and adds so many tokens to
    /// its memory.
    pub fn used(
        &mut self,
        endpoint: EndpointKey,
        shared: &[PromptPart],
        added_tokens: u64,
        now: Now,
    ) {
        let prompt_use = PromptUse {
            endpoint,
            chains: chains(shared).collect(),
            added_tokens: u32::try_from(added_tokens).unwrap_or(u32::MAX),
        };
        self.remember(&prompt_use);
        self.told.push_back((now.steady_ms, prompt_use));
        self.next_use += 1;
    }

    /// Takes what a peer sent; uses that were told before are skipped.
    pub fn report_received(&mut self, peer: PeerKey, told: &PromptUses) {
        let next = self.heard.get(&peer).copied().unwrap_or_default();
        // A peer that started anew counts from the beginning.
        let next = if told.first + told.uses.len() as u64 >= next {
            next
        } else {
            0
        };
        let skipped = usize::try_from(next.saturating_sub(told.first)).unwrap_or(usize::MAX);
        for prompt_use in told.uses.iter().skip(skipped) {
            self.remember(prompt_use);
        }
        self.heard.insert(peer, told.first + told.uses.len() as u64);
        if self.heard.len() > MAX_PEERS {
            self.heard.shift_remove_index(0);
        }
    }

    /// This gateway's latest uses for its peers, who get a report every `interval_ms`.
    /// Older ones are not told any more.
    pub fn report(&mut self, interval_ms: u64, now: Now) -> PromptUses {
        let tell_ms = self.options.told_intervals * interval_ms;
        while self
            .told
            .front()
            .is_some_and(|(used_ms, _)| now.since_ms(*used_ms) > tell_ms)
        {
            self.told.pop_front();
        }
        self.latest(interval_ms, now)
    }

    /// The latest of the uses that are still told, for those who hear of them every
    /// `interval_ms`.
    #[must_use]
    pub fn latest(&self, interval_ms: u64, now: Now) -> PromptUses {
        let tell_ms = self.options.told_intervals * interval_ms;
        let is_latest = |(used_ms, _): &&(u64, PromptUse)| now.since_ms(*used_ms) <= tell_ms;
        let count = self.told.iter().rev().take_while(is_latest).count();
        let uses = self.told.iter().skip(self.told.len() - count);
        PromptUses {
            first: self.next_use - count as u64,
            uses: uses.map(|(_, prompt_use)| prompt_use.clone()).collect(),
        }
    }

    /// The leading tokens of a prompt that an endpoint with so much memory probably keeps.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn kept_tokens(
        &self,
        endpoint: EndpointKey,
        shared: &[PromptPart],
        memory_tokens: u64,
    ) -> u64 {
        let Some(memory) = self.endpoints.get(&endpoint) else {
            return 0;
        };
        let limit = memory_tokens as f64 * self.options.memory_part;
        let is_kept = |chain: &u32| {
            let used = memory.parts.get(chain);
            used.is_some_and(|used| ((memory.added_tokens - used) as f64) < limit)
        };
        chains(shared)
            .zip(shared)
            .take_while(|(chain, _)| is_kept(chain))
            .map(|(_, part)| part.tokens)
            .sum()
    }

    /// An endpoint started anew and keeps nothing.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.endpoints.swap_remove(&endpoint);
    }

    fn remember(&mut self, prompt_use: &PromptUse) {
        let memory = self.endpoints.entry(prompt_use.endpoint).or_default();
        memory.added_tokens += u64::from(prompt_use.added_tokens);
        for chain in &prompt_use.chains {
            memory.parts.shift_remove(chain);
            memory.parts.insert(*chain, memory.added_tokens);
        }
        while memory.parts.len() > self.options.max_parts {
            memory.parts.shift_remove_index(0);
        }
    }
}

/// The most peers whose uses are told apart.
const MAX_PEERS: usize = 4_096;

/// A key for each part together with all parts before it; only so is a part kept.
#[expect(clippy::cast_possible_truncation, reason = "half of a hash is a hash")]
fn chains(shared: &[PromptPart]) -> impl Iterator<Item = u32> {
    shared.iter().scan(0_u64, |before, part| {
        let mut bytes = [0_u8; 16];
        bytes[..8].copy_from_slice(&before.to_le_bytes());
        bytes[8..].copy_from_slice(&part.id.to_le_bytes());
        *before = xxh3_64(&bytes);
        Some(*before as u32)
    })
}
