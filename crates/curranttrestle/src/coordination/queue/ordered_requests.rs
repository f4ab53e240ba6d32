//! The waiting requests of one class of one account, in order.

use std::collections::{BTreeMap, BTreeSet};

use crate::state::{EndpointId, Now, RequestId};

use super::WaitingRequest;

/// The sort key of a request; the request with the least key goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderKey {
    /// Arrival time plus penalties.
    pub(super) virtual_arrival_ms: u64,
    /// Breaks ties.
    pub(super) request: RequestId,
}

/// Requests sorted by [`OrderKey`].
#[derive(Debug, Default)]
pub(super) struct OrderedRequests {
    requests: BTreeMap<OrderKey, WaitingRequest>,
    arrivals: BTreeSet<(u64, RequestId)>,
    total_cost: f64,
}

impl OrderedRequests {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn total_cost(&self) -> f64 {
        self.total_cost
    }

    /// Returns when the oldest request arrived.
    pub(super) fn oldest_ms(&self) -> Option<u64> {
        self.arrivals.first().map(|(arrived_ms, _)| *arrived_ms)
    }

    pub(super) fn insert(&mut self, key: OrderKey, waiting: WaitingRequest) {
        self.total_cost += waiting.expected_cost;
        self.arrivals.insert((waiting.arrived_ms, waiting.request));
        self.requests.insert(key, waiting);
    }

    pub(super) fn remove(&mut self, key: &OrderKey) -> Option<WaitingRequest> {
        let waiting = self.requests.remove(key)?;
        self.arrivals.remove(&(waiting.arrived_ms, waiting.request));
        self.total_cost -= waiting.expected_cost;
        // Discards accumulated rounding errors once no request is left.
        if self.requests.is_empty() {
            self.total_cost = 0.0;
        }
        Some(waiting)
    }

    /// Returns all requests in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.requests.values()
    }

    pub(super) fn get(&self, key: &OrderKey) -> Option<&WaitingRequest> {
        self.requests.get(key)
    }

    /// Returns the first request that may run on `endpoint` and has not passed its deadline.
    pub(super) fn first(
        &self,
        endpoint: &EndpointId,
        now: Now,
    ) -> Option<(OrderKey, &WaitingRequest)> {
        self.requests
            .iter()
            .find(|(_, waiting)| {
                waiting.deadline_ms > now.steady_ms
                    && !waiting.excluded_endpoints.contains(endpoint)
            })
            .map(|(key, waiting)| (*key, waiting))
    }
}
