//! Whether an endpoint may be sent a request, at its placement and right before it is sent.

use super::control::{Control, PlacementRequest};
use super::directory::EndpointRun;
use crate::state::gateway::EndpointEntry;
use crate::state::{EndpointId, Now};

/// Why an endpoint must not be sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ineligible {
    /// It accepts no requests: it is leaving, or another endpoint has its address.
    NotAccepting,
    /// Its data centre is in a region that the route or the customer does not allow.
    Region,
    /// The last read or announcement of evacuations is too old, and no read has been tried since.
    EvacuationsUnknown,
    /// Its data centre is evacuated.
    Evacuated,
    /// Its software has another version than the one that began the stream.
    SoftwareVersion,
    /// It asked for a pause, which ends after this time.
    Paused {
        /// The time left.
        left_ms: u64,
    },
}

/// The regions in which a request may run; empty lists allow all.
#[derive(Clone, Copy, Debug)]
struct AllowedRegions<'a> {
    route: &'a [String],
    customer: &'a [String],
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
        if !self.directory.accepts_requests(&entry.endpoint) {
            return Some(Ineligible::NotAccepting);
        }
        let request = self.with_listed_version(request);
        self.ineligibility_of_accepting(entry, request, self.allowed_regions(request), now)
    }

    /// The request with the version by which the directory lists the run that began the stream.
    fn with_listed_version<'a>(&self, request: PlacementRequest<'a>) -> PlacementRequest<'a> {
        let required = request.required_version;
        PlacementRequest {
            required_version: required.map(|version| self.listed_version(version)),
            ..request
        }
    }

    fn ineligibility_of_accepting(
        &self,
        entry: &EndpointEntry,
        request: PlacementRequest<'_>,
        allowed: AllowedRegions<'_>,
        now: Now,
    ) -> Option<Ineligible> {
        let unlisted_run = self.stated_runs.unlisted_run(entry);
        if unlisted_run.is_some_and(|run| self.directory.is_leaving(run)) {
            return Some(Ineligible::NotAccepting);
        }
        let required = request.required_version;
        if required.is_some_and(|version| version != self.stated_runs.version(entry)) {
            return Some(Ineligible::SoftwareVersion);
        }
        if !self.is_in_allowed_region(entry, allowed) {
            return Some(Ineligible::Region);
        }
        if !self.evacuations.may_be_used(now) {
            return Some(Ineligible::EvacuationsUnknown);
        }
        if self.evacuations.is_evacuated(&entry.data_centre) {
            return Some(Ineligible::Evacuated);
        }
        // Usually no pause is known, and the runs of all endpoints need not be hashed.
        if self.pauses.is_empty() {
            return None;
        }
        let pause_ms = self.pauses.left_ms(self.stated_runs.run(entry), now);
        pause_ms.map(|left_ms| Ineligible::Paused { left_ms })
    }

    /// The regions that the configuration in force allows for a request. It may be newer than the request.
    fn allowed_regions<'a>(&'a self, request: PlacementRequest<'a>) -> AllowedRegions<'a> {
        let table = self.routes();
        let route = table.and_then(|table| table.present_route(request.route));
        let customer = table.and_then(|table| table.customer_named(request.customer));
        AllowedRegions {
            route: &route.unwrap_or(request.route).allowed_regions,
            customer: customer.map_or(&[], |customer| &customer.allowed_regions),
        }
    }

    /// Whether an endpoint is in an allowed region. A data centre without a region is in none of them.
    fn is_in_allowed_region(&self, entry: &EndpointEntry, allowed: AllowedRegions<'_>) -> bool {
        let regions = &self.options.regions;
        let lists = [allowed.route, allowed.customer];
        if regions.is_empty() || lists.iter().all(|list| list.is_empty()) {
            return true;
        }
        let region = regions.get(&entry.data_centre);
        let allows = |list: &&[String]| {
            list.is_empty() || region.is_some_and(|region| list.contains(region))
        };
        lists.iter().all(allows)
    }

    /// The accepting endpoints of the service of a request, each with the reason why it must not be sent
    /// the request now, if any.
    fn accepting_endpoints<'a>(
        &'a self,
        request: PlacementRequest<'a>,
        now: Now,
    ) -> impl Iterator<Item = (&'a EndpointEntry, Option<Ineligible>)> {
        let request = self.with_listed_version(request);
        let allowed = self.allowed_regions(request);
        let accepting = self.directory.accepting(request.service);
        accepting.map(move |entry| {
            let ineligible = self.ineligibility_of_accepting(entry, request, allowed, now);
            (entry, ineligible)
        })
    }

    /// The endpoints that may be sent a request now.
    pub fn eligible<'a>(
        &'a self,
        request: PlacementRequest<'a>,
        now: Now,
    ) -> impl Iterator<Item = &'a EndpointEntry> {
        self.accepting_endpoints(request, now)
            .filter(|(_, ineligible)| ineligible.is_none())
            .map(|(entry, _)| entry)
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
        let endpoints = self.accepting_endpoints(request, now);
        let pauses = endpoints.filter_map(|(_, ineligible)| match ineligible {
            None => Some(None),
            Some(Ineligible::Paused { left_ms }) => Some(Some(left_ms)),
            Some(
                Ineligible::NotAccepting
                | Ineligible::Region
                | Ineligible::EvacuationsUnknown
                | Ineligible::Evacuated
                | Ineligible::SoftwareVersion,
            ) => None,
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
        let mut reason = "no-endpoint";
        for (_, ineligible) in self.accepting_endpoints(request, now) {
            reason = match ineligible {
                // It failed the request before.
                None => return "no-endpoint",
                Some(Ineligible::EvacuationsUnknown) => "evacuations-unknown",
                Some(Ineligible::Evacuated) => "evacuated",
                Some(Ineligible::Region) if reason == "no-endpoint" => "region",
                Some(Ineligible::SoftwareVersion) if reason == "no-endpoint" => "software-version",
                Some(
                    Ineligible::Region
                    | Ineligible::SoftwareVersion
                    | Ineligible::Paused { .. }
                    | Ineligible::NotAccepting,
                ) => reason,
            };
        }
        reason
    }

    /// Records that the evacuation of a data centre ended. Its endpoints had no requests for a while, so
    /// each of them may be cold. Returns their number.
    pub fn evacuation_ended(&mut self, data_centre: &str, now: Now) -> usize {
        let entries = self.directory.all_entries();
        let endpoints: Vec<EndpointId> = entries
            .filter(|entry| entry.data_centre == data_centre)
            .map(|entry| entry.endpoint.clone())
            .collect();
        for endpoint in &endpoints {
            self.record_possibly_cold(endpoint, now);
        }
        endpoints.len()
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
