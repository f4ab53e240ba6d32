//! The settings of claims.

/// How claims are kept.
///
/// `bucket_ms`, `shards` and `retention_ms` decide where a claim is looked for and until
/// when, so that they must be the same at all routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimOptions {
    /// The span of key times that share the claim objects of one bucket.
    pub bucket_ms: u64,
    /// The number of claim objects of one bucket.
    pub shards: u64,
    /// How long after its own time a key can be used.
    pub retention_ms: u64,
    /// How far in the future a key's own time may lie.
    pub max_future_ms: u64,
    /// How long a bucket is kept after its last key went out of use. It must exceed the
    /// largest difference between the clocks of two routers.
    pub deletion_margin_ms: u64,
    /// How long to wait for the usual writer of an object before writing it oneself.
    pub writer_wait_ms: u64,
    /// How long to wait for the store before a call counts as lost.
    pub call_timeout_ms: u64,
    /// The first delay before a failed call is tried again; it doubles each time.
    pub retry_delay_ms: u64,
    /// The longest delay before a failed call is tried again.
    pub max_retry_delay_ms: u64,
    /// The largest answer body that is kept.
    pub max_body_bytes: usize,
    /// The largest claim object that is written.
    pub max_object_bytes: usize,
    /// The most changes that wait to be written for one object.
    pub max_pending_per_object: usize,
    /// How often the expired buckets are looked for.
    pub sweep_interval_ms: u64,
    /// The most removals in progress at a time.
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
            writer_wait_ms: 100,
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
