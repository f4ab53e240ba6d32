//! The sheet in force as the platform's store holds it.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

use super::reader::SHEET_LIMIT_BYTES;
use super::{Sheet, read_sheet, write_csv};
use crate::state::Findings;

/// How many earlier submissions the object names.
const HISTORY_LENGTH: usize = 32;

/// Why the text of the object can't be written or read.
#[derive(Debug, Error)]
pub enum ObjectError {
    /// The text is larger than the store allows.
    #[error("the sheet takes {size_bytes} bytes in the store, which holds {SHEET_LIMIT_BYTES}")]
    TooLarge {
        /// The size of the text.
        size_bytes: usize,
    },
    /// The text is not the JSON form of the object.
    #[error("not a sheet object: {0}")]
    Json(#[from] serde_json::Error),
    /// The sheet in the text breaks a rule of the sheet.
    #[error("the sheet in the store has faults: {0}")]
    Faulty(#[from] Findings),
}

/// Who submitted a sheet, and as which number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetStamp {
    /// The number of the sheet.
    pub number: u64,
    /// The operator, as named by the tool that submitted it.
    pub submitted_by: String,
    /// Names the submission, unique for good.
    pub attempt: Uuid,
    /// When it was submitted, by the submitter's clock.
    pub unix_ms: u64,
}

/// The object `sheet/current`: the sheet in force and who submitted it and those before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SheetObject {
    /// The submission; its number is the sheet's.
    pub stamp: SheetStamp,
    /// The submissions before, newest first.
    pub history: Vec<SheetStamp>,
    /// The sheet.
    pub sheet: Sheet,
}

impl SheetObject {
    /// The name of the object in the store.
    pub const NAME: &'static str = "sheet/current";

    /// The object that replaces `current`, with the stamp's number in the sheet.
    #[must_use]
    pub fn following(current: Option<&Self>, stamp: SheetStamp, sheet: &Sheet) -> Self {
        let mut history = Vec::new();
        if let Some(current) = current {
            history.push(current.stamp.clone());
            history.extend(current.history.iter().cloned());
            history.truncate(HISTORY_LENGTH);
        }
        let mut sheet = sheet.clone();
        sheet.number = stamp.number;
        Self {
            stamp,
            history,
            sheet,
        }
    }

    /// Whether the submission `attempt` took effect, now or before.
    #[must_use]
    pub fn names_attempt(&self, attempt: Uuid) -> Option<&SheetStamp> {
        std::iter::once(&self.stamp)
            .chain(&self.history)
            .find(|stamp| stamp.attempt == attempt)
    }

    /// Whether a submission may have fallen out of the history.
    #[must_use]
    pub fn history_is_full(&self) -> bool {
        self.history.len() >= HISTORY_LENGTH
    }

    /// The JSON text for the store.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is larger than the store allows.
    pub fn to_text(&self) -> Result<String, ObjectError> {
        let text = serde_json::to_string(self)?;
        if text.len() > SHEET_LIMIT_BYTES {
            let size_bytes = text.len();
            return Err(ObjectError::TooLarge { size_bytes });
        }
        Ok(text)
    }

    /// Reads the JSON text from the store and checks the sheet by the rules of the reader.
    ///
    /// # Errors
    ///
    /// Returns an error when the text is not such an object or its sheet has faults.
    pub fn from_text(text: &str) -> Result<Self, ObjectError> {
        let object: Self = serde_json::from_str(text)?;
        read_sheet(Self::NAME, write_csv(&object.sheet).as_bytes())?;
        Ok(object)
    }
}
