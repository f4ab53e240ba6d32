//! Messages between routers.
//!
//! They travel in batches, an [`Envelope`] at a time. A message concerns one module of
//! the coordination layer and is defined in the file named after it.

mod claims;
mod fair_share;
mod slots;

use serde::{Deserialize, Serialize};

use crate::state::event::HybridTime;
use crate::state::{Incarnation, InstanceId};

pub use claims::{ClaimAnswer, ClaimRequest};
pub use fair_share::{
    AccountIndex, AccountLift, AccountUnits, ReportId, ServiceFigures, ServiceReport, ServiceTotals,
};
pub use slots::{
    Bid, BidEntry, Lease, LeaseId, Lend, NextBid, Recall, Renewal, Renewed, Return, Slowness, Void,
};

/// One batch of messages from one router to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: InstanceId,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// The sender's clock.
    pub time: HybridTime,
    /// The messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// One message from one router to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks a slot owner for slots.
    Bid(Bid),
    /// Lends a slot.
    Lend(Lend),
    /// Gives a slot back.
    Return(Return),
    /// Asks for a slot back.
    Recall(Recall),
    /// Renews the leases held from the receiver.
    Renewal(Renewal),
    /// Declares lends void that did not arrive.
    Void(Void),
    /// Answers a renewal.
    Renewed(Renewed),
    /// Tells the owner of an endpoint that it is slow.
    Slowness(Slowness),
    /// Service given in a subtree, towards the root.
    ServiceReport(ServiceReport),
    /// Service given in a data centre, from its root.
    ServiceTotals(ServiceTotals),
    /// Asks the usual writer of a claim object to record claims.
    ClaimRequest(ClaimRequest),
    /// The answer to a claim request.
    ClaimAnswer(ClaimAnswer),
}
