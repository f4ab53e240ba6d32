//! Digests of what is believed of the members.

use std::hash::{Hash, Hasher};

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::protocol::peer::{MEMBER_GROUPS, MemberDigests, MemberNews};
use crate::state::InstanceId;

/// The group of a member.
pub fn group(instance: &InstanceId) -> usize {
    let [byte, ..] = xxh3_64(instance.as_str().as_bytes()).to_le_bytes();
    usize::from(byte) % MEMBER_GROUPS
}

/// The digests of several items of news, in any order.
pub fn digests<'a>(news: impl Iterator<Item = &'a MemberNews>) -> MemberDigests {
    let mut digests = MemberDigests::default();
    for item in news {
        let [low, high, ..] = digest(item).to_le_bytes();
        let sum = &mut digests.0[group(&item.member.instance)];
        sum[0] ^= low;
        sum[1] ^= high;
    }
    digests
}

fn digest(news: &MemberNews) -> u64 {
    let mut hasher = Xxh3::new();
    news.member.instance.hash(&mut hasher);
    news.member.incarnation.hash(&mut hasher);
    news.revision.hash(&mut hasher);
    news.status.hash(&mut hasher);
    hasher.finish()
}
