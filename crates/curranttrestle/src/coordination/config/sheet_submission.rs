//! Submits a sheet: a conditional update of the object that holds the current sheet.
//!
//! After a lost response the object is read back: it names the submissions that took effect.
//! The update is conditional on the version that was read first. A retry is therefore
//! idempotent, and it can't take effect once that version has been replaced.

use uuid::Uuid;

use super::backoff;
use super::step::{ChangeSettings, ChangeStep};
use crate::protocol::platform::{Expected, Object, StoreCall, StoreResponse};
use crate::state::Now;
use crate::state::sheet::{Sheet, SheetObject, SheetStamp};

/// The name of a submitter is truncated to this many characters.
const MAX_SUBMITTER_CHARS: usize = 64;

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The sheet was accepted.
    Accepted {
        /// The number of the sheet.
        number: u64,
        /// The submission that has already replaced it, if any.
        replaced_by: Option<SheetStamp>,
    },
    /// Another submission was accepted first. The sheet was not accepted and will not be.
    LostRace {
        /// The submission that was accepted instead.
        winner: SheetStamp,
    },
    /// The sheet can't be stored, or the stored object can't be parsed.
    Refused {
        /// The reason.
        reason: String,
    },
    /// All attempts failed. The sheet was not accepted and will not be.
    Unavailable,
    /// All attempts failed. The sheet may have been accepted or may still be.
    Unknown,
}

/// The update to send, and the version of the object that it replaces.
#[derive(Clone, Debug)]
struct PreparedUpdate {
    expected: Expected,
    number: u64,
    text: String,
}

/// Submits a sheet to the store, one call at a time. Does no I/O.
///
/// ```
/// use curranttrestle::coordination::config::{ChangeSettings, ChangeStep, SheetSubmission, SubmitOutcome};
/// use curranttrestle::protocol::platform::{StoreResponse, StoreCall, Version};
/// use curranttrestle::state::{Now, sheet::Sheet};
/// use uuid::Uuid;
///
/// let mut submission = SheetSubmission::new(
///     Sheet::default(),
///     "planner",
///     Uuid::from_u128(1),
///     ChangeSettings::default(),
///     Now::default(),
/// );
/// assert!(matches!(submission.start(), ChangeStep::Call { call: StoreCall::Read { .. }, .. }));
/// let step = submission.receive_response(&StoreResponse::Absent);
/// assert!(matches!(step, ChangeStep::Call { call: StoreCall::Update { .. }, .. }));
/// let step = submission.receive_response(&StoreResponse::Updated(Version(1)));
/// assert_eq!(step, ChangeStep::Done(SubmitOutcome::Accepted { number: 1, replaced_by: None }));
/// ```
#[derive(Clone, Debug)]
pub struct SheetSubmission {
    sheet: Sheet,
    submitted_by: String,
    attempt: Uuid,
    unix_ms: u64,
    settings: ChangeSettings,
    prepared: Option<PreparedUpdate>,
    /// Whether the call in flight is the update.
    update_in_flight: bool,
    /// Whether an update was sent that may or may not have taken effect.
    in_doubt: bool,
    failures: u32,
}

impl SheetSubmission {
    /// Creates a submission of the rows of `sheet`. The number of `sheet` is that of the newest
    /// sheet known to the submitter, or zero; the submission gets a higher one. `attempt` must
    /// be globally unique.
    #[must_use]
    pub fn new(
        sheet: Sheet,
        submitted_by: &str,
        attempt: Uuid,
        settings: ChangeSettings,
        now: Now,
    ) -> Self {
        Self {
            sheet,
            submitted_by: submitted_by.chars().take(MAX_SUBMITTER_CHARS).collect(),
            attempt,
            unix_ms: now.unix_ms,
            settings,
            prepared: None,
            update_in_flight: false,
            in_doubt: false,
            failures: 0,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ChangeStep<SubmitOutcome> {
        self.read(0)
    }

    /// Processes the response to the last call and returns the next step.
    pub fn receive_response(&mut self, response: &StoreResponse) -> ChangeStep<SubmitOutcome> {
        if self.update_in_flight {
            return self.handle_update_response(response);
        }
        match response {
            StoreResponse::Found(object) => self.handle_found(object),
            StoreResponse::Absent => self.handle_absent(),
            _ => self.retry_after_failure(),
        }
    }

    fn handle_update_response(&mut self, response: &StoreResponse) -> ChangeStep<SubmitOutcome> {
        match response {
            StoreResponse::Updated(_) => {
                let number = self.prepared.as_ref().map_or(0, |prepared| prepared.number);
                let replaced_by = None;
                ChangeStep::Done(SubmitOutcome::Accepted {
                    number,
                    replaced_by,
                })
            }
            StoreResponse::Conflict => self.read(0),
            StoreResponse::Unavailable => self.retry_after_failure(),
            _ => {
                self.in_doubt = true;
                self.retry_after_failure()
            }
        }
    }

    fn handle_found(&mut self, found: &Object) -> ChangeStep<SubmitOutcome> {
        let object = match SheetObject::from_text(&found.value) {
            Ok(object) => object,
            Err(error) => return self.refuse(error.to_string()),
        };
        if let Some(stamp) = object.stamp_of_attempt(self.attempt) {
            let is_current = object.stamp.attempt == self.attempt;
            return ChangeStep::Done(SubmitOutcome::Accepted {
                number: stamp.number,
                replaced_by: (!is_current).then(|| object.stamp.clone()),
            });
        }
        let expected = Expected::Version(found.version);
        match &self.prepared {
            None => self.prepare_update(expected, Some(&object)),
            Some(prepared) if prepared.expected == expected => self.update(0),
            Some(prepared) => ChangeStep::Done(self.outcome_if_replaced(&object, prepared.number)),
        }
    }

    fn handle_absent(&mut self) -> ChangeStep<SubmitOutcome> {
        match &self.prepared {
            None => self.prepare_update(Expected::Absent, None),
            Some(prepared) if prepared.expected == Expected::Absent => self.update(0),
            // The object was deleted, and the record of this submission with it.
            Some(_) => ChangeStep::Done(self.outcome_on_failure()),
        }
    }

    /// Returns the outcome if the expected version has been replaced by an object that does not
    /// name this submission.
    fn outcome_if_replaced(&self, object: &SheetObject, number: u64) -> SubmitOutcome {
        let stamps = std::iter::once(&object.stamp).chain(&object.history);
        let same_number = stamps.clone().find(|stamp| stamp.number == number);
        let may_be_evicted = object.history_is_full() || object.stamp.number < number;
        if self.in_doubt && same_number.is_none() && may_be_evicted {
            return SubmitOutcome::Unknown;
        }
        let winner = same_number.unwrap_or(&object.stamp).clone();
        SubmitOutcome::LostRace { winner }
    }

    fn prepare_update(
        &mut self,
        expected: Expected,
        current: Option<&SheetObject>,
    ) -> ChangeStep<SubmitOutcome> {
        let current_number = current.map_or(0, |current| current.stamp.number);
        let number = current_number.max(self.sheet.number) + 1;
        let stamp = SheetStamp {
            number,
            submitted_by: self.submitted_by.clone(),
            attempt: self.attempt,
            unix_ms: self.unix_ms,
        };
        let object = SheetObject::replacing(current, stamp, &self.sheet);
        match object.to_text() {
            Ok(text) => {
                self.prepared = Some(PreparedUpdate {
                    expected,
                    number,
                    text,
                });
                self.update(0)
            }
            Err(error) => self.refuse(error.to_string()),
        }
    }

    fn read(&mut self, delay_ms: u64) -> ChangeStep<SubmitOutcome> {
        self.update_in_flight = false;
        let name = SheetObject::NAME.to_owned();
        let call = StoreCall::Read { name };
        ChangeStep::Call { delay_ms, call }
    }

    fn update(&mut self, delay_ms: u64) -> ChangeStep<SubmitOutcome> {
        let Some(prepared) = &self.prepared else {
            return self.read(delay_ms);
        };
        self.update_in_flight = true;
        let call = StoreCall::Update {
            name: SheetObject::NAME.to_owned(),
            expected: prepared.expected,
            value: prepared.text.clone(),
        };
        ChangeStep::Call { delay_ms, call }
    }

    fn retry_after_failure(&mut self) -> ChangeStep<SubmitOutcome> {
        self.failures += 1;
        if self.failures >= self.settings.max_failures {
            return ChangeStep::Done(self.outcome_on_failure());
        }
        let delay_ms = backoff::delay_ms(
            self.attempt.as_bytes(),
            self.failures,
            self.settings.initial_retry_delay_ms,
            self.settings.max_retry_delay_ms,
        );
        self.read(delay_ms)
    }

    fn refuse(&self, reason: String) -> ChangeStep<SubmitOutcome> {
        ChangeStep::Done(match self.outcome_on_failure() {
            SubmitOutcome::Unknown => SubmitOutcome::Unknown,
            _ => SubmitOutcome::Refused { reason },
        })
    }

    fn outcome_on_failure(&self) -> SubmitOutcome {
        if self.in_doubt {
            SubmitOutcome::Unknown
        } else {
            SubmitOutcome::Unavailable
        }
    }
}
