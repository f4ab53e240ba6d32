//! Digests of the member records, with which two routers compare their views.

use std::hash::{Hash, Hasher};

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::protocol::peer::{MEMBER_GROUPS, MemberDigests, MemberUpdate};
use crate::state::InstanceId;

/// Returns the digest group of a member.
pub fn digest_group(instance: &InstanceId) -> usize {
    let [byte, ..] = xxh3_64(instance.as_str().as_bytes()).to_le_bytes();
    usize::from(byte) % MEMBER_GROUPS
}

/// Computes one digest per group. The order of the updates does not matter.
pub fn compute_digests<'a>(updates: impl Iterator<Item = &'a MemberUpdate>) -> MemberDigests {
    let mut digests = MemberDigests::default();
    for update in updates {
        let [low, high, ..] = hash_update(update).to_le_bytes();
        let sum = &mut digests.0[digest_group(&update.member.instance)];
        sum[0] ^= low;
        sum[1] ^= high;
    }
    digests
}

fn hash_update(update: &MemberUpdate) -> u64 {
    let mut hasher = Xxh3::new();
    update.member.instance.hash(&mut hasher);
    update.member.incarnation.hash(&mut hasher);
    update.revision.hash(&mut hasher);
    update.status.hash(&mut hasher);
    hasher.finish()
}
