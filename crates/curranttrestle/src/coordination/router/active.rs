//! Active requests of a router and their attempts.

use indexmap::IndexMap;

use crate::coordination::cost::{Charge, CostHints};
use crate::coordination::queue::WaitingRequest;
use crate::coordination::router::NewRequest;
use crate::protocol::peer::LeaseId;
use crate::state::sheet::EndpointKind;
use crate::state::{AccountId, AttemptId, EndpointId, Now, RequestId};

/// A running attempt.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// ID of the attempt.
    pub attempt: AttemptId,
    /// Request that it runs.
    pub request: RequestId,
    /// Endpoint on which it runs.
    pub endpoint: EndpointId,
    /// Lease of its slot, `None` under the naive policy.
    pub lease: Option<LeaseId>,
    /// Service charged for it so far.
    pub charge: Charge,
    /// Cost so far as last reported, in units of the pool.
    pub used_units: f64,
    /// Whether the first part of its response was received.
    pub progressed: bool,
    /// When it was dispatched, on the steady clock.
    pub dispatched_ms: u64,
    /// Whether it runs exclusively on its endpoint because it is suspected of crashing endpoints.
    pub exclusive: bool,
}

/// Stage of a request's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its idempotency key is being claimed.
    Claiming,
    /// It is queued or held until a slot can be used.
    Waiting,
    /// An attempt runs, or the crash check of its endpoint is pending.
    Running,
}

/// Whether the idempotency key of a request was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyHistory {
    /// No earlier request with the key is known.
    Unclaimed,
    /// An earlier request with the key is recorded without a result.
    ClaimedBefore,
}

/// A request that a router is processing.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// The request as received.
    pub new: NewRequest,
    /// Account that is charged for its service.
    pub account: AccountId,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Kind of its pool's endpoints. Only models stream their responses.
    pub kind: EndpointKind,
    /// Its priority among its customer's requests.
    pub priority: u8,
    /// Cost hints known before it ran.
    pub hints: CostHints,
    /// Expected cost, in units of the pool.
    pub expected_units: f64,
    /// When it arrived, on the steady clock.
    pub arrived_ms: u64,
    /// Current stage.
    pub stage: Stage,
    /// Attempt ID under which its idempotency key is claimed.
    pub claim: Option<AttemptId>,
    /// Whether its idempotency key was used before.
    pub key_history: KeyHistory,
    /// When to check again for the result of an earlier request with the same key, on the
    /// steady clock.
    pub claim_retry_at_ms: Option<u64>,
    /// Running attempts.
    pub running: Vec<AttemptId>,
    /// Endpoints that the next attempt avoids.
    pub avoided: Vec<EndpointId>,
    /// End of the avoidance period on the steady clock, `None` before the first failed attempt.
    pub avoid_until_ms: Option<u64>,
    /// Whether an attempt was lost after its dispatch, so that it may have run.
    pub attempt_lost: bool,
    /// Whether a hedge was queued.
    pub hedged: bool,
}

impl ActiveRequest {
    /// Returns the queue entry of the request, for a shared slot.
    pub fn waiting(&self) -> WaitingRequest {
        WaitingRequest {
            request: self.new.request,
            account: self.account.clone(),
            priority: self.priority,
            expected_cost: self.expected_units,
            arrived_ms: self.arrived_ms,
            deadline_ms: self.new.deadline_ms,
            excluded_endpoints: self.avoided.clone(),
            exclusive: false,
        }
    }

    /// Whether an attempt may have started: one is running or was lost after its dispatch.
    pub fn may_have_started(&self) -> bool {
        self.attempt_lost || !self.running.is_empty()
    }
}

/// All active requests of a router, with their attempts.
#[derive(Clone, Debug, Default)]
pub struct ActiveRequests {
    /// Active requests.
    pub requests: IndexMap<RequestId, ActiveRequest>,
    /// Running attempts.
    pub attempts: IndexMap<AttemptId, RunningAttempt>,
}

impl ActiveRequests {
    /// Returns the digests of all requests that run on an endpoint.
    pub fn digests_on(&self, endpoint: &EndpointId) -> Vec<[u8; 16]> {
        self.attempts
            .values()
            .filter(|attempt| attempt.endpoint == *endpoint)
            .filter_map(|attempt| self.requests.get(&attempt.request))
            .map(|request| request.new.digest)
            .collect()
    }

    /// Returns the digest of a request.
    pub fn digest_of(&self, request: &RequestId) -> Option<&[u8; 16]> {
        self.requests.get(request).map(|active| &active.new.digest)
    }

    /// Removes an attempt, also from its request.
    pub fn remove_attempt(&mut self, attempt: &AttemptId) -> Option<RunningAttempt> {
        let running = self.attempts.swap_remove(attempt)?;
        if let Some(request) = self.requests.get_mut(&running.request) {
            request.running.retain(|other| other != attempt);
        }
        Some(running)
    }

    /// Returns the elapsed time since an attempt was dispatched, zero if it is not running.
    pub fn age_ms(&self, attempt: &AttemptId, now: Now) -> u64 {
        self.attempts
            .get(attempt)
            .map_or(0, |running| now.since_ms(running.dispatched_ms))
    }
}
