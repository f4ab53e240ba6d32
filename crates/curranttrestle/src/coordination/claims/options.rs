//! Options of claims.

/// How claims are recorded, retried and deleted.
///
/// `bucket_ms`, `shards` and `retention_ms` determine which object holds a claim and until when, so
/// they must be the same on all routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimOptions {
    /// The range of key timestamps that share one bucket of claim objects.
    pub bucket_ms: u64,
    /// The number of claim objects per bucket.
    pub shards: u64,
    /// How long after its timestamp a key is valid.
    pub retention_ms: u64,
    /// How far in the future a key's timestamp may be.
    pub max_future_ms: u64,
    /// How long a bucket is retained after its last key expired. Must exceed the largest clock skew
    /// between two routers.
    pub deletion_margin_ms: u64,
    /// How long to wait for the preferred writer of an object before writing to the store directly.
    pub writer_timeout_ms: u64,
    /// How long to wait for a store call before it counts as lost.
    pub call_timeout_ms: u64,
    /// The initial backoff after a failed call; it doubles with each failure.
    pub retry_delay_ms: u64,
    /// The maximum backoff after a failed call.
    pub max_retry_delay_ms: u64,
    /// The maximum size of a recorded response body.
    pub max_body_bytes: usize,
    /// The maximum size of a claim object.
    pub max_object_bytes: usize,
    /// The maximum number of pending changes per object.
    pub max_pending_per_object: usize,
    /// The interval between two searches for expired buckets.
    pub sweep_interval_ms: u64,
    /// The maximum number of deletions in flight.
    pub max_deletes_in_flight: usize,
    /// Whether a violated invariant panics.
    pub fatal_invariants: bool,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            bucket_ms: 10_000,
            shards: 32,
            retention_ms: 6 * 3_600_000,
            max_future_ms: 60_000,
            deletion_margin_ms: 600_000,
            writer_timeout_ms: 100,
            call_timeout_ms: 2_000,
            retry_delay_ms: 50,
            max_retry_delay_ms: 500,
            max_body_bytes: 4_096,
            max_object_bytes: 900_000,
            max_pending_per_object: 4_096,
            sweep_interval_ms: 600_000,
            max_deletes_in_flight: 8,
            fatal_invariants: false,
        }
    }
}
