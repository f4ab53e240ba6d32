//! Messages between routers.
//!
//! Messages are sent in batches, each batch in an [`Envelope`]. A message belongs to one module
//! of the coordination layer and is defined in the file with that module's name.

mod claims;
mod config;
mod drain;
mod fair_share;
mod membership;
mod quarantine;
mod seal;
mod slots;

use serde::{Deserialize, Serialize};

use crate::state::event::HybridTime;
use crate::state::{Incarnation, InstanceId};

pub use claims::{ClaimAnswer, ClaimRequest, ClaimResult, StoredBody, StoredResponse};
pub use config::{ConfigNumbers, ConfigRequest, ConfigUpdate, MarksUpdate, SheetUpdate};
pub use drain::{EndpointNotice, EndpointNotices, ListedStatus};
pub use fair_share::{
    AccountIndex, AccountLift, AccountUnits, ReportId, ServiceCounters, ServiceReport,
    ServiceTotals,
};
pub use membership::{
    Ack, MEMBER_GROUPS, MemberDigests, MemberStatus, MemberUpdate, Ping, PingRequest,
};
pub use quarantine::{EndpointCrash, Suspicion, Suspicions};
pub use seal::{FleetKey, SealError, SealedEnvelope, TAG_BYTES};
pub use slots::{
    Bid, BidEntry, Lease, LeaseId, Lend, NextBid, Recall, Renewal, Renewed, Return, Slowness, Void,
};

/// One batch of messages from one router to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: InstanceId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's clock.
    pub time: HybridTime,
    /// The messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// One message from one router to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Probes a member.
    Ping(Ping),
    /// Responds to a probe.
    Ack(Ack),
    /// Asks for an indirect probe.
    PingRequest(PingRequest),
    /// Asks a slot owner for slots.
    Bid(Bid),
    /// Lends a slot.
    Lend(Lend),
    /// Returns slots to their owner.
    Return(Return),
    /// Asks a holder to return slots.
    Recall(Recall),
    /// Renews the leases held from the receiver.
    Renewal(Renewal),
    /// Voids lends that did not arrive.
    Void(Void),
    /// Responds to a renewal.
    Renewed(Renewed),
    /// Reports to the owner of an endpoint that the endpoint is slow.
    Slowness(Slowness),
    /// Reports the service given in a subtree, towards the root.
    ServiceReport(ServiceReport),
    /// Reports the service given in a data centre, from its root.
    ServiceTotals(ServiceTotals),
    /// Asks the preferred writer of a claim object to write a record.
    ClaimRequest(ClaimRequest),
    /// Responds to a claim request.
    ClaimAnswer(ClaimAnswer),
    /// Reports which sheet and marks are in force at the sender.
    ConfigNumbers(ConfigNumbers),
    /// Requests the sheet and marks that the sender lacks.
    ConfigRequest(ConfigRequest),
    /// Responds to a request for the sheet and marks.
    ConfigUpdate(Box<ConfigUpdate>),
    /// Disseminates which endpoints are leaving.
    EndpointNotices(EndpointNotices),
    /// Disseminates which requests are suspected of crashing endpoints.
    Suspicions(Suspicions),
}

impl PeerMessage {
    /// Returns the name of the message's kind, as used in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Ping(_) => "ping",
            Self::Ack(_) => "ack",
            Self::PingRequest(_) => "ping-request",
            Self::Bid(_) => "bid",
            Self::Lend(_) => "lend",
            Self::Return(_) => "return",
            Self::Recall(_) => "recall",
            Self::Renewal(_) => "renewal",
            Self::Void(_) => "void",
            Self::Renewed(_) => "renewed",
            Self::Slowness(_) => "slowness",
            Self::ServiceReport(_) => "service-report",
            Self::ServiceTotals(_) => "service-totals",
            Self::ClaimRequest(_) => "claim-request",
            Self::ClaimAnswer(_) => "claim-answer",
            Self::ConfigNumbers(_) => "config-numbers",
            Self::ConfigRequest(_) => "config-request",
            Self::ConfigUpdate(_) => "config-update",
            Self::EndpointNotices(_) => "endpoint-notices",
            Self::Suspicions(_) => "suspicions",
        }
    }

    /// Returns the length of the encoded message in bytes.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or_default()
    }
}
