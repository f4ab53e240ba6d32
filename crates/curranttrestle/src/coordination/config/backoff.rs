//! Delays between retries.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Doublings beyond which the delay no longer grows.
const MOST_DOUBLINGS: u32 = 16;

/// The delay before retry number `failures`, which doubles up to `longest_ms`. A quarter up
/// to the whole of it is taken, depending on `name`, so that routers do not retry together.
pub(super) fn delay_ms(name: &[u8], failures: u32, first_ms: u64, longest_ms: u64) -> u64 {
    let doublings = failures.saturating_sub(1).min(MOST_DOUBLINGS);
    let full_ms = first_ms.saturating_mul(1 << doublings).min(longest_ms);
    spread_ms(name, failures, full_ms)
}

/// From a quarter of `full_ms` to the whole of it, depending on `name` and `count`.
pub(super) fn spread_ms(name: &[u8], count: u32, full_ms: u64) -> u64 {
    let quarter_ms = full_ms / 4;
    let hash = xxh3_64_with_seed(name, u64::from(count));
    quarter_ms + hash % (full_ms - quarter_ms + 1)
}
