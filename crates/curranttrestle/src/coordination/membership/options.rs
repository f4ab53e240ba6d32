//! Settings of probing and gossip.

/// Settings of probing and gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// Time between two probes.
    pub probe_interval_ms: u64,
    /// Time without an ack after which other members are asked to probe.
    pub probe_timeout_ms: u64,
    /// Time without an ack, direct or relayed, after which the target becomes suspect. A probe that
    /// this router relays for another is dropped after the same time.
    pub suspect_after_ms: u64,
    /// Time after which a suspect member that has not refuted, or a leaving one that no longer
    /// responds, is declared dead.
    pub dead_after_ms: u64,
    /// Number of members asked to probe on this router's behalf.
    pub indirect_probes: usize,
    /// Maximum number of queued updates in one message.
    pub max_updates_per_message: usize,
    /// Maximum number of member records added to an ack when the prober's digests of its records
    /// differ from this router's. The ack to a joining router is not limited.
    pub max_records_per_ack: usize,
    /// Time between two attempts to contact a seed or a dead member.
    pub rejoin_interval_ms: u64,
    /// Time after which a dead member is evicted.
    pub evict_after_ms: u64,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            probe_timeout_ms: 500,
            suspect_after_ms: 1_500,
            dead_after_ms: 3_000,
            indirect_probes: 2,
            max_updates_per_message: 8,
            max_records_per_ack: 32,
            rejoin_interval_ms: 1_000,
            evict_after_ms: 600_000,
        }
    }
}
