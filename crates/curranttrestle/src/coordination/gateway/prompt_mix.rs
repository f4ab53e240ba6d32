//! Steers prompts of different lengths and targets that share engines.
//!
//! Engines prefill in order of arrival, so a long prompt delays all requests behind it. While the
//! recent requests of a service mix kinds such that one kind's prefill takes a large part of the
//! smallest target, prompts that are cheap to prefill again may use further engines, and requests
//! wait at an engine only as long as the kind with the least time to spare could wait there.

use indexmap::IndexMap;

use super::admission::AdmissionOptions;
use super::endpoint_load::LoadOptions;
use crate::state::Now;
use crate::state::gateway::{EndpointEntry, RequestHints};

/// Options for services whose requests mix long and short prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptMixOptions {
    /// Part of a target latency that counts as large. A kind whose mean prefill takes this part of
    /// the smallest target makes the load mixed. A prompt is cheap to prefill again if its shared
    /// parts take less than this part of its own target, and it uses further engines if it would
    /// wait longer than that.
    pub noticeable_fraction: f64,
    /// How much longer the mean prefill of one kind must be than that of another.
    pub min_size_ratio: f64,
    /// Number of further engines that are considered.
    pub further_candidates: usize,
    /// Part of the slack of the tightest kind that any request may wait. The rest covers what
    /// other gateways sent since their last reports.
    pub slack_fraction: f64,
    /// Mean wait of the tightest kind, as part of its target, at which longer prompts leave it the
    /// most room. With shorter waits they leave less, since nothing is delayed noticeably.
    pub pressed_fraction: f64,
    /// Half-life of the recorded requests.
    pub half_life_ms: f64,
    /// Kinds with a smaller part of the requests are ignored.
    pub min_request_fraction: f64,
}

impl Default for PromptMixOptions {
    fn default() -> Self {
        Self {
            noticeable_fraction: 0.125,
            min_size_ratio: 1.5,
            further_candidates: 4,
            slack_fraction: 0.5,
            pressed_fraction: 0.0625,
            half_life_ms: 10_000.0,
            min_request_fraction: 0.05,
        }
    }
}

/// Kinds with fewer recent requests are ignored; their mean says too little.
const MIN_REQUESTS: f64 = 3.0;

/// Maximum number of kinds for each service. Beyond it, the least recently used is dropped.
const MAX_KINDS: usize = 32;

/// Requests with the same target and prompts of similar size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KindKey {
    target_ms: u64,
    /// Half of the binary logarithm of the prompt tokens.
    size_class: u32,
}

impl KindKey {
    fn of(target_ms: u64, hints: &RequestHints) -> Self {
        Self {
            target_ms,
            size_class: hints.prompt_tokens.max(1).ilog2() / 2,
        }
    }
}

/// The recent requests of a kind, weighted by their age.
#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    requests: f64,
    prefill_tokens: f64,
    wait_ms: f64,
    at_ms: u64,
}

impl Kind {
    fn at(self, options: &PromptMixOptions, now: Now) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
        let half_lives = now.since_ms(self.at_ms) as f64 / options.half_life_ms;
        let weight = 0.5_f64.powf(half_lives);
        Self {
            requests: self.requests * weight,
            prefill_tokens: self.prefill_tokens * weight,
            wait_ms: self.wait_ms * weight,
            at_ms: now.steady_ms,
        }
    }

    fn mean_tokens(self) -> f64 {
        self.prefill_tokens / self.requests
    }
}

/// A prompt that was sent to an engine.
#[derive(Clone, Copy, Debug)]
pub struct SentPrompt<'a> {
    /// The target latency of its route.
    pub target_ms: u64,
    /// What the client declared about it.
    pub hints: &'a RequestHints,
    /// Tokens that the engine has to prefill.
    pub prefill_tokens: u64,
    /// Predicted wait at the engine.
    pub wait_ms: f64,
}

/// Options that the decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct MixInputs<'a> {
    /// Options of this module.
    pub mix: &'a PromptMixOptions,
    /// The assumed speed of engines.
    pub load: &'a LoadOptions,
    /// The part of a target that a request may take.
    pub admission: &'a AdmissionOptions,
}

/// The kinds of requests that this gateway recently sent to each service.
#[derive(Clone, Debug, Default)]
pub struct PromptMix {
    services: IndexMap<String, IndexMap<KindKey, Kind>>,
}

/// How a request of a mixed load is placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Steering {
    /// The longest wait with which the request is admitted.
    pub max_wait_ms: f64,
    /// The wait from which further engines are considered; infinite if the prompt is not cheap to
    /// prefill again.
    pub widen_wait_ms: f64,
    /// Number of further engines that are considered.
    pub further_candidates: usize,
    /// Seed of the order of further engines.
    pub seed: u64,
}

impl PromptMix {
    /// Records that a prompt was sent.
    pub fn record(
        &mut self,
        service: &str,
        prompt: SentPrompt<'_>,
        options: &PromptMixOptions,
        now: Now,
    ) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), IndexMap::new());
        }
        let kinds = &mut self.services[service];
        let key = KindKey::of(prompt.target_ms, prompt.hints);
        let previous = kinds.shift_remove(&key);
        let mut kind = previous.map_or_else(Kind::default, |kind: Kind| kind.at(options, now));
        #[expect(
            clippy::cast_precision_loss,
            reason = "token counts are far below 2^52"
        )]
        let prefill_tokens = prompt.prefill_tokens as f64;
        kind.requests += 1.0;
        kind.prefill_tokens += prefill_tokens;
        kind.wait_ms += prompt.wait_ms;
        kind.at_ms = now.steady_ms;
        kinds.insert(key, kind);
        if kinds.len() > MAX_KINDS {
            kinds.shift_remove_index(0);
        }
    }

    /// How to place a request; `None` if the recent requests of the service are not mixed.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts and durations are far below 2^52"
    )]
    pub fn steering(
        &self,
        service: &str,
        target_ms: u64,
        hints: &RequestHints,
        inputs: MixInputs<'_>,
        now: Now,
    ) -> Option<Steering> {
        let (options, load) = (inputs.mix, inputs.load);
        let kinds = self.recent_kinds(service, options, now);
        let tightest = tightest_kind(&kinds, inputs)?;
        let limit_ms = tightest.slack_ms * options.slack_fraction;
        let is_longer = |key: KindKey| key.size_class > tightest.key.size_class;
        let max_wait_ms = if is_longer(KindKey::of(target_ms, hints)) {
            let pressed_ms = tightest.key.target_ms as f64 * options.pressed_fraction;
            let pressure = (tightest.mean_wait_ms / pressed_ms).min(1.0);
            let all_tokens: f64 = kinds.iter().map(|(_, kind)| kind.prefill_tokens).sum();
            let longer = kinds.iter().filter(|(key, _)| is_longer(*key));
            let longer_tokens: f64 = longer.map(|(_, kind)| kind.prefill_tokens).sum();
            limit_ms * (1.0 - pressure * longer_tokens / all_tokens.max(1.0))
        } else {
            limit_ms
        };
        let noticeable_ms = target_ms as f64 * options.noticeable_fraction;
        let shared_tokens: u64 = hints.shared_parts().iter().map(|part| part.tokens).sum();
        let is_cheap = shared_tokens as f64 / load.prefill_tokens_per_ms <= noticeable_ms;
        Some(Steering {
            max_wait_ms,
            widen_wait_ms: if is_cheap {
                noticeable_ms
            } else {
                f64::INFINITY
            },
            further_candidates: options.further_candidates,
            seed: hints.prompt_parts.last().map_or(0, |part| part.id),
        })
    }

    /// The kinds of a service with enough recent requests.
    fn recent_kinds(
        &self,
        service: &str,
        options: &PromptMixOptions,
        now: Now,
    ) -> Vec<(KindKey, Kind)> {
        let recorded = self.services.get(service).into_iter().flatten();
        let mut kinds: Vec<(KindKey, Kind)> = recorded
            .map(|(key, kind)| (*key, kind.at(options, now)))
            .collect();
        let requests: f64 = kinds.iter().map(|(_, kind)| kind.requests).sum();
        let min_requests = MIN_REQUESTS.max(requests * options.min_request_fraction);
        kinds.retain(|(_, kind)| kind.requests >= min_requests);
        kinds
    }
}

/// The kind with the least slack.
#[derive(Clone, Copy, Debug)]
struct TightestKind {
    key: KindKey,
    /// The longest wait with which its mean request is still admitted.
    slack_ms: f64,
    /// The mean wait of its recent requests.
    mean_wait_ms: f64,
}

/// Finds the kind with the least slack; `None` if the kinds are not mixed.
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts and durations are far below 2^52"
)]
fn tightest_kind(kinds: &[(KindKey, Kind)], inputs: MixInputs<'_>) -> Option<TightestKind> {
    let (options, load) = (inputs.mix, inputs.load);
    let prefill_ms = |kind: &Kind| kind.mean_tokens() / load.prefill_tokens_per_ms;
    let target_ms = |key: &KindKey| key.target_ms as f64;
    let targets = kinds.iter().map(|(key, _)| target_ms(key));
    let smallest_target_ms = targets.fold(f64::INFINITY, f64::min);
    let times = kinds.iter().map(|(_, kind)| prefill_ms(kind));
    let (shortest_ms, longest_ms) = times.fold((f64::INFINITY, 0.0_f64), |(low, high), ms| {
        (low.min(ms), high.max(ms))
    });
    if longest_ms < smallest_target_ms * options.noticeable_fraction
        || longest_ms < shortest_ms * options.min_size_ratio
    {
        return None;
    }
    let candidates = kinds.iter().map(|(key, kind)| TightestKind {
        key: *key,
        slack_ms: target_ms(key) * inputs.admission.target_fraction
            - load.engine_base_ms
            - prefill_ms(kind),
        mean_wait_ms: kind.wait_ms / kind.requests,
    });
    // A kind whose prefill alone takes its whole target cannot be helped by shorter waits.
    candidates
        .filter(|kind| kind.slack_ms >= target_ms(&kind.key) * options.noticeable_fraction)
        .min_by(|one, other| one.slack_ms.total_cmp(&other.slack_ms))
}

impl Steering {
    /// Selects the engines to consider among `ranked`, with their ranks: the first `top`, and
    /// further ones if a prompt that is cheap to prefill again would wait there. An idle engine is
    /// preferred to a refusal. `wait_ms` is infinite for engines at capacity.
    pub fn select(
        steering: Option<Self>,
        mut ranked: Vec<(u64, &EndpointEntry)>,
        top: usize,
        wait_ms: impl Fn(&EndpointEntry) -> f64,
        is_idle: impl Fn(&EndpointEntry) -> bool,
    ) -> Vec<(usize, &EndpointEntry)> {
        let top = top.min(ranked.len());
        let Some(steering) = steering else {
            return number(&ranked[..top]);
        };
        let order =
            |(score, _): &(u64, &EndpointEntry)| (score ^ steering.seed).wrapping_mul(MIXER);
        let least_ms = |waits: &[f64]| waits.iter().copied().fold(f64::INFINITY, f64::min);
        let engines = ranked[..top].iter();
        let mut waits: Vec<f64> = engines.map(|(_, entry)| wait_ms(entry)).collect();
        if least_ms(&waits) > steering.widen_wait_ms {
            let further = steering.further_candidates.min(ranked.len() - top);
            if further < ranked.len() - top {
                ranked[top..].select_nth_unstable_by_key(further, order);
            }
            let engines = ranked[top..top + further].iter();
            waits.extend(engines.map(|(_, entry)| wait_ms(entry)));
        }
        let count = waits.len();
        if least_ms(&waits) > steering.max_wait_ms {
            let rest = ranked[count..].iter().enumerate();
            let idle = rest.filter(|(_, (_, entry))| is_idle(entry));
            if let Some((index, (_, entry))) = idle.min_by_key(|(_, engine)| order(engine)) {
                return vec![(count + index, *entry)];
            }
        }
        let mut selected = number(&ranked[..count]);
        if selected.iter().any(|(_, entry)| is_idle(entry)) {
            selected.retain(|(rank, _)| waits[*rank] <= steering.max_wait_ms);
        }
        selected
    }
}

fn number<'a>(ranked: &[(u64, &'a EndpointEntry)]) -> Vec<(usize, &'a EndpointEntry)> {
    let entries = ranked.iter().map(|(_, entry)| *entry);
    entries.enumerate().collect()
}

/// An odd multiplier that spreads the bits of a hash (the golden ratio of 2^64).
const MIXER: u64 = 0x9E37_79B9_7F4A_7C15;
