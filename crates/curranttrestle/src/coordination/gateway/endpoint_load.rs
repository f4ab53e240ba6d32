//! What each endpoint is busy with, from this gateway's own requests and its peers' reports.
//!
//! Endpoints report their load late, and many gateways read the same reports. So each gateway
//! counts what it sent itself at once, and adds what its peers said they sent.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::state::{EndpointId, Now};

/// A short name of an endpoint in reports between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointKey(u32);

impl EndpointKey {
    /// The key of an endpoint.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "half of a hash is a hash")]
    pub fn of(endpoint: &EndpointId) -> Self {
        Self(xxh3_64(endpoint.as_str().as_bytes()) as u32)
    }
}

/// Which gateway sent a report.
pub type PeerKey = u64;

/// One gateway's requests at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadLine {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Prompt tokens of requests that wait for their first event.
    pub waiting_tokens: u32,
    /// Requests without a complete answer.
    pub in_flight: u16,
    /// Memory of those requests, in tokens.
    pub memory_tokens: u32,
}

/// How load is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadOptions {
    /// Prompt tokens that an engine reads in a millisecond beside the answers that it
    /// generates. The start of an estimate that each endpoint's answers correct.
    pub read_tokens_per_ms: f64,
    /// The time to a first event of an idle engine without reading.
    pub engine_base_ms: f64,
    /// The time of one request at an idle plain endpoint.
    pub plain_base_ms: f64,
    /// The weight of the latest answer in an endpoint's slowness.
    pub slowness_weight: f64,
    /// The greatest slowness that is believed.
    pub max_slowness: f64,
    /// The time in which half of an endpoint's slowness is forgotten.
    pub slowness_half_life_ms: f64,
    /// Reports of peers that are older count no more.
    pub report_life_ms: u64,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            read_tokens_per_ms: 40.0,
            engine_base_ms: 25.0,
            plain_base_ms: 35.0,
            slowness_weight: 0.2,
            max_slowness: 8.0,
            slowness_half_life_ms: 2_000.0,
            report_life_ms: 2_000,
        }
    }
}

/// A request that was sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Prompt tokens that the endpoint has to read.
    pub read_tokens: u64,
    /// Memory that the request takes, in tokens.
    pub memory_tokens: u64,
    /// The predicted time to its first event.
    pub predicted_ms: f64,
}

/// The load of one endpoint as all gateways together make it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadView {
    /// Prompt tokens that wait to be read.
    pub waiting_tokens: f64,
    /// Requests without a complete answer.
    pub in_flight: u64,
    /// Memory of those requests, in tokens.
    pub memory_tokens: u64,
    /// How many times longer than predicted its answers take.
    pub slowness: f64,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    endpoint: EndpointKey,
    sent: Sent,
    sent_ms: u64,
    is_waiting: bool,
}

#[derive(Clone, Copy, Debug)]
struct Slowness {
    factor: f64,
    at_ms: u64,
}

#[derive(Clone, Debug)]
struct PeerReport {
    lines: IndexMap<EndpointKey, LoadLine>,
    at_ms: u64,
}

/// The load of all endpoints.
#[derive(Clone, Debug)]
pub struct LoadBook {
    options: LoadOptions,
    attempts: IndexMap<u64, Attempt>,
    by_endpoint: IndexMap<EndpointKey, IndexMap<u64, ()>>,
    slowness: IndexMap<EndpointKey, Slowness>,
    peers: IndexMap<PeerKey, PeerReport>,
}

impl LoadBook {
    /// No load.
    #[must_use]
    pub fn new(options: LoadOptions) -> Self {
        Self {
            options,
            attempts: IndexMap::new(),
            by_endpoint: IndexMap::new(),
            slowness: IndexMap::new(),
            peers: IndexMap::new(),
        }
    }

    /// The options in force.
    #[must_use]
    pub fn options(&self) -> &LoadOptions {
        &self.options
    }

    /// This gateway sends a request to an endpoint.
    pub fn started(&mut self, attempt: u64, endpoint: EndpointKey, sent: Sent, now: Now) {
        let record = Attempt {
            endpoint,
            sent,
            sent_ms: now.steady_ms,
            is_waiting: true,
        };
        self.attempts.insert(attempt, record);
        self.by_endpoint
            .entry(endpoint)
            .or_default()
            .insert(attempt, ());
    }

    /// The first part of an answer came; returns the milliseconds that it took.
    pub fn first_event(&mut self, attempt: u64, now: Now) -> Option<u64> {
        let record = self.attempts.get_mut(&attempt)?;
        if !std::mem::take(&mut record.is_waiting) {
            return None;
        }
        let record = *record;
        let elapsed_ms = now.since_ms(record.sent_ms);
        self.learn(record, elapsed_ms, now);
        Some(elapsed_ms)
    }

    /// An attempt is over, however it ended.
    pub fn ended(&mut self, attempt: u64) {
        let Some(record) = self.attempts.swap_remove(&attempt) else {
            return;
        };
        if let Some(attempts) = self.by_endpoint.get_mut(&record.endpoint) {
            attempts.swap_remove(&attempt);
            if attempts.is_empty() {
                self.by_endpoint.swap_remove(&record.endpoint);
            }
        }
    }

    /// Attempts of this gateway without a complete answer.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Takes a peer's report; it replaces the one before.
    pub fn report_received(&mut self, peer: PeerKey, lines: &[LoadLine], now: Now) {
        let report = PeerReport {
            lines: lines.iter().map(|line| (line.endpoint, *line)).collect(),
            at_ms: now.steady_ms,
        };
        self.peers.insert(peer, report);
        let life_ms = self.options.report_life_ms;
        self.peers
            .retain(|_, report| now.since_ms(report.at_ms) < life_ms);
    }

    /// This gateway's report for its peers.
    #[must_use]
    pub fn report(&self) -> Vec<LoadLine> {
        self.by_endpoint
            .iter()
            .map(|(endpoint, attempts)| self.own_line(*endpoint, attempts))
            .collect()
    }

    /// The load of an endpoint now.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn view(&self, endpoint: EndpointKey, now: Now) -> LoadView {
        let mut view = LoadView {
            slowness: self.slowness_now(endpoint, now),
            ..LoadView::default()
        };
        if let Some(attempts) = self.by_endpoint.get(&endpoint) {
            let line = self.own_line(endpoint, attempts);
            view.add(line, f64::from(line.waiting_tokens));
            view.slowness = view.slowness.max(self.overdue(attempts, now));
        }
        let mut waiting_tokens = 0.0;
        let mut token_ages = 0.0;
        for report in self.peers.values() {
            let age_ms = now.since_ms(report.at_ms);
            if age_ms >= self.options.report_life_ms {
                continue;
            }
            if let Some(line) = report.lines.get(&endpoint) {
                view.add(*line, 0.0);
                waiting_tokens += f64::from(line.waiting_tokens);
                token_ages += f64::from(line.waiting_tokens) * age_ms as f64;
            }
        }
        if waiting_tokens > 0.0 {
            // The endpoint went on reading since the reports, one request after the other.
            let age_ms = token_ages / waiting_tokens;
            let read_tokens = age_ms * self.options.read_tokens_per_ms / view.slowness;
            view.waiting_tokens += (waiting_tokens - read_tokens).max(0.0);
        }
        view
    }

    fn own_line(&self, endpoint: EndpointKey, attempts: &IndexMap<u64, ()>) -> LoadLine {
        let records = attempts.keys().filter_map(|key| self.attempts.get(key));
        let mut waiting_tokens = 0;
        let mut memory_tokens = 0;
        let mut in_flight = 0;
        for record in records {
            in_flight += 1;
            memory_tokens += record.sent.memory_tokens;
            if record.is_waiting {
                waiting_tokens += record.sent.read_tokens;
            }
        }
        LoadLine {
            endpoint,
            waiting_tokens: u32::try_from(waiting_tokens).unwrap_or(u32::MAX),
            in_flight,
            memory_tokens: u32::try_from(memory_tokens).unwrap_or(u32::MAX),
        }
    }

    /// How much longer than predicted the oldest waiting attempt takes by now.
    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    fn overdue(&self, attempts: &IndexMap<u64, ()>, now: Now) -> f64 {
        let waiting = attempts.keys().filter_map(|key| self.attempts.get(key));
        waiting
            .filter(|record| record.is_waiting)
            .map(|record| now.since_ms(record.sent_ms) as f64 / record.sent.predicted_ms.max(1.0))
            .fold(0.0, f64::max)
            .min(self.options.max_slowness)
    }

    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    fn slowness_now(&self, endpoint: EndpointKey, now: Now) -> f64 {
        let Some(slowness) = self.slowness.get(&endpoint) else {
            return 1.0;
        };
        let lives = now.since_ms(slowness.at_ms) as f64 / self.options.slowness_half_life_ms;
        1.0 + (slowness.factor - 1.0) * 0.5_f64.powf(lives)
    }

    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    fn learn(&mut self, record: Attempt, elapsed_ms: u64, now: Now) {
        let observed = elapsed_ms as f64 / record.sent.predicted_ms.max(1.0);
        let observed = observed.clamp(0.25, self.options.max_slowness);
        let before = self.slowness_now(record.endpoint, now);
        // The prediction already held the slowness of its time.
        let target = (observed * before).clamp(0.5, self.options.max_slowness);
        let factor = before + (target - before) * self.options.slowness_weight;
        let at_ms = now.steady_ms;
        self.slowness
            .insert(record.endpoint, Slowness { factor, at_ms });
        if self.slowness.len() > MAX_ENDPOINTS {
            self.slowness.swap_remove_index(0);
        }
    }
}

/// The most endpoints whose slowness is remembered; more than any fleet has.
const MAX_ENDPOINTS: usize = 16_384;

impl LoadView {
    fn add(&mut self, line: LoadLine, waiting_tokens: f64) {
        self.waiting_tokens += waiting_tokens;
        self.in_flight += u64::from(line.in_flight);
        self.memory_tokens += u64::from(line.memory_tokens);
    }
}
