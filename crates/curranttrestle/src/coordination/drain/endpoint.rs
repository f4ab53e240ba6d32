//! What this router knows about the draining of one endpoint.

use indexmap::IndexSet;

use crate::protocol::peer::{EndpointNotice, ListedStatus};
use crate::state::marks::{Mark, MarkEntry};
use crate::state::{AttemptId, EndpointId, Now};

use super::stop::StopProgress;

/// The operators' marks of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointMarks {
    /// The latest marked run.
    run: Option<u64>,
    /// The latest run that is marked to be stopped.
    stop_run: Option<u64>,
    /// The mark that applies to all runs.
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

/// What this router knows about the draining of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointState {
    /// The latest run seen.
    pub run: Option<u64>,
    /// The latest run that a router saw leaving.
    leaving_run: Option<u64>,
    /// The operators' marks.
    pub marks: EndpointMarks,
    /// The endpoint's entry in the platform's latest list.
    listed: Option<ListedStatus>,
    /// The platform's list showed the endpoint as leaving before any run was seen.
    listed_before_run: bool,
    /// The sheet in force shows the endpoint as leaving.
    pub is_leaving_in_sheet: bool,
    /// The attempts of this router that run on the endpoint.
    pub running: IndexSet<AttemptId>,
    /// The progress towards stopping the endpoint.
    pub progress: Option<StopProgress>,
    /// There is an update to send to other routers.
    pub has_update: bool,
}

impl EndpointState {
    /// Whether new work may be sent to the endpoint.
    pub(super) fn is_usable(&self) -> bool {
        // While the current run is unknown, a mark of any run counts.
        let is_marked = match (self.leaving_run.max(self.marks.run), self.run) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(marked), Some(run)) => run <= marked,
        };
        let is_listed = self.listed.is_some_and(|listed| listed.leaving);
        !is_marked && !is_listed && !self.is_leaving_in_sheet && self.marks.all_runs.is_none()
    }

    /// The current run, if it is to be stopped.
    pub(super) fn run_to_stop(&self) -> Option<u64> {
        let run = self.run?;
        let must_stop = self.marks.stop_run == Some(run) || self.marks.all_runs == Some(Mark::Stop);
        must_stop.then_some(run)
    }

    /// Whether to gossip that the endpoint is leaving, because the configuration may not show it.
    pub(super) fn is_gossiped(&self) -> bool {
        self.leaving_run.is_some() || self.listed.is_some_and(|listed| listed.leaving)
    }

    /// The notice to send to other routers.
    pub(super) fn notice(&self, endpoint: &EndpointId) -> EndpointNotice {
        EndpointNotice {
            endpoint: endpoint.clone(),
            run: self.run,
            leaving_run: self.leaving_run,
            listed: self.listed,
        }
    }

    /// Merges what another router knows, and passes it on if it is new.
    pub(super) fn merge(&mut self, notice: &EndpointNotice) {
        let old = self.shared_state();
        if let Some(run) = notice.run {
            self.observe_run(run);
        }
        self.leaving_run = self.leaving_run.max(notice.leaving_run);
        if let Some(listed) = notice.listed {
            self.set_listed(listed);
        }
        self.has_update |= self.is_gossiped() && old != self.shared_state();
    }

    /// The state that other routers need. It excludes the time at which the list was read.
    fn shared_state(&self) -> (Option<u64>, Option<u64>, bool) {
        let is_listed = self.listed.is_some_and(|listed| listed.leaving);
        (self.run, self.leaving_run, is_listed)
    }

    /// Records that the run `run` is leaving.
    pub(super) fn set_leaving_run(&mut self, run: u64) {
        self.has_update |= self.leaving_run < Some(run);
        self.leaving_run = self.leaving_run.max(Some(run));
    }

    /// Records a run that was seen.
    pub(super) fn observe_run(&mut self, run: u64) {
        if self.run >= Some(run) {
            return;
        }
        self.run = Some(run);
        // Routers that know of an earlier leaving run must learn of the later run.
        self.has_update |= self.is_gossiped();
        // A listing read before any run was seen applies to the first run.
        if std::mem::take(&mut self.listed_before_run) {
            self.set_leaving_run(run);
        }
    }

    /// Applies the endpoint's entry in the platform's list.
    pub(super) fn apply_listing(&mut self, leaving: bool, now: Now) {
        let old = self.shared_state();
        self.set_listed(ListedStatus {
            read_unix_ms: now.unix_ms,
            leaving,
        });
        self.has_update |= old != self.shared_state();
    }

    /// Applies an entry of the platform's list, unless a later one is known.
    fn set_listed(&mut self, listed: ListedStatus) {
        let was_leaving = self.listed.is_some_and(|listed| listed.leaving);
        self.listed = self.listed.max(Some(listed));
        // The list lags and may still show an earlier run as leaving, so only a change to leaving
        // applies to the current run.
        if was_leaving || !self.listed.is_some_and(|listed| listed.leaving) {
            return;
        }
        match self.run {
            Some(run) => self.set_leaving_run(run),
            None => self.listed_before_run = true,
        }
    }
}
