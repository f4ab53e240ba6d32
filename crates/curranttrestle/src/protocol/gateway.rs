//! What gateways send each other several times a second, each as one datagram.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::peer::Suspicions;
use crate::coordination::gateway::endpoint_load::{LoadLine, PeerKey};
use crate::coordination::gateway::prompt_cache::PromptUses;
use crate::coordination::gateway::relaying::DataCentreKey;
use crate::coordination::gateway::shares::ShareLine;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// A report to a peer.
    Report(GatewayReport),
    /// The sender's news for its relay.
    News(LoadNews),
    /// News of several gateways, from a relay.
    PassedOn(Vec<RelayedNews>),
}

/// What a gateway knows of the endpoints' load by its own requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNews {
    /// The gateway that knows it.
    pub sender: PeerKey,
    /// A number that its process drew at its start.
    pub run: u32,
    /// Its clock at the sending; it means something to that process only, and orders its news.
    pub sent_ms: u64,
    /// Its requests at the endpoints.
    pub loads: Vec<LoadLine>,
    /// The prompts that it sent to endpoints lately.
    pub prompts: PromptUses,
}

/// News that a relay passes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedNews {
    /// The news.
    pub news: LoadNews,
    /// How long relays held them.
    pub held_ms: u64,
}

/// What a gateway tells a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// The news of the sender.
    pub news: LoadNews,
    /// Where the sender runs.
    pub data_centre: DataCentreKey,
    /// The proof of freshness that the sender had when it last heard from the receiver.
    pub proof: Option<ProofEcho>,
    /// Other gateways that the sender heard from.
    pub peers: Vec<SocketAddr>,
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
    /// When the receiver sent its report, by its own clock.
    pub your_sent_ms: u64,
    /// The store's revision of the configuration.
    pub revision: u64,
    /// The age of the proof when that report arrived.
    pub age_ms: u64,
}
