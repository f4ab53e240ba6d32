//! The report that gateways send each other several times a second, as one datagram.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::peer::Suspicions;
use crate::coordination::gateway::endpoint_load::{LoadLine, PeerKey};
use crate::coordination::gateway::prompt_cache::PromptUses;
use crate::coordination::gateway::shares::ShareLine;

/// What a gateway tells a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// The sender.
    pub sender: PeerKey,
    /// The sender's clock at the sending; it means something to the sender only.
    pub sent_ms: u64,
    /// The proof of freshness that the sender had when it last heard from the receiver.
    pub proof: Option<ProofEcho>,
    /// Other gateways that the sender heard from.
    pub peers: Vec<SocketAddr>,
    /// The sender's requests at the endpoints.
    pub loads: Vec<LoadLine>,
    /// The prompts that the sender sent to endpoints lately.
    pub prompts: PromptUses,
    /// What customers asked the sender for; none where nothing is told this time.
    pub shares: Option<Vec<ShareLine>>,
    /// Requests that may crash endpoints.
    pub suspicions: Suspicions,
}

/// A proof that a configuration was the newest one, dated by the receiver's own clock.
///
/// The age counts back from the moment when the sender received the receiver's report of
/// `your_sent_ms`, which is later than its sending. So the proof is at least as young as
/// `your_sent_ms` less the age, whatever delayed the messages and however clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofEcho {
    /// The `sent_ms` of the receiver's report.
    pub your_sent_ms: u64,
    /// The store's revision of the configuration.
    pub revision: u64,
    /// The age of the proof when that report arrived.
    pub age_ms: u64,
}
