//! Simulates gateways and engines whose load mixes long and short prompts.
//!
//! Engines prefill in order of arrival, in chunks that alternate with the decode steps of running
//! requests. Gateways learn each other's load 0.1 to 0.5 s late.

use std::collections::{BTreeMap, VecDeque};

use curranttrestle::coordination::gateway::control::{
    Control, ControlOptions, Placement, PlacementRequest,
};
use curranttrestle::coordination::gateway::endpoint_load::LoadLine;
use curranttrestle::coordination::gateway::placement::{Choice, PlacementOptions};
use curranttrestle::coordination::gateway::prompt_cache::PromptUseBatch;
use curranttrestle::coordination::gateway::prompt_mix::PromptMixOptions;
use curranttrestle::state::gateway::{EndpointEntry, EngineCapacity, RequestHints, Route};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::support::{at, config, entry, prompt, route};

const GATEWAYS: usize = 6;
const ENGINES: u16 = 12;
const SLOTS: usize = 24;
const MEMORY_TOKENS: u64 = 240_000;
const TOKENS_PER_MS: f64 = 50.0;
const CHUNK_TOKENS: u64 = 512;
/// Time of the decode step that goes with a chunk, and of one without.
const DECODE_MS: (f64, f64) = (1.0, 6.0);
const REPORT_INTERVAL_MS: u64 = 400;
const REPORT_DELAY_MS: u64 = 100;
const DURATION_MS: u64 = 24_000;
const FAULT_AT_MS: u64 = 10_000;
/// Requests that arrive earlier fill caches and are not counted.
const COUNTED_FROM_MS: u64 = 6_000;
const SHARED_PARTS: u64 = 48;

/// A kind of request. Its own tokens are between half and one and a half times the mean.
#[derive(Clone, Copy)]
pub struct Kind {
    pub shared_tokens: u64,
    pub own_tokens: u64,
    pub target_ms: u64,
    pub events: (u64, u64),
    /// Its part of the offered tokens.
    pub token_fraction: f64,
}

pub const LONG: Kind = Kind {
    shared_tokens: 6_300,
    own_tokens: 2_890,
    target_ms: 600,
    events: (20, 60),
    token_fraction: 0.8,
};
pub const SHORT: Kind = Kind {
    shared_tokens: 172,
    own_tokens: 543,
    target_ms: 300,
    events: (40, 93),
    token_fraction: 0.2,
};

pub const HURRIED_LONG: Kind = Kind {
    target_ms: 500,
    ..LONG
};
pub const MEDIUM: Kind = Kind {
    shared_tokens: 568,
    own_tokens: 1_800,
    target_ms: 400,
    ..SHORT
};

struct Job {
    request: usize,
    attempt: (usize, u64),
    tokens_left: u64,
    events_left: u64,
}

#[derive(Default)]
struct Engine {
    waiting: VecDeque<(Job, u64, RequestHints)>,
    running: Vec<Job>,
    /// For each cached part, the total of added tokens at its last use.
    cached: IndexMap<u64, u64>,
    added_tokens: u64,
    next_ms: f64,
    is_lost: bool,
}

impl Engine {
    /// Runs steps until `now_ms`; calls `event` for each first event (`false`) and end (`true`).
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    fn advance(&mut self, now_ms: u64, mut event: impl FnMut(&Job, bool)) {
        while self.next_ms <= now_ms as f64 {
            while self.running.len() < SLOTS
                && let Some((mut job, own_tokens, hints)) = self.waiting.pop_front()
            {
                let part = hints.shared_parts()[0];
                let limit = MEMORY_TOKENS * 7 / 10;
                let used = self.cached.insert(part.id, self.added_tokens);
                let is_cached = used.is_some_and(|used| self.added_tokens - used < limit);
                job.tokens_left = own_tokens + if is_cached { 0 } else { part.tokens };
                self.added_tokens += job.tokens_left;
                self.running.push(job);
            }
            let mut budget = CHUNK_TOKENS;
            let mut is_decoding = false;
            self.running.retain_mut(|job| {
                if job.tokens_left > 0 {
                    let tokens = job.tokens_left.min(budget);
                    budget -= tokens;
                    job.tokens_left -= tokens;
                    if job.tokens_left == 0 {
                        event(job, false);
                    }
                    return true;
                }
                is_decoding = true;
                job.events_left -= 1;
                if job.events_left == 0 {
                    event(job, true);
                }
                job.events_left > 0
            });
            let prefill_ms = (CHUNK_TOKENS - budget) as f64 / TOKENS_PER_MS;
            let decode_ms = match (prefill_ms > 0.0, is_decoding) {
                (true, true) => DECODE_MS.0,
                (false, true) => DECODE_MS.1,
                (_, false) => 0.0,
            };
            self.next_ms = (self.next_ms + (prefill_ms + decode_ms).max(1.0)).max(now_ms as f64);
        }
    }
}

struct Request {
    kind: usize,
    own_tokens: u64,
    arrived_ms: u64,
    hints: RequestHints,
    first_event_ms: Option<u64>,
    tries: u32,
}

/// A report from a gateway, with the load and the prompts sent.
type Report = (usize, Vec<LoadLine>, PromptUseBatch);

pub struct Fleet {
    kinds: [Kind; 2],
    routes: [Route; 2],
    gateways: Vec<Control>,
    engines: Vec<Engine>,
    entries: Vec<EndpointEntry>,
    requests: Vec<Request>,
    /// Requests to be placed, by time.
    due: BTreeMap<u64, Vec<usize>>,
    reports: BTreeMap<u64, Vec<Report>>,
    pub cut_off: Option<usize>,
    refusals: IndexMap<&'static str, u32>,
    widened: u32,
    random: ChaCha8Rng,
    now_ms: u64,
}

impl Fleet {
    fn new(kinds: [Kind; 2], prompt_mix: Option<PromptMixOptions>, seed: u64) -> Self {
        let entries: Vec<EndpointEntry> = (0..ENGINES).map(|index| entry("model", index)).collect();
        let mut config = config(1);
        config.services[0].engine = Some(EngineCapacity {
            slots: u32::try_from(SLOTS).unwrap(),
            memory_tokens: MEMORY_TOKENS,
        });
        let routes = kinds.map(|kind| Route {
            target_latency_ms: kind.target_ms,
            ..route("any", "host.example", "/")
        });
        let gateway = |_| {
            let mut control = Control::new(ControlOptions {
                data_centre: "a".to_owned(),
                placement: PlacementOptions {
                    prompt_mix,
                    ..PlacementOptions::default()
                },
                ..ControlOptions::default()
            });
            control.apply_config(config.clone(), 1, at(0).steady_ms);
            control.directory.replace(entries.clone(), at(0));
            control
        };
        Self {
            kinds,
            routes,
            gateways: (0..GATEWAYS).map(gateway).collect(),
            engines: entries.iter().map(|_| Engine::default()).collect(),
            entries,
            requests: Vec::new(),
            due: BTreeMap::new(),
            reports: BTreeMap::new(),
            cut_off: None,
            refusals: IndexMap::new(),
            widened: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
        }
    }

    /// Simulates until `end_ms` at a load that is a function of the time, as a part of the engines'
    /// prefill capacity beside decoding.
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    fn run(&mut self, end_ms: u64, load: impl Fn(u64) -> f64) {
        let chunk_ms = CHUNK_TOKENS as f64 / TOKENS_PER_MS;
        let capacity_per_ms = f64::from(ENGINES) * CHUNK_TOKENS as f64 / (chunk_ms + DECODE_MS.0);
        while self.now_ms < end_ms {
            for kind in 0..2 {
                let Kind {
                    own_tokens,
                    token_fraction,
                    ..
                } = self.kinds[kind];
                let rate = load(self.now_ms) * capacity_per_ms * token_fraction / own_tokens as f64;
                for _ in 0..10 {
                    if self.random.random_bool(rate / 10.0) {
                        self.arrive(kind);
                    }
                }
            }
            for request in self.due.remove(&self.now_ms).unwrap_or_default() {
                self.place(request);
            }
            self.exchange_reports();
            self.advance_engines();
            self.now_ms += 1;
        }
    }

    fn arrive(&mut self, kind: usize) {
        let Kind {
            shared_tokens,
            own_tokens,
            ..
        } = self.kinds[kind];
        let own_tokens = self.random.random_range(own_tokens / 2..own_tokens * 3 / 2);
        let shared = kind as u64 * SHARED_PARTS + self.random.random_range(0..SHARED_PARTS);
        let mut hints = prompt(shared, shared_tokens, own_tokens);
        hints.prompt_parts[1].id = 1_000 + self.requests.len() as u64;
        self.due
            .entry(self.now_ms)
            .or_default()
            .push(self.requests.len());
        self.requests.push(Request {
            kind,
            own_tokens,
            arrived_ms: self.now_ms,
            hints,
            first_event_ms: None,
            tries: 0,
        });
    }

    /// Places a request through any gateway. Callers try again after a refusal, up to twice.
    fn place(&mut self, number: usize) {
        let now = at(self.now_ms);
        let gateway = self.random.random_range(0..GATEWAYS);
        let request = &mut self.requests[number];
        request.tries += 1;
        let placement = PlacementRequest {
            route: &self.routes[request.kind],
            service: "model",
            customer: "",
            hints: &request.hints,
            excluded: &[],
            is_retry: false,
            is_resumed: false,
        };
        let control = &mut self.gateways[gateway];
        match control.place(placement, now) {
            Placement::Send(choice) => {
                let attempt = control.record_start(&choice, placement, now);
                self.widened += u32::from(choice.is_further);
                self.send(number, (gateway, attempt), &choice);
            }
            Placement::Refuse {
                reason,
                retry_after_ms,
                ..
            } => {
                *self.refusals.entry(reason).or_default() += 1;
                if request.tries < 3 {
                    #[expect(
                        clippy::cast_possible_truncation,
                        clippy::cast_sign_loss,
                        reason = "small"
                    )]
                    let due_ms = self.now_ms + retry_after_ms.ceil() as u64;
                    self.due.entry(due_ms).or_default().push(number);
                }
            }
        }
    }

    fn send(&mut self, number: usize, attempt: (usize, u64), choice: &Choice) {
        let request = &self.requests[number];
        let (least, most) = self.kinds[request.kind].events;
        let job = Job {
            request: number,
            attempt,
            tokens_left: 0,
            events_left: self.random.random_range(least..=most),
        };
        let is_chosen = |entry: &EndpointEntry| entry.endpoint == choice.entry.endpoint;
        let engine = self.entries.iter().position(is_chosen).unwrap();
        let waiting = (job, request.own_tokens, request.hints.clone());
        self.engines[engine].waiting.push_back(waiting);
    }

    fn exchange_reports(&mut self) {
        let now = at(self.now_ms);
        for (from, lines, uses) in self.reports.remove(&self.now_ms).unwrap_or_default() {
            for (to, control) in self.gateways.iter_mut().enumerate() {
                if to != from && Some(to) != self.cut_off && Some(from) != self.cut_off {
                    control.load.apply_report(from as u64, &lines, now);
                    control.cache.apply_report(from as u64, &uses);
                }
            }
        }
        for (from, control) in self.gateways.iter_mut().enumerate() {
            if (self.now_ms + from as u64 * 67).is_multiple_of(REPORT_INTERVAL_MS) {
                let uses = control.cache.report(REPORT_INTERVAL_MS, now);
                let report = (from, control.load.report(), uses);
                let arriving = self.reports.entry(self.now_ms + REPORT_DELAY_MS);
                arriving.or_default().push(report);
            }
        }
    }

    fn advance_engines(&mut self) {
        let now = at(self.now_ms);
        for engine in self.engines.iter_mut().filter(|engine| !engine.is_lost) {
            engine.advance(self.now_ms, |job, is_end| {
                let load = &mut self.gateways[job.attempt.0].load;
                if is_end {
                    load.record_end(job.attempt.1);
                } else {
                    load.record_first_event(job.attempt.1, now);
                    let request = &mut self.requests[job.request];
                    request
                        .first_event_ms
                        .get_or_insert(self.now_ms - request.arrived_ms);
                }
            });
        }
    }

    /// Ends an engine. Requests that have not begun are placed again.
    pub fn lose_engine(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine.is_lost = true;
        let waiting = engine.waiting.drain(..).map(|(job, ..)| job);
        let jobs: Vec<Job> = waiting.chain(engine.running.drain(..)).collect();
        let mut entries = self.entries.clone();
        entries.remove(index);
        for control in &mut self.gateways {
            let changes = control.directory.replace(entries.clone(), at(self.now_ms));
            control.apply_directory_changes(&changes);
        }
        for job in jobs {
            self.gateways[job.attempt.0].load.record_end(job.attempt.1);
            if self.requests[job.request].first_event_ms.is_none() {
                self.due.entry(self.now_ms).or_default().push(job.request);
            }
        }
    }

    fn counted(&self, kind: usize) -> Vec<&Request> {
        let counted = COUNTED_FROM_MS..self.now_ms - 2_000;
        let requests = self.requests.iter();
        requests
            .filter(|request| request.kind == kind && counted.contains(&request.arrived_ms))
            .collect()
    }

    /// The part of `requests` that began within their target.
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    fn on_time(&self, requests: &[&Request]) -> f64 {
        let is_on_time = |request: &&&Request| {
            let target_ms = self.kinds[request.kind].target_ms;
            request.first_event_ms.is_some_and(|ms| ms <= target_ms)
        };
        requests.iter().filter(is_on_time).count() as f64 / requests.len() as f64
    }

    /// Prints the times to the first event of a kind and returns the part that was on time.
    fn report(&self, label: &str, kind: usize) -> f64 {
        let requests = self.counted(kind);
        let begun = requests.iter().filter_map(|request| request.first_event_ms);
        let mut times: Vec<u64> = begun.collect();
        times.sort_unstable();
        let at = |percent: usize| times.get(times.len() * percent / 100).copied().unwrap_or(0);
        let on_time = self.on_time(&requests);
        println!(
            "| {label} | {} | {on_time:.3} | {} of {} | {} | {} | {} |",
            ["long", "short"][kind],
            times.len(),
            requests.len(),
            at(50),
            at(95),
            at(99),
        );
        on_time
    }
}

/// The parts of the long and of the short requests that began within their targets, and how often
/// the module took effect.
pub struct Outcome {
    pub long: f64,
    pub short: f64,
    pub effects: u32,
}

pub const ON: fn() -> Option<PromptMixOptions> = || Some(PromptMixOptions::default());
pub const NO_FAULT: fn(&mut Fleet) = |_| ();

/// Simulates a load, with a fault midway, and prints a row for each kind.
pub fn simulate(
    label: &str,
    kinds: [Kind; 2],
    prompt_mix: Option<PromptMixOptions>,
    load: impl Fn(u64) -> f64,
    fault: impl Fn(&mut Fleet),
) -> Outcome {
    let seed = 1;
    let mut fleet = Fleet::new(kinds, prompt_mix, seed);
    fleet.run(FAULT_AT_MS, &load);
    fault(&mut fleet);
    fleet.run(DURATION_MS, &load);
    let state = if prompt_mix.is_some() { "on" } else { "off" };
    let [long, short] = [0, 1].map(|kind| {
        let on_time = fleet.report(&format!("{label} | {state}"), kind);
        let mut requests = fleet.counted(kind);
        requests.sort_by_key(|request| request.own_tokens);
        let largest = fleet.on_time(&requests[requests.len() * 9 / 10..]);
        assert!(
            prompt_mix.is_none() || largest >= on_time / 2.0,
            "{label}: {largest} of the largest, {on_time} of all"
        );
        on_time
    });
    let limited = fleet.refusals.get("prompt-mix").copied().unwrap_or(0);
    Outcome {
        long,
        short,
        effects: fleet.widened + limited,
    }
}
