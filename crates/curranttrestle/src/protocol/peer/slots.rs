//! Messages between slot owners and the routers that hold their slots.

use serde::{Deserialize, Serialize};

use crate::state::{CustomerId, EndpointId, InstanceId, PoolId};

/// Names a slot lease, unique across the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseId {
    /// The owner that lent the slot.
    pub owner: InstanceId,
    /// The number of the lease at that owner: its incarnation and a counter.
    pub sequence: u64,
}

/// The right to run one request at a time on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Its name.
    pub id: LeaseId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The slot is kept for requests that are expected to be short.
    pub short_only: bool,
}

/// What one customer waits for at one router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BidEntry {
    /// The customer.
    pub customer: CustomerId,
    /// How many requests wait that may run in any slot.
    pub waiting: u32,
    /// How many of them are expected to be short.
    pub waiting_short: u32,
    /// The mean expected cost of one of them.
    pub expected_cost: f32,
    /// The customer's service per share, as the bidder knows it.
    pub level: f64,
}

/// A standing bid of one router for the slots of one pool. It replaces the bidder's
/// previous bid for that pool; one without entries withdraws it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bid {
    /// The pool.
    pub pool: PoolId,
    /// When the bidder sent it, on the bidder's steady clock; echoed in [`Lend`].
    pub sent_ms: u64,
    /// What waits, by customer.
    pub entries: Vec<BidEntry>,
}

/// Lends a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lend {
    /// The lease.
    pub lease: Lease,
    /// [`Bid::sent_ms`] of the bid that is answered; the lease counts from then.
    pub bid_sent_ms: u64,
    /// The level of the next best bid that the owner knows from any other router.
    pub next_level: Option<f64>,
}

/// Gives slots back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The leases, none of them in use.
    pub leases: Vec<LeaseId>,
}

/// Asks for slots back once they are not in use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Recall {
    /// The leases.
    pub leases: Vec<LeaseId>,
    /// The level of the best bid that waits for them; none: whoever holds them returns them.
    pub next_level: Option<f64>,
}

/// Renews all leases that the sender holds from the receiver. What is not named was returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// When the holder sent it, on the holder's steady clock.
    pub sent_ms: u64,
    /// The leases held, with the endpoint and whether one is in use.
    pub leases: Vec<(Lease, bool)>,
}
