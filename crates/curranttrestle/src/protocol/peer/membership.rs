//! Messages that detect failed routers and spread news of members.

use serde::{Deserialize, Serialize};

use crate::state::{InstanceId, Member};

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It did not answer a probe; it may refute this.
    Suspect,
    /// It takes no new work and will exit.
    Leaving,
    /// It did not refute the suspicion in time, or it said that it exits.
    Dead,
}

/// One item of news about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberNews {
    /// The member.
    pub member: Member,
    /// Raised by the member itself to refute what others say of it.
    pub revision: u32,
    /// What is believed of it.
    pub status: MemberStatus,
}

/// Asks the receiver for an [`Ack`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Echoed in the answer.
    pub sequence: u64,
    /// The sender wants all members that the receiver knows.
    pub join: bool,
    /// Digests of what the sender believes. Where the receiver's differ, its answer carries
    /// records beside fresh news.
    pub digests: MemberDigests,
    /// News; the first item is always the sender itself.
    pub news: Vec<MemberNews>,
}

/// Answers a [`Ping`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The sequence of the ping.
    pub sequence: u64,
    /// The member that answered, which differs from the sender when a third one relayed it.
    pub subject: InstanceId,
    /// News; the first item is always the sender itself.
    pub news: Vec<MemberNews>,
}

/// Asks the receiver to ping a third member in the sender's place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingRequest {
    /// Echoed in the relayed answer.
    pub sequence: u64,
    /// The member to ping.
    pub target: Member,
}

/// How many groups of members have a digest each.
pub const MEMBER_GROUPS: usize = 16;

/// Digests of the members that a router believes not to be dead, by a hash of their names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigests(pub [[u8; 2]; MEMBER_GROUPS]);
