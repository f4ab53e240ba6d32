//! The injected fault of a run, and its results.

/// A fault injected into a run, which disables one safety mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// All mechanisms are enabled.
    None,
    /// The key's age is checked against a wall clock read before a freeze.
    StaleClock,
    /// A lost response to an update counts as success, instead of being verified by a read.
    TrustLostResponses,
    /// The store ignores the condition of an update.
    UnconditionalUpdates,
}

/// The results of a run.
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
    pub wrong_responses: u64,
    pub without_verdict: u64,
    pub duplicate_verdicts: u64,
    pub violations: u64,
    pub store_calls: u64,
    pub deleted_objects: u64,
}

impl Report {
    /// Whether each request ran at most once and each caller got one correct outcome.
    pub fn is_correct(&self) -> bool {
        let errors = [
            self.false_not_run,
            self.wrong_responses,
            self.without_verdict,
            self.duplicate_verdicts,
            self.violations,
        ];
        self.max_dispatches <= 1 && errors.iter().all(|count| *count == 0)
    }

    /// Adds the counts of another run, except those that are zero in a correct run.
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
