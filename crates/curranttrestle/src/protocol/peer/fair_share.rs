//! Messages that spread the service each customer got.

use serde::{Deserialize, Serialize};

use crate::state::{DataCentreId, Incarnation, InstanceId};

/// Names an account by its place in the sheet: the index of the pool in
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
    /// Its service beyond [`ServiceFigures::base_units`].
    pub units_above: u64,
}

/// The lift of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountLift {
    /// The account.
    pub account: AccountIndex,
    /// The lift that the customer received, in thousandths of a unit per share.
    pub lift_milliunits: u64,
}

/// Service figures of the accounts that changed. They are cumulative.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceFigures {
    /// The sheet whose indexes are used.
    pub sheet_number: u64,
    /// The least service of all accounts named. Negative when charges were corrected.
    pub base_units: i64,
    /// Accounts with waiting requests.
    pub backlogged: Vec<AccountUnits>,
    /// Accounts without.
    pub idle: Vec<AccountUnits>,
    /// Accounts whose lift changed.
    pub lifts: Vec<AccountLift>,
}

/// Service given in the sender's subtree, cumulative since the link began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The number of the link. A sender starts a new link when its parent changes.
    pub link: u64,
    /// The number of the report on that link.
    pub round: u64,
    /// The figures.
    pub figures: ServiceFigures,
}

/// Names a report on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportId {
    /// The number of the link.
    pub link: u64,
    /// The number of the report on that link.
    pub round: u64,
}

/// Service given in a data centre, spread from its root to all other routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTotals {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The root that made the totals.
    pub root: InstanceId,
    /// The run of that root.
    pub incarnation: Incarnation,
    /// The number of the round.
    pub round: u64,
    /// The time until the next round of that root.
    pub period_ms: u32,
    /// The last of the receiver's reports that the totals include.
    pub reflects: Option<ReportId>,
    /// The figures.
    pub figures: ServiceFigures,
}
