//! Endpoints that retries of a request avoid.
//!
//! An endpoint that refused or lost an attempt of a request is avoided for [`AVOID_MS`], so
//! that the retry goes to another endpoint. After that, all endpoints are eligible again:
//! otherwise a request that every endpoint refused once would wait until its deadline.

use crate::state::{EndpointId, Now, RequestId};

use super::Router;
use super::active::{ActiveRequest, Stage};

/// How long retries avoid an endpoint after it refused or lost an attempt.
const AVOID_MS: u64 = 2_000;

impl ActiveRequest {
    /// Avoids an endpoint for [`AVOID_MS`].
    pub(super) fn avoid_endpoint(&mut self, endpoint: EndpointId, now: Now) {
        self.avoid_until_ms = Some(now.steady_ms + AVOID_MS);
        self.avoided.push(endpoint);
    }

    /// Whether an earlier attempt failed.
    pub(super) fn has_failed_attempt(&self) -> bool {
        self.avoid_until_ms.is_some()
    }
}

impl Router {
    /// Requeues requests whose avoidance period has ended, so that they may run on any endpoint.
    pub(super) fn tick_avoidance(&mut self, now: Now) {
        let waiting: Vec<RequestId> = self
            .active
            .requests
            .iter()
            .filter(|(_, active)| active.stage == Stage::Waiting && !active.avoided.is_empty())
            .filter(|(_, active)| active.avoid_until_ms <= Some(now.steady_ms))
            .map(|(request, _)| *request)
            .collect();
        for request in waiting {
            if let Some(active) = self.active.requests.get_mut(&request) {
                active.avoided.clear();
            }
            self.enqueue(request, now);
        }
    }
}
