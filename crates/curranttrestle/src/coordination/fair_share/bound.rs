//! The bound on the service gap.

/// What the service gap between two backlogged customers depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GapTerms {
    /// The slots of the pool, fleet-wide.
    pub slots: f64,
    /// The largest cost of one request.
    pub largest_cost: f64,
    /// The service that one slot gives each second.
    pub units_per_slot_s: f64,
    /// The period of the exchange of service figures.
    pub exchange_period_ms: f64,
    /// How much earlier each level of the tree sends its reports.
    pub hop_ms: f64,
    /// The number of links from a leaf of the tree to its root.
    pub depth: f64,
    /// The longest time of one message.
    pub message_ms: f64,
    /// The least share of the two customers.
    pub least_share: f64,
    /// The tolerance of the check when a slot arrives or becomes free, in requests.
    pub tolerance_requests: f64,
}

/// The bound on the gap of service per share between two customers of a pool that stay
/// backlogged, in units per share.
///
/// Each slot is given to the least-served customer that its router knows of. Three things
/// can go wrong, and each adds a term:
///
/// - A figure is old. It waits for the next round, which begins at the leaves `hop` earlier
///   for each link, and then travels up, between the roots and down:
///   `age = period + depth * hop + (2 * depth + 1) * message`. Within that time all slots
///   may serve one customer: `slots * units_per_slot * age`.
/// - Each slot was given once more on the old figures, and a request can't be taken back:
///   `(slots + 1) * largest_cost`.
/// - The check lets a customer go first that is ahead by the tolerance:
///   `tolerance * largest_cost`.
///
/// All of it may go to the customer with the lesser share, so the sum is divided by that.
///
/// ```
/// use curranttrestle::coordination::fair_share::{GapTerms, gap_bound};
/// let terms = GapTerms {
///     slots: 10.0,
///     largest_cost: 100.0,
///     units_per_slot_s: 100.0,
///     exchange_period_ms: 250.0,
///     hop_ms: 10.0,
///     depth: 1.0,
///     message_ms: 0.0,
///     least_share: 2.0,
///     tolerance_requests: 1.0,
/// };
/// assert_eq!(gap_bound(&terms), (10.0 * 100.0 * 0.26 + 1_100.0 + 100.0) / 2.0);
/// ```
#[must_use]
pub fn gap_bound(terms: &GapTerms) -> f64 {
    let age_ms = terms.exchange_period_ms
        + terms.depth * terms.hop_ms
        + (2.0 * terms.depth + 1.0) * terms.message_ms;
    let stale = terms.slots * terms.units_per_slot_s * age_ms / 1_000.0;
    let running = (terms.slots + 1.0) * terms.largest_cost;
    let tolerated = terms.tolerance_requests * terms.largest_cost;
    (stale + running + tolerated) / terms.least_share.max(1.0)
}

/// The bound on the wait of the only waiting request of a customer for its turn, in
/// milliseconds, while customers with `total_share` together are backlogged, the least of
/// the others with `terms.least_share`.
///
/// The customer was lifted to the least-served one when it became backlogged, so others go
/// first only as long as they seem to be served worse: for the bound on the gap, at the
/// rate at which all slots raise the level. Then the next slot that ends is its own; all
/// slots may have begun the largest request just before.
///
/// ```
/// use curranttrestle::coordination::fair_share::{FairShareOptions, GapTerms, wait_bound_ms};
/// let terms = GapTerms { slots: 10.0, ..FairShareOptions::default().gap_terms };
/// assert!(wait_bound_ms(&terms, 200.0) > wait_bound_ms(&terms, 100.0));
/// ```
#[must_use]
pub fn wait_bound_ms(terms: &GapTerms, total_share: f64) -> f64 {
    let units_per_s = terms.slots * terms.units_per_slot_s;
    let level_per_s = units_per_s / total_share.max(1.0);
    let turn_s = gap_bound(terms) / level_per_s.max(f64::MIN_POSITIVE);
    let slot_s = terms.largest_cost / terms.units_per_slot_s.max(f64::MIN_POSITIVE);
    1_000.0 * (turn_s + slot_s)
}
