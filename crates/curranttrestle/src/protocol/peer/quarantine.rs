//! Messages that spread which requests are suspected of crashing endpoints.

use serde::{Deserialize, Serialize};

use crate::state::EndpointId;

/// Deaths of endpoints with what ran on them. Receivers take the union.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicions {
    /// The deaths.
    pub deaths: Vec<EndpointDeath>,
    /// Requests that ran alone without harm.
    pub cleared: Vec<Cleared>,
}

/// The death of one run of an endpoint, as one router saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDeath {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When it was seen, by the wall clock of the router that saw it.
    pub seen_unix_ms: u64,
    /// The digests of the requests of that router that ran on it.
    pub running: Vec<SuspectDigest>,
}

/// The digest of a request that ran on an endpoint when it died.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectDigest {
    /// The digest of operation and body.
    pub digest: [u8; 16],
    /// Nothing else ran beside it, so that it alone is to blame.
    pub alone: bool,
}

/// A request that was suspected and then ran alone without harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cleared {
    /// The digest of operation and body.
    pub digest: [u8; 16],
    /// When, by the wall clock of the router that ran it.
    pub cleared_unix_ms: u64,
}
