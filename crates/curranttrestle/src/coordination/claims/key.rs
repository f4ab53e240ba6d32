//! Idempotency keys: their timestamps, their validity window and their claim objects.

use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::state::CustomerId;

use super::ClaimOptions;

/// The common prefix of the names of all claim objects.
pub const CLAIM_PREFIX: &str = "claims/";

/// A customer's idempotency key. The same UUID used by two customers is two distinct keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// The customer that chose the key.
    pub customer: CustomerId,
    /// The key, a version 7 UUID.
    pub key: Uuid,
}

/// The timestamp of a version 7 UUID in milliseconds since the Unix epoch; `None` for other UUIDs.
///
/// ```
/// use curranttrestle::coordination::claims::key_unix_ms;
/// let key = uuid::Builder::from_unix_timestamp_millis(1_700_000_000_123, &[7; 10]).into_uuid();
/// assert_eq!(key_unix_ms(key), Some(1_700_000_000_123));
/// assert_eq!(key_unix_ms(uuid::Uuid::nil()), None);
/// ```
#[must_use]
pub fn key_unix_ms(key: Uuid) -> Option<u64> {
    if key.get_version_num() != 7 {
        return None;
    }
    let bits = key.as_u128() >> 80;
    u64::try_from(bits).ok()
}

/// Whether a key with timestamp `key_ms` is valid at `unix_ms`.
#[must_use]
pub fn is_in_window(key_ms: u64, unix_ms: u64, options: &ClaimOptions) -> bool {
    key_ms <= unix_ms + options.max_future_ms && unix_ms < key_ms + options.retention_ms
}

/// The name of the object that holds the claim of a key with timestamp `key_ms`.
#[must_use]
pub(super) fn object_name(key: &ClaimKey, key_ms: u64, options: &ClaimOptions) -> String {
    let bucket = key_ms / options.bucket_ms;
    let mut bytes = key.customer.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(key.key.as_bytes());
    let shard = xxh3_64(&bytes) % options.shards;
    format!("{CLAIM_PREFIX}{bucket:012}/{shard:03}")
}

/// Returns the objects among `names` that hold only expired keys.
///
/// The current time is capped by the newest object, so that a router whose clock is far ahead does
/// not delete claims that are still needed.
#[must_use]
pub(super) fn expired_objects(
    names: Vec<String>,
    unix_ms: u64,
    options: &ClaimOptions,
) -> Vec<String> {
    let bucket_end_ms = |name: &str| Some((bucket_of(name)? + 1) * options.bucket_ms);
    let newest_ms = names.iter().filter_map(|name| bucket_end_ms(name)).max();
    let unix_ms = unix_ms.min(newest_ms.unwrap_or_default());
    let keep_ms = options.retention_ms + options.deletion_margin_ms;
    names
        .into_iter()
        .filter(|name| bucket_end_ms(name).is_some_and(|end_ms| unix_ms > end_ms + keep_ms))
        .collect()
}

fn bucket_of(name: &str) -> Option<u64> {
    let rest = name.strip_prefix(CLAIM_PREFIX)?;
    let (bucket, _) = rest.split_once('/')?;
    bucket.parse().ok()
}
