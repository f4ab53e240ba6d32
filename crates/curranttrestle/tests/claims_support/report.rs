//! What is switched off in a run, and what the run showed.

/// A mechanism that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// All mechanisms are on.
    None,
    /// The key's age is checked against a wall clock read before a freeze.
    StaleClock,
    /// A lost answer is taken for success, instead of being read back.
    TrustLostAnswers,
    /// The store ignores what an update expects.
    UnconditionalUpdates,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub requests: u64,
    pub dispatches: u64,
    pub max_dispatches: u64,
    pub answered: u64,
    pub unknown: u64,
    pub not_run: u64,
    pub lost_to_restarts: u64,
    pub false_not_run: u64,
    pub wrong_answers: u64,
    pub without_verdict: u64,
    pub doubled_verdicts: u64,
    pub violations: u64,
    pub store_calls: u64,
    pub deleted_objects: u64,
}

impl Report {
    /// Whether each booking ran at most once and each caller got one true outcome.
    pub fn is_sound(&self) -> bool {
        let faults = [
            self.false_not_run,
            self.wrong_answers,
            self.without_verdict,
            self.doubled_verdicts,
            self.violations,
        ];
        self.max_dispatches <= 1 && faults.iter().all(|count| *count == 0)
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.dispatches += other.dispatches;
        self.max_dispatches = self.max_dispatches.max(other.max_dispatches);
        self.answered += other.answered;
        self.unknown += other.unknown;
        self.not_run += other.not_run;
        self.lost_to_restarts += other.lost_to_restarts;
        self.store_calls += other.store_calls;
        self.deleted_objects += other.deleted_objects;
    }
}
