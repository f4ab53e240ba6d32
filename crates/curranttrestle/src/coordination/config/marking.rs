//! Adds a mark of an endpoint to the object that holds all marks.
//!
//! Marks are only ever added, so a conflict is met by reading and adding again, and a lost
//! answer by looking whether the mark is there.

use super::backoff;
use super::step::{ChangeSettings, Step};
use crate::protocol::platform::{Expected, Object, StoreAnswer, StoreCall, Version};
use crate::state::marks::{MarkEntry, Marks};

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
    updating: bool,
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
            updating: false,
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
        if self.updating {
            return self.update_answer(answer);
        }
        match answer {
            StoreAnswer::Found(object) => self.take_found(object),
            StoreAnswer::Absent => self.update(Expected::Absent, Marks::default()),
            _ => self.retry_after_failure(),
        }
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
            Ok(marks) if marks.contains(&self.entry) => Step::Done(MarkOutcome::Accepted {
                version: found.version,
            }),
            Ok(marks) => self.update(Expected::Version(found.version), marks),
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
        self.updating = true;
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
        self.updating = false;
        let name = Marks::NAME.to_owned();
        let call = StoreCall::Read { name };
        Step::Call { delay_ms, call }
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
