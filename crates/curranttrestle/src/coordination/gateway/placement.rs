//! Selection of an endpoint for a request.
//!
//! Prefill is most of an engine's work before the first event, and a prompt prefix in an engine's
//! cache needs no prefill. So all gateways rank the engines for a prefix in the same way
//! (rendezvous hashing) and prefer the first ones. Another engine is chosen when waiting costs
//! more than prefilling the prefix again. A repeated prefill also delays the other requests of
//! the engine, so it is weighted higher than its own duration.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::endpoint_load::{EndpointKey, EndpointLoad, LoadOptions, LoadTracker};
use super::prompt_cache::PromptCache;
use crate::state::Now;
use crate::state::gateway::{EndpointEntry, EngineCapacity, RequestHints};

/// Options of endpoint selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOptions {
    /// Number of top-ranked engines that are considered.
    pub max_candidates: usize,
    /// Weight of prefilling a shared prefix again, relative to waiting.
    pub recompute_weight: f64,
    /// Penalty for each step down the ranking. Without it, gateways in different data centres
    /// would send a new prefix to different engines.
    pub rank_penalty_ms: f64,
    /// Penalty for an endpoint in another data centre.
    pub remote_penalty_ms: f64,
    /// Fraction of an engine's memory that running requests may use.
    pub memory_fraction: f64,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            max_candidates: 4,
            recompute_weight: 2.0,
            rank_penalty_ms: 10.0,
            remote_penalty_ms: 2.0,
            memory_fraction: 0.7,
        }
    }
}

/// The capacity that an endpoint has left for a customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Room {
    /// It has room for the request.
    #[default]
    Free,
    /// What it has left is reserved for customers within their fair share.
    Reserved,
    /// It is at capacity.
    Full,
}

/// The endpoint chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub entry: EndpointEntry,
    /// Predicted time to the first event, or to the response of a plain service.
    pub predicted_ms: f64,
    /// The part of the predicted time that is spent waiting for other requests.
    pub wait_ms: f64,
    /// The load of the endpoint that the prediction is based on.
    pub load: EndpointLoad,
    /// Prompt tokens that the endpoint has to prefill.
    pub prefill_tokens: u64,
    /// The capacity that the endpoint has left.
    pub room: Room,
}

/// The state that a choice is based on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// The load of all endpoints.
    pub load: &'a LoadTracker,
    /// The prompt prefixes cached by endpoints.
    pub cache: &'a PromptCache,
    /// The data centre of this gateway.
    pub data_centre: &'a str,
    /// Fraction of an engine's slots and memory that the customer may use.
    pub usable_fraction: f64,
}

/// A [`Choice`] whose entry is not copied yet, as only one of the candidates is chosen.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    entry: &'a EndpointEntry,
    predicted_ms: f64,
    wait_ms: f64,
    load: EndpointLoad,
    prefill_tokens: u64,
    room: Room,
}

impl Candidate<'_> {
    fn into_choice(self) -> Choice {
        Choice {
            entry: self.entry.clone(),
            predicted_ms: self.predicted_ms,
            wait_ms: self.wait_ms,
            load: self.load,
            prefill_tokens: self.prefill_tokens,
            room: self.room,
        }
    }
}

/// The first `count` entries in the ranking for a prompt part, best first. Sorting all of them would
/// be a large part of the cost of a placement.
fn top_ranked<'a>(
    entries: impl Iterator<Item = &'a EndpointEntry>,
    part_id: u64,
    count: usize,
) -> Vec<(u64, &'a EndpointEntry)> {
    let mut ranked: Vec<(u64, &EndpointEntry)> = Vec::with_capacity(count.min(16) + 1);
    for entry in entries {
        let score = xxh3_64_with_seed(entry.endpoint.as_str().as_bytes(), part_id);
        let is_full = ranked.len() == count;
        if is_full && ranked.last().is_some_and(|(last, _)| score <= *last) {
            continue;
        }
        let position = ranked.partition_point(|(other, _)| *other >= score);
        ranked.insert(position, (score, entry));
        ranked.truncate(count);
    }
    ranked
}

/// Chooses an endpoint among `entries` for a request to a model engine.
///
/// Returns `None` if there are no entries.
#[must_use]
pub fn choose_engine<'a>(
    entries: impl Iterator<Item = &'a EndpointEntry>,
    engine: EngineCapacity,
    hints: &RequestHints,
    context: PlacementContext<'_>,
    options: &PlacementOptions,
    now: Now,
) -> Option<Choice> {
    let shared = hints.shared_parts();
    let seed = shared.last().map(|part| part.id);
    let seed = seed.unwrap_or_else(|| hints.prompt_parts.last().map_or(0, |part| part.id));
    let ranked = top_ranked(entries, seed, options.max_candidates.max(1));
    let shared_tokens: u64 = shared.iter().map(|part| part.tokens).sum();
    let needed_tokens = hints.unshared_tokens() + hints.expected_output_tokens();
    let mut best: Option<(f64, Candidate<'_>)> = None;
    for (rank, (_, entry)) in ranked.iter().enumerate() {
        let key = EndpointKey::of(&entry.endpoint);
        let view = context.load.view(key, now);
        let cached_tokens = context
            .cache
            .cached_tokens(key, shared, engine.memory_tokens);
        let uncached_tokens = shared_tokens - cached_tokens.min(shared_tokens);
        let prefill_tokens = hints.unshared_tokens() + uncached_tokens;
        let load_options = context.load.options();
        let wait_ms = engine_wait_ms(view, load_options);
        let prefill_ms = |tokens| engine_prefill_ms(tokens, view, load_options);
        let predicted_ms = wait_ms + load_options.engine_base_ms + prefill_ms(prefill_tokens);
        let room = room_for(
            view,
            engine,
            needed_tokens,
            context.usable_fraction,
            options,
        );
        let candidate = Candidate {
            entry,
            predicted_ms,
            wait_ms,
            load: view,
            prefill_tokens,
            room,
        };
        #[expect(clippy::cast_precision_loss, reason = "a few candidates")]
        let rank_penalty_ms = rank as f64 * options.rank_penalty_ms;
        let recompute_penalty_ms = prefill_ms(uncached_tokens) * (options.recompute_weight - 1.0);
        let cost_ms = predicted_ms
            + recompute_penalty_ms
            + remote_penalty_ms(entry, context.data_centre, options)
            + rank_penalty_ms
            + match room {
                Room::Free => 0.0,
                Room::Reserved | Room::Full => FULL_PENALTY_MS,
            };
        if best.as_ref().is_none_or(|(cost, _)| cost_ms < *cost) {
            best = Some((cost_ms, candidate));
        }
    }
    best.map(|(_, candidate)| candidate.into_choice())
}

/// Ranks endpoints without room behind all others.
const FULL_PENALTY_MS: f64 = 1_000_000.0;

/// Chooses the least loaded endpoint among `entries` for a request to a plain service.
///
/// Returns `None` if there are no entries.
#[must_use]
pub fn choose_plain<'a>(
    entries: impl Iterator<Item = &'a EndpointEntry>,
    context: PlacementContext<'_>,
    options: &PlacementOptions,
    now: Now,
) -> Option<Choice> {
    let mut best: Option<(f64, Candidate<'_>)> = None;
    for entry in entries {
        let view = context.load.view(EndpointKey::of(&entry.endpoint), now);
        let load_options = context.load.options();
        let wait_ms = plain_wait_ms(view, entry.slots, load_options);
        let candidate = Candidate {
            entry,
            predicted_ms: wait_ms + load_options.plain_base_ms * view.slowness,
            wait_ms,
            load: view,
            prefill_tokens: 0,
            room: Room::Free,
        };
        #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
        let busy_ms =
            view.in_flight as f64 * load_options.plain_base_ms / f64::from(entry.slots.max(1));
        let remote_penalty_ms = remote_penalty_ms(entry, context.data_centre, options);
        let cost_ms = candidate.predicted_ms + busy_ms + remote_penalty_ms;
        if best.as_ref().is_none_or(|(cost, _)| cost_ms < *cost) {
            best = Some((cost_ms, candidate));
        }
    }
    best.map(|(_, candidate)| candidate.into_choice())
}

fn engine_wait_ms(view: EndpointLoad, options: &LoadOptions) -> f64 {
    view.waiting_tokens * view.slowness / options.prefill_tokens_per_ms
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn engine_prefill_ms(tokens: u64, view: EndpointLoad, options: &LoadOptions) -> f64 {
    tokens as f64 * view.slowness / options.prefill_tokens_per_ms
}

#[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
fn plain_wait_ms(view: EndpointLoad, slots: u32, options: &LoadOptions) -> f64 {
    let slots = u64::from(slots.max(1));
    let waiting = (view.in_flight + 1).saturating_sub(slots);
    waiting as f64 * options.plain_base_ms * view.slowness / slots as f64
}

fn room_for(
    view: EndpointLoad,
    engine: EngineCapacity,
    needed_tokens: u64,
    usable_fraction: f64,
    options: &PlacementOptions,
) -> Room {
    if is_at_capacity(view, engine, needed_tokens, 1.0, options) {
        Room::Full
    } else if is_at_capacity(view, engine, needed_tokens, usable_fraction, options) {
        Room::Reserved
    } else {
        Room::Free
    }
}

/// Whether an engine has no room for a request that may use a fraction of its slots and memory.
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn is_at_capacity(
    view: EndpointLoad,
    engine: EngineCapacity,
    needed_tokens: u64,
    fraction: f64,
    options: &PlacementOptions,
) -> bool {
    // A request larger than the limits runs only on an engine without other requests.
    if view.in_flight == 0 {
        return false;
    }
    let slots = f64::from(engine.slots) * fraction;
    if engine.slots > 0 && (view.in_flight + 1) as f64 > slots {
        return true;
    }
    let limit_tokens = engine.memory_tokens as f64 * options.memory_fraction * fraction;
    let used_tokens = (view.memory_tokens + needed_tokens) as f64;
    engine.memory_tokens > 0 && used_tokens > limit_tokens
}

fn remote_penalty_ms(entry: &EndpointEntry, data_centre: &str, options: &PlacementOptions) -> f64 {
    if entry.data_centre == data_centre {
        0.0
    } else {
        options.remote_penalty_ms
    }
}
