//! Which endpoints a request is not sent to again.
//!
//! An endpoint that refused or lost an attempt of a request is passed over for a while, so
//! that another one is tried first. When no other has had a slot by then, it counts again:
//! otherwise a request that every endpoint refused once would wait until its deadline.

use crate::state::{EndpointId, Now, RequestId};

use super::Router;
use super::active::{ActiveRequest, Stage};

/// How long a request waits for a slot of an endpoint that it has not tried.
const AVOID_MS: u64 = 2_000;

impl ActiveRequest {
    /// Passes an endpoint over for a while.
    pub(super) fn avoid(&mut self, endpoint: EndpointId, now: Now) {
        self.avoid_until_ms = Some(now.steady_ms + AVOID_MS);
        self.avoid.push(endpoint);
    }

    /// Whether an attempt failed before.
    pub(super) fn was_tried(&self) -> bool {
        self.avoid_until_ms.is_some()
    }
}

impl Router {
    /// Lets requests that found no other endpoint in time go to any again.
    pub(super) fn tick_avoidance(&mut self, now: Now) {
        let waiting: Vec<RequestId> = self
            .active
            .requests
            .iter()
            .filter(|(_, active)| active.stage == Stage::Waiting && !active.avoid.is_empty())
            .filter(|(_, active)| active.avoid_until_ms <= Some(now.steady_ms))
            .map(|(request, _)| *request)
            .collect();
        for request in waiting {
            if let Some(active) = self.active.requests.get_mut(&request) {
                active.avoid.clear();
            }
            self.enqueue(request, now);
        }
    }
}
