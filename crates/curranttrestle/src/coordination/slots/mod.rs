//! Slot leases: owners lend the slots of endpoints, holders run requests in them.
//!
//! A lease is kept over many requests and renewed. Each time a slot arrives or becomes
//! free, its holder compares its own least-served waiting customer with the best bid that
//! the owner told it of, and returns the slot when its own customer was served better.
//! So messages grow with imbalance and not with requests.
//!
//! A lease counts from the sending of the bid or renewal that it answers, on the holder's
//! clock. The owner counts from the receipt, so that it never frees a slot first.
//!
//! One step of a router's control, after messages, arrivals and ends, and every few
//! milliseconds:
//!
//! 1. [`super::fair_share::FairShare::set_backlogged`] for the accounts that changed.
//! 2. [`SlotHolder::assign`], and for each assignment
//!    [`super::fair_share::FairShare::charge`] with what its charge says; again until
//!    nothing is assigned. [`SlotHolder::still_valid`] just before the dispatch.
//! 3. [`SlotHolder::returns`], [`SlotHolder::bids`] and [`SlotHolder::renewals`].
//! 4. [`SlotOwner::decide`] and [`super::fair_share::FairShare::tick`].

mod assigning;
mod bidding;
mod doubt;
mod exclusive;
mod holder;
mod lending;
mod owner;
mod renewing;
mod standing;

use crate::protocol::peer::{Lease, LeaseId};
use crate::state::{EndpointId, Incarnation, InstanceId, PoolId};

use super::cost::Charge;
use super::queue::Waiting;

pub use holder::SlotHolder;
pub use owner::SlotOwner;

/// How many low bits of a lease sequence count the leases of one incarnation.
const COUNTER_BITS: u32 = 36;

/// The first sequence of the leases of an incarnation.
fn first_sequence(incarnation: Incarnation) -> u64 {
    (incarnation.0 << COUNTER_BITS) + 1
}

/// Whether a lease was lent by this run of this router.
fn is_lent_by(lease: &LeaseId, owner: &EndpointOwner) -> bool {
    let first = first_sequence(owner.incarnation);
    lease.owner == owner.instance && lease.sequence >> COUNTER_BITS == first >> COUNTER_BITS
}

/// What an owner does with the load reports of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ReportMode {
    /// Slots of a lost holder stay counted as used until a report shows that nothing
    /// beyond the expected requests runs.
    #[default]
    Reconcile,
    /// A report replaces the count of used slots; what was lent since comes on top.
    Trust,
    /// Only leases count.
    Ignore,
}

/// How a holder decides whether a slot is its to use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LevelCheck {
    /// The holder's least-served customer is compared with the best other bid.
    #[default]
    Compare,
    /// The slot is used for whatever waits. For comparisons in tests and trials only.
    Off,
}

/// Settings of [`SlotOwner`] and [`SlotHolder`].
#[derive(Clone, Debug, PartialEq)]
pub struct SlotOptions {
    /// How long a lease lasts, counted from the sending of what it answers.
    pub lease_ms: u64,
    /// How much longer the owner waits before it frees the slot.
    pub lease_margin_ms: u64,
    /// The period of renewals.
    pub renewal_ms: u64,
    /// How long an owner lends nothing of an endpoint that is new to it, so that holders
    /// can tell it what an earlier owner lent.
    pub caution_ms: u64,
    /// How often an owner looks at levels and expiry without news.
    pub decision_ms: u64,
    /// A lend that its receiver does not know after this time is declared void.
    pub void_ms: u64,
    /// How many requests a customer may be ahead when a slot is used for it.
    pub tolerance_requests: f64,
    /// How long an unused slot is kept while nobody is known to want it.
    pub idle_return_ms: u64,
    /// The period after which an unchanged bid is repeated.
    pub bid_refresh_ms: u64,
    /// The shortest time between two bids to one owner for one pool.
    pub bid_pause_ms: u64,
    /// For how long a bid stands if it is not repeated. Less than a lease, which counts from
    /// the sending of the bid.
    pub bid_valid_ms: u64,
    /// After this time a holder with many owners to choose from draws others.
    pub redraw_ms: u64,
    /// The shortest time between two recalls to one holder while the first is not fulfilled.
    pub recall_pause_ms: u64,
    /// How long a holder believes in the best other bid that it was told of.
    pub next_timeout_ms: u64,
    /// Up to this many owners of a data centre, a holder bids at all of them.
    pub few_owners: usize,
    /// With more owners, a holder bids at this many, drawn afresh.
    pub drawn_owners: usize,
    /// How many times the slots that are needed a holder asks for from all owners together.
    pub overbidding: u32,
    /// A holder bids in other data centres when a request waited for this long.
    pub overflow_wait_ms: u64,
    /// One slot in this many is kept for short requests while some wait; zero for none.
    pub short_slot_ratio: u32,
    /// How long a slot of a lost holder stays counted without a report.
    pub orphan_timeout_ms: u64,
    /// After this time without repetition an owner forgets that an endpoint is slow.
    pub slowness_timeout_ms: u64,
    /// What an owner does with load reports.
    pub report_mode: ReportMode,
    /// How a holder decides whether a slot is its to use.
    pub level_check: LevelCheck,
}

impl Default for SlotOptions {
    fn default() -> Self {
        Self {
            lease_ms: 2_500,
            lease_margin_ms: 200,
            renewal_ms: 700,
            caution_ms: 1_000,
            decision_ms: 20,
            void_ms: 200,
            tolerance_requests: 4.0,
            idle_return_ms: 50,
            bid_refresh_ms: 1_000,
            bid_pause_ms: 20,
            bid_valid_ms: 1_200,
            redraw_ms: 2_500,
            recall_pause_ms: 250,
            next_timeout_ms: 1_500,
            few_owners: 8,
            drawn_owners: 3,
            overbidding: 2,
            overflow_wait_ms: 300,
            short_slot_ratio: 8,
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
    /// Its pool.
    pub pool: PoolId,
    /// How many requests it may run at once.
    pub slots: u32,
    /// Whether it may get new work. A leaving endpoint may not.
    pub usable: bool,
}

/// Who owns the slots of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointOwner {
    /// The router.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// The owners of the slots of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolOwners {
    /// Owners of endpoints in the data centre of the holder.
    pub local: Vec<InstanceId>,
    /// Owners of endpoints in other data centres.
    pub remote: Vec<InstanceId>,
}

/// What a load report of an endpoint says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// How many attempts ran.
    pub running: u32,
    /// The digest of the attempts that ran.
    pub digest: u64,
    /// When the report was taken, on the owner's steady clock; the latest time that it can be.
    pub taken_ms: u64,
}

/// A request and the slot that it shall run in.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The request, taken from its queue.
    pub waiting: Waiting,
    /// The slot.
    pub lease: Lease,
    /// Its charge; [`Charge::charged`] is to be charged now.
    pub charge: Charge,
}
