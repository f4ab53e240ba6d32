//! Adds a mark of an endpoint to the object that holds all marks.
//!
//! A conflict and a lost answer are met by reading and writing again until the store answers
//! an update. That the mark is there already is not enough: it may be from a time before the
//! sheet named the endpoint anew, and another change may be about to remove it. A write makes
//! that removal fail, because its condition no longer holds.
//!
//! Marks of endpoints that the sheet no longer names are removed on the way, so that the
//! object never fills. The marks are read before the sheet, and the update is conditional on
//! that version of the marks. An endpoint is marked only once an accepted sheet names it, so
//! the sheet read later is that one or a newer one, never an older one that does not name it
//! yet. Without a sheet that can be read nothing is removed.

use super::backoff;
use super::step::{ChangeSettings, Step};
use crate::protocol::platform::{Expected, Object, StoreAnswer, StoreCall, Version};
use crate::state::marks::{MarkEntry, Marks};
use crate::state::sheet::SheetObject;

/// The largest object that the store holds.
const OBJECT_LIMIT_BYTES: usize = 1_000_000;

/// What became of a mark.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MarkOutcome {
    /// The mark is in the store.
    Accepted {
        /// A version of the object that holds it.
        version: Version,
    },
    /// The store has no room for it, or what it holds can't be read.
    Refused {
        /// Why.
        reason: String,
    },
    /// The store did not answer. The mark was not added and will not be.
    Unavailable,
    /// The store did not answer. The mark may have been added, or yet be.
    Unknown,
}

/// The call whose answer is awaited.
#[derive(Clone, Debug)]
enum Awaited {
    /// The marks are read.
    Marks,
    /// The sheet is read, after these marks.
    Sheet { version: Version, marks: Marks },
    /// The marks are written.
    Update,
}

/// A mark on its way into the store.
///
/// ```
/// use curranttrestle::coordination::config::{ChangeSettings, Marking, MarkOutcome, Step};
/// use curranttrestle::protocol::platform::{StoreAnswer, Version};
/// use curranttrestle::state::marks::{Mark, MarkEntry};
///
/// let entry = MarkEntry {
///     endpoint: "m1".into(),
///     incarnation: None,
///     mark: Mark::Stop,
///     unix_ms: 0,
///     by: "operator".to_owned(),
/// };
/// let mut marking = Marking::new(entry, ChangeSettings::default());
/// marking.start();
/// marking.answer(&StoreAnswer::Absent);
/// let step = marking.answer(&StoreAnswer::Updated(Version(4)));
/// assert_eq!(step, Step::Done(MarkOutcome::Accepted { version: Version(4) }));
/// ```
#[derive(Clone, Debug)]
pub struct Marking {
    entry: MarkEntry,
    settings: ChangeSettings,
    awaited: Awaited,
    in_doubt: bool,
    failures: u32,
}

impl Marking {
    /// Adds `entry`.
    #[must_use]
    pub fn new(entry: MarkEntry, settings: ChangeSettings) -> Self {
        Self {
            entry,
            settings,
            awaited: Awaited::Marks,
            in_doubt: false,
            failures: 0,
        }
    }

    /// The first step.
    pub fn start(&mut self) -> Step<MarkOutcome> {
        self.read(0)
    }

    /// The step after `answer`.
    pub fn answer(&mut self, answer: &StoreAnswer) -> Step<MarkOutcome> {
        match std::mem::replace(&mut self.awaited, Awaited::Marks) {
            Awaited::Marks => self.marks_answer(answer),
            Awaited::Sheet { version, marks } => self.sheet_answer(answer, version, marks),
            Awaited::Update => self.update_answer(answer),
        }
    }

    fn marks_answer(&mut self, answer: &StoreAnswer) -> Step<MarkOutcome> {
        match answer {
            StoreAnswer::Found(object) => self.take_found(object),
            StoreAnswer::Absent => self.update(Expected::Absent, Marks::default()),
            _ => self.retry_after_failure(),
        }
    }

    fn sheet_answer(
        &mut self,
        answer: &StoreAnswer,
        version: Version,
        mut marks: Marks,
    ) -> Step<MarkOutcome> {
        if let StoreAnswer::Found(object) = answer
            && let Ok(object) = SheetObject::from_text(&object.value)
        {
            marks.retain_named(|endpoint| object.sheet.endpoints.contains_key(endpoint));
        }
        self.update(Expected::Version(version), marks)
    }

    fn update_answer(&mut self, answer: &StoreAnswer) -> Step<MarkOutcome> {
        match answer {
            StoreAnswer::Updated(version) => {
                let version = *version;
                Step::Done(MarkOutcome::Accepted { version })
            }
            StoreAnswer::Conflict | StoreAnswer::Unavailable => self.retry_after_failure(),
            _ => {
                self.in_doubt = true;
                self.retry_after_failure()
            }
        }
    }

    fn take_found(&mut self, found: &Object) -> Step<MarkOutcome> {
        match serde_json::from_str::<Marks>(&found.value) {
            Ok(marks) => self.read_sheet(found.version, marks),
            Err(error) => self.refuse(error.to_string()),
        }
    }

    fn update(&mut self, expected: Expected, mut marks: Marks) -> Step<MarkOutcome> {
        marks.merge(std::slice::from_ref(&self.entry));
        let value = match serde_json::to_string(&marks) {
            Ok(value) if value.len() <= OBJECT_LIMIT_BYTES => value,
            Ok(value) => return self.refuse(format!("the marks take {} bytes", value.len())),
            Err(error) => return self.refuse(error.to_string()),
        };
        self.awaited = Awaited::Update;
        let name = Marks::NAME.to_owned();
        let delay_ms = 0;
        let call = StoreCall::Update {
            name,
            expected,
            value,
        };
        Step::Call { delay_ms, call }
    }

    fn read(&mut self, delay_ms: u64) -> Step<MarkOutcome> {
        self.awaited = Awaited::Marks;
        let name = Marks::NAME.to_owned();
        let call = StoreCall::Read { name };
        Step::Call { delay_ms, call }
    }

    fn read_sheet(&mut self, version: Version, marks: Marks) -> Step<MarkOutcome> {
        self.awaited = Awaited::Sheet { version, marks };
        let name = SheetObject::NAME.to_owned();
        let call = StoreCall::Read { name };
        Step::Call { delay_ms: 0, call }
    }

    fn retry_after_failure(&mut self) -> Step<MarkOutcome> {
        self.failures += 1;
        if self.failures >= self.settings.most_failures {
            return Step::Done(self.outcome_of_giving_up());
        }
        let delay_ms = backoff::delay_ms(
            self.entry.by.as_bytes(),
            self.failures,
            self.settings.first_retry_ms,
            self.settings.longest_retry_ms,
        );
        self.read(delay_ms)
    }

    fn refuse(&self, reason: String) -> Step<MarkOutcome> {
        Step::Done(match self.outcome_of_giving_up() {
            MarkOutcome::Unknown => MarkOutcome::Unknown,
            _ => MarkOutcome::Refused { reason },
        })
    }

    fn outcome_of_giving_up(&self) -> MarkOutcome {
        if self.in_doubt {
            MarkOutcome::Unknown
        } else {
            MarkOutcome::Unavailable
        }
    }
}
