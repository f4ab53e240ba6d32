//! The attempts that run on each endpoint, with a history for delayed load reports.

use std::collections::VecDeque;

use curranttrestle::protocol::endpoint::{LoadReport, running_digest};
use curranttrestle::state::{EndpointId, Now};
use indexmap::{IndexMap, IndexSet};

use super::sheet::MODEL_POOL;

/// The attempts of one endpoint.
#[derive(Debug, Default)]
struct Endpoint {
    running: IndexSet<String>,
    /// Earlier states, each with the time at which it ended, oldest first.
    history: VecDeque<(u64, Vec<String>)>,
}

/// The attempts that run on each endpoint.
#[derive(Debug, Default)]
pub struct Endpoints {
    lag_ms: u64,
    endpoints: IndexMap<EndpointId, Endpoint>,
}

impl Endpoints {
    /// Creates endpoints whose load reports show the state of `lag_ms` ago.
    pub fn with_lag(lag_ms: u64) -> Self {
        Self {
            lag_ms,
            ..Self::default()
        }
    }

    /// The attempts that currently run on an endpoint.
    pub fn running(&self, endpoint: &EndpointId) -> Vec<&str> {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.map_or_else(Vec::new, |endpoint| {
            endpoint.running.iter().map(String::as_str).collect()
        })
    }

    /// Records that an attempt has started.
    pub fn start_attempt(&mut self, endpoint: &EndpointId, attempt: &str, now: Now) {
        let lag_ms = self.lag_ms;
        let endpoint = self.endpoints.entry(endpoint.clone()).or_default();
        endpoint.save_state(lag_ms, now);
        endpoint.running.insert(attempt.to_owned());
    }

    /// Records that an attempt has ended.
    pub fn end_attempt(&mut self, endpoint: &EndpointId, attempt: &str, now: Now) {
        let lag_ms = self.lag_ms;
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.save_state(lag_ms, now);
            endpoint.running.swap_remove(attempt);
        }
    }

    /// The load report of an endpoint, delayed by the lag.
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
    fn save_state(&mut self, lag_ms: u64, now: Now) {
        if lag_ms == 0 {
            return;
        }
        let running = self.running.iter().cloned().collect();
        self.history.push_back((now.steady_ms, running));
        let oldest_ms = now.steady_ms.saturating_sub(lag_ms);
        while self
            .history
            .front()
            .is_some_and(|(until_ms, _)| *until_ms < oldest_ms)
        {
            self.history.pop_front();
        }
    }

    fn running_at(&self, at_ms: u64) -> Vec<String> {
        let earlier = self.history.iter().find(|(until_ms, _)| *until_ms > at_ms);
        match earlier {
            Some((_, running)) => running.clone(),
            None => self.running.iter().cloned().collect(),
        }
    }
}
