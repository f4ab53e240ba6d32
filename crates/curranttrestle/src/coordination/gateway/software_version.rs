//! Identifies the software version of an endpoint.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::directory::EndpointRun;
use crate::state::gateway::EndpointEntry;

/// Keeps the keys of runs apart from those of entries.
const RUN_SEED: u64 = 1;

/// Compact hash of a service and a version of its software.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionKey(u32);

impl VersionKey {
    /// A version that cannot be determined. Nothing fits together with it.
    pub const UNKNOWN: Self = Self(0);

    /// The version of an endpoint.
    #[must_use]
    pub fn of(entry: &EndpointEntry) -> Self {
        Self::of_service(&entry.service, &entry.software_version)
    }

    /// A version of the software of a service.
    ///
    /// ```
    /// use curranttrestle::coordination::gateway::software_version::VersionKey;
    /// assert_ne!(VersionKey::of_service("a", "1"), VersionKey::of_service("b", "1"));
    /// ```
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the key is a truncated hash"
    )]
    pub fn of_service(service: &str, software_version: &str) -> Self {
        let service = xxh3_64(service.as_bytes());
        let hash = xxh3_64_with_seed(software_version.as_bytes(), service);
        Self(hash as u32)
    }

    /// The version of a run whose entry has not been read: it may be any, so it counts as one of its own.
    ///
    /// ```
    /// use curranttrestle::coordination::gateway::software_version::VersionKey;
    /// assert_eq!(VersionKey::of_unlisted_run(7), VersionKey::of_unlisted_run(7));
    /// assert_ne!(VersionKey::of_unlisted_run(7), VersionKey::of_unlisted_run(8));
    /// ```
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the key is a truncated hash"
    )]
    pub fn of_unlisted_run(run: EndpointRun) -> Self {
        Self(xxh3_64_with_seed(&run.to_le_bytes(), RUN_SEED) as u32)
    }
}
