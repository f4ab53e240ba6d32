//! Messages that detect failed routers and disseminate membership updates.

use serde::{Deserialize, Serialize};

use crate::state::{InstanceId, Member};

/// The status of a member, as known to the router that reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It responds to probes.
    Alive,
    /// It did not respond to a probe. It may refute the suspicion.
    Suspect,
    /// It accepts no new work and will exit.
    Leaving,
    /// It did not refute the suspicion in time, or it was leaving and stopped responding.
    Dead,
}

/// A membership update about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub member: Member,
    /// Incremented by the member itself to refute what others report about it.
    pub revision: u32,
    /// The status.
    pub status: MemberStatus,
}

/// Asks the receiver for an [`Ack`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Returned in the response.
    pub sequence: u64,
    /// Whether the sender requests all members known to the receiver.
    pub join: bool,
    /// Digests of the sender's membership view. Where the receiver's digests differ, its response
    /// carries records in addition to recent updates.
    pub digests: MemberDigests,
    /// Membership updates. The first is always about the sender.
    pub updates: Vec<MemberUpdate>,
}

/// The response to a [`Ping`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// [`Ping::sequence`] of the ping.
    pub sequence: u64,
    /// The member that responded. It differs from the sender if a third member relayed the
    /// response.
    pub subject: InstanceId,
    /// Membership updates. The first is always about the sender.
    pub updates: Vec<MemberUpdate>,
}

/// Asks the receiver to ping a third member on behalf of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingRequest {
    /// Returned in the relayed response.
    pub sequence: u64,
    /// The member to ping.
    pub target: Member,
}

/// The number of groups that members are hashed into. Each group has a digest.
pub const MEMBER_GROUPS: usize = 16;

/// One digest per group of the members that a router does not consider dead. The group is
/// determined by a hash of the member's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigests(pub [[u8; 2]; MEMBER_GROUPS]);
