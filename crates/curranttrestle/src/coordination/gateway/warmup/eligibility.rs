//! What the warm-up of endpoints means for the decisions on each request.

use super::{ColdChange, ColdLimit, ColdStatus};
use crate::coordination::gateway::control::{Control, PlacementRequest};
use crate::coordination::gateway::placement::Choice;
use crate::state::gateway::EndpointEntry;
use crate::state::{EndpointId, Now};

/// The reason of a refusal because only cold endpoints are left and this gateway may not send to
/// them now.
pub const ENDPOINTS_COLD: &str = "endpoints-cold";

/// How much slower than a warm endpoint a cold one is predicted to be. How slow it is differs
/// between deployments and is not announced.
const COLD_SLOWNESS: f64 = 3.0;

/// Decides between the best warm and the best cold endpoint.
#[must_use]
pub fn prefer_warm(warm: Option<Choice>, cold: Option<Choice>) -> Option<Choice> {
    let Some(cold) = cold else {
        return warm;
    };
    let cold = Choice {
        predicted_ms: cold.predicted_ms * COLD_SLOWNESS,
        ..cold
    };
    let is_preferred =
        |warm: &Choice| warm.predicted_ms <= cold.predicted_ms && warm.room <= cold.room;
    warm.filter(is_preferred).or(Some(cold))
}

impl Control {
    /// Whether the warm-up of an endpoint allows a request to it now.
    #[must_use]
    pub fn cold_status(&self, entry: &EndpointEntry, now: Now) -> ColdStatus {
        let limit = self.cold_limit(&entry.service);
        limit.map_or(ColdStatus::Warm, |limit| {
            self.cold.status(&entry.endpoint, &limit, now)
        })
    }

    /// Takes a permit for a request that is sent to an endpoint of `service` now. Returns false if
    /// the endpoint is cold and this gateway may not send to it now.
    #[must_use]
    pub fn take_permit(&mut self, service: &str, endpoint: &EndpointId, now: Now) -> bool {
        let limit = self.cold_limit(service);
        limit.is_none_or(|limit| self.cold.take_permit(endpoint, &limit, now))
    }

    /// Records that a request was placed on an endpoint.
    pub(in crate::coordination::gateway) fn record_cold_placement(
        &mut self,
        service: &str,
        endpoint: &EndpointId,
        now: Now,
    ) {
        if let Some(limit) = self.cold_limit(service) {
            self.cold.record_placed(endpoint, &limit, now);
        }
    }

    /// The limit on requests to cold endpoints of a service; `None` if there is none.
    fn cold_limit(&self, service: &str) -> Option<ColdLimit> {
        let options = self.cold.options()?;
        let service = self.routes()?.service(service)?;
        Some(ColdLimit::new(service.warmup?, options))
    }

    /// The time until this gateway may send the request to a cold endpoint; `None` if none of the
    /// endpoints that could take it is cold.
    pub(in crate::coordination::gateway) fn cold_wait_ms(
        &self,
        request: PlacementRequest<'_>,
        now: Now,
    ) -> Option<u64> {
        let limit = self.cold_limit(request.service)?;
        let candidates = self.eligible(request, now);
        let waits = candidates
            .filter(|entry| !request.excluded.contains(&entry.endpoint))
            .filter_map(
                |entry| match self.cold.status(&entry.endpoint, &limit, now) {
                    ColdStatus::Refused { after_ms } => Some(after_ms),
                    ColdStatus::Warm | ColdStatus::Permitted => None,
                },
            );
        waits.min()
    }

    /// Divides the endpoints of `service` into those that are not cold and cold ones that may be
    /// sent a request now.
    pub(in crate::coordination::gateway) fn split_cold<'a>(
        &self,
        service: &str,
        entries: Vec<&'a EndpointEntry>,
        now: Now,
    ) -> (Vec<&'a EndpointEntry>, Vec<&'a EndpointEntry>) {
        let Some(limit) = self.cold_limit(service) else {
            return (entries, Vec::new());
        };
        let (mut warm, mut cold) = (Vec::with_capacity(entries.len()), Vec::new());
        for entry in entries {
            match self.cold.status(&entry.endpoint, &limit, now) {
                ColdStatus::Warm => warm.push(entry),
                ColdStatus::Permitted => cold.push(entry),
                ColdStatus::Refused { .. } => (),
            }
        }
        (warm, cold)
    }

    /// Records that an endpoint may have become cold unnoticed, as after an evacuation.
    pub fn record_possibly_cold(&mut self, endpoint: &EndpointId, now: Now) {
        self.cold.record_possibly_cold(endpoint, now);
    }

    /// Applies what was read from the directory since the last call.
    pub fn apply_sightings(&mut self, now: Now) {
        for sighting in self.directory.take_sightings() {
            self.cold.record_sighting(sighting, now);
        }
    }

    /// Returns which endpoints became cold or warm since the last call.
    pub fn update_cold(&mut self, now: Now) -> Vec<ColdChange> {
        self.apply_sightings(now);
        let Some(options) = self.cold.options() else {
            return Vec::new();
        };
        let services = self
            .routes()
            .map(|table| table.config().services.as_slice());
        let limits: Vec<(String, ColdLimit)> = services
            .unwrap_or_default()
            .iter()
            .filter_map(|service| {
                let limit = ColdLimit::new(service.warmup?, options);
                Some((service.name.clone(), limit))
            })
            .collect();
        self.cold.update(&limits, now)
    }
}
