//! Rendezvous hashing: routers with the same membership view choose the same member for a key.

use xxhash_rust::xxh3::xxh3_64;

use crate::state::Member;

/// Returns the members by descending weight for `key`. Ties are broken by instance name.
///
/// Removing a member reassigns only the keys for which it had the highest weight.
#[must_use]
pub fn ranked<'a>(key: &str, members: impl IntoIterator<Item = &'a Member>) -> Vec<&'a Member> {
    let mut weighted: Vec<(u64, &Member)> = members
        .into_iter()
        .map(|member| (weight(key, member), member))
        .collect();
    weighted.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.instance.cmp(&b.1.instance)));
    weighted.into_iter().map(|(_, member)| member).collect()
}

/// Returns the member with the highest weight for `key`, or `None` if there are no members.
#[must_use]
pub fn best<'a>(key: &str, members: impl IntoIterator<Item = &'a Member>) -> Option<&'a Member> {
    members
        .into_iter()
        .max_by_key(|member| (weight(key, member), std::cmp::Reverse(&member.instance)))
}

fn weight(key: &str, member: &Member) -> u64 {
    let name = member.instance.as_str();
    let mut bytes = Vec::with_capacity(key.len() + name.len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(name.as_bytes());
    xxh3_64(&bytes)
}
