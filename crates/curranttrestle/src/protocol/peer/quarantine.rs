//! Messages that spread which requests are suspected of crashing endpoints.

use serde::{Deserialize, Serialize};

use crate::state::EndpointId;

/// What is known of requests that may crash endpoints. Receivers take the union.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicions {
    /// What is known, by request.
    pub suspects: Vec<Suspicion>,
}

/// What is known of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The digest of its operation and body.
    pub digest: [u8; 16],
    /// The deaths of endpoints on which it ran.
    pub deaths: Vec<EndpointDeath>,
    /// When it last ran alone without harm, in milliseconds since the Unix epoch.
    pub cleared_unix_ms: u64,
    /// When it last ran beside others without harm, in milliseconds since the Unix epoch.
    pub finished_unix_ms: u64,
}

/// The death of an endpoint, as one router saw it. Sightings are ordered by time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointDeath {
    /// When it was seen, by the wall clock of the router that saw it.
    pub seen_unix_ms: u64,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Nothing else ran beside the request.
    pub alone: bool,
}
