//! Messages that disseminate the service that each customer received.
//!
//! A unit of service is a token of a model engine or a millisecond of a plain service. The routers
//! of a data centre form a tree; each but the root sends reports over a link to its parent.

use serde::{Deserialize, Serialize};

use crate::state::{DataCentreId, Incarnation, InstanceId};

/// Identifies an account by its position in the sheet: the index of the pool in
/// [`crate::state::sheet::Sheet::pools`] times the number of customers, plus the index of
/// the customer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct AccountIndex(pub u32);

/// The service of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUnits {
    /// The account.
    pub account: AccountIndex,
    /// The service above [`ServiceCounters::base_units`], in units.
    pub units_above: u64,
}

/// The lift of one account: the amount by which its level has been raised so far when it
/// became backlogged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountLift {
    /// The account.
    pub account: AccountIndex,
    /// The lift, in thousandths of a unit per share.
    pub lift_milliunits: u64,
}

/// Cumulative service counters of the accounts that changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounters {
    /// The number of the sheet that the account indexes refer to.
    pub sheet_number: u64,
    /// The minimum service among the listed accounts, in units. It can be negative after charges
    /// were corrected.
    pub base_units: i64,
    /// Accounts with waiting requests.
    pub backlogged: Vec<AccountUnits>,
    /// Accounts without waiting requests.
    pub idle: Vec<AccountUnits>,
    /// Accounts whose lift changed.
    pub lifts: Vec<AccountLift>,
}

/// Service given in the sender's subtree, cumulative since the start of the link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The link number. A sender starts a new link when its parent changes.
    pub link: u64,
    /// The report's number on that link.
    pub round: u64,
    /// The counters.
    pub figures: ServiceCounters,
}

/// Identifies a report on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportId {
    /// The link number.
    pub link: u64,
    /// The report's number on that link.
    pub round: u64,
}

/// Service given in a data centre, sent from its root to all other routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTotals {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The root that computed the totals.
    pub root: InstanceId,
    /// The incarnation of the root.
    pub incarnation: Incarnation,
    /// The round number.
    pub round: u64,
    /// The time until the root's next round.
    pub period_ms: u32,
    /// The receiver's latest report that is included in the totals.
    pub reflects: Option<ReportId>,
    /// The counters.
    pub figures: ServiceCounters,
}
