//! The current sheet in the form in which the platform's store keeps it.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

use super::reader::MAX_SHEET_BYTES;
use super::{Sheet, read_sheet, write_csv};
use crate::state::Findings;

/// The maximum number of earlier submissions in the object's history.
const MAX_HISTORY_ENTRIES: usize = 32;

/// The reason why the object can't be serialised or parsed.
#[derive(Debug, Error)]
pub enum ObjectError {
    /// The JSON text is larger than the store allows.
    #[error("the sheet takes {size_bytes} bytes in the store; the limit is {MAX_SHEET_BYTES}")]
    TooLarge {
        /// The size of the JSON text.
        size_bytes: usize,
    },
    /// The text is not the JSON form of a sheet object.
    #[error("not a sheet object: {0}")]
    Json(#[from] serde_json::Error),
    /// The sheet in the text is invalid.
    #[error("the sheet in the store is invalid: {0}")]
    Faulty(#[from] Findings),
}

/// Identifies one submission of a sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetStamp {
    /// The number of the sheet.
    pub number: u64,
    /// The operator's name, as given by the tool that submitted the sheet.
    pub submitted_by: String,
    /// The unique ID of the submission, never reused.
    pub attempt: Uuid,
    /// When the sheet was submitted, in milliseconds since the Unix epoch by the submitter's clock.
    pub unix_ms: u64,
}

/// The object `sheet/current`: the current sheet, its submission and the earlier submissions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SheetObject {
    /// The submission of the current sheet, with the number of that sheet.
    pub stamp: SheetStamp,
    /// The earlier submissions, newest first.
    pub history: Vec<SheetStamp>,
    /// The current sheet.
    pub sheet: Sheet,
}

impl SheetObject {
    /// The name of the object in the platform's store.
    pub const NAME: &'static str = "sheet/current";

    /// Creates the object that replaces `current`. The sheet takes its number from `stamp`.
    #[must_use]
    pub fn replacing(current: Option<&Self>, stamp: SheetStamp, sheet: &Sheet) -> Self {
        let mut history = Vec::new();
        if let Some(current) = current {
            history.push(current.stamp.clone());
            history.extend(current.history.iter().cloned());
            history.truncate(MAX_HISTORY_ENTRIES);
        }
        let mut sheet = sheet.clone();
        sheet.number = stamp.number;
        Self {
            stamp,
            history,
            sheet,
        }
    }

    /// Returns the stamp of the submission `attempt` if it is the current one or in the history.
    #[must_use]
    pub fn stamp_of_attempt(&self, attempt: Uuid) -> Option<&SheetStamp> {
        std::iter::once(&self.stamp)
            .chain(&self.history)
            .find(|stamp| stamp.attempt == attempt)
    }

    /// Returns whether the history is full, so that older submissions may have been dropped.
    #[must_use]
    pub fn history_is_full(&self) -> bool {
        self.history.len() >= MAX_HISTORY_ENTRIES
    }

    /// Serialises the object as JSON for the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is larger than the store allows.
    pub fn to_text(&self) -> Result<String, ObjectError> {
        let text = serde_json::to_string(self)?;
        if text.len() > MAX_SHEET_BYTES {
            let size_bytes = text.len();
            return Err(ObjectError::TooLarge { size_bytes });
        }
        Ok(text)
    }

    /// Parses the JSON text from the store and validates the sheet by the rules of [`read_sheet`].
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a sheet object or its sheet is invalid.
    pub fn from_text(text: &str) -> Result<Self, ObjectError> {
        let object: Self = serde_json::from_str(text)?;
        read_sheet(Self::NAME, write_csv(&object.sheet).as_bytes())?;
        Ok(object)
    }
}
