//! The endpoints that accept requests, as listed in the platform's directory.
//!
//! Entries expire while the store is unavailable, even if their endpoints are alive. Endpoints
//! write them again within seconds after the store recovers. So an entry that goes missing during
//! or right after an outage counts as lapsed and stays in use for a grace period; an entry that
//! goes missing at any other time is removed.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::state::gateway::{EndpointEntry, EntryState};
use crate::state::{EndpointId, Now};

/// One run of an endpoint; another one after a restart.
pub type EndpointRun = u64;

/// Returns the key of the run of an endpoint that started at `started_unix_ms`.
///
/// ```
/// use curranttrestle::coordination::gateway::directory::endpoint_run;
/// assert_eq!(endpoint_run(&"m1".into(), 5), endpoint_run(&"m1".into(), 5));
/// assert_ne!(endpoint_run(&"m1".into(), 5), endpoint_run(&"m1".into(), 6));
/// ```
#[must_use]
pub fn endpoint_run(endpoint: &EndpointId, started_unix_ms: u64) -> EndpointRun {
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), started_unix_ms)
}

/// Maximum number of runs that are remembered as leaving. Beyond it, the oldest that the directory
/// no longer lists are forgotten.
const MAX_LEAVING_RUNS: usize = 1_024;

/// How often a leaving run is announced to the peers, since datagrams can be lost.
const SENDS_PER_LEAVING_RUN: u32 = 2;

/// Maximum number of leaving runs in one message.
const MAX_ANNOUNCED_RUNS: usize = 64;

/// Options for lapsed entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryOptions {
    /// Grace period after the store recovers in which a missing entry stays in use. Endpoints
    /// write their entries again within about two seconds.
    pub lapse_grace_ms: u64,
    /// How long it may take from the moment at which an endpoint accepts connections until a gateway has
    /// read its entry, if the store responds: endpoints write it within two seconds, and the store may
    /// report a change a second late.
    pub entry_delay_ms: u64,
}

impl Default for DirectoryOptions {
    fn default() -> Self {
        Self {
            lapse_grace_ms: 2_000,
            entry_delay_ms: 3_000,
        }
    }
}

/// A change of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// An endpoint accepts requests.
    Joined(EndpointId),
    /// An endpoint is leaving and accepts no new requests.
    Leaving(EndpointId),
    /// The entry of an endpoint went missing during or right after an outage; it stays in use.
    Lapsed(EndpointId),
    /// An endpoint was removed.
    Removed(EndpointId),
    /// An endpoint restarted under the same id.
    Restarted(EndpointId),
}

/// What an entry of the directory says about the start of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SightingKind {
    /// The endpoint is in the first list that was read, so it may have started long before.
    FirstList,
    /// The endpoint was not known before, or its entry returned after it lapsed and does not say
    /// whether this is the same run.
    New,
    /// The endpoint is another run than before.
    Restarted,
    /// The entry of a known endpoint was read again. It may be old or of another run.
    Listed,
    /// A known run wrote its entry again.
    Written,
    /// The endpoint was removed.
    Removed,
}

/// An endpoint as the directory lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: String,
    /// Its run.
    pub run: EndpointRun,
    /// How long it stayed cold from the writing of the entry on.
    pub warmup_left_ms: u64,
    /// What the entry says about its start.
    pub kind: SightingKind,
}

#[derive(Clone, Debug)]
struct EndpointRecord {
    entry: EndpointEntry,
    /// Whether the entry went missing in the store during or right after an outage.
    is_lapsed: bool,
    /// Whether another endpoint responded at this address.
    is_displaced: bool,
}

/// The endpoints known to this gateway.
#[derive(Clone, Debug)]
pub struct Directory {
    options: DirectoryOptions,
    endpoints: IndexMap<EndpointId, EndpointRecord>,
    /// Failed calls since the store last responded; it counts as unavailable if there are any.
    failed_calls: u32,
    store_recovered_ms: Option<u64>,
    /// When the store last responded, by the steady clock.
    responded_ms: Option<u64>,
    /// Runs of endpoints that are leaving, from the store, from peers or from the endpoints
    /// themselves, with the number of announcements left. A run that leaves never accepts requests
    /// again.
    leaving_runs: IndexMap<EndpointRun, u32>,
    is_loaded: bool,
    /// Whether a list is being applied, rather than a change.
    is_listing: bool,
    /// What was read since the last call of [`Directory::take_sightings`].
    sightings: Vec<Sighting>,
}

impl Directory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new(options: DirectoryOptions) -> Self {
        Self {
            options,
            endpoints: IndexMap::new(),
            failed_calls: 0,
            store_recovered_ms: None,
            responded_ms: None,
            leaving_runs: IndexMap::new(),
            is_loaded: false,
            is_listing: false,
            sightings: Vec::new(),
        }
    }

    /// Whether the directory was read at least once.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Records a response of the store.
    pub fn record_store_success(&mut self, now: Now) {
        self.responded_ms = Some(now.steady_ms);
        if std::mem::take(&mut self.failed_calls) > 0 {
            self.store_recovered_ms = Some(now.steady_ms);
        }
    }

    /// Time since the store last responded; `None` before the first response.
    #[must_use]
    pub fn age_ms(&self, now: Now) -> Option<u64> {
        self.responded_ms
            .map(|responded_ms| now.since_ms(responded_ms))
    }

    /// Whether the entry of an endpoint describes the process at the other end of a connection that was
    /// opened at `opened_ms` of the steady clock: the store has responded for so long after that that a
    /// later process would have written its entry.
    #[must_use]
    pub fn confirms_connection(&self, opened_ms: u64) -> bool {
        let writable_ms = opened_ms.max(self.store_recovered_ms.unwrap_or_default());
        self.responded_ms.is_some_and(|responded_ms| {
            responded_ms.saturating_sub(writable_ms) >= self.options.entry_delay_ms
        })
    }

    /// Whether a run was announced as leaving.
    #[must_use]
    pub fn is_leaving(&self, run: EndpointRun) -> bool {
        self.leaving_runs.contains_key(&run)
    }

    /// Whether the store has responded since a call was sent, so that the failure of this call does not
    /// show that the store is unavailable now.
    #[must_use]
    pub fn has_responded_since(&self, sent: Now) -> bool {
        self.responded_ms
            .is_some_and(|responded_ms| responded_ms > sent.steady_ms)
    }

    /// Records that a call to the store failed or was rejected.
    pub fn record_store_failure(&mut self) {
        self.failed_calls = self.failed_calls.saturating_add(1);
    }

    /// Records that the last failed call only lost its connection. Other failed calls still count.
    pub fn retract_store_failure(&mut self) {
        self.failed_calls = self.failed_calls.saturating_sub(1);
    }

    /// Replaces the directory by the complete list from the store.
    pub fn replace(&mut self, entries: Vec<EndpointEntry>, now: Now) -> Vec<DirectoryChange> {
        self.record_store_success(now);
        let mut changes = Vec::new();
        let listed: Vec<EndpointId> = entries.iter().map(|entry| entry.endpoint.clone()).collect();
        self.is_listing = true;
        for entry in entries {
            changes.extend(self.set(entry));
        }
        self.is_listing = false;
        self.is_loaded = true;
        let missing: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|endpoint| !listed.contains(endpoint))
            .cloned()
            .collect();
        for endpoint in missing {
            changes.extend(self.remove(&endpoint, now));
        }
        changes
    }

    /// Records that peers announced leaving runs. New ones are announced again if `is_forwarded`,
    /// as by a relay. Returns the changes.
    pub fn receive_leaving(
        &mut self,
        runs: &[EndpointRun],
        is_forwarded: bool,
    ) -> Vec<DirectoryChange> {
        let sends = if is_forwarded {
            SENDS_PER_LEAVING_RUN
        } else {
            0
        };
        let mut changes = Vec::new();
        for run in runs {
            if self.leaving_runs.contains_key(run) {
                continue;
            }
            self.add_leaving(*run, sends);
            changes.extend(self.set_leaving(*run));
        }
        changes
    }

    /// Records that an endpoint said in a response that its run is leaving. Only another run of the
    /// endpoint accepts requests again.
    pub fn record_leaving(&mut self, run: EndpointRun) -> Option<DirectoryChange> {
        if self.leaving_runs.contains_key(&run) {
            return None;
        }
        self.add_leaving(run, SENDS_PER_LEAVING_RUN);
        self.set_leaving(run)
    }

    /// Sets the entry of a run to leaving.
    fn set_leaving(&mut self, run: EndpointRun) -> Option<DirectoryChange> {
        let record = self
            .endpoints
            .values_mut()
            .find(|record| record.run() == run && record.entry.state == EntryState::Ready)?;
        record.entry.state = EntryState::Leaving;
        Some(DirectoryChange::Leaving(record.entry.endpoint.clone()))
    }

    /// Returns the leaving runs to announce to the peers now. A gateway announces those that it
    /// learned from the store before any peer announced them.
    pub fn leaving_to_announce(&mut self) -> Vec<EndpointRun> {
        let due = self.leaving_runs.iter_mut();
        due.filter(|(_, sends_left)| **sends_left > 0)
            .take(MAX_ANNOUNCED_RUNS)
            .map(|(run, sends_left)| {
                *sends_left -= 1;
                *run
            })
            .collect()
    }

    fn add_leaving(&mut self, run: EndpointRun, sends_left: u32) {
        self.leaving_runs.insert(run, sends_left);
        if self.leaving_runs.len() <= MAX_LEAVING_RUNS {
            return;
        }
        // A listed run would accept requests again if it were forgotten.
        let listed: IndexSet<EndpointRun> =
            self.endpoints.values().map(EndpointRecord::run).collect();
        let forgotten = self.leaving_runs.keys().find(|run| !listed.contains(*run));
        if let Some(forgotten) = forgotten.copied() {
            self.leaving_runs.shift_remove(&forgotten);
        }
    }

    /// Returns what was read of the endpoints since the last call.
    pub fn take_sightings(&mut self) -> Vec<Sighting> {
        std::mem::take(&mut self.sightings)
    }

    fn add_sighting(&mut self, entry: &EndpointEntry, kind: SightingKind) {
        self.sightings.push(Sighting {
            endpoint: entry.endpoint.clone(),
            service: entry.service.clone(),
            run: endpoint_run(&entry.endpoint, entry.started_unix_ms),
            warmup_left_ms: entry.warmup_left_ms,
            kind,
        });
    }

    /// What an entry says about the start of its endpoint.
    fn sighting_kind(&self, entry: &EndpointEntry) -> SightingKind {
        let Some(old) = self.endpoints.get(&entry.endpoint) else {
            return if self.is_loaded {
                SightingKind::New
            } else {
                SightingKind::FirstList
            };
        };
        if old.entry.started_unix_ms != entry.started_unix_ms || old.entry.address != entry.address
        {
            SightingKind::Restarted
        } else if old.is_lapsed && entry.started_unix_ms == 0 {
            SightingKind::New
        } else if self.is_listing || entry.started_unix_ms == 0 {
            SightingKind::Listed
        } else {
            SightingKind::Written
        }
    }

    /// Adds or updates an entry.
    ///
    /// A run that was announced as leaving stays so. Without a start time, runs cannot be told
    /// apart, and the entry decides.
    pub fn set(&mut self, mut entry: EndpointEntry) -> Option<DirectoryChange> {
        let endpoint = entry.endpoint.clone();
        let run = endpoint_run(&endpoint, entry.started_unix_ms);
        self.add_sighting(&entry, self.sighting_kind(&entry));
        if self.leaving_runs.contains_key(&run) {
            // The store's answer may be older than what a peer announced.
            entry.state = EntryState::Leaving;
        } else if entry.state == EntryState::Leaving && entry.started_unix_ms > 0 {
            self.add_leaving(run, SENDS_PER_LEAVING_RUN);
        }
        let record = EndpointRecord {
            is_lapsed: false,
            is_displaced: false,
            entry,
        };
        let Some(old) = self.endpoints.get_mut(&endpoint) else {
            let change = match record.entry.state {
                EntryState::Ready => DirectoryChange::Joined(endpoint.clone()),
                EntryState::Leaving => DirectoryChange::Leaving(endpoint.clone()),
            };
            self.endpoints.insert(endpoint, record);
            return Some(change);
        };
        let previous = old.entry.clone();
        let is_displaced = old.is_displaced
            && previous.started_unix_ms == record.entry.started_unix_ms
            && previous.address == record.entry.address;
        *old = EndpointRecord {
            is_displaced,
            ..record
        };
        if previous.started_unix_ms != old.entry.started_unix_ms {
            return Some(DirectoryChange::Restarted(endpoint));
        }
        match (previous.state, old.entry.state) {
            (EntryState::Ready, EntryState::Leaving) => Some(DirectoryChange::Leaving(endpoint)),
            (EntryState::Leaving, EntryState::Ready) => Some(DirectoryChange::Joined(endpoint)),
            _ => None,
        }
    }

    /// Removes an entry that is no longer in the store. During or right after an outage, marks it
    /// as lapsed instead.
    pub fn remove(&mut self, endpoint: &EndpointId, now: Now) -> Option<DirectoryChange> {
        let record = self.endpoints.get_mut(endpoint)?;
        let in_grace_period = self
            .store_recovered_ms
            .is_some_and(|recovered_ms| now.since_ms(recovered_ms) < self.options.lapse_grace_ms);
        if self.failed_calls > 0 || in_grace_period {
            let was_lapsed = std::mem::replace(&mut record.is_lapsed, true);
            return (!was_lapsed).then(|| DirectoryChange::Lapsed(endpoint.clone()));
        }
        self.remove_record(endpoint);
        Some(DirectoryChange::Removed(endpoint.clone()))
    }

    /// Removes lapsed entries that were not written again within the grace period.
    pub fn remove_lapsed(&mut self, now: Now) -> Vec<DirectoryChange> {
        let in_grace_period = self
            .store_recovered_ms
            .is_some_and(|recovered_ms| now.since_ms(recovered_ms) < self.options.lapse_grace_ms);
        if in_grace_period || self.failed_calls > 0 {
            return Vec::new();
        }
        let lapsed = self.endpoints.iter().filter(|(_, record)| record.is_lapsed);
        let lapsed: Vec<EndpointId> = lapsed.map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in &lapsed {
            self.remove_record(endpoint);
        }
        lapsed.into_iter().map(DirectoryChange::Removed).collect()
    }

    fn remove_record(&mut self, endpoint: &EndpointId) {
        if let Some(record) = self.endpoints.shift_remove(endpoint) {
            self.add_sighting(&record.entry, SightingKind::Removed);
        }
    }

    /// Marks an endpoint as displaced: another endpoint responded at its address.
    pub fn mark_displaced(&mut self, endpoint: &EndpointId) {
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.is_displaced = true;
        }
    }

    /// The entry of an endpoint.
    #[must_use]
    pub fn entry(&self, endpoint: &EndpointId) -> Option<&EndpointEntry> {
        self.endpoints.get(endpoint).map(|record| &record.entry)
    }

    /// Whether an endpoint accepts new requests.
    #[must_use]
    pub fn accepts_requests(&self, endpoint: &EndpointId) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(EndpointRecord::accepts_requests)
    }

    /// The address of an endpoint.
    #[must_use]
    pub fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        let record = self.endpoints.get(endpoint)?;
        Some(record.entry.address)
    }

    /// The endpoints of a service that accept requests.
    pub fn accepting<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointEntry> {
        self.endpoints
            .values()
            .filter(move |record| record.entry.service == service && record.accepts_requests())
            .map(|record| &record.entry)
    }

    /// All endpoints, including those that are leaving.
    pub fn all_entries(&self) -> impl Iterator<Item = &EndpointEntry> + Clone {
        self.endpoints.values().map(|record| &record.entry)
    }
}

impl EndpointRecord {
    fn run(&self) -> EndpointRun {
        endpoint_run(&self.entry.endpoint, self.entry.started_unix_ms)
    }

    fn accepts_requests(&self) -> bool {
        self.entry.state == EntryState::Ready && !self.is_displaced
    }
}
