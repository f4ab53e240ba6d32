//! Messages between slot owners and the routers that hold slot leases.

use serde::{Deserialize, Serialize};

use crate::state::{AccountId, CustomerId, EndpointId, InstanceId, PoolId};

/// Identifies a slot lease uniquely in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseId {
    /// The owner that lent the slot.
    pub owner: InstanceId,
    /// The sequence number at that owner, composed of the owner's incarnation and a counter.
    pub sequence: u64,
}

/// The right to run one request at a time on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The ID.
    pub id: LeaseId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The pool of the endpoint.
    pub pool: PoolId,
    /// Whether the slot is reserved for requests that are expected to be short.
    pub short_only: bool,
    /// Whether the lease covers the entire endpoint, for one request that must run alone.
    pub exclusive: bool,
}

/// The demand of one customer at one router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BidEntry {
    /// The customer.
    pub customer: CustomerId,
    /// The number of waiting requests that may run in any slot.
    pub waiting: u32,
    /// The number of requests in `waiting` that are expected to be short.
    pub waiting_short: u32,
    /// The number of waiting requests that must run alone on an endpoint.
    pub waiting_exclusive: u32,
    /// The mean expected cost of a waiting request, in tokens (model) or milliseconds (service).
    pub expected_cost: f32,
    /// The customer's service per share, as known to the bidder.
    pub level: f64,
}

/// A router's bid for slots of one pool. It replaces the bidder's previous bid for that pool;
/// a bid without entries withdraws it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bid {
    /// The pool.
    pub pool: PoolId,
    /// When the bidder sent the bid, by the bidder's monotonic clock; returned in [`Lend`].
    pub sent_ms: u64,
    /// The greatest [`LeaseId::sequence`] that the bidder has received from the owner.
    pub last_lend: u64,
    /// How long the bid is valid unless it is replaced.
    pub valid_ms: u32,
    /// The number of owners that the bidder bids at simultaneously.
    pub owners: u32,
    /// The demand by customer.
    pub entries: Vec<BidEntry>,
}

/// The best bid at an owner from any router other than the receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NextBid {
    /// The customer that the bid is for.
    pub customer: CustomerId,
    /// The customer's service per share, as known to the owner.
    pub level: f64,
    /// The maximum number of slots that the receiver may return for this bid.
    pub wanted: u32,
    /// Whether the bid is for requests that are expected to be short.
    pub short: bool,
}

/// Lends a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lend {
    /// The lease.
    pub lease: Lease,
    /// [`Bid::sent_ms`] of the bid that the lend responds to. The lease term starts at this time.
    pub bid_sent_ms: u64,
    /// The next best bid from any other router.
    pub next: Option<NextBid>,
}

/// Returns slots to their owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The leases. None of them is in use.
    pub leases: Vec<LeaseId>,
}

/// Asks the holder to return slots once they are not in use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Recall {
    /// The pool.
    pub pool: PoolId,
    /// The leases to return regardless of the requests that wait at the holder.
    pub leases: Vec<LeaseId>,
    /// The best bid for any slot of the pool. The holder returns slots as long as its own
    /// customers have received more service per share than this bid's customer.
    pub next: Option<NextBid>,
}

/// Renews all leases that the sender holds from the receiver.
///
/// A lease that is not listed was returned if its sequence lies between the first and the last
/// that the sender's current incarnation received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// When the holder sent the renewal, by the holder's monotonic clock.
    pub sent_ms: u64,
    /// The greatest [`LeaseId::sequence`] that the holder has received from the owner.
    pub last_lend: u64,
    /// The difference between the last and the first sequence that this incarnation of the
    /// holder received from the owner.
    pub lend_span: u64,
    /// The sequences of the leases lent by the receiver in ascending order, each encoded as the
    /// difference from the previous one.
    pub held: Vec<u64>,
    /// For each pool of the leases, the least-served customer with waiting requests at the
    /// holder. Pools without waiting requests are omitted.
    pub least_served: Vec<AccountId>,
    /// Leases lent by a previous owner of endpoints that the receiver now owns.
    pub adopted: Vec<Lease>,
}

/// Voids lends that the receiver has not received according to its last message. The receiver
/// ignores them if they arrive later, and responds with a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Void {
    /// Lends up to this sequence are void unless they were already received.
    pub through: u64,
}

/// The response to a [`Renewal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewed {
    /// [`Renewal::sent_ms`]. The renewed lease terms start at this time.
    pub sent_ms: u64,
    /// The leases that are no longer known to the owner. All others are renewed.
    pub lapsed: Vec<LeaseId>,
}

/// Reports to the owner of an endpoint that the sender's streams from it are slow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slowness {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The fraction of the endpoint's slots that the owner should lend; 1 after it has recovered.
    pub window: f32,
}
