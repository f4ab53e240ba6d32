//! What the directory of instances says of an endpoint.

use std::net::SocketAddr;

use crate::state::EndpointId;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// It takes work.
    Ready,
    /// It is leaving and takes no new work.
    Leaving,
}

/// One endpoint of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The endpoint's id; mostly a new one at each start.
    pub endpoint: EndpointId,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it takes new work.
    pub state: EntryState,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// When it started, as a Unix time; tells two starts under one id apart.
    pub started_unix_ms: u64,
}
