//! What runs on each endpoint, now and a while ago.

use std::collections::VecDeque;

use curranttrestle::protocol::endpoint::{LoadReport, running_digest};
use curranttrestle::state::{EndpointId, Now};
use indexmap::{IndexMap, IndexSet};

use super::sheet::MODEL_POOL;

/// The attempts of one endpoint.
#[derive(Debug, Default)]
struct Endpoint {
    running: IndexSet<String>,
    /// Earlier states with the time until which they held, the oldest first.
    past: VecDeque<(u64, Vec<String>)>,
}

/// What runs on each endpoint.
#[derive(Debug, Default)]
pub struct Endpoints {
    lag_ms: u64,
    endpoints: IndexMap<EndpointId, Endpoint>,
}

impl Endpoints {
    /// Endpoints whose reports show the state of `lag_ms` ago.
    pub fn with_lag(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            ..Self::default()
        }
    }

    /// The attempts that run on an endpoint.
    pub fn running(&self, endpoint: &EndpointId) -> Vec<&str> {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.map_or_else(Vec::new, |endpoint| {
            endpoint.running.iter().map(String::as_str).collect()
        })
    }

    /// Notes that an attempt begins.
    pub fn begin(&mut self, endpoint: &EndpointId, attempt: &str, now: Now) {
        let lag_ms = self.lag_ms;
        let endpoint = self.endpoints.entry(endpoint.clone()).or_default();
        endpoint.remember(lag_ms, now);
        endpoint.running.insert(attempt.to_owned());
    }

    /// Notes that an attempt has ended.
    pub fn end(&mut self, endpoint: &EndpointId, attempt: &str, now: Now) {
        let lag_ms = self.lag_ms;
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.remember(lag_ms, now);
            endpoint.running.swap_remove(attempt);
        }
    }

    /// The load report of an endpoint.
    pub fn report(&self, endpoint: &EndpointId, slots: u32, now: Now) -> LoadReport {
        let at_ms = now.steady_ms.saturating_sub(self.lag_ms);
        let running = self
            .endpoints
            .get(endpoint)
            .map_or_else(Vec::new, |endpoint| endpoint.running_at(at_ms));
        LoadReport {
            endpoint: endpoint.clone(),
            incarnation: 1,
            taken_unix_ms: now.unix_ms.saturating_sub(self.lag_ms),
            running_digest: running_digest(running.iter().map(String::as_str)),
            running,
            slots,
            draining: false,
            model: MODEL_POOL.into(),
            role: String::new(),
        }
    }
}

impl Endpoint {
    fn remember(&mut self, lag_ms: u64, now: Now) {
        if lag_ms == 0 {
            return;
        }
        let running = self.running.iter().cloned().collect();
        self.past.push_back((now.steady_ms, running));
        let oldest_ms = now.steady_ms.saturating_sub(lag_ms);
        while self
            .past
            .front()
            .is_some_and(|(until, _)| *until < oldest_ms)
        {
            self.past.pop_front();
        }
    }

    fn running_at(&self, at_ms: u64) -> Vec<String> {
        let past = self.past.iter().find(|(until_ms, _)| *until_ms > at_ms);
        match past {
            Some((_, running)) => running.clone(),
            None => self.running.iter().cloned().collect(),
        }
    }
}
