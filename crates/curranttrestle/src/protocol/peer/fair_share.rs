//! Messages that spread the service each customer got.

use serde::{Deserialize, Serialize};

use crate::state::{DataCentreId, Incarnation, InstanceId};

/// The state of one account. Customer and pool are named by their index in the sheet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountEntry {
    /// The index of the pool in [`crate::state::sheet::Sheet::pools`].
    pub pool: u16,
    /// The index of the customer in the sheet.
    pub customer: u16,
    /// Service units, cumulative on the link or in the data centre that the message names.
    /// Signed, because a charge is corrected when its request ends.
    pub units: i64,
    /// The lift that the customer received, in thousandths of a unit per share.
    pub lift_milliunits: u64,
    /// Whether requests of the account wait somewhere in the subtree or data centre.
    pub backlogged: bool,
}

/// Service given in the sender's subtree, cumulative since the link began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The sheet whose indexes are used.
    pub sheet_number: u64,
    /// The number of the link. A sender starts a new link when its parent changes.
    pub link: u64,
    /// The number of the report on that link.
    pub round: u64,
    /// The accounts that changed.
    pub entries: Vec<AccountEntry>,
}

/// Service given in a data centre, spread from its root to all other routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceTotals {
    /// The sheet whose indexes are used.
    pub sheet_number: u64,
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The root that made the totals.
    pub root: InstanceId,
    /// The run of that root.
    pub incarnation: Incarnation,
    /// The number of the round.
    pub round: u64,
    /// The receiver's link and the last of its reports that the totals include.
    pub reflects: Option<(u64, u64)>,
    /// The accounts that changed.
    pub entries: Vec<AccountEntry>,
}
