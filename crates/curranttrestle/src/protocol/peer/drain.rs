//! Messages that disseminate which endpoints are leaving.
//!
//! The sheet and the operators' marks are disseminated with the configuration. These messages
//! carry what routers learn from other sources.

use serde::{Deserialize, Serialize};

use crate::state::EndpointId;

/// What a router knows about leaving endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotices {
    /// Endpoints that are or were leaving.
    pub notices: Vec<EndpointNotice>,
    /// Endpoints to be stopped that still run attempts of the sender.
    pub busy: Vec<EndpointId>,
}

/// What a router knows about the leaving of one endpoint. Receivers merge each field by maximum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointNotice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The latest incarnation of the endpoint that was observed.
    pub run: Option<u64>,
    /// The latest incarnation that is leaving.
    pub leaving_run: Option<u64>,
    /// The endpoint's status in the platform's list of instances, as last read.
    pub listed: Option<ListedStatus>,
}

/// An endpoint's status in the platform's list of instances. The status that was read later
/// takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListedStatus {
    /// When the list was read, in milliseconds since the Unix epoch by the reader's clock.
    pub read_unix_ms: u64,
    /// Whether the endpoint was listed as leaving.
    pub leaving: bool,
}
