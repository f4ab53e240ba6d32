//! Identifies the software version of an endpoint.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::state::gateway::EndpointEntry;

/// Compact hash of a service and a version of its software.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionKey(u32);

impl VersionKey {
    /// The version of an endpoint.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the key is a truncated hash"
    )]
    pub fn of(entry: &EndpointEntry) -> Self {
        let service = xxh3_64(entry.service.as_bytes());
        let hash = xxh3_64_with_seed(entry.software_version.as_bytes(), service);
        Self(hash as u32)
    }
}
