//! The load of each endpoint, from this gateway's own requests and its peers' reports.
//!
//! Endpoints report their load late, and many gateways read the same reports. So each gateway
//! counts its own requests immediately and adds the requests that its peers report.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::own_delay::OwnDelay;
use super::reported_load::ReportedLoad;
use crate::state::{EndpointId, Now};

/// Compact hash of an endpoint id, used in reports between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointKey(u32);

impl EndpointKey {
    /// Returns the key of an endpoint.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the key is a truncated hash"
    )]
    pub fn of(endpoint: &EndpointId) -> Self {
        Self(xxh3_64(endpoint.as_str().as_bytes()) as u32)
    }
}

/// Identifies the gateway that sent a report.
pub type PeerKey = u64;

/// The requests of one gateway at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadLine {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Prompt tokens to prefill for requests that wait for their first event.
    pub waiting_tokens: u32,
    /// Requests without a complete response.
    pub in_flight: u16,
    /// Memory of these requests, in tokens.
    pub memory_tokens: u32,
}

impl LoadLine {
    fn add(&mut self, other: Self) {
        self.waiting_tokens = self.waiting_tokens.saturating_add(other.waiting_tokens);
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }
}

/// Options of load estimation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadOptions {
    /// Prefill rate of an engine while it also generates responses, in prompt tokens per
    /// millisecond. This is the initial estimate; the measured slowness of each endpoint corrects
    /// it.
    pub prefill_tokens_per_ms: f64,
    /// Time to first event of an idle engine, without prefill.
    pub engine_base_ms: f64,
    /// Response time of one request at an idle plain endpoint.
    pub plain_base_ms: f64,
    /// Weight of the latest response in the moving average of an endpoint's slowness.
    pub slowness_weight: f64,
    /// Upper limit of the slowness.
    pub max_slowness: f64,
    /// Half-life of the difference between an endpoint's slowness and 1.
    pub slowness_half_life_ms: f64,
    /// Maximum age of peer reports; older ones are ignored.
    pub report_max_age_ms: u64,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 40.0,
            engine_base_ms: 25.0,
            plain_base_ms: 35.0,
            slowness_weight: 0.2,
            max_slowness: 8.0,
            slowness_half_life_ms: 2_000.0,
            report_max_age_ms: 2_000,
        }
    }
}

/// A request that was sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// Prompt tokens that the endpoint has to prefill.
    pub prefill_tokens: u64,
    /// Memory that the request takes, in tokens.
    pub memory_tokens: u64,
    /// Predicted time to the first event.
    pub predicted_ms: f64,
}

/// The load of one endpoint, caused by all gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointLoad {
    /// Prompt tokens that wait for prefill.
    pub waiting_tokens: f64,
    /// The part of them that peers reported, before tokens processed since then are subtracted.
    pub reported_tokens: f64,
    /// Mean age of the reports about these tokens.
    pub report_age_ms: f64,
    /// Requests without a complete response.
    pub in_flight: u64,
    /// Memory of these requests, in tokens.
    pub memory_tokens: u64,
    /// Response time relative to that of an endpoint at its normal speed: 2 is twice as slow.
    pub slowness: f64,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    endpoint: EndpointKey,
    sent: SentRequest,
    sent_ms: u64,
    /// The gateway's own delay at `sent_ms`.
    own_delay_ms: u64,
    is_waiting: bool,
}

#[derive(Clone, Copy, Debug)]
struct Slowness {
    factor: f64,
    at_ms: u64,
}

/// The load of all endpoints.
#[derive(Clone, Debug)]
pub struct LoadTracker {
    options: LoadOptions,
    /// How late this gateway is. What it may have added to a response time does not count as
    /// slowness of the endpoint.
    pub own_delay: OwnDelay,
    attempts: IndexMap<u64, Attempt>,
    by_endpoint: IndexMap<EndpointKey, IndexMap<u64, ()>>,
    slowness: IndexMap<EndpointKey, Slowness>,
    reported: ReportedLoad,
}

impl LoadTracker {
    /// Creates a tracker without load.
    #[must_use]
    pub fn new(options: LoadOptions) -> Self {
        Self {
            options,
            own_delay: OwnDelay::default(),
            attempts: IndexMap::new(),
            by_endpoint: IndexMap::new(),
            slowness: IndexMap::new(),
            reported: ReportedLoad::default(),
        }
    }

    /// The options in force.
    #[must_use]
    pub fn options(&self) -> &LoadOptions {
        &self.options
    }

    /// Records that this gateway sends a request to an endpoint.
    pub fn record_start(
        &mut self,
        attempt: u64,
        endpoint: EndpointKey,
        sent: SentRequest,
        now: Now,
    ) {
        let record = Attempt {
            endpoint,
            sent,
            sent_ms: now.steady_ms,
            own_delay_ms: self.own_delay.delay_ms(now),
            is_waiting: true,
        };
        self.attempts.insert(attempt, record);
        self.by_endpoint
            .entry(endpoint)
            .or_default()
            .insert(attempt, ());
    }

    /// Records the first event of a response. Returns the time to first event in milliseconds;
    /// `None` if it was already recorded or the attempt is unknown.
    pub fn record_first_event(&mut self, attempt: u64, now: Now) -> Option<u64> {
        let record = self.attempts.get_mut(&attempt)?;
        if !std::mem::take(&mut record.is_waiting) {
            return None;
        }
        let record = *record;
        let elapsed_ms = now.since_ms(record.sent_ms);
        self.update_slowness(record, elapsed_ms, now);
        Some(elapsed_ms)
    }

    /// Records the end of an attempt, successful or not.
    pub fn record_end(&mut self, attempt: u64) {
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

    /// The number of this gateway's attempts without a complete response.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Applies a peer's report, which replaces its previous one.
    pub fn apply_report(&mut self, peer: PeerKey, lines: &[LoadLine], now: Now) {
        let max_age_ms = self.options.report_max_age_ms;
        self.reported.apply(peer, lines, max_age_ms, now);
    }

    /// Removes the reports of peers that another report includes.
    pub fn remove_reports(&mut self, is_included: impl Fn(PeerKey) -> bool) {
        self.reported.remove(is_included);
    }

    /// The load of this gateway and of the peers in `members` together.
    #[must_use]
    pub fn sum_with(&self, members: impl Iterator<Item = PeerKey>, now: Now) -> Vec<LoadLine> {
        let own = self.report().into_iter();
        let mut sums: IndexMap<EndpointKey, LoadLine> =
            own.map(|line| (line.endpoint, line)).collect();
        let max_age_ms = self.options.report_max_age_ms;
        let reports = members.filter_map(|peer| self.reported.lines(peer, max_age_ms, now));
        for line in reports.flatten() {
            sums.entry(line.endpoint)
                .and_modify(|sum| sum.add(*line))
                .or_insert(*line);
        }
        sums.into_values().collect()
    }

    /// This gateway's report for its peers.
    #[must_use]
    pub fn report(&self) -> Vec<LoadLine> {
        self.by_endpoint
            .iter()
            .map(|(endpoint, attempts)| self.own_load(*endpoint, attempts))
            .collect()
    }

    /// The current load of an endpoint.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn view(&self, endpoint: EndpointKey, now: Now) -> EndpointLoad {
        let mut view = EndpointLoad {
            slowness: self.slowness_now(endpoint, now),
            ..EndpointLoad::default()
        };
        if let Some(attempts) = self.by_endpoint.get(&endpoint) {
            let line = self.own_load(endpoint, attempts);
            view.add(line, f64::from(line.waiting_tokens));
            view.slowness = view.slowness.max(self.overdue_ratio(attempts, now));
        }
        let max_age_ms = self.options.report_max_age_ms;
        let reported = self.reported.sum(endpoint, max_age_ms, now);
        view.in_flight += reported.in_flight;
        view.memory_tokens += reported.memory_tokens;
        if reported.waiting_tokens > 0 {
            let waiting_tokens = reported.waiting_tokens as f64;
            let token_ages = reported.token_age_ms as f64;
            // The endpoint has prefilled some of these tokens since the reports, one request
            // after the other.
            let mean_age_ms = token_ages / waiting_tokens;
            view.reported_tokens = waiting_tokens;
            view.report_age_ms = mean_age_ms;
            let processed_tokens = mean_age_ms * self.options.prefill_tokens_per_ms / view.slowness;
            view.waiting_tokens += (waiting_tokens - processed_tokens).max(0.0);
        }
        view
    }

    fn own_load(&self, endpoint: EndpointKey, attempts: &IndexMap<u64, ()>) -> LoadLine {
        let records = attempts.keys().filter_map(|key| self.attempts.get(key));
        let mut waiting_tokens = 0;
        let mut memory_tokens = 0;
        let mut in_flight = 0;
        for record in records {
            in_flight += 1;
            memory_tokens += record.sent.memory_tokens;
            if record.is_waiting {
                waiting_tokens += record.sent.prefill_tokens;
            }
        }
        LoadLine {
            endpoint,
            waiting_tokens: u32::try_from(waiting_tokens).unwrap_or(u32::MAX),
            in_flight,
            memory_tokens: u32::try_from(memory_tokens).unwrap_or(u32::MAX),
        }
    }

    /// Ratio of elapsed to predicted time of the most overdue waiting attempt.
    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    fn overdue_ratio(&self, attempts: &IndexMap<u64, ()>, now: Now) -> f64 {
        let waiting = attempts.keys().filter_map(|key| self.attempts.get(key));
        waiting
            .filter(|record| record.is_waiting)
            .map(|record| {
                let elapsed_ms = now.since_ms(record.sent_ms);
                let added_ms = self.own_delay.added_ms(record.own_delay_ms, now);
                elapsed_ms.saturating_sub(added_ms) as f64 / record.sent.predicted_ms.max(1.0)
            })
            .fold(0.0, f64::max)
            .min(self.options.max_slowness)
    }

    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    fn slowness_now(&self, endpoint: EndpointKey, now: Now) -> f64 {
        let Some(slowness) = self.slowness.get(&endpoint) else {
            return 1.0;
        };
        let half_lives = now.since_ms(slowness.at_ms) as f64 / self.options.slowness_half_life_ms;
        1.0 + (slowness.factor - 1.0) * 0.5_f64.powf(half_lives)
    }

    #[expect(clippy::cast_precision_loss, reason = "durations are far below 2^52")]
    fn update_slowness(&mut self, record: Attempt, elapsed_ms: u64, now: Now) {
        // The endpoint took at most `elapsed_ms`, and less by at most what this gateway added. If the
        // prediction lies between, it may be right.
        let added_ms = self.own_delay.added_ms(record.own_delay_ms, now);
        let shortest_ms = elapsed_ms.saturating_sub(added_ms) as f64;
        let predicted_ms = record.sent.predicted_ms.max(1.0);
        let observed = predicted_ms.clamp(shortest_ms, elapsed_ms as f64) / predicted_ms;
        let observed = observed.clamp(0.25, self.options.max_slowness);
        let before = self.slowness_now(record.endpoint, now);
        // The prediction already included the slowness at that time.
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

/// Maximum number of endpoints whose slowness is tracked; larger than any fleet.
const MAX_ENDPOINTS: usize = 16_384;

impl EndpointLoad {
    fn add(&mut self, line: LoadLine, waiting_tokens: f64) {
        self.waiting_tokens += waiting_tokens;
        self.in_flight += u64::from(line.in_flight);
        self.memory_tokens += u64::from(line.memory_tokens);
    }
}
