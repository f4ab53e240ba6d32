//! Messages between slot owners and the routers that hold their slots.

use serde::{Deserialize, Serialize};

use crate::state::{AccountId, CustomerId, EndpointId, InstanceId, PoolId};

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
    /// The pool of the endpoint.
    pub pool: PoolId,
    /// The slot is kept for requests that are expected to be short.
    pub short_only: bool,
    /// The lease covers the whole endpoint, for one request that must run alone.
    pub exclusive: bool,
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
    /// How many requests wait that must run alone on an endpoint.
    pub waiting_exclusive: u32,
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
    /// The greatest [`LeaseId::sequence`] that the bidder received from the owner.
    pub last_lend: u64,
    /// For how long it stands if it is not replaced.
    pub valid_ms: u32,
    /// At how many owners the bidder bids at the same time.
    pub owners: u32,
    /// What waits, by customer.
    pub entries: Vec<BidEntry>,
}

/// The best bid that an owner knows from routers other than the receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NextBid {
    /// The customer that bids.
    pub customer: CustomerId,
    /// The customer's service per share, as the owner knows it.
    pub level: f64,
    /// How many slots the receiver may give back for this bid.
    pub wanted: u32,
    /// Whether the bid is for requests that are expected to be short.
    pub short: bool,
}

/// Lends a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lend {
    /// The lease.
    pub lease: Lease,
    /// [`Bid::sent_ms`] of the bid that is answered; the lease counts from then.
    pub bid_sent_ms: u64,
    /// The next best bid that the owner knows from any other router.
    pub next: Option<NextBid>,
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
    /// The pool.
    pub pool: PoolId,
    /// The leases to return whatever waits at the holder.
    pub leases: Vec<LeaseId>,
    /// The best bid that waits for any slot of the pool; the holder returns slots while
    /// its own customers were served better.
    pub next: Option<NextBid>,
}

/// Renews all leases that the sender holds from the receiver. What is not named, from the
/// first lease that the sender's run received to the last, was returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// When the holder sent it, on the holder's steady clock.
    pub sent_ms: u64,
    /// The greatest [`LeaseId::sequence`] that the holder received from the owner.
    pub last_lend: u64,
    /// By how much the first sequence that this run of the holder received from the owner
    /// is less than the last.
    pub lend_span: u64,
    /// The sequences of the leases that the receiver lent, ascending, each as the
    /// difference from the one before.
    pub held: Vec<u64>,
    /// The least-served customer with waiting requests at the holder, for each pool of the
    /// leases; pools without waiting requests are left out.
    pub least_served: Vec<AccountId>,
    /// Leases lent by an earlier owner of an endpoint that the receiver now owns.
    pub adopted: Vec<Lease>,
}

/// Declares lends void that the receiver has not received, as its last message shows. It
/// ignores them if they arrive later, and answers with a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Void {
    /// The greatest sequence that is void if it was not received.
    pub through: u64,
}

/// The answer to a [`Renewal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewed {
    /// [`Renewal::sent_ms`]; the leases count from then.
    pub sent_ms: u64,
    /// The leases that the owner does not know any more. All others are renewed.
    pub lapsed: Vec<LeaseId>,
}

/// Tells the owner of an endpoint that its streams are slow, as the sender sees them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slowness {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The fraction of its slots that it should be given; one when it has recovered.
    pub window: f32,
}
