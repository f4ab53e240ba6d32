//! Entries of the endpoint directory.

use std::net::SocketAddr;

use crate::state::EndpointId;

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// It accepts requests.
    Ready,
    /// It is leaving and accepts no new requests.
    Leaving,
}

/// One endpoint in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The endpoint's id, usually a new one after each restart.
    pub endpoint: EndpointId,
    /// The service that it belongs to.
    pub service: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The version of its software. Responses of different versions do not fit together.
    pub software_version: String,
    /// Whether it accepts new requests.
    pub state: EntryState,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Start time as a Unix time, which distinguishes restarts under the same id.
    pub started_unix_ms: u64,
    /// How long the endpoint stayed cold from the writing of the entry on; zero if it was warm.
    pub warmup_left_ms: u64,
}
