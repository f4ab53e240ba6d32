//! The requests that a router is working on.

use indexmap::IndexMap;

use crate::coordination::cost::{Charge, CostHints};
use crate::coordination::queue::Waiting;
use crate::coordination::router::NewRequest;
use crate::protocol::peer::LeaseId;
use crate::state::sheet::EndpointKind;
use crate::state::{AccountId, AttemptId, EndpointId, Now, RequestId};

/// One running attempt.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request it runs.
    pub request: RequestId,
    /// The endpoint it runs on.
    pub endpoint: EndpointId,
    /// The lease of its slot; none under the naive policy.
    pub lease: Option<LeaseId>,
    /// What was charged for it so far.
    pub charge: Charge,
    /// What it has used so far, as last reported.
    pub used_units: f64,
    /// The first part of its answer has come.
    pub progressed: bool,
    /// When it was dispatched, in steady time.
    pub dispatched_ms: u64,
    /// It runs alone on its endpoint, because it is suspected of crashing endpoints.
    pub exclusive: bool,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its idempotency key is being claimed.
    Claiming,
    /// It waits for a slot.
    Waiting,
    /// At least one attempt runs.
    Running,
}

/// What the claim of a request's key has met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyHistory {
    /// No earlier request with the key.
    Fresh,
    /// An earlier request with the key, on record without a result.
    ClaimedBefore,
}

/// One request that a router is working on.
#[derive(Clone, Debug)]
pub struct ActiveRequest {
    /// The request as it came.
    pub new: NewRequest,
    /// What its service is charged to.
    pub account: AccountId,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether its endpoints stream.
    pub kind: EndpointKind,
    /// Its order among its customer's requests.
    pub priority: u8,
    /// What was known of its cost before it ran.
    pub hints: CostHints,
    /// Its expected cost.
    pub expected_units: f64,
    /// When it arrived, in steady time.
    pub arrived_ms: u64,
    /// Where it stands.
    pub stage: Stage,
    /// The attempt that holds the claim of its key.
    pub claim: Option<AttemptId>,
    /// What its claim has met.
    pub key_history: KeyHistory,
    /// When to look again for the result of an earlier request with the same key, in
    /// steady time.
    pub claim_again_ms: Option<u64>,
    /// The attempts that run.
    pub running: Vec<AttemptId>,
    /// Endpoints that should not be tried again yet.
    pub avoid: Vec<EndpointId>,
    /// Until when, in steady time; none before the first failed attempt.
    pub avoid_until_ms: Option<u64>,
    /// An attempt was handed to an endpoint and lost, so that it may have run.
    pub lost: bool,
    /// A second attempt was started beside the first.
    pub hedged: bool,
}

impl ActiveRequest {
    /// The request as it waits in its customer's queue, for any slot that it may run in.
    pub fn waiting(&self) -> Waiting {
        Waiting {
            request: self.new.request,
            account: self.account.clone(),
            priority: self.priority,
            expected_cost: self.expected_units,
            arrived_ms: self.arrived_ms,
            deadline_ms: self.new.deadline_ms,
            avoid: self.avoid.clone(),
            exclusive: false,
        }
    }

    /// Whether an attempt was handed to an endpoint and did not prove that it never began.
    pub fn handed_over(&self) -> bool {
        self.lost || !self.running.is_empty()
    }
}

/// All requests that a router is working on, with their attempts.
#[derive(Clone, Debug, Default)]
pub struct ActiveRequests {
    /// The requests.
    pub requests: IndexMap<RequestId, ActiveRequest>,
    /// The attempts that run.
    pub attempts: IndexMap<AttemptId, RunningAttempt>,
}

impl ActiveRequests {
    /// The digests of all requests that run on an endpoint.
    pub fn digests_on(&self, endpoint: &EndpointId) -> Vec<[u8; 16]> {
        self.attempts
            .values()
            .filter(|attempt| attempt.endpoint == *endpoint)
            .filter_map(|attempt| self.requests.get(&attempt.request))
            .map(|request| request.new.digest)
            .collect()
    }

    /// The digest of a request.
    pub fn digest_of(&self, request: &RequestId) -> Option<&[u8; 16]> {
        self.requests.get(request).map(|active| &active.new.digest)
    }

    /// Removes an attempt and takes it off its request.
    pub fn remove_attempt(&mut self, attempt: &AttemptId) -> Option<RunningAttempt> {
        let running = self.attempts.swap_remove(attempt)?;
        if let Some(request) = self.requests.get_mut(&running.request) {
            request.running.retain(|other| other != attempt);
        }
        Some(running)
    }

    /// How long an attempt has been running.
    pub fn age_ms(&self, attempt: &AttemptId, now: Now) -> u64 {
        self.attempts
            .get(attempt)
            .map_or(0, |running| now.since_ms(running.dispatched_ms))
    }
}
