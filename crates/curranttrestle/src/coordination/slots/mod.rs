//! Slot leases: owners lend the slots of endpoints, and holders run requests in them.
//!
//! A lease is reused for many requests and renewed periodically. Each time a slot is received
//! or becomes free, its holder compares its own least-served waiting customer with the best
//! other bid that the owner reported, and returns the slot if its own customer is ahead by more
//! than a tolerance. The number of messages therefore grows with the imbalance between routers
//! rather than with the number of requests.
//!
//! A customer's level is its service per share plus a lift; see [`super::fair_share`].
//!
//! The holder counts the duration of a lease from when it sent the bid or renewal that the
//! owner responds to. The owner counts from when it received that message, so the lease always
//! expires at the holder first.
//!
//! A router runs this control step after it has processed messages, new requests and finished
//! requests, and every few milliseconds:
//!
//! 1. [`super::fair_share::FairShare::set_backlogged`] for the accounts that changed.
//! 2. [`SlotHolder::assign`], and for each assignment
//!    [`super::fair_share::FairShare::charge`] with the amount that its charge states; repeated
//!    until nothing is assigned. [`SlotHolder::is_valid`] directly before each dispatch.
//! 3. [`SlotHolder::take_returns`], [`SlotHolder::due_bids`] and [`SlotHolder::due_renewals`].
//! 4. [`SlotOwner::decide`] and [`super::fair_share::FairShare::tick`].

mod assigning;
mod bidding;
mod exclusive;
mod holder;
mod lending;
mod orphans;
mod owner;
mod pool_bids;
mod renewing;

use crate::protocol::peer::{Lease, LeaseId};
use crate::state::{EndpointId, Incarnation, InstanceId, PoolId};

use super::cost::Charge;
use super::queue::WaitingRequest;

pub use holder::SlotHolder;
pub use owner::SlotOwner;

/// Number of low bits of a lease sequence that count the leases of one incarnation.
const COUNTER_BITS: u32 = 36;

/// Returns the first lease sequence of an incarnation.
fn first_sequence(incarnation: Incarnation) -> u64 {
    (incarnation.0 << COUNTER_BITS) + 1
}

/// Returns whether a lease was lent by this incarnation of this owner.
fn is_lent_by(lease: &LeaseId, owner: &EndpointOwner) -> bool {
    let first = first_sequence(owner.incarnation);
    lease.owner == owner.instance && lease.sequence >> COUNTER_BITS == first >> COUNTER_BITS
}

/// How an owner uses the load reports of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ReportMode {
    /// The slots of leases that expired without a return, or whose holder restarted, count as
    /// used until a report shows no unexpected attempts, but at most for
    /// [`SlotOptions::orphan_timeout_ms`].
    #[default]
    Reconcile,
    /// A report replaces the count of used slots; slots lent since the report are added to it.
    Trust,
    /// Only leases count.
    Ignore,
}

/// How a holder decides whether it may use a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LevelCheck {
    /// Compares the holder's least-served customer with the best other bid.
    #[default]
    Compare,
    /// Uses the slot for any waiting request. Only for comparison in tests and trials.
    Off,
}

/// Settings of [`SlotOwner`] and [`SlotHolder`].
#[derive(Clone, Debug, PartialEq)]
pub struct SlotOptions {
    /// Duration of a lease, counted from when the holder sent the bid or renewal.
    pub lease_ms: u64,
    /// Additional time that the owner waits before it frees the slot.
    pub lease_margin_ms: u64,
    /// Interval between renewals.
    pub renewal_interval_ms: u64,
    /// How long a new owner of an endpoint lends none of its slots, so that holders can report
    /// the leases that an earlier owner granted.
    pub takeover_delay_ms: u64,
    /// Interval at which an owner checks levels and expiry when it has received no messages.
    pub decision_interval_ms: u64,
    /// A lend is declared void if its receiver has not acknowledged it after this time.
    pub void_timeout_ms: u64,
    /// By how many requests a customer's level may exceed that of the best other bid while
    /// the holder still uses a slot for it.
    pub tolerance_requests: f64,
    /// How long a holder keeps an idle slot for which it knows no other bid.
    pub idle_return_delay_ms: u64,
    /// Interval after which an unchanged bid is sent again.
    pub bid_refresh_interval_ms: u64,
    /// Minimum time between two bids to one owner for one pool.
    pub min_bid_interval_ms: u64,
    /// How long a bid is valid unless it is sent again. Shorter than a lease, because a lease
    /// counts from when its bid was sent: a lend for an older bid would arrive expired.
    pub bid_valid_ms: u64,
    /// Interval after which a holder that bids at a random sample of owners draws a new sample.
    pub resample_interval_ms: u64,
    /// Minimum time between two recalls to one holder for one pool while the first is not
    /// fulfilled.
    pub min_recall_interval_ms: u64,
    /// How long a holder takes the best other bid that an owner reported into account.
    pub next_bid_timeout_ms: u64,
    /// A holder bids at all owners of a list (local or remote) that has at most this many.
    pub max_owners_without_sampling: usize,
    /// Number of owners, sampled at random, that a holder bids at if a list is longer.
    pub sampled_owners: usize,
    /// Number of slots that a holder requests from all owners together, as a multiple of the
    /// slots that it needs.
    pub overbid_factor: u32,
    /// A holder also bids in other data centres once a request has waited for this long.
    pub overflow_wait_ms: u64,
    /// One slot in this many is reserved for short requests while any wait; zero reserves none.
    pub slots_per_short_slot: u32,
    /// How long a slot whose lease ended without a return counts as used, unless a load report
    /// clears it earlier.
    pub orphan_timeout_ms: u64,
    /// An owner ignores a router's report that an endpoint is slow after this time, unless the
    /// router sends it again.
    pub slowness_timeout_ms: u64,
    /// How an owner uses load reports.
    pub report_mode: ReportMode,
    /// How a holder decides whether it may use a slot.
    pub level_check: LevelCheck,
}

impl Default for SlotOptions {
    fn default() -> Self {
        Self {
            lease_ms: 2_500,
            lease_margin_ms: 200,
            renewal_interval_ms: 700,
            takeover_delay_ms: 1_000,
            decision_interval_ms: 20,
            void_timeout_ms: 200,
            tolerance_requests: 4.0,
            idle_return_delay_ms: 50,
            bid_refresh_interval_ms: 1_000,
            min_bid_interval_ms: 20,
            bid_valid_ms: 1_200,
            resample_interval_ms: 2_500,
            min_recall_interval_ms: 250,
            next_bid_timeout_ms: 1_500,
            max_owners_without_sampling: 8,
            sampled_owners: 3,
            overbid_factor: 2,
            overflow_wait_ms: 300,
            slots_per_short_slot: 8,
            orphan_timeout_ms: 2_000,
            slowness_timeout_ms: 3_000,
            report_mode: ReportMode::default(),
            level_check: LevelCheck::default(),
        }
    }
}

/// An endpoint whose slots an owner manages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The pool of the endpoint.
    pub pool: PoolId,
    /// Number of requests that it may run at once.
    pub slots: u32,
    /// Whether it may receive new requests. A leaving endpoint may not.
    pub usable: bool,
}

/// The router that owns the slots of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointOwner {
    /// The instance of the router.
    pub instance: InstanceId,
    /// The incarnation of the router.
    pub incarnation: Incarnation,
}

/// The owners of the slots of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolOwners {
    /// Owners of endpoints in the holder's data centre.
    pub local: Vec<InstanceId>,
    /// Owners of endpoints in other data centres.
    pub remote: Vec<InstanceId>,
}

/// The part of an endpoint's load report that the owner of its slots uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotLoadReport {
    /// Number of running attempts.
    pub running: u32,
    /// Digest of the running attempts.
    pub digest: u64,
    /// Upper bound of the time at which the report was taken, on the owner's steady clock.
    pub taken_ms: u64,
}

/// A request and the slot assigned to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The request, removed from its queue.
    pub waiting: WaitingRequest,
    /// The lease of the slot.
    pub lease: Lease,
    /// The charge of the request. The caller charges [`Charge::charged`] now.
    pub charge: Charge,
}
