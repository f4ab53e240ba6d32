//! Rendezvous hashing: all routers that see the same members choose the same one.

use xxhash_rust::xxh3::xxh3_64;

use crate::state::Member;

/// The members ordered by their weight for `key`, best first.
///
/// Losing a member moves only the keys that it was best for.
#[must_use]
pub fn ranked<'a>(key: &str, members: impl IntoIterator<Item = &'a Member>) -> Vec<&'a Member> {
    let mut weighed: Vec<(u64, &Member)> = members
        .into_iter()
        .map(|member| (weight(key, member), member))
        .collect();
    weighed.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.instance.cmp(&b.1.instance)));
    weighed.into_iter().map(|(_, member)| member).collect()
}

/// The best member for `key`; none when there are no members.
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
