//! Messages that spread which endpoints are leaving.
//!
//! The sheet and the operators' marks spread with the configuration. These messages carry
//! what routers learn elsewhere.

use serde::{Deserialize, Serialize};

use crate::state::EndpointId;

/// What a router knows of the leaving of endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotices {
    /// Endpoints that are or were leaving.
    pub notices: Vec<EndpointNotice>,
    /// Endpoints to be stopped on which attempts of the sender still run.
    pub busy: Vec<EndpointId>,
}

/// What a router knows of the leaving of one endpoint. Receivers keep the greater of each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The latest run of the endpoint that was seen.
    pub run: Option<u64>,
    /// The latest run that is leaving.
    pub leaving_run: Option<u64>,
    /// What the platform's list of instances said last.
    pub listed: Option<Listed>,
}

/// What the platform's list of instances said of an endpoint. The later one holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Listed {
    /// When the list was read, by the reader's wall clock.
    pub read_unix_ms: u64,
    /// Whether it said that the endpoint is leaving.
    pub leaving: bool,
}
