//! Messages that disseminate the sheet and the marks of endpoints.

use serde::{Deserialize, Serialize};

use crate::protocol::platform::Version;
use crate::state::marks::MarkEntry;
use crate::state::sheet::{Sheet, SheetDiff};

/// The configuration in force at a router. It is included in heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigNumbers {
    /// The number of the sheet, or zero for none.
    pub sheet_number: u64,
    /// The digest of the sheet, or zero for none.
    pub sheet_digest: u64,
    /// The version of the store object that contains the marks.
    pub marks_version: Version,
}

/// Requests newer configuration from a router that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// The configuration in force at the sender.
    pub have: ConfigNumbers,
    /// Whether the sender needs the complete sheet because a diff could not be applied.
    pub whole_sheet: bool,
}

/// The response to a [`ConfigRequest`]. It is empty if the sender has nothing newer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The sheet in force at the sender, if newer.
    pub sheet: Option<SheetUpdate>,
    /// The marks in force at the sender, if newer.
    pub marks: Option<MarksUpdate>,
}

/// A sheet sent to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SheetUpdate {
    /// The complete sheet.
    Whole(Sheet),
    /// The difference from the receiver's sheet.
    Diff(SheetDiff),
}

/// All marks, sent to a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarksUpdate {
    /// The version of the store object that contains them.
    pub version: Version,
    /// The marks.
    pub entries: Vec<MarkEntry>,
}
