//! Messages between gateways, sent several times per second, each as one datagram.
//!
//! New messages are added at the end of [`GatewayMessage`]; older gateways drop those they do not
//! know.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::peer::Suspicions;
use crate::coordination::gateway::directory::EndpointRun;
use crate::coordination::gateway::endpoint_load::{LoadLine, PeerKey};
use crate::coordination::gateway::load_relay::DataCentreKey;
use crate::coordination::gateway::prompt_cache::PromptUseBatch;
use crate::coordination::gateway::shares::ShareLine;
use crate::coordination::gateway::stream_versions::{StreamOrigin, StreamQuery, StreamReply};

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// A report to a peer.
    Report(GatewayReport),
    /// The sender's load update for its relay.
    News(LoadUpdate),
    /// Load updates of several gateways, from a relay.
    PassedOn(Vec<RelayedUpdate>),
    /// The part of a report that expires, sent between reports.
    Summary(GatewaySummary),
    /// Evidence on prompt parts that may crash engines.
    PromptParts(PartReport),
    /// Runs of endpoints that are leaving.
    Leaving(Vec<EndpointRun>),
    /// The load and shares of a data centre, from one of its relays.
    DataCentre(DataCentreUpdate),
    /// What customers requested from gateways of the receiver's data centre.
    Shares(Vec<ShareUpdate>),
    /// A relay's proof of freshness, for its members and other relays.
    RelayedProof(RelayedProof),
    /// A sign of life to a peer whose load and shares arrive through relays.
    Greeting(GatewayGreeting),
    /// Requests that may crash endpoints.
    Suspicions(Suspicions),
    /// Evacuated data centres, from a gateway that read them from the store.
    Evacuations(EvacuationUpdate),
    /// The software versions at which streams of the sender began.
    StreamOrigins(Vec<StreamOrigin>),
    /// A question about a stream that a client resumes.
    StreamQuery(StreamQuery),
    /// The reply to such a question.
    StreamReply(StreamReply),
}

impl GatewayMessage {
    /// The name in metrics.
    ///
    /// ```
    /// use curranttrestle::protocol::gateway::GatewayMessage;
    /// assert_eq!(GatewayMessage::Leaving(Vec::new()).kind(), "leaving");
    /// ```
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Report(_) => "report",
            Self::News(_) => "news",
            Self::PassedOn(_) => "passed-on",
            Self::Summary(_) => "summary",
            Self::PromptParts(_) => "prompt-parts",
            Self::Leaving(_) => "leaving",
            Self::DataCentre(_) => "sum",
            Self::Shares(_) => "shares",
            Self::RelayedProof(_) => "proof",
            Self::Greeting(_) => "greeting",
            Self::Suspicions(_) => "suspicions",
            Self::Evacuations(_) => "evacuations",
            Self::StreamOrigins(_) => "stream-origins",
            Self::StreamQuery(_) => "stream-query",
            Self::StreamReply(_) => "stream-reply",
        }
    }
}

/// All evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationUpdate {
    /// The store's revision of this state. A later one replaces it.
    pub revision: u64,
    /// The state contains all that the store acknowledged until this long before the update was sent.
    pub age_ms: u64,
    /// The names of the data centres.
    pub data_centres: Vec<String>,
}

/// The load and shares of all gateways of a data centre together, summed by one of its relays.
///
/// A receiver keeps one sum for each data centre. A later one replaces it, also from another relay,
/// so that no gateway is counted twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreUpdate {
    /// The relay that summed.
    pub sender: PeerKey,
    /// The run of the relay's process.
    pub run: u32,
    /// Send time by the relay's clock. It orders the sums of one run.
    pub sent_ms: u64,
    /// How long the receiver's relay held the update; zero if it comes from its sender.
    pub held_ms: u64,
    /// The data centre.
    pub data_centre: DataCentreKey,
    /// The number of gateways in the sum.
    pub gateways: u16,
    /// Their requests at the endpoints.
    pub loads: Vec<LoadLine>,
    /// Tokens that customers requested from them; `None` if unchanged.
    pub shares: Option<Vec<ShareLine>>,
    /// Prompts that they recently sent to endpoints, numbered by the relay.
    pub prompts: PromptUseBatch,
}

/// Tokens that customers requested from one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareUpdate {
    /// The gateway.
    pub sender: PeerKey,
    /// Tokens by customer.
    pub lines: Vec<ShareLine>,
}

/// A proof that a configuration was the newest one, for several receivers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedProof {
    /// The store revision of the configuration.
    pub revision: u64,
    /// Age of the proof at the time of sending.
    pub age_ms: u64,
    /// The newest message from each receiver, which dates the proof by the receiver's own clock.
    pub echoes: Vec<MessageEcho>,
}

/// The newest message that was received from a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageEcho {
    /// The gateway.
    pub peer: PeerKey,
    /// The run of its process.
    pub run: u32,
    /// Send time by its own clock.
    pub sent_ms: u64,
}

/// A sign of life to a peer whose load and shares arrive through relays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayGreeting {
    /// The sender.
    pub sender: PeerKey,
    /// Send time by the sender's clock.
    pub sent_ms: u64,
    /// The sender's data centre.
    pub data_centre: DataCentreKey,
    /// The sender's proof of freshness when it last received a message from the receiver.
    pub proof: Option<ProofEcho>,
    /// Other gateways from which the sender received messages.
    pub peers: Vec<SocketAddr>,
}

/// Evidence on prompt parts that may crash engines. Ages are at the time of sending.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// Requests that waited for their first event when the connection to their engine was lost.
    pub crashes: Vec<PartCrash>,
    /// Parts of requests that received an event.
    pub begun: Vec<PartAge>,
    /// Refused parts, with the age of their last crash.
    pub refused: Vec<PartAge>,
}

/// A request that waited for its first event when the connection to its engine was lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The run of the engine.
    pub run: EndpointRun,
    /// The ids of the shared parts of the prompt, in order.
    pub parts: Vec<u64>,
    /// Time since the crash.
    pub age_ms: u32,
}

/// A prompt part with the age of what is known about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAge {
    /// The id of the part.
    pub part: u64,
    /// The age.
    pub age_ms: u32,
}

/// The endpoint load that one gateway causes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// The gateway that causes the load.
    pub sender: PeerKey,
    /// A number drawn when the process starts, which identifies this run.
    pub run: u32,
    /// Send time by the sender's clock. It only orders the updates of one run.
    pub sent_ms: u64,
    /// The sender's requests at the endpoints.
    pub loads: Vec<LoadLine>,
    /// Prompts that the sender recently sent to endpoints.
    pub prompts: PromptUseBatch,
}

/// A load update that a relay forwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedUpdate {
    /// The load update.
    pub update: LoadUpdate,
    /// How long relays held the update.
    pub held_ms: u64,
}

/// A report to a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// The sender's load update.
    pub update: LoadUpdate,
    /// The sender's data centre.
    pub data_centre: DataCentreKey,
    /// The sender's proof of freshness when it last received a report from the receiver.
    pub proof: Option<ProofEcho>,
    /// Other gateways from which the sender received reports.
    pub peers: Vec<SocketAddr>,
    /// Tokens that customers requested from the sender; `None` if this report contains no shares.
    pub shares: Option<Vec<ShareLine>>,
    /// Requests that may crash endpoints.
    pub suspicions: Suspicions,
}

/// The part of a report that expires at the receiver. Its size depends only on the number of
/// customers, so it can be sent at a fixed interval.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewaySummary {
    /// The sender.
    pub sender: PeerKey,
    /// Send time by the sender's clock.
    pub sent_ms: u64,
    /// The sender's data centre.
    pub data_centre: DataCentreKey,
    /// The sender's proof of freshness when it last received a message from the receiver.
    pub proof: Option<ProofEcho>,
    /// Tokens that customers requested from the sender.
    pub shares: Vec<ShareLine>,
    /// Requests that may crash endpoints.
    pub suspicions: Suspicions,
}

/// A proof that a configuration was the newest one, dated by the receiver's own clock.
///
/// The receiver sent a report at `your_sent_ms`. When it reached the sender, the proof was `age_ms`
/// old. A report arrives after it is sent, so by the receiver's clock the proof dates from
/// `your_sent_ms - age_ms` or later, regardless of message delays and clock differences.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofEcho {
    /// When the receiver sent its report, by its own clock.
    pub your_sent_ms: u64,
    /// The store revision of the configuration.
    pub revision: u64,
    /// Age of the proof when that report arrived.
    pub age_ms: u64,
}
