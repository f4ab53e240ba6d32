//! What is known of the leaving of one endpoint.

use indexmap::IndexSet;

use crate::protocol::peer::{EndpointNotice, Listed};
use crate::state::marks::{Mark, MarkEntry};
use crate::state::{AttemptId, EndpointId, Now};

use super::stop::StopProgress;

/// What the operators' marks say of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointMarks {
    /// The latest run that is marked.
    run: Option<u64>,
    /// The latest run that is to be stopped.
    stop_run: Option<u64>,
    /// The mark of all its runs.
    all_runs: Option<Mark>,
}

impl EndpointMarks {
    /// Adds a mark. Marks are never withdrawn.
    pub(super) fn add(&mut self, entry: &MarkEntry) {
        let Some(run) = entry.incarnation else {
            self.all_runs = self.all_runs.max(Some(entry.mark));
            return;
        };
        self.run = self.run.max(Some(run));
        if entry.mark == Mark::Stop {
            self.stop_run = self.stop_run.max(Some(run));
        }
    }
}

/// What is known of the leaving of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointState {
    /// The latest run that was seen.
    pub run: Option<u64>,
    /// The latest run that is leaving, as seen by a router.
    leaving_run: Option<u64>,
    /// What the operators' marks say.
    pub marks: EndpointMarks,
    /// What the platform's list said last.
    listed: Option<Listed>,
    /// The platform's list said that the endpoint is leaving before any run was seen.
    is_unbound: bool,
    /// The sheet in force says that the endpoint is leaving.
    pub is_leaving_in_sheet: bool,
    /// The attempts of this router that run on the endpoint.
    pub running: IndexSet<AttemptId>,
    /// How far the stop of the endpoint is.
    pub progress: Option<StopProgress>,
    /// Other routers are to be told.
    pub is_news: bool,
}

impl EndpointState {
    /// Whether new work may be sent to the endpoint.
    pub(super) fn is_usable(&self) -> bool {
        // While the run is not known, the mark of any run counts.
        let is_marked = match (self.leaving_run.max(self.marks.run), self.run) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(marked), Some(run)) => run <= marked,
        };
        let is_listed = self.listed.is_some_and(|listed| listed.leaving);
        !is_marked && !is_listed && !self.is_leaving_in_sheet && self.marks.all_runs.is_none()
    }

    /// The present run, if it is to be stopped.
    pub(super) fn run_to_stop(&self) -> Option<u64> {
        let run = self.run?;
        let is_stopped =
            self.marks.stop_run == Some(run) || self.marks.all_runs == Some(Mark::Stop);
        is_stopped.then_some(run)
    }

    /// Whether other routers may not hear of it from the configuration.
    pub(super) fn concerns_others(&self) -> bool {
        self.leaving_run.is_some() || self.listed.is_some_and(|listed| listed.leaving)
    }

    /// What other routers are told.
    pub(super) fn notice(&self, endpoint: &EndpointId) -> EndpointNotice {
        EndpointNotice {
            endpoint: endpoint.clone(),
            run: self.run,
            leaving_run: self.leaving_run,
            listed: self.listed,
        }
    }

    /// Takes what another router knows, and passes it on when it is new.
    pub(super) fn merge(&mut self, notice: &EndpointNotice) {
        let old = self.essence();
        if let Some(run) = notice.run {
            self.observe_run(run);
        }
        self.leaving_run = self.leaving_run.max(notice.leaving_run);
        if let Some(listed) = notice.listed {
            self.set_listed(listed);
        }
        self.is_news |= self.concerns_others() && old != self.essence();
    }

    /// What matters to others: without the time at which the list was read.
    fn essence(&self) -> (Option<u64>, Option<u64>, bool) {
        let is_listed = self.listed.is_some_and(|listed| listed.leaving);
        (self.run, self.leaving_run, is_listed)
    }

    /// The run `run` is leaving.
    pub(super) fn mark_run(&mut self, run: u64) {
        self.is_news |= self.leaving_run < Some(run);
        self.leaving_run = self.leaving_run.max(Some(run));
    }

    /// Takes note of a run that was seen.
    pub(super) fn observe_run(&mut self, run: u64) {
        if self.run >= Some(run) {
            return;
        }
        self.run = Some(run);
        // Those who know the mark of an earlier run must hear of the later one.
        self.is_news |= self.concerns_others();
        // A listing before any run was seen means the first one.
        if std::mem::take(&mut self.is_unbound) {
            self.mark_run(run);
        }
    }

    /// Takes what the platform's list says.
    pub(super) fn list(&mut self, leaving: bool, now: Now) {
        let old = self.essence();
        self.set_listed(Listed {
            read_unix_ms: now.unix_ms,
            leaving,
        });
        self.is_news |= old != self.essence();
    }

    /// Takes what a list said, unless a later one is known.
    fn set_listed(&mut self, listed: Listed) {
        let was_leaving = self.listed.is_some_and(|listed| listed.leaving);
        self.listed = self.listed.max(Some(listed));
        // The list lags: only its change tells of the present run.
        if was_leaving || !self.listed.is_some_and(|listed| listed.leaving) {
            return;
        }
        match self.run {
            Some(run) => self.mark_run(run),
            None => self.is_unbound = true,
        }
    }
}
