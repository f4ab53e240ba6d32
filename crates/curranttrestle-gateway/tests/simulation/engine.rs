//! An engine that prefills prompts in order of arrival and keeps shared prompts in its cache.

use std::collections::{BTreeSet, VecDeque};

/// Requests that run at the same time.
pub const SLOTS: usize = 16;

/// Time to the first event without prefill.
const BASE_MS: f64 = 10.0;

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub request: u64,
    /// The shared prompt and its tokens.
    pub shared: u64,
    pub shared_tokens: u64,
    /// Prompt tokens of this request only.
    pub own_tokens: u64,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The first event was sent.
    Started(u64),
    /// The response is complete.
    Finished(u64),
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    prefill_tokens_per_ms: f64,
    response_ms: u64,
    cached: BTreeSet<u64>,
    waiting: VecDeque<Job>,
    /// The request in prefill and when this ends.
    prefilling: Option<(u64, f64)>,
    /// Requests that send their response, and when each ends.
    responding: Vec<(u64, u64)>,
}

impl Engine {
    /// Creates an idle engine. A response ends `response_ms` after its first event.
    pub fn new(prefill_tokens_per_ms: f64, response_ms: u64) -> Self {
        Self {
            prefill_tokens_per_ms,
            response_ms,
            cached: BTreeSet::new(),
            waiting: VecDeque::new(),
            prefilling: None,
            responding: Vec::new(),
        }
    }

    pub fn push(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Returns what happened until `now_ms`.
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    pub fn advance(&mut self, now_ms: u64) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        self.responding.retain(|(request, end_ms)| {
            let is_running = *end_ms > now_ms;
            if !is_running {
                events.push(EngineEvent::Finished(*request));
            }
            is_running
        });
        if let Some((request, end_ms)) = self.prefilling
            && end_ms <= now_ms as f64
        {
            events.push(EngineEvent::Started(request));
            self.responding.push((request, now_ms + self.response_ms));
            self.prefilling = None;
        }
        if self.prefilling.is_none()
            && self.responding.len() < SLOTS
            && let Some(job) = self.waiting.pop_front()
        {
            let shared_tokens = if self.cached.insert(job.shared) {
                job.shared_tokens
            } else {
                0
            };
            let tokens = (job.own_tokens + shared_tokens) as f64;
            let end_ms = now_ms as f64 + BASE_MS + tokens / self.prefill_tokens_per_ms;
            self.prefilling = Some((job.request, end_ms));
        }
        events
    }
}
