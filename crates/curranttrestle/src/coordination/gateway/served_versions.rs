//! Which software versions of which services may have begun streams recently.
//!
//! Routes lead to several services, or move from one to another, so a stream may have begun at any of them.
//!
//! The directory lists what serves at the moment, and a process that has just started has seen nothing
//! else. What served before is in a record in the store. A gateway adds a version to it as soon as it sees
//! it, and removes it only after it was unlisted for as long as clients resume streams.

use indexmap::{IndexMap, IndexSet};

use super::directory::{EndpointRun, endpoint_run};
use super::software_version::VersionKey;
use super::stream_versions::StreamVersionOptions;
use crate::state::Now;
use crate::state::gateway::EndpointEntry;

/// What may have begun streams of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StreamSource {
    /// Endpoints of this software version.
    Version(String),
    /// A run of an endpoint that the directory did not list then, so that its version is not known.
    UnlistedRun(EndpointRun),
}

impl StreamSource {
    fn key(&self, service: &str) -> VersionKey {
        match self {
            Self::Version(version) => VersionKey::of_service(service, version),
            Self::UnlistedRun(run) => VersionKey::of_unlisted_run(*run),
        }
    }
}

/// What may have begun streams, by the name of the service.
pub type VersionRecord = IndexMap<String, IndexSet<StreamSource>>;

/// What one record contains and another one does not, for the log.
///
/// ```
/// use curranttrestle::coordination::gateway::served_versions::{
///     StreamSource, VersionRecord, difference,
/// };
/// let sources = [StreamSource::Version("1".to_owned()), StreamSource::UnlistedRun(7)];
/// let record = VersionRecord::from([("model".to_owned(), sources.into_iter().collect())]);
/// let names = ["model/1", "model/run-0000000000000007"];
/// assert_eq!(difference(&record, &VersionRecord::new()), names);
/// ```
#[must_use]
pub fn difference(record: &VersionRecord, other: &VersionRecord) -> Vec<String> {
    let sources = record.iter().flat_map(|(service, sources)| {
        let known = other.get(service);
        let sources = sources.iter();
        let added =
            sources.filter(move |source| known.is_none_or(|known| !known.contains(*source)));
        added.map(move |source| match source {
            StreamSource::Version(version) => format!("{service}/{version}"),
            StreamSource::UnlistedRun(run) => format!("{service}/run-{run:016x}"),
        })
    });
    sources.collect()
}

/// The record as the store returned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredRecord {
    /// There is none.
    Missing,
    /// The store has come back from a copy since it was written, so later additions may be lost.
    Outdated(VersionRecord),
    /// Everything that was added and not removed.
    Current(VersionRecord),
}

impl StoredRecord {
    /// What the record contains.
    #[must_use]
    pub fn content(&self) -> Option<&VersionRecord> {
        match self {
            Self::Missing => None,
            Self::Outdated(record) | Self::Current(record) => Some(record),
        }
    }
}

/// What this gateway is to the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordRole {
    /// The first one to remove what no longer serves.
    Primary,
    /// Removes it later, if the first one does not.
    Secondary,
}

/// Whether the record has to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordDue {
    /// At once: it has to change.
    Now,
    /// From time to time: it changes once enough is known, or another gateway changes it.
    Refresh,
    /// Not now.
    No,
}

#[derive(Clone, Debug)]
struct Observed {
    source: StreamSource,
    /// When this gateway last saw it, by the steady clock; `None` if it is known from the record alone.
    seen_ms: Option<u64>,
    /// Since when it has been in the record, by the steady clock; `None` if it was not at the last read.
    recorded_ms: Option<u64>,
    /// Whether it is a run that another one has replaced or that is listed by now.
    is_resolved: bool,
    /// Whether it has begun a stream through this gateway.
    has_begun: bool,
    /// Whether it was listed when the directory was last observed.
    is_listed: bool,
}

impl Observed {
    fn new(source: StreamSource) -> Self {
        Self {
            source,
            seen_ms: None,
            recorded_ms: None,
            is_resolved: false,
            has_begun: false,
            is_listed: false,
        }
    }

    /// Whether this gateway has seen it within `retention_ms`.
    fn is_recent(&self, retention_ms: u64, now: Now) -> bool {
        self.seen_ms
            .is_some_and(|seen_ms| now.since_ms(seen_ms) < retention_ms)
    }

    /// Whether it is recorded, and was neither seen nor added to the record within `unlisted_ms`.
    fn is_unlisted(&self, unlisted_ms: u64, now: Now) -> bool {
        self.recorded_ms.is_some_and(|recorded_ms| {
            now.since_ms(recorded_ms.max(self.seen_ms.unwrap_or_default())) >= unlisted_ms
        })
    }

    /// Whether it is missing in the record. The version of a run that is not listed will hardly ever be known
    /// to others, so it is recorded only once a stream has begun there.
    fn is_to_be_added(&self) -> bool {
        let is_relevant = match self.source {
            StreamSource::Version(_) => self.seen_ms.is_some(),
            StreamSource::UnlistedRun(_) => self.has_begun && !self.is_resolved,
        };
        self.recorded_ms.is_none() && is_relevant
    }
}

#[derive(Clone, Debug, Default)]
struct Service {
    sources: IndexMap<VersionKey, Observed>,
}

/// What may have begun streams of each service, as far as this gateway has seen or read it.
///
/// ```
/// use curranttrestle::coordination::gateway::served_versions::{ServedVersions, StoredRecord};
/// use curranttrestle::coordination::gateway::stream_versions::StreamVersionOptions;
/// use curranttrestle::state::Now;
/// let (mut served, now) = (ServedVersions::new(StreamVersionOptions::default()), Now::default());
/// assert!(!served.knows_recent_versions(now));
/// served.apply(&StoredRecord::Current(Default::default()), now, now);
/// assert!(served.knows_recent_versions(now));
/// ```
#[derive(Clone, Debug)]
pub struct ServedVersions {
    options: StreamVersionOptions,
    /// By name.
    services: IndexMap<String, Service>,
    /// Since when the directory has been observed, by the steady clock.
    observed_since_ms: Option<u64>,
    /// When the directory was last observed, by the steady clock.
    observed_ms: Option<u64>,
    /// Whether a current record was read or written, or there was nothing to record before.
    has_record: bool,
    /// When the last read that returned a current record was sent, by the steady clock.
    confirmed_ms: Option<u64>,
    /// When the last read was sent, by the steady clock.
    read_ms: Option<u64>,
    /// Whether the last read returned a current record.
    is_current: bool,
}

impl ServedVersions {
    /// Creates the state of a gateway that has seen nothing.
    #[must_use]
    pub fn new(options: StreamVersionOptions) -> Self {
        Self {
            options,
            services: IndexMap::new(),
            observed_since_ms: None,
            observed_ms: None,
            has_record: false,
            confirmed_ms: None,
            read_ms: None,
            is_current: false,
        }
    }

    /// Records the entries of services to which streams may go, and the runs of their endpoints that the
    /// directory does not list yet, each with its service.
    pub fn observe<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a EndpointEntry> + Clone,
        unlisted_runs: &[(&str, EndpointRun)],
        now: Now,
    ) {
        self.observed_since_ms.get_or_insert(now.steady_ms);
        self.record_gap(now);
        let sources = self.services.values_mut();
        for observed in sources.flat_map(|service| service.sources.values_mut()) {
            // It may have served until just now.
            if std::mem::take(&mut observed.is_listed) {
                observed.seen_ms = Some(now.steady_ms);
            }
        }
        for entry in entries.clone() {
            self.observe_entry(entry, now);
        }
        for (service, run) in unlisted_runs {
            let sources = &mut self.service(service).sources;
            let observed = sources
                .entry(VersionKey::of_unlisted_run(*run))
                .or_insert_with(|| Observed::new(StreamSource::UnlistedRun(*run)));
            observed.seen_ms = Some(now.steady_ms);
            observed.is_resolved = false;
        }
        self.resolve_runs(entries, unlisted_runs);
        self.remove_expired(now);
    }

    /// After a time without observations, nothing counts as unlisted during it.
    fn record_gap(&mut self, now: Now) {
        let before_ms = self.observed_ms.replace(now.steady_ms);
        let has_gap = before_ms
            .is_some_and(|before_ms| now.since_ms(before_ms) >= self.options.max_directory_age_ms);
        if !has_gap {
            return;
        }
        self.observed_since_ms = Some(now.steady_ms);
        let sources = self.services.values_mut();
        for observed in sources.flat_map(|service| service.sources.values_mut()) {
            let recorded_ms = observed.recorded_ms.map(|_| now.steady_ms);
            observed.recorded_ms = recorded_ms;
        }
    }

    /// Records an entry that the directory may replace before the next call of [`Self::observe`].
    pub fn observe_entry(&mut self, entry: &EndpointEntry, now: Now) {
        let retention_ms = self.options.retention_ms;
        let sources = &mut self.service(&entry.service).sources;
        let observed = sources.entry(VersionKey::of(entry));
        let observed = observed.or_insert_with(|| {
            Observed::new(StreamSource::Version(entry.software_version.clone()))
        });
        let is_gone = !observed.is_recent(retention_ms, now);
        if is_gone && !observed.is_listed {
            // Another gateway may be removing it from the record.
            observed.recorded_ms = None;
        }
        observed.seen_ms = Some(now.steady_ms);
        observed.is_listed = true;
        let run = endpoint_run(&entry.endpoint, entry.started_unix_ms);
        if let Some(observed) = sources.get_mut(&VersionKey::of_unlisted_run(run)) {
            observed.is_resolved = true;
        }
    }

    /// Records that a stream has begun at a version, or at the run of an endpoint that is not listed. Returns
    /// whether the record has to change.
    pub fn record_begun(&mut self, version: VersionKey) -> bool {
        let mut services = self.services.values_mut();
        let observed = services.find_map(|service| service.sources.get_mut(&version));
        let Some(observed) = observed else {
            return false;
        };
        let is_first = !std::mem::replace(&mut observed.has_begun, true);
        is_first && observed.is_to_be_added()
    }

    fn service(&mut self, name: &str) -> &mut Service {
        self.services.entry(name.to_owned()).or_default()
    }

    fn resolve_runs<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a EndpointEntry>,
        unlisted_runs: &[(&str, EndpointRun)],
    ) {
        let sources = self.services.values_mut();
        let sources = sources.flat_map(|service| service.sources.values_mut());
        let runs = sources.filter_map(|observed| match observed.source {
            StreamSource::UnlistedRun(run) if !observed.is_resolved => Some((run, observed)),
            _ => None,
        });
        let mut runs: Vec<(EndpointRun, &mut Observed)> = runs.collect();
        if runs.is_empty() {
            return;
        }
        let listed: IndexSet<EndpointRun> = entries
            .map(|entry| endpoint_run(&entry.endpoint, entry.started_unix_ms))
            .collect();
        for (run, observed) in &mut runs {
            let is_unlisted = unlisted_runs.iter().any(|(_, unlisted)| unlisted == run);
            let is_replaced = observed.seen_ms.is_some() && !is_unlisted;
            observed.is_resolved = listed.contains(run) || is_replaced;
        }
    }

    fn remove_expired(&mut self, now: Now) {
        let retention_ms = self.options.retention_ms;
        self.services.retain(|_, service| {
            service.sources.retain(|_, observed| {
                let is_recent = observed.is_recent(retention_ms, now);
                observed.recorded_ms.is_some() || (is_recent && !observed.is_resolved)
            });
            !service.sources.is_empty()
        });
    }

    /// Whether all versions are known at which streams began that clients may still resume.
    #[must_use]
    pub fn knows_recent_versions(&self, now: Now) -> bool {
        let retention_ms = self.options.retention_ms;
        self.has_record
            || self
                .observed_since_ms
                .is_some_and(|since_ms| now.since_ms(since_ms) >= retention_ms)
    }

    /// Whether a read that was sent at `asked_ms` or later, by the steady clock, returned a current record.
    #[must_use]
    pub fn is_confirmed_since(&self, asked_ms: u64) -> bool {
        self.confirmed_ms.is_some_and(|sent_ms| sent_ms >= asked_ms)
    }

    /// Whether a read that was sent at `asked_ms` or later, by the steady clock, has ended.
    #[must_use]
    pub fn is_read_since(&self, asked_ms: u64) -> bool {
        self.read_ms.is_some_and(|sent_ms| sent_ms >= asked_ms)
    }

    /// The only version at which streams may have begun that clients may still resume; `None` if there were
    /// several or none, or if that is not known.
    #[must_use]
    pub fn only_version(&self, now: Now) -> Option<VersionKey> {
        if !self.knows_recent_versions(now) {
            return None;
        }
        let mut present = self.present(now);
        let (version, observed) = present.next()?;
        let is_listed = matches!(observed.source, StreamSource::Version(_));
        (is_listed && present.next().is_none()).then_some(version)
    }

    /// Whether streams may have begun at several versions.
    #[must_use]
    pub fn is_mixed(&self, now: Now) -> bool {
        let mut present = self.present(now);
        let first = present.next();
        let is_unlisted = first
            .is_some_and(|(_, observed)| matches!(observed.source, StreamSource::UnlistedRun(_)));
        is_unlisted || present.next().is_some()
    }

    fn present(&self, now: Now) -> impl Iterator<Item = (VersionKey, &Observed)> {
        let retention_ms = self.options.retention_ms;
        let services = self.services.values();
        let sources = services.flat_map(|service| &service.sources);
        let present = sources.filter(move |(_, observed)| {
            let is_recent = observed.is_recent(retention_ms, now);
            !observed.is_resolved && (observed.recorded_ms.is_some() || is_recent)
        });
        present.map(|(version, observed)| (*version, observed))
    }

    /// Applies the record that a call to the store returned or wrote; the call was sent at `sent`.
    pub fn apply(&mut self, stored: &StoredRecord, sent: Now, now: Now) {
        self.read_ms = Some(sent.steady_ms);
        self.is_current = matches!(stored, StoredRecord::Current(_));
        match stored {
            StoredRecord::Missing => self.has_record |= self.options.is_first_start,
            StoredRecord::Outdated(_) => {}
            StoredRecord::Current(_) => {
                self.has_record = true;
                self.confirmed_ms = Some(sent.steady_ms);
            }
        }
        if self.is_current {
            for (name, service) in &mut self.services {
                let recorded = stored.content().and_then(|record| record.get(name));
                for observed in service.sources.values_mut() {
                    if recorded.is_none_or(|sources| !sources.contains(&observed.source)) {
                        observed.recorded_ms = None;
                    }
                }
            }
        }
        for (name, sources) in stored.content().into_iter().flatten() {
            let service = self.service(name);
            for source in sources {
                let observed = service.sources.entry(source.key(name));
                let observed = observed.or_insert_with(|| Observed::new(source.clone()));
                observed.recorded_ms.get_or_insert(now.steady_ms);
            }
        }
        self.remove_expired(now);
    }

    /// Whether the record has to be read, since it may have to change or has changed.
    #[must_use]
    pub fn due(&self, role: RecordRole, now: Now) -> RecordDue {
        let removal_delay_ms = self.options.removal_delay_ms;
        let unlisted_ms = match role {
            RecordRole::Primary => self.options.retention_ms + removal_delay_ms,
            RecordRole::Secondary => self.options.retention_ms + 2 * removal_delay_ms,
        };
        let (mut has_change, mut has_old) = (false, false);
        let services = self.services.values();
        for observed in services.flat_map(|service| service.sources.values()) {
            let is_run_listed = observed.recorded_ms.is_some() && observed.is_resolved;
            has_change |= observed.is_to_be_added() || is_run_listed;
            has_old |= observed.is_unlisted(unlisted_ms, now);
        }
        if self.read_ms.is_none() || (has_change && self.knows_recent_versions(now)) {
            RecordDue::Now
        } else if has_change || has_old || !(self.is_current || self.services.is_empty()) {
            RecordDue::Refresh
        } else {
            RecordDue::No
        }
    }

    /// What the record should contain instead of `stored`, which was applied; `None` if it should not change.
    /// `directory_age_ms` is the time since the directory was last confirmed.
    #[must_use]
    pub fn next_record(
        &self,
        stored: &StoredRecord,
        role: RecordRole,
        directory_age_ms: Option<u64>,
        now: Now,
    ) -> Option<VersionRecord> {
        if !self.knows_recent_versions(now) {
            return None;
        }
        let unlisted_ms = match role {
            RecordRole::Primary => self.options.retention_ms + self.options.removal_delay_ms,
            RecordRole::Secondary => 2 * self.options.retention_ms,
        };
        let is_recent =
            directory_age_ms.is_some_and(|age_ms| age_ms < self.options.max_directory_age_ms);
        let is_kept = |observed: &&Observed| {
            let is_removable = is_recent && observed.is_unlisted(unlisted_ms, now);
            let is_recorded = observed.recorded_ms.is_some();
            (is_recorded && !observed.is_resolved && !is_removable) || observed.is_to_be_added()
        };
        let mut next = VersionRecord::new();
        for (name, service) in &self.services {
            let kept = service.sources.values().filter(is_kept);
            let kept: IndexSet<StreamSource> =
                kept.map(|observed| observed.source.clone()).collect();
            if !kept.is_empty() {
                next.insert(name.clone(), kept);
            }
        }
        let is_unchanged = match stored {
            StoredRecord::Missing => next.is_empty(),
            StoredRecord::Outdated(_) => false,
            StoredRecord::Current(record) => next == *record,
        };
        (!is_unchanged).then_some(next)
    }
}
