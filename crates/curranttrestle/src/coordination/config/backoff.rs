//! Exponential backoff with deterministic jitter.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The delay stops growing after this many doublings.
const MAX_DOUBLINGS: u32 = 16;

/// Returns the delay before a retry, after `failures` failures in a row. It starts at
/// `initial_ms`, doubles up to `max_ms`, and is then scaled to 25% to 100% by a hash of `name`, so
/// that routers do not retry in step.
pub(super) fn delay_ms(name: &[u8], failures: u32, initial_ms: u64, max_ms: u64) -> u64 {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let full_ms = initial_ms.saturating_mul(1 << doublings).min(max_ms);
    jitter_ms(name, failures, full_ms)
}

/// Returns a delay between a quarter of `full_ms` and `full_ms`, from a hash of `name` and
/// `count`.
pub(super) fn jitter_ms(name: &[u8], count: u32, full_ms: u64) -> u64 {
    let quarter_ms = full_ms / 4;
    let hash = xxh3_64_with_seed(name, u64::from(count));
    quarter_ms + hash % (full_ms - quarter_ms + 1)
}
