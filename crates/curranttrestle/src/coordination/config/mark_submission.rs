//! Adds a mark of an endpoint to the store object that holds all marks.
//!
//! After a conflict or a lost response the marks are read and written again until the store
//! confirms an update. Finding the mark in the object does not suffice: it may date from before
//! the sheet last added the endpoint, and a concurrent change may be about to remove it. A
//! write makes that removal fail, because its expected version no longer matches.
//!
//! Each update also removes the marks of endpoints that the sheet no longer names, so that the
//! object stays below the size limit. The marks are read before the sheet, and the update is
//! conditional on that version of the marks. An endpoint is marked only after an accepted sheet
//! names it, so the sheet that is read later is that one or a newer one, never an older one
//! without the endpoint. If no sheet can be read, no marks are removed.

use super::backoff;
use super::step::{ChangeSettings, ChangeStep};
use crate::protocol::platform::{Expected, Object, StoreCall, StoreResponse, Version};
use crate::state::marks::{MarkEntry, Marks};
use crate::state::sheet::SheetObject;

/// The store's limit on the size of an object.
const MAX_OBJECT_BYTES: usize = 1_000_000;

/// The outcome of adding a mark.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MarkOutcome {
    /// The mark is in the store.
    Accepted {
        /// A version of the object that contains the mark.
        version: Version,
    },
    /// The object would exceed the size limit, or its stored content can't be parsed.
    Refused {
        /// The reason.
        reason: String,
    },
    /// All attempts failed. The mark was not added and will not be.
    Unavailable,
    /// All attempts failed. The mark may have been added or may still be.
    Unknown,
}

/// The call in flight.
#[derive(Clone, Debug)]
enum PendingCall {
    /// Reads the marks.
    ReadMarks,
    /// Reads the sheet; holds the marks that were read before.
    ReadSheet { version: Version, marks: Marks },
    /// Writes the marks.
    WriteMarks,
}

/// Adds a mark to the store, one call at a time. Does no I/O.
///
/// ```
/// use curranttrestle::coordination::config::{ChangeSettings, MarkSubmission, MarkOutcome, ChangeStep};
/// use curranttrestle::protocol::platform::{StoreResponse, Version};
/// use curranttrestle::state::marks::{Mark, MarkEntry};
///
/// let entry = MarkEntry {
///     endpoint: "m1".into(),
///     incarnation: None,
///     mark: Mark::Stop,
///     unix_ms: 0,
///     by: "operator".to_owned(),
/// };
/// let mut submission = MarkSubmission::new(entry, ChangeSettings::default());
/// submission.start();
/// submission.receive_response(&StoreResponse::Absent);
/// let step = submission.receive_response(&StoreResponse::Updated(Version(4)));
/// assert_eq!(step, ChangeStep::Done(MarkOutcome::Accepted { version: Version(4) }));
/// ```
#[derive(Clone, Debug)]
pub struct MarkSubmission {
    entry: MarkEntry,
    settings: ChangeSettings,
    pending_call: PendingCall,
    /// Whether an update was sent that may or may not have taken effect.
    in_doubt: bool,
    failures: u32,
}

impl MarkSubmission {
    /// Creates a change that adds `entry`.
    #[must_use]
    pub fn new(entry: MarkEntry, settings: ChangeSettings) -> Self {
        Self {
            entry,
            settings,
            pending_call: PendingCall::ReadMarks,
            in_doubt: false,
            failures: 0,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ChangeStep<MarkOutcome> {
        self.read_marks(0)
    }

    /// Processes the response to the last call and returns the next step.
    pub fn receive_response(&mut self, response: &StoreResponse) -> ChangeStep<MarkOutcome> {
        match std::mem::replace(&mut self.pending_call, PendingCall::ReadMarks) {
            PendingCall::ReadMarks => self.handle_marks_response(response),
            PendingCall::ReadSheet { version, marks } => {
                self.handle_sheet_response(response, version, marks)
            }
            PendingCall::WriteMarks => self.handle_write_response(response),
        }
    }

    fn handle_marks_response(&mut self, response: &StoreResponse) -> ChangeStep<MarkOutcome> {
        match response {
            StoreResponse::Found(object) => self.handle_marks_object(object),
            StoreResponse::Absent => self.write_marks(Expected::Absent, Marks::default()),
            _ => self.retry_after_failure(),
        }
    }

    fn handle_sheet_response(
        &mut self,
        response: &StoreResponse,
        version: Version,
        mut marks: Marks,
    ) -> ChangeStep<MarkOutcome> {
        if let StoreResponse::Found(object) = response
            && let Ok(object) = SheetObject::from_text(&object.value)
        {
            marks.retain_endpoints(|endpoint| object.sheet.endpoints.contains_key(endpoint));
        }
        self.write_marks(Expected::Version(version), marks)
    }

    fn handle_write_response(&mut self, response: &StoreResponse) -> ChangeStep<MarkOutcome> {
        match response {
            StoreResponse::Updated(version) => {
                let version = *version;
                ChangeStep::Done(MarkOutcome::Accepted { version })
            }
            StoreResponse::Conflict | StoreResponse::Unavailable => self.retry_after_failure(),
            _ => {
                self.in_doubt = true;
                self.retry_after_failure()
            }
        }
    }

    fn handle_marks_object(&mut self, found: &Object) -> ChangeStep<MarkOutcome> {
        match serde_json::from_str::<Marks>(&found.value) {
            Ok(marks) => self.read_sheet(found.version, marks),
            Err(error) => self.refuse(error.to_string()),
        }
    }

    fn write_marks(&mut self, expected: Expected, mut marks: Marks) -> ChangeStep<MarkOutcome> {
        marks.merge(std::slice::from_ref(&self.entry));
        let value = match serde_json::to_string(&marks) {
            Ok(value) if value.len() <= MAX_OBJECT_BYTES => value,
            Ok(value) => return self.refuse(format!("marks are too large: {} bytes", value.len())),
            Err(error) => return self.refuse(error.to_string()),
        };
        self.pending_call = PendingCall::WriteMarks;
        let name = Marks::NAME.to_owned();
        let delay_ms = 0;
        let call = StoreCall::Update {
            name,
            expected,
            value,
        };
        ChangeStep::Call { delay_ms, call }
    }

    fn read_marks(&mut self, delay_ms: u64) -> ChangeStep<MarkOutcome> {
        self.pending_call = PendingCall::ReadMarks;
        let name = Marks::NAME.to_owned();
        let call = StoreCall::Read { name };
        ChangeStep::Call { delay_ms, call }
    }

    fn read_sheet(&mut self, version: Version, marks: Marks) -> ChangeStep<MarkOutcome> {
        self.pending_call = PendingCall::ReadSheet { version, marks };
        let name = SheetObject::NAME.to_owned();
        let call = StoreCall::Read { name };
        ChangeStep::Call { delay_ms: 0, call }
    }

    fn retry_after_failure(&mut self) -> ChangeStep<MarkOutcome> {
        self.failures += 1;
        if self.failures >= self.settings.max_failures {
            return ChangeStep::Done(self.outcome_on_failure());
        }
        let delay_ms = backoff::delay_ms(
            self.entry.by.as_bytes(),
            self.failures,
            self.settings.initial_retry_delay_ms,
            self.settings.max_retry_delay_ms,
        );
        self.read_marks(delay_ms)
    }

    fn refuse(&self, reason: String) -> ChangeStep<MarkOutcome> {
        ChangeStep::Done(match self.outcome_on_failure() {
            MarkOutcome::Unknown => MarkOutcome::Unknown,
            _ => MarkOutcome::Refused { reason },
        })
    }

    fn outcome_on_failure(&self) -> MarkOutcome {
        if self.in_doubt {
            MarkOutcome::Unknown
        } else {
            MarkOutcome::Unavailable
        }
    }
}
