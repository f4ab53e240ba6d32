//! Messages that disseminate which requests are suspected of crashing endpoints.

use serde::{Deserialize, Serialize};

use crate::state::EndpointId;

/// Requests that are suspected of crashing endpoints. Receivers merge them by union.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicions {
    /// One entry per request.
    pub suspects: Vec<Suspicion>,
}

/// What is known about one suspected request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The digest of the request's operation and body.
    pub digest: [u8; 16],
    /// The crashes of endpoints that were running it.
    pub deaths: Vec<EndpointCrash>,
    /// When it last ran alone without a crash, in milliseconds since the Unix epoch.
    pub cleared_unix_ms: u64,
    /// When it last ran beside other requests without a crash, in milliseconds since the Unix
    /// epoch.
    pub finished_unix_ms: u64,
}

/// The crash of an endpoint, as observed by one router. Observations are ordered by time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointCrash {
    /// When it was observed, in milliseconds since the Unix epoch by the observing router's clock.
    pub seen_unix_ms: u64,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whether the request was the only one running.
    pub alone: bool,
}
