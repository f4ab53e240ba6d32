//! Which endpoint takes a request.
//!
//! Reading a prompt is most of an engine's work before the first event. A shared part that an
//! engine keeps is not read again, so all gateways rank the engines for a part in the same
//! way and prefer the first ones; another engine is taken when waiting costs more than
//! reading the part again. Reading again also takes time from everybody else, so it weighs
//! more than its own time.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::endpoint_load::{EndpointKey, LoadBook, LoadOptions, LoadView};
use super::prompt_cache::PromptCache;
use crate::state::Now;
use crate::state::gateway::{EndpointEntry, EngineModel, RequestHints};

/// How endpoints are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOptions {
    /// How many of the engines ranked for a part are considered.
    pub max_candidates: usize,
    /// The weight of reading a part again, against waiting.
    pub reread_weight: f64,
    /// What each step down the ranking costs. Without it gateways in different data centres
    /// would send a new part to different engines.
    pub rank_ms: f64,
    /// What an endpoint in another data centre costs.
    pub far_ms: f64,
    /// The share of an engine's memory that running requests may fill.
    pub memory_share: f64,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            max_candidates: 4,
            reread_weight: 2.0,
            rank_ms: 10.0,
            far_ms: 2.0,
            memory_share: 0.7,
        }
    }
}

/// The endpoint chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub entry: EndpointEntry,
    /// The predicted time to the first event, or to the answer of a plain service.
    pub predicted_ms: f64,
    /// The part of it that is spent behind other requests.
    pub wait_ms: f64,
    /// The prompt tokens that the endpoint has to read.
    pub read_tokens: u64,
    /// Whether the endpoint has no place for the request now.
    pub is_full: bool,
}

/// What a choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings<'a> {
    /// The load of all endpoints.
    pub load: &'a LoadBook,
    /// The parts that endpoints keep.
    pub cache: &'a PromptCache,
    /// The data centre of this gateway.
    pub data_centre: &'a str,
}

/// Chooses among `entries` for a request to a model engine.
///
/// Returns none when there are no entries.
#[must_use]
pub fn choose_engine<'a>(
    entries: impl Iterator<Item = &'a EndpointEntry>,
    engine: EngineModel,
    hints: &RequestHints,
    surroundings: Surroundings<'_>,
    options: &PlacementOptions,
    now: Now,
) -> Option<Choice> {
    let shared = hints.shared_parts();
    let seed = shared.last().map(|part| part.id);
    let mut ranked: Vec<(u64, &EndpointEntry)> = entries
        .map(|entry| {
            let name = entry.endpoint.as_str().as_bytes();
            let seed = seed.unwrap_or_else(|| hints.parts.last().map_or(0, |part| part.id));
            (xxh3_64_with_seed(name, seed), entry)
        })
        .collect();
    ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    ranked.truncate(options.max_candidates.max(1));
    let shared_tokens: u64 = shared.iter().map(|part| part.tokens).sum();
    let needed = hints.own_tokens() + hints.expected_output_tokens();
    let mut best: Option<(f64, Choice)> = None;
    for (rank, (_, entry)) in ranked.iter().enumerate() {
        let key = EndpointKey::of(&entry.endpoint);
        let view = surroundings.load.view(key, now);
        let kept_tokens = surroundings
            .cache
            .kept_tokens(key, shared, engine.memory_tokens);
        let missing_tokens = shared_tokens - kept_tokens.min(shared_tokens);
        let read_tokens = hints.own_tokens() + missing_tokens;
        let load = surroundings.load.options();
        let wait_ms = engine_wait_ms(view, load);
        let reading_ms = |tokens| reading_ms(tokens, view, load);
        let predicted_ms = wait_ms + load.engine_base_ms + reading_ms(read_tokens);
        let is_full = has_no_place(view, engine, needed, options);
        let choice = Choice {
            entry: (*entry).clone(),
            predicted_ms,
            wait_ms,
            read_tokens,
            is_full,
        };
        #[expect(clippy::cast_precision_loss, reason = "a few candidates")]
        let rank_ms = rank as f64 * options.rank_ms;
        let reread_ms = reading_ms(missing_tokens) * (options.reread_weight - 1.0);
        let cost_ms = predicted_ms
            + reread_ms
            + far_ms(entry, surroundings.data_centre, options)
            + rank_ms
            + if is_full { FULL_COST_MS } else { 0.0 };
        if best.as_ref().is_none_or(|(cost, _)| cost_ms < *cost) {
            best = Some((cost_ms, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Puts full endpoints behind all others.
const FULL_COST_MS: f64 = 1_000_000.0;

/// Chooses among `entries` for a request to a plain service: the least busy one.
///
/// Returns none when there are no entries.
#[must_use]
pub fn choose_plain<'a>(
    entries: impl Iterator<Item = &'a EndpointEntry>,
    surroundings: Surroundings<'_>,
    options: &PlacementOptions,
    now: Now,
) -> Option<Choice> {
    let mut best: Option<(f64, Choice)> = None;
    for entry in entries {
        let view = surroundings
            .load
            .view(EndpointKey::of(&entry.endpoint), now);
        let load = surroundings.load.options();
        let wait_ms = plain_wait_ms(view, entry.slots, load);
        let choice = Choice {
            entry: entry.clone(),
            predicted_ms: wait_ms + load.plain_base_ms * view.slowness,
            wait_ms,
            read_tokens: 0,
            is_full: false,
        };
        #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
        let busy = view.in_flight as f64 * load.plain_base_ms / f64::from(entry.slots.max(1));
        let far_ms = far_ms(entry, surroundings.data_centre, options);
        let cost_ms = choice.predicted_ms + busy + far_ms;
        if best.as_ref().is_none_or(|(cost, _)| cost_ms < *cost) {
            best = Some((cost_ms, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

fn engine_wait_ms(view: LoadView, options: &LoadOptions) -> f64 {
    view.waiting_tokens * view.slowness / options.read_tokens_per_ms
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn reading_ms(tokens: u64, view: LoadView, options: &LoadOptions) -> f64 {
    tokens as f64 * view.slowness / options.read_tokens_per_ms
}

#[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
fn plain_wait_ms(view: LoadView, slots: u32, options: &LoadOptions) -> f64 {
    let slots = u64::from(slots.max(1));
    let waiting = (view.in_flight + 1).saturating_sub(slots);
    waiting as f64 * options.plain_base_ms * view.slowness / slots as f64
}

fn has_no_place(
    view: LoadView,
    engine: EngineModel,
    needed_tokens: u64,
    options: &PlacementOptions,
) -> bool {
    if engine.slots > 0 && view.in_flight >= u64::from(engine.slots) {
        return true;
    }
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    let memory_tokens = engine.memory_tokens as f64 * options.memory_share;
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    let filled = (view.memory_tokens + needed_tokens) as f64;
    // A request larger than that share runs where nothing else does.
    engine.memory_tokens > 0 && view.in_flight > 0 && filled > memory_tokens
}

fn far_ms(entry: &EndpointEntry, data_centre: &str, options: &PlacementOptions) -> f64 {
    if entry.data_centre == data_centre {
        0.0
    } else {
        options.far_ms
    }
}
