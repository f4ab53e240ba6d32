//! Which parts of prompts each endpoint probably keeps.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::endpoint_load::EndpointKey;
use crate::state::Now;
use crate::state::gateway::PromptPart;

/// How long parts are believed to be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptCacheOptions {
    /// An endpoint is believed to keep a part for this long after its last use.
    pub life_ms: u64,
    /// The most parts that are remembered of one endpoint.
    pub max_parts: usize,
}

impl Default for PromptCacheOptions {
    fn default() -> Self {
        Self {
            life_ms: 10_000,
            max_parts: 512,
        }
    }
}

/// The parts that this gateway sent to each endpoint lately.
#[derive(Clone, Debug)]
pub struct PromptCache {
    options: PromptCacheOptions,
    endpoints: IndexMap<EndpointKey, IndexMap<u64, u64>>,
}

impl PromptCache {
    /// Nothing is kept anywhere.
    #[must_use]
    pub fn new(options: PromptCacheOptions) -> Self {
        Self {
            options,
            endpoints: IndexMap::new(),
        }
    }

    /// A prompt with these shared parts was sent to an endpoint.
    pub fn used(&mut self, endpoint: EndpointKey, shared: &[PromptPart], now: Now) {
        let parts = self.endpoints.entry(endpoint).or_default();
        for chain in chains(shared) {
            parts.shift_remove(&chain);
            parts.insert(chain, now.steady_ms);
        }
        while parts.len() > self.options.max_parts {
            parts.shift_remove_index(0);
        }
    }

    /// The leading tokens of a prompt that an endpoint probably keeps.
    #[must_use]
    pub fn kept_tokens(&self, endpoint: EndpointKey, shared: &[PromptPart], now: Now) -> u64 {
        let Some(parts) = self.endpoints.get(&endpoint) else {
            return 0;
        };
        let life_ms = self.options.life_ms;
        chains(shared)
            .zip(shared)
            .take_while(|(chain, _)| {
                parts
                    .get(chain)
                    .is_some_and(|used_ms| now.since_ms(*used_ms) < life_ms)
            })
            .map(|(_, part)| part.tokens)
            .sum()
    }

    /// An endpoint started anew and keeps nothing.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.endpoints.swap_remove(&endpoint);
    }
}

/// A key for each part together with all parts before it; only so is a part kept.
fn chains(shared: &[PromptPart]) -> impl Iterator<Item = u64> {
    shared.iter().scan(0_u64, |before, part| {
        let mut bytes = [0_u8; 16];
        bytes[..8].copy_from_slice(&before.to_le_bytes());
        bytes[8..].copy_from_slice(&part.id.to_le_bytes());
        *before = xxh3_64(&bytes);
        Some(*before)
    })
}
