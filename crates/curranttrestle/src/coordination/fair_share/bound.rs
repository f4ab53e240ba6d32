//! Bounds on the service gap between customers and on waiting time.

/// The parameters of the bound on the service gap between two backlogged customers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GapTerms {
    /// Slots of the pool, fleet-wide.
    pub slots: f64,
    /// Largest cost of one request, in units.
    pub max_request_cost: f64,
    /// Service that one slot provides per second, in units.
    pub units_per_slot_per_s: f64,
    /// Exchange period of the service counters.
    pub exchange_period_ms: f64,
    /// How much earlier each level of the tree sends its reports.
    pub hop_ms: f64,
    /// Number of links from a leaf of the tree to its root.
    pub depth: f64,
    /// Maximum delay of one message.
    pub max_message_delay_ms: f64,
    /// The lesser of the two customers' shares.
    pub min_share: f64,
    /// Tolerance of the level check when a slot arrives or becomes free, in requests.
    pub tolerance_requests: f64,
}

/// Returns the bound on the gap in service per share between two customers of a pool that
/// stay backlogged, in units per share.
///
/// Each slot is assigned to the least-served customer known to its router. The gap has three
/// sources, each of which adds a term:
///
/// - Counters are stale. A charge waits for the next round, which starts `hop_ms` earlier per
///   link below the root, and is then sent up the tree, between the roots, and down:
///   `age_ms = exchange_period_ms + depth * hop_ms + (2 * depth + 1) * max_message_delay_ms`.
///   During that time all slots may serve one customer:
///   `slots * units_per_slot_per_s * age_ms / 1000`.
/// - Each slot may be assigned once more based on stale counters, and a running request
///   can't be revoked: `(slots + 1) * max_request_cost`.
/// - The level check admits a customer that is ahead by up to the tolerance:
///   `tolerance_requests * max_request_cost`.
///
/// In the worst case the customer with the lesser share receives all of this service, so the
/// sum is divided by `min_share`.
///
/// ```
/// use curranttrestle::coordination::fair_share::{GapTerms, gap_bound};
/// let terms = GapTerms {
///     slots: 10.0,
///     max_request_cost: 100.0,
///     units_per_slot_per_s: 100.0,
///     exchange_period_ms: 250.0,
///     hop_ms: 10.0,
///     depth: 1.0,
///     max_message_delay_ms: 0.0,
///     min_share: 2.0,
///     tolerance_requests: 1.0,
/// };
/// assert_eq!(gap_bound(&terms), (10.0 * 100.0 * 0.26 + 1_100.0 + 100.0) / 2.0);
/// ```
#[must_use]
pub fn gap_bound(terms: &GapTerms) -> f64 {
    let age_ms = terms.exchange_period_ms
        + terms.depth * terms.hop_ms
        + (2.0 * terms.depth + 1.0) * terms.max_message_delay_ms;
    let stale_units = terms.slots * terms.units_per_slot_per_s * age_ms / 1_000.0;
    let running_units = (terms.slots + 1.0) * terms.max_request_cost;
    let tolerated_units = terms.tolerance_requests * terms.max_request_cost;
    (stale_units + running_units + tolerated_units) / terms.min_share.max(1.0)
}

/// Returns the bound on the waiting time of a customer's only waiting request, in
/// milliseconds. `total_share` is the sum of the shares of all backlogged customers;
/// `terms.min_share` is the least share among the others.
///
/// The customer was lifted to the level of the least-served one when it became backlogged,
/// so others precede it only while they appear less served. That takes the time in which
/// all slots together raise the level by the gap bound. The customer then gets the next
/// slot that becomes free; in the worst case all slots have just started the largest
/// request.
///
/// ```
/// use curranttrestle::coordination::fair_share::{FairShareOptions, GapTerms, wait_bound_ms};
/// let terms = GapTerms { slots: 10.0, ..FairShareOptions::default().gap_terms };
/// assert!(wait_bound_ms(&terms, 200.0) > wait_bound_ms(&terms, 100.0));
/// ```
#[must_use]
pub fn wait_bound_ms(terms: &GapTerms, total_share: f64) -> f64 {
    let units_per_s = terms.slots * terms.units_per_slot_per_s;
    let level_per_s = units_per_s / total_share.max(1.0);
    let turn_s = gap_bound(terms) / level_per_s.max(f64::MIN_POSITIVE);
    let slot_s = terms.max_request_cost / terms.units_per_slot_per_s.max(f64::MIN_POSITIVE);
    1_000.0 * (turn_s + slot_s)
}
