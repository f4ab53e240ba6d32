//! The runs of endpoints as the endpoints themselves state them.
//!
//! An endpoint may start again in place, under its id and address and with another software version, before
//! a gateway reads its new entry. A connection ends with its process, so what the endpoint states over a
//! connection holds for all that follows over it, whatever the directory lists.

use indexmap::{IndexMap, IndexSet};

use super::control::Control;
use super::directory::{Directory, EndpointRun, endpoint_run};
use super::software_version::VersionKey;
use super::stream_versions::ServiceKey;
use crate::state::gateway::EndpointEntry;
use crate::state::{EndpointId, Now};

/// How long an endpoint that did not state its run is not asked again.
const SILENCE_MS: u64 = 10_000;

/// What endpoints stated about their runs that the directory does not show yet.
#[derive(Clone, Debug, Default)]
pub struct StatedRuns {
    /// Starts that are later than the listed ones, in Unix milliseconds.
    later_starts_unix_ms: IndexMap<EndpointId, u64>,
    /// Listed runs that did not state themselves, and until when they are not asked again, by the steady
    /// clock.
    silent: IndexMap<EndpointRun, u64>,
}

impl StatedRuns {
    /// Records when an endpoint started, as it states itself, in Unix milliseconds. Returns whether the
    /// start is later than the listed one and all that were stated before.
    ///
    /// ```
    /// use curranttrestle::coordination::gateway::stated_runs::StatedRuns;
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
    /// assert!(!runs.record_start(&entry, 5));
    /// assert!(runs.record_start(&entry, 6));
    /// assert!(runs.unlisted_run(&entry).is_some());
    /// ```
    pub fn record_start(&mut self, entry: &EndpointEntry, started_unix_ms: u64) -> bool {
        let stated = self.later_starts_unix_ms.get(&entry.endpoint);
        let known_unix_ms = stated.map_or(entry.started_unix_ms, |stated_unix_ms| {
            entry.started_unix_ms.max(*stated_unix_ms)
        });
        // Entries without a start do not distinguish runs.
        let is_later = entry.started_unix_ms > 0 && started_unix_ms > known_unix_ms;
        if is_later {
            let endpoint = entry.endpoint.clone();
            self.later_starts_unix_ms.insert(endpoint, started_unix_ms);
        }
        is_later
    }

    /// Records that an endpoint did not state its run when it was asked.
    pub fn record_silence(&mut self, entry: &EndpointEntry, now: Now) {
        self.silent
            .insert(run_of(entry), now.steady_ms + SILENCE_MS);
    }

    /// Whether an endpoint did not state its run recently and need not be asked again.
    #[must_use]
    pub fn is_silent(&self, entry: &EndpointEntry, now: Now) -> bool {
        let until_ms = self.silent.get(&run_of(entry));
        until_ms.is_some_and(|until_ms| *until_ms > now.steady_ms)
    }

    /// The present run of an endpoint if it started later than the listed one.
    #[must_use]
    pub fn unlisted_run(&self, entry: &EndpointEntry) -> Option<EndpointRun> {
        let started_unix_ms = *self.later_starts_unix_ms.get(&entry.endpoint)?;
        (started_unix_ms > entry.started_unix_ms)
            .then(|| endpoint_run(&entry.endpoint, started_unix_ms))
    }

    /// The version of the present run of an endpoint, as far as it is known.
    #[must_use]
    pub fn version(&self, entry: &EndpointEntry) -> VersionKey {
        let unlisted = self.unlisted_run(entry);
        unlisted.map_or_else(|| VersionKey::of(entry), VersionKey::of_run)
    }

    /// Removes what the directory shows by now, endpoints that it no longer lists, and past silences.
    fn remove_outdated(&mut self, directory: &Directory, now: Now) {
        self.later_starts_unix_ms.retain(|endpoint, start_unix_ms| {
            let entry = directory.entry(endpoint);
            entry.is_some_and(|entry| entry.started_unix_ms < *start_unix_ms)
        });
        self.silent.retain(|_, until_ms| *until_ms > now.steady_ms);
    }
}

impl Control {
    /// Records when an endpoint started, as it states itself, in Unix milliseconds. Returns whether that
    /// is a run which is not listed yet and was not stated before.
    pub fn record_stated_start(
        &mut self,
        endpoint: &EndpointId,
        started_unix_ms: u64,
        now: Now,
    ) -> bool {
        let entry = self.directory.entry(endpoint);
        let is_new =
            entry.is_some_and(|entry| self.stated_runs.record_start(entry, started_unix_ms));
        if is_new {
            self.observe_versions(now);
        }
        is_new
    }

    /// Records the software versions in the directory, and which services have unlisted runs.
    pub fn observe_versions(&mut self, now: Now) {
        self.stated_runs.remove_outdated(&self.directory, now);
        let mut unlisted: IndexMap<ServiceKey, IndexSet<VersionKey>> = IndexMap::new();
        for endpoint in self.stated_runs.later_starts_unix_ms.keys() {
            if let Some(entry) = self.directory.entry(endpoint) {
                let versions = unlisted.entry(ServiceKey::of(&entry.service)).or_default();
                versions.insert(self.stated_runs.version(entry));
            }
        }
        self.streams.set_unlisted(unlisted);
        self.streams.observe(self.directory.all_entries(), now);
    }

    /// The version by which the directory lists a run that was not listed before, and `version` itself
    /// if it is none of an unlisted run.
    #[must_use]
    pub fn listed_version(&self, version: VersionKey) -> VersionKey {
        let mut entries = self.directory.all_entries();
        let listed = entries.find(|entry| VersionKey::of_run(run_of(entry)) == version);
        listed.map_or(version, VersionKey::of)
    }
}

fn run_of(entry: &EndpointEntry) -> EndpointRun {
    endpoint_run(&entry.endpoint, entry.started_unix_ms)
}
