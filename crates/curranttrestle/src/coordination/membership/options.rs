//! How the members are probed.

/// How the members are probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// Time between two probes.
    pub probe_interval_ms: u64,
    /// Time after which a probe is repeated through other members.
    pub probe_timeout_ms: u64,
    /// Time after which a probe without any answer makes a member suspect.
    pub suspect_after_ms: u64,
    /// Time that a suspect member has to refute.
    pub dead_after_ms: u64,
    /// How many members are asked to probe in this one's place.
    pub indirect_probes: usize,
    /// The greatest number of items of fresh news in one message.
    pub news_per_message: usize,
    /// The greatest number of records in an answer to a router that believes something else.
    pub records_per_answer: usize,
    /// Time between two attempts to reach a seed or a dead member.
    pub rejoin_interval_ms: u64,
    /// Time after which a dead member is forgotten.
    pub forget_after_ms: u64,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            probe_timeout_ms: 500,
            suspect_after_ms: 1_500,
            dead_after_ms: 3_000,
            indirect_probes: 2,
            news_per_message: 8,
            records_per_answer: 32,
            rejoin_interval_ms: 1_000,
            forget_after_ms: 600_000,
        }
    }
}
