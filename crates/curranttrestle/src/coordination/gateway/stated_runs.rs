//! The runs of endpoints as the endpoints themselves state them.
//!
//! An endpoint may start again in place, under its id and address and with another software version, before
//! a gateway reads its new entry. A connection ends with its process, so what the endpoint states over a
//! connection holds for all that follows over it, whatever the directory lists.

use indexmap::IndexMap;

use super::control::Control;
use super::directory::{Directory, EndpointRun, endpoint_run};
use super::software_version::VersionKey;
use crate::state::gateway::EndpointEntry;
use crate::state::{EndpointId, Now};

/// How long an endpoint whose report did not state its run is not asked again.
const REPORT_BACKOFF_MS: u64 = 10_000;

/// How long a stated run counts that the directory does not list and that is not stated again.
const RETENTION_MS: u64 = 30_000;

/// A run that an endpoint stated and that the directory did not list then.
#[derive(Clone, Copy, Debug)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
struct UnlistedRun {
    started_unix_ms: u64,
    /// The start of the run that was listed when it was stated.
    listed_unix_ms: u64,
    /// When it was last stated, by the steady clock.
    stated_ms: u64,
}

/// What endpoints stated about their runs that the directory does not show yet.
#[derive(Clone, Debug, Default)]
pub struct StatedRuns {
    unlisted: IndexMap<EndpointId, UnlistedRun>,
    /// Listed runs whose report did not state the run, and until when they are not asked again, by the
    /// steady clock.
    unanswered_until_ms: IndexMap<EndpointRun, u64>,
}

impl StatedRuns {
    /// Records when an endpoint started, as it states itself over its newest connection. Returns whether
    /// that is another run than the listed one and was not stated before.
    ///
    /// ```
    /// use curranttrestle::coordination::gateway::stated_runs::StatedRuns;
    /// use curranttrestle::state::Now;
    /// use curranttrestle::state::gateway::{EndpointEntry, EntryState};
    /// let entry = EndpointEntry {
    ///     endpoint: "m1".into(),
    ///     service: "model".to_owned(),
    ///     address: "127.0.0.1:80".parse().unwrap(),
    ///     data_centre: "a".to_owned(),
    ///     software_version: "1".to_owned(),
    ///     state: EntryState::Ready,
    ///     slots: 1,
    ///     started_unix_ms: 5,
    ///     warmup_left_ms: 0,
    /// };
    /// let mut runs = StatedRuns::default();
    /// assert!(!runs.record_start(&entry, 5, Now::default()));
    /// assert!(runs.record_start(&entry, 6, Now::default()));
    /// assert!(runs.unlisted_run(&entry).is_some());
    /// ```
    pub fn record_start(&mut self, entry: &EndpointEntry, started_unix_ms: u64, now: Now) -> bool {
        if started_unix_ms == entry.started_unix_ms {
            self.unlisted.swap_remove(&entry.endpoint);
            return false;
        }
        let run = UnlistedRun {
            started_unix_ms,
            listed_unix_ms: entry.started_unix_ms,
            stated_ms: now.steady_ms,
        };
        let before = self.unlisted.insert(entry.endpoint.clone(), run);
        before.is_none_or(|before| before.started_unix_ms != started_unix_ms)
    }

    /// Records that the report of an endpoint did not state its run.
    pub fn record_unanswered_report(&mut self, entry: &EndpointEntry, now: Now) {
        let until_ms = now.steady_ms + REPORT_BACKOFF_MS;
        self.unanswered_until_ms.insert(listed_run(entry), until_ms);
    }

    /// Whether an endpoint is not to be asked for its run now, since its last report did not state it.
    #[must_use]
    pub fn skips_report(&self, entry: &EndpointEntry, now: Now) -> bool {
        let until_ms = self.unanswered_until_ms.get(&listed_run(entry));
        until_ms.is_some_and(|until_ms| *until_ms > now.steady_ms)
    }

    /// The present run of an endpoint if it is not the listed one.
    #[must_use]
    pub fn unlisted_run(&self, entry: &EndpointEntry) -> Option<EndpointRun> {
        let unlisted = self.unlisted.get(&entry.endpoint)?;
        unlisted
            .is_current(entry)
            .then(|| endpoint_run(&entry.endpoint, unlisted.started_unix_ms))
    }

    /// The present run of an endpoint, as far as it is known.
    #[must_use]
    pub fn run(&self, entry: &EndpointEntry) -> EndpointRun {
        self.unlisted_run(entry)
            .unwrap_or_else(|| listed_run(entry))
    }

    /// The version of the present run of an endpoint, as far as it is known.
    #[must_use]
    pub fn version(&self, entry: &EndpointEntry) -> VersionKey {
        let unlisted = self.unlisted_run(entry);
        unlisted.map_or_else(|| VersionKey::of(entry), VersionKey::of_unlisted_run)
    }

    /// Removes what the directory shows by now, and what has not been stated for long.
    fn remove_outdated(&mut self, directory: &Directory, now: Now) {
        self.unlisted.retain(|endpoint, run| {
            let entry = directory.entry(endpoint);
            entry.is_some_and(|entry| run.is_current(entry))
                && now.since_ms(run.stated_ms) < RETENTION_MS
        });
        self.unanswered_until_ms
            .retain(|_, until_ms| *until_ms > now.steady_ms);
    }
}

impl UnlistedRun {
    /// Whether the directory still lists the run that it listed when this one was stated.
    fn is_current(&self, entry: &EndpointEntry) -> bool {
        self.listed_unix_ms == entry.started_unix_ms
    }
}

impl Control {
    /// Records when an endpoint started, as it states itself over its newest connection. Returns whether
    /// that is another run than the listed one and was not stated before.
    pub fn record_stated_start(
        &mut self,
        endpoint: &EndpointId,
        started_unix_ms: u64,
        now: Now,
    ) -> bool {
        let entry = self.directory.entry(endpoint);
        let is_new =
            entry.is_some_and(|entry| self.stated_runs.record_start(entry, started_unix_ms, now));
        if is_new {
            self.observe_versions(now);
        }
        is_new
    }

    /// Records the software versions in the directory, and the runs that it does not list yet.
    pub fn observe_versions(&mut self, now: Now) {
        let Some(routes) = self.routes.as_ref().filter(|_| self.directory.is_loaded()) else {
            return;
        };
        self.stated_runs.remove_outdated(&self.directory, now);
        let unlisted = self.stated_runs.unlisted.iter();
        let unlisted = unlisted.filter_map(|(endpoint, run)| {
            let entry = self.directory.entry(endpoint)?;
            let entry = routes.has_streams(&entry.service).then_some(entry)?;
            let run = endpoint_run(endpoint, run.started_unix_ms);
            Some((entry.service.as_str(), run))
        });
        let unlisted: Vec<(&str, EndpointRun)> = unlisted.collect();
        let entries = self.directory.all_entries();
        let entries = entries.filter(|entry| routes.has_streams(&entry.service));
        self.streams.served.observe(entries, &unlisted, now);
    }

    /// Records the software version of an entry that the directory has just read.
    pub fn observe_entry_version(&mut self, entry: &EndpointEntry, now: Now) {
        let routes = self.routes.as_ref();
        if routes.is_some_and(|routes| routes.has_streams(&entry.service)) {
            self.streams.served.observe_entry(entry, now);
        }
    }

    /// Replaces the key of an unlisted run by its software version once the directory lists that run.
    /// Other keys are returned unchanged.
    #[must_use]
    pub fn listed_version(&self, version: VersionKey) -> VersionKey {
        let mut entries = self.directory.all_entries();
        let listed =
            entries.find(|entry| VersionKey::of_unlisted_run(listed_run(entry)) == version);
        listed.map_or(version, VersionKey::of)
    }
}

fn listed_run(entry: &EndpointEntry) -> EndpointRun {
    endpoint_run(&entry.endpoint, entry.started_unix_ms)
}
