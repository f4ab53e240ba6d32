//! Estimates which prompt prefixes each endpoint has in its prefix cache.
//!
//! An endpoint evicts the least recently used part when it needs memory for others. So a part
//! expires after a number of added tokens, not after a time. Gateways report to each other the
//! prompts that they sent, because each of them alone sees too few uses of a part.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::endpoint_load::{EndpointKey, PeerKey};
use crate::state::Now;
use crate::state::gateway::PromptPart;

/// Options of the cache estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptCacheOptions {
    /// Fraction of an endpoint's memory that other requests must fill before a part that was not
    /// used in the meantime counts as evicted. Running requests take the rest.
    pub memory_fraction: f64,
    /// Maximum number of parts tracked for each endpoint.
    pub max_parts: usize,
    /// Number of report intervals for which a use is reported to peers. More than one, because a
    /// report may be lost.
    pub report_intervals: u64,
    /// Maximum number of uses in a report. Without a limit, a longer interval would make reports
    /// larger, and larger reports make the interval longer.
    pub max_reported_uses: usize,
}

impl Default for PromptCacheOptions {
    fn default() -> Self {
        Self {
            memory_fraction: 0.7,
            max_parts: 1_024,
            report_intervals: 3,
            max_reported_uses: 128,
        }
    }
}

/// A prompt that was sent to an endpoint, as reported to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptUse {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Prefix keys of the shared parts: each covers the part and all parts before it.
    pub chains: Vec<u32>,
    /// Tokens that the request adds to the endpoint's memory.
    pub added_tokens: u32,
}

/// The latest uses of one gateway, numbered consecutively.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptUseBatch {
    /// The number of the first use.
    pub first: u64,
    /// The uses in order.
    pub uses: Vec<PromptUse>,
}

/// Maximum number of uses in a [`PromptUseLog`]; more than are sent in any interval.
pub const MAX_LOGGED_USES: usize = 4_096;

/// Uses that are still reported to peers, numbered consecutively.
#[derive(Clone, Debug, Default)]
pub struct PromptUseLog {
    /// Each use with its time.
    uses: VecDeque<(u64, PromptUse)>,
    next: u64,
}

impl PromptUseLog {
    /// Adds a use. Of more than [`MAX_LOGGED_USES`], the oldest is dropped.
    pub fn push(&mut self, prompt_use: PromptUse, now: Now) {
        self.uses.push_back((now.steady_ms, prompt_use));
        self.next += 1;
        if self.uses.len() > MAX_LOGGED_USES {
            self.uses.pop_front();
        }
    }

    /// Removes uses that are older than `max_age_ms`.
    pub fn remove_older(&mut self, max_age_ms: u64, now: Now) {
        let is_old = |(used_ms, _): &(u64, PromptUse)| now.since_ms(*used_ms) > max_age_ms;
        while self.uses.front().is_some_and(is_old) {
            self.uses.pop_front();
        }
    }

    /// The uses of the last `max_age_ms`.
    #[must_use]
    pub fn batch(&self, max_age_ms: u64, now: Now) -> PromptUseBatch {
        let is_recent = |(used_ms, _): &&(u64, PromptUse)| now.since_ms(*used_ms) <= max_age_ms;
        let count = self.uses.iter().rev().take_while(is_recent).count();
        let uses = self.uses.iter().skip(self.uses.len() - count);
        PromptUseBatch {
            first: self.next - count as u64,
            uses: uses.map(|(_, prompt_use)| prompt_use.clone()).collect(),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct EndpointCache {
    /// Total of all tokens that were added.
    added_tokens: u64,
    /// For each part, the total of added tokens at its last use; the most recently used part is
    /// last.
    parts: IndexMap<u32, u64>,
}

/// The parts that all gateways recently sent to each endpoint.
#[derive(Clone, Debug)]
pub struct PromptCache {
    options: PromptCacheOptions,
    endpoints: IndexMap<EndpointKey, EndpointCache>,
    /// This gateway's uses.
    own_uses: PromptUseLog,
    /// For each peer, the number of the next use that is not yet applied.
    next_use_by_peer: IndexMap<PeerKey, u64>,
}

impl PromptCache {
    /// Creates an estimate without cached parts.
    #[must_use]
    pub fn new(options: PromptCacheOptions) -> Self {
        Self {
            options,
            endpoints: IndexMap::new(),
            own_uses: PromptUseLog::default(),
            next_use_by_peer: IndexMap::new(),
        }
    }

    /// Records that a prompt with these shared parts was sent to an endpoint and adds
    /// `added_tokens` to its memory.
    pub fn record_use(
        &mut self,
        endpoint: EndpointKey,
        shared: &[PromptPart],
        added_tokens: u64,
        now: Now,
    ) {
        let prompt_use = PromptUse {
            endpoint,
            chains: prefix_keys(shared).collect(),
            added_tokens: u32::try_from(added_tokens).unwrap_or(u32::MAX),
        };
        self.apply_use(&prompt_use);
        self.own_uses.push(prompt_use, now);
    }

    /// Applies a peer's uses. Skips uses that were already reported and returns the others.
    pub fn apply_report<'a>(
        &mut self,
        peer: PeerKey,
        batch: &'a PromptUseBatch,
    ) -> &'a [PromptUse] {
        let next = self
            .next_use_by_peer
            .get(&peer)
            .copied()
            .unwrap_or_default();
        // A peer that restarted counts from zero again.
        let next = if batch.first + batch.uses.len() as u64 >= next {
            next
        } else {
            0
        };
        let skipped = usize::try_from(next.saturating_sub(batch.first)).unwrap_or(usize::MAX);
        let new = batch.uses.get(skipped..).unwrap_or_default();
        for prompt_use in new {
            self.apply_use(prompt_use);
        }
        self.next_use_by_peer
            .insert(peer, batch.first + batch.uses.len() as u64);
        if self.next_use_by_peer.len() > MAX_PEERS {
            self.next_use_by_peer.shift_remove_index(0);
        }
        new
    }

    /// This gateway's latest uses for peers that receive a report every `interval_ms`, up to the
    /// maximum number. Older uses are dropped.
    pub fn report(&mut self, interval_ms: u64, now: Now) -> PromptUseBatch {
        let max_age_ms = self.options.report_intervals * interval_ms;
        self.own_uses.remove_older(max_age_ms, now);
        let mut batch = self.recent_uses(interval_ms, now);
        let excess = batch
            .uses
            .len()
            .saturating_sub(self.options.max_reported_uses);
        batch.first += excess as u64;
        batch.uses.drain(..excess);
        batch
    }

    /// This gateway's latest uses for peers that receive an update every `interval_ms`. Unlike
    /// [`Self::report`], drops no uses, so the interval must not be longer than the one passed
    /// there.
    #[must_use]
    pub fn recent_uses(&self, interval_ms: u64, now: Now) -> PromptUseBatch {
        let max_age_ms = self.options.report_intervals * interval_ms;
        self.own_uses.batch(max_age_ms, now)
    }

    /// Number of leading prompt tokens that an endpoint with `memory_tokens` probably has cached.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn cached_tokens(
        &self,
        endpoint: EndpointKey,
        shared: &[PromptPart],
        memory_tokens: u64,
    ) -> u64 {
        let Some(cache) = self.endpoints.get(&endpoint) else {
            return 0;
        };
        let limit_tokens = memory_tokens as f64 * self.options.memory_fraction;
        let is_cached = |prefix_key: &u32| {
            let added_at_use = cache.parts.get(prefix_key);
            added_at_use.is_some_and(|at_use| ((cache.added_tokens - at_use) as f64) < limit_tokens)
        };
        prefix_keys(shared)
            .zip(shared)
            .take_while(|(prefix_key, _)| is_cached(prefix_key))
            .map(|(_, part)| part.tokens)
            .sum()
    }

    /// Removes an endpoint that restarted or was removed; its cache is lost.
    pub fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        self.endpoints.swap_remove(&endpoint);
    }

    fn apply_use(&mut self, prompt_use: &PromptUse) {
        let cache = self.endpoints.entry(prompt_use.endpoint).or_default();
        cache.added_tokens += u64::from(prompt_use.added_tokens);
        for prefix_key in &prompt_use.chains {
            cache.parts.shift_remove(prefix_key);
            cache.parts.insert(*prefix_key, cache.added_tokens);
        }
        while cache.parts.len() > self.options.max_parts {
            cache.parts.shift_remove_index(0);
        }
    }
}

/// Maximum number of peers whose use numbers are tracked.
const MAX_PEERS: usize = 4_096;

/// A key for each part together with all parts before it, because a part can only be cached after
/// its prefix.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the key is a truncated hash"
)]
fn prefix_keys(shared: &[PromptPart]) -> impl Iterator<Item = u32> {
    shared.iter().scan(0_u64, |before, part| {
        let mut bytes = [0_u8; 16];
        bytes[..8].copy_from_slice(&before.to_le_bytes());
        bytes[8..].copy_from_slice(&part.id.to_le_bytes());
        *before = xxh3_64(&bytes);
        Some(*before as u32)
    })
}
