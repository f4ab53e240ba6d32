//! Whether an endpoint may be sent a request, at its placement and right before it is sent.

use super::control::{Control, PlacementRequest};
use super::directory::{EndpointRun, endpoint_run};
use crate::state::gateway::EndpointEntry;
use crate::state::{EndpointId, Now};

/// Why an endpoint must not be sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ineligible {
    /// It accepts no requests: it is leaving, or another endpoint has its address.
    NotAccepting,
    /// Its data centre is evacuated.
    Evacuated,
    /// It asked for a pause, which ends after this time.
    Paused {
        /// The time left.
        left_ms: u64,
    },
}

impl Control {
    /// Why an endpoint must not be sent a request now; `None` if it may be.
    #[must_use]
    pub fn ineligibility(
        &self,
        entry: &EndpointEntry,
        request: PlacementRequest<'_>,
        now: Now,
    ) -> Option<Ineligible> {
        let _ = request;
        if !self.directory.accepts_requests(&entry.endpoint) {
            return Some(Ineligible::NotAccepting);
        }
        if self.evacuations.is_evacuated(&entry.data_centre) {
            return Some(Ineligible::Evacuated);
        }
        let pause_ms = self.pauses.left_ms(run_of(entry), now);
        pause_ms.map(|left_ms| Ineligible::Paused { left_ms })
    }

    /// The endpoints that may be sent a request now.
    pub fn eligible<'a>(
        &'a self,
        request: PlacementRequest<'a>,
        now: Now,
    ) -> impl Iterator<Item = &'a EndpointEntry> {
        self.directory
            .accepting(request.service)
            .filter(move |entry| self.ineligibility(entry, request, now).is_none())
    }

    /// Whether the endpoint that was chosen for a request may still be sent it.
    #[must_use]
    pub fn may_send(
        &self,
        endpoint: &EndpointId,
        run: EndpointRun,
        request: PlacementRequest<'_>,
        now: Now,
    ) -> bool {
        self.directory.entry(endpoint).is_some_and(|entry| {
            self.pauses.left_ms(run, now).is_none()
                && self.ineligibility(entry, request, now).is_none()
        })
    }

    /// The time until the first endpoint may be sent a request, if all that could take it are paused.
    #[must_use]
    pub fn service_pause_ms(&self, request: PlacementRequest<'_>, now: Now) -> Option<u64> {
        let accepting = self.directory.accepting(request.service);
        let pauses = accepting.filter_map(|entry| match self.ineligibility(entry, request, now) {
            None => Some(None),
            Some(Ineligible::Paused { left_ms }) => Some(Some(left_ms)),
            Some(Ineligible::NotAccepting | Ineligible::Evacuated) => None,
        });
        // `None` orders before any pause.
        pauses.min().flatten()
    }

    /// Why no endpoint could be chosen, as written to logs and metrics, if none is paused.
    pub(super) fn reason_without_endpoint(
        &self,
        request: PlacementRequest<'_>,
        now: Now,
    ) -> &'static str {
        let accepting = self.directory.accepting(request.service);
        let mut reason = "no-endpoint";
        for entry in accepting {
            match self.ineligibility(entry, request, now) {
                // It failed the request before.
                None => return "no-endpoint",
                Some(Ineligible::Evacuated) => reason = "evacuated",
                Some(Ineligible::Paused { .. } | Ineligible::NotAccepting) => (),
            }
        }
        reason
    }

    /// The endpoints of a data centre whose evacuation ended at `now`. They had no requests for a while,
    /// so each of them may be cold.
    #[must_use]
    pub fn evacuation_ended(&self, data_centre: &str, _now: Now) -> Vec<EndpointId> {
        let entries = self.directory.all_entries();
        entries
            .filter(|entry| entry.data_centre == data_centre)
            .map(|entry| entry.endpoint.clone())
            .collect()
    }

    /// Whether a data centre has endpoints or a region, or is that of this gateway.
    #[must_use]
    pub fn is_data_centre(&self, name: &str) -> bool {
        self.options.data_centre == name
            || self.options.regions.contains_key(name)
            || self
                .directory
                .all_entries()
                .any(|entry| entry.data_centre == name)
    }
}

fn run_of(entry: &EndpointEntry) -> EndpointRun {
    endpoint_run(&entry.endpoint, entry.started_unix_ms)
}
