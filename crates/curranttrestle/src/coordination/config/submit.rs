//! Submits a sheet: a conditional update of the object that holds the sheet in force.
//!
//! An answer that was lost is resolved by reading back: the object names the submissions
//! that took effect. The update is conditional on the version first read, so repeating it
//! is harmless and it can't take effect once that version has been replaced.

use uuid::Uuid;

use super::backoff;
use super::step::{ChangeSettings, Step};
use crate::protocol::platform::{Expected, Object, StoreAnswer, StoreCall};
use crate::state::Now;
use crate::state::sheet::{Sheet, SheetObject, SheetStamp};

/// The longest name of a submitter that is kept.
const SUBMITTER_LENGTH: usize = 64;

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The sheet was accepted.
    Accepted {
        /// Its number.
        number: u64,
        /// The submission that has replaced it already.
        replaced_by: Option<SheetStamp>,
    },
    /// Another submission came first. The sheet was not accepted and will not be.
    LostRace {
        /// The submission that was accepted in its place.
        winner: SheetStamp,
    },
    /// The sheet can't be stored, or what the store holds can't be read.
    Refused {
        /// Why.
        reason: String,
    },
    /// The store did not answer. The sheet was not accepted and will not be.
    Unavailable,
    /// The store did not answer. The sheet may have been accepted, or yet be.
    Unknown,
}

/// What an update was based on.
#[derive(Clone, Debug)]
struct Base {
    expected: Expected,
    number: u64,
    text: String,
}

/// A sheet on its way into the store.
///
/// ```
/// use curranttrestle::coordination::config::{ChangeSettings, Step, Submission, SubmitOutcome};
/// use curranttrestle::protocol::platform::{StoreAnswer, StoreCall, Version};
/// use curranttrestle::state::{Now, sheet::Sheet};
/// use uuid::Uuid;
///
/// let mut submission = Submission::new(
///     Sheet::default(),
///     "planner",
///     Uuid::from_u128(1),
///     ChangeSettings::default(),
///     Now::default(),
/// );
/// assert!(matches!(submission.start(), Step::Call { call: StoreCall::Read { .. }, .. }));
/// let step = submission.answer(&StoreAnswer::Absent);
/// assert!(matches!(step, Step::Call { call: StoreCall::Update { .. }, .. }));
/// let step = submission.answer(&StoreAnswer::Updated(Version(1)));
/// assert_eq!(step, Step::Done(SubmitOutcome::Accepted { number: 1, replaced_by: None }));
/// ```
#[derive(Clone, Debug)]
pub struct Submission {
    sheet: Sheet,
    submitted_by: String,
    attempt: Uuid,
    unix_ms: u64,
    settings: ChangeSettings,
    base: Option<Base>,
    /// The call whose answer is awaited is the update.
    updating: bool,
    /// An update was sent whose effect is not known.
    in_doubt: bool,
    failures: u32,
}

impl Submission {
    /// A submission of the rows of `sheet`. Its number is that of the newest sheet that the
    /// submitter knows, zero for none, and a greater one is given to it. `attempt` must be
    /// unique for good.
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
            submitted_by: submitted_by.chars().take(SUBMITTER_LENGTH).collect(),
            attempt,
            unix_ms: now.unix_ms,
            settings,
            base: None,
            updating: false,
            in_doubt: false,
            failures: 0,
        }
    }

    /// The first step.
    pub fn start(&mut self) -> Step<SubmitOutcome> {
        self.read(0)
    }

    /// The step after `answer`.
    pub fn answer(&mut self, answer: &StoreAnswer) -> Step<SubmitOutcome> {
        if self.updating {
            return self.update_answer(answer);
        }
        match answer {
            StoreAnswer::Found(object) => self.take_found(object),
            StoreAnswer::Absent => self.take_absent(),
            _ => self.retry_after_failure(),
        }
    }

    fn update_answer(&mut self, answer: &StoreAnswer) -> Step<SubmitOutcome> {
        match answer {
            StoreAnswer::Updated(_) => {
                let number = self.base.as_ref().map_or(0, |base| base.number);
                let replaced_by = None;
                Step::Done(SubmitOutcome::Accepted {
                    number,
                    replaced_by,
                })
            }
            StoreAnswer::Conflict => self.read(0),
            StoreAnswer::Unavailable => self.retry_after_failure(),
            _ => {
                self.in_doubt = true;
                self.retry_after_failure()
            }
        }
    }

    fn take_found(&mut self, found: &Object) -> Step<SubmitOutcome> {
        let object = match SheetObject::from_text(&found.value) {
            Ok(object) => object,
            Err(error) => return self.refuse(error.to_string()),
        };
        if let Some(stamp) = object.names_attempt(self.attempt) {
            let is_current = object.stamp.attempt == self.attempt;
            return Step::Done(SubmitOutcome::Accepted {
                number: stamp.number,
                replaced_by: (!is_current).then(|| object.stamp.clone()),
            });
        }
        let expected = Expected::Version(found.version);
        match &self.base {
            None => self.prepare_update(expected, Some(&object)),
            Some(base) if base.expected == expected => self.update(0),
            Some(base) => Step::Done(self.outcome_without_own(&object, base.number)),
        }
    }

    fn take_absent(&mut self) -> Step<SubmitOutcome> {
        match &self.base {
            None => self.prepare_update(Expected::Absent, None),
            Some(base) if base.expected == Expected::Absent => self.update(0),
            // Someone removed the object, and with it the trace of this submission.
            Some(_) => Step::Done(self.outcome_of_giving_up()),
        }
    }

    /// The outcome when another version has replaced the base and does not name this
    /// submission.
    fn outcome_without_own(&self, object: &SheetObject, number: u64) -> SubmitOutcome {
        let stamps = std::iter::once(&object.stamp).chain(&object.history);
        let in_place = stamps.clone().find(|stamp| stamp.number == number);
        let may_be_forgotten = object.history_is_full() || object.stamp.number < number;
        if self.in_doubt && in_place.is_none() && may_be_forgotten {
            return SubmitOutcome::Unknown;
        }
        let winner = in_place.unwrap_or(&object.stamp).clone();
        SubmitOutcome::LostRace { winner }
    }

    fn prepare_update(
        &mut self,
        expected: Expected,
        current: Option<&SheetObject>,
    ) -> Step<SubmitOutcome> {
        let current_number = current.map_or(0, |current| current.stamp.number);
        let number = current_number.max(self.sheet.number) + 1;
        let stamp = SheetStamp {
            number,
            submitted_by: self.submitted_by.clone(),
            attempt: self.attempt,
            unix_ms: self.unix_ms,
        };
        let object = SheetObject::following(current, stamp, &self.sheet);
        match object.to_text() {
            Ok(text) => {
                self.base = Some(Base {
                    expected,
                    number,
                    text,
                });
                self.update(0)
            }
            Err(error) => self.refuse(error.to_string()),
        }
    }

    fn read(&mut self, delay_ms: u64) -> Step<SubmitOutcome> {
        self.updating = false;
        let name = SheetObject::NAME.to_owned();
        let call = StoreCall::Read { name };
        Step::Call { delay_ms, call }
    }

    fn update(&mut self, delay_ms: u64) -> Step<SubmitOutcome> {
        let Some(base) = &self.base else {
            return self.read(delay_ms);
        };
        self.updating = true;
        let call = StoreCall::Update {
            name: SheetObject::NAME.to_owned(),
            expected: base.expected,
            value: base.text.clone(),
        };
        Step::Call { delay_ms, call }
    }

    fn retry_after_failure(&mut self) -> Step<SubmitOutcome> {
        self.failures += 1;
        if self.failures >= self.settings.most_failures {
            return Step::Done(self.outcome_of_giving_up());
        }
        let delay_ms = backoff::delay_ms(
            self.attempt.as_bytes(),
            self.failures,
            self.settings.first_retry_ms,
            self.settings.longest_retry_ms,
        );
        self.read(delay_ms)
    }

    fn refuse(&self, reason: String) -> Step<SubmitOutcome> {
        Step::Done(match self.outcome_of_giving_up() {
            SubmitOutcome::Unknown => SubmitOutcome::Unknown,
            _ => SubmitOutcome::Refused { reason },
        })
    }

    fn outcome_of_giving_up(&self) -> SubmitOutcome {
        if self.in_doubt {
            SubmitOutcome::Unknown
        } else {
            SubmitOutcome::Unavailable
        }
    }
}
