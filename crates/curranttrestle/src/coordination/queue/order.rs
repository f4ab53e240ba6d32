//! The ordered requests of one class of one account.

use std::collections::{BTreeMap, BTreeSet};

use crate::state::{EndpointId, Now, RequestId};

use super::Waiting;

/// The place of a request in the order; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    /// Its arrival plus its penalties.
    pub(super) virtual_arrival_ms: u64,
    /// Breaks ties.
    pub(super) request: RequestId,
}

/// Requests in order.
#[derive(Debug, Default)]
pub(super) struct Order {
    places: BTreeMap<Place, Waiting>,
    arrivals: BTreeSet<(u64, RequestId)>,
    total_cost: f64,
}

impl Order {
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    pub(super) fn total_cost(&self) -> f64 {
        self.total_cost
    }

    /// The arrival of the oldest request.
    pub(super) fn oldest_ms(&self) -> Option<u64> {
        self.arrivals.first().map(|(arrived_ms, _)| *arrived_ms)
    }

    pub(super) fn insert(&mut self, place: Place, waiting: Waiting) {
        self.total_cost += waiting.expected_cost;
        self.arrivals.insert((waiting.arrived_ms, waiting.request));
        self.places.insert(place, waiting);
    }

    pub(super) fn remove(&mut self, place: &Place) -> Option<Waiting> {
        let waiting = self.places.remove(place)?;
        self.arrivals.remove(&(waiting.arrived_ms, waiting.request));
        self.total_cost -= waiting.expected_cost;
        // Rounding errors end with the last request.
        if self.places.is_empty() {
            self.total_cost = 0.0;
        }
        Some(waiting)
    }

    /// All requests, in order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.places.values()
    }

    pub(super) fn get(&self, place: &Place) -> Option<&Waiting> {
        self.places.get(place)
    }

    /// The first request that may run on `endpoint`.
    pub(super) fn first(&self, endpoint: &EndpointId, now: Now) -> Option<(Place, &Waiting)> {
        self.places
            .iter()
            .find(|(_, waiting)| {
                waiting.deadline_ms > now.steady_ms && !waiting.avoid.contains(endpoint)
            })
            .map(|(place, waiting)| (*place, waiting))
    }
}
