//! Finds out whether an endpoint died when a connection to it broke.
//!
//! A broken connection alone proves nothing: something between the two ends may have closed
//! it. The endpoint is asked for its load. Without an answer, or with one of a later run, it
//! died, and what ran on it becomes suspect. The interrupted request waits for the verdict,
//! so that it does not crash a second endpoint unsuspected.

use crate::protocol::endpoint::LoadReport;
use crate::state::event::EventKind;
use crate::state::{EndpointId, Now, RequestId};

use super::active::RunningAttempt;
use super::{Effect, PollPurpose, RequestDigest, Router};

/// An interrupted attempt whose endpoint may have died.
#[derive(Clone, Debug)]
pub struct DeathCheck {
    /// The attempt.
    running: RunningAttempt,
    /// The digests of all requests that ran on the endpoint.
    digests: Vec<RequestDigest>,
    /// The run of the endpoint, where it is known.
    incarnation: Option<u64>,
    /// What was seen.
    detail: String,
}

impl DeathCheck {
    /// Whether the endpoint died, by its answer.
    fn is_dead(&self, report: Option<&LoadReport>) -> bool {
        match (report, self.incarnation) {
            (None, _) => true,
            (Some(report), Some(incarnation)) => report.incarnation != incarnation,
            (Some(_), None) => false,
        }
    }
}

impl Router {
    /// Asks an endpoint whether it still runs.
    pub(super) fn check_death(
        &mut self,
        running: RunningAttempt,
        digests: Vec<RequestDigest>,
        incarnation: Option<u64>,
        detail: String,
        now: Now,
    ) {
        let endpoint = running.endpoint.clone();
        if let Some(active) = self.active.requests.get_mut(&running.request) {
            active.lost = true;
        }
        let Some(address) = self.endpoint_address(&endpoint) else {
            self.attempt_interrupted(&running, &detail, now);
            return;
        };
        let is_checking = self
            .death_checks
            .iter()
            .any(|check| check.running.endpoint == endpoint);
        self.death_checks.push(DeathCheck {
            incarnation: incarnation.or_else(|| self.endpoints.incarnation(&endpoint)),
            running,
            digests,
            detail,
        });
        if !is_checking {
            self.effects.push(Effect::PollLoad {
                endpoint,
                purpose: PollPurpose::DeathCheck,
                address,
            });
        }
    }

    /// Whether another request with this digest waits for a verdict.
    pub(super) fn is_judged(&self, request: RequestId, digest: &RequestDigest) -> bool {
        self.death_checks
            .iter()
            .any(|check| check.running.request != request && check.digests.contains(digest))
    }

    /// Takes the verdict on an endpoint.
    pub(super) fn death_checked(
        &mut self,
        endpoint: &EndpointId,
        report: Option<&LoadReport>,
        now: Now,
    ) {
        let (checked, others) = std::mem::take(&mut self.death_checks)
            .into_iter()
            .partition(|check| check.running.endpoint == *endpoint);
        self.death_checks = others;
        let checked: Vec<DeathCheck> = checked;
        if checked.iter().any(|check| check.is_dead(report)) {
            self.endpoint_died(endpoint, &checked, now);
        }
        for check in checked {
            self.attempt_interrupted(&check.running, &check.detail, now);
        }
    }

    /// Makes suspects of all requests that ran on an endpoint that died.
    fn endpoint_died(&mut self, endpoint: &EndpointId, checked: &[DeathCheck], now: Now) {
        let mut digests: Vec<RequestDigest> = Vec::new();
        for digest in checked.iter().flat_map(|check| &check.digests) {
            if !digests.contains(digest) {
                digests.push(*digest);
            }
        }
        let alone = checked.iter().any(|check| check.running.exclusive);
        self.quarantine
            .endpoint_died(endpoint, &digests, alone, now);
        self.endpoint_unreachable(endpoint, now);
        self.emit(
            now,
            EventKind::Quarantine,
            None,
            &[("endpoint", endpoint), ("suspects", &digests.len())],
        );
        // Other routers hear of it before the caller can send its request again.
        let messages = self.quarantine.tick(self.membership.view(), now);
        self.send_all(messages, now);
    }
}
