//! Messages that spread the sheet and the marks of endpoints.

use serde::{Deserialize, Serialize};

use crate::protocol::platform::Version;
use crate::state::marks::MarkEntry;
use crate::state::sheet::{Sheet, SheetDiff};

/// What a router has in force. Heartbeats carry it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigNumbers {
    /// The number of the sheet; zero for none.
    pub sheet_number: u64,
    /// The digest of the sheet; zero for none.
    pub sheet_digest: u64,
    /// The version of the object that holds the marks.
    pub marks_version: Version,
}

/// Asks a router that is ahead for what the sender lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// What the sender has.
    pub have: ConfigNumbers,
    /// Whether the sender needs the whole sheet, because a diff did not fit.
    pub whole_sheet: bool,
}

/// The answer to a [`ConfigRequest`]. Without content when the sender is not ahead.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The sheet in force at the sender.
    pub sheet: Option<SheetUpdate>,
    /// The marks in force at the sender.
    pub marks: Option<MarksUpdate>,
}

/// A sheet on its way to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SheetUpdate {
    /// The whole sheet.
    Whole(Sheet),
    /// What changes from the sheet that the receiver has.
    Diff(SheetDiff),
}

/// All marks on their way to a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarksUpdate {
    /// The version of the object that holds them.
    pub version: Version,
    /// The marks.
    pub entries: Vec<MarkEntry>,
}
