//! The endpoints that take work, as the platform's directory tells them.
//!
//! Entries lapse while the store is away, although their endpoints live; they are written
//! again within seconds of its return. So an entry that is missing right after an outage
//! stays in use for a while, and one that is missing at any other time is gone.

use indexmap::IndexMap;

use crate::state::gateway::{EndpointEntry, EntryState};
use crate::state::{EndpointId, Now};

/// How long lapsed entries are waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryOptions {
    /// How long after the store's return a missing entry is still used. Endpoints write
    /// theirs again within about two seconds.
    pub lapse_grace_ms: u64,
}

impl Default for DirectoryOptions {
    fn default() -> Self {
        Self {
            lapse_grace_ms: 2_000,
        }
    }
}

/// What changed in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// An endpoint takes work.
    Joined(EndpointId),
    /// An endpoint takes no new work.
    Leaving(EndpointId),
    /// An endpoint is gone.
    Gone(EndpointId),
    /// An endpoint started anew under the id that it had.
    Restarted(EndpointId),
}

#[derive(Clone, Debug)]
struct Known {
    entry: EndpointEntry,
    /// Missing in the store since its return.
    is_missing: bool,
    /// Another endpoint answered at the address.
    is_displaced: bool,
}

/// The endpoints known to this gateway.
#[derive(Clone, Debug)]
pub struct Directory {
    options: DirectoryOptions,
    endpoints: IndexMap<EndpointId, Known>,
    is_away: bool,
    returned_ms: Option<u64>,
    is_loaded: bool,
}

impl Directory {
    /// An empty directory.
    #[must_use]
    pub fn new(options: DirectoryOptions) -> Self {
        Self {
            options,
            endpoints: IndexMap::new(),
            is_away: false,
            returned_ms: None,
            is_loaded: false,
        }
    }

    /// Whether the directory was read at least once.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// The store answered.
    pub fn store_answered(&mut self, now: Now) {
        if std::mem::take(&mut self.is_away) {
            self.returned_ms = Some(now.steady_ms);
        }
    }

    /// The store did not answer, or turned the call away.
    pub fn store_failed(&mut self) {
        self.is_away = true;
    }

    /// Takes the complete list of the store.
    pub fn replace(&mut self, entries: Vec<EndpointEntry>, now: Now) -> Vec<DirectoryChange> {
        self.store_answered(now);
        self.is_loaded = true;
        let mut changes = Vec::new();
        let listed: Vec<EndpointId> = entries.iter().map(|entry| entry.endpoint.clone()).collect();
        for entry in entries {
            changes.extend(self.set(entry));
        }
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

    /// Takes an entry that was written.
    pub fn set(&mut self, entry: EndpointEntry) -> Option<DirectoryChange> {
        let endpoint = entry.endpoint.clone();
        let known = Known {
            is_missing: false,
            is_displaced: false,
            entry,
        };
        let Some(old) = self.endpoints.get_mut(&endpoint) else {
            let change = match known.entry.state {
                EntryState::Ready => DirectoryChange::Joined(endpoint.clone()),
                EntryState::Leaving => DirectoryChange::Leaving(endpoint.clone()),
            };
            self.endpoints.insert(endpoint, known);
            return Some(change);
        };
        let was = old.entry.clone();
        let is_displaced = old.is_displaced
            && was.started_unix_ms == known.entry.started_unix_ms
            && was.address == known.entry.address;
        *old = Known {
            is_displaced,
            ..known
        };
        if was.started_unix_ms != old.entry.started_unix_ms {
            return Some(DirectoryChange::Restarted(endpoint));
        }
        match (was.state, old.entry.state) {
            (EntryState::Ready, EntryState::Leaving) => Some(DirectoryChange::Leaving(endpoint)),
            (EntryState::Leaving, EntryState::Ready) => Some(DirectoryChange::Joined(endpoint)),
            _ => None,
        }
    }

    /// An entry is no longer in the store.
    pub fn remove(&mut self, endpoint: &EndpointId, now: Now) -> Option<DirectoryChange> {
        let known = self.endpoints.get_mut(endpoint)?;
        let is_returning = self
            .returned_ms
            .is_some_and(|returned| now.since_ms(returned) < self.options.lapse_grace_ms);
        if self.is_away || is_returning {
            known.is_missing = true;
            return None;
        }
        self.endpoints.shift_remove(endpoint);
        Some(DirectoryChange::Gone(endpoint.clone()))
    }

    /// Removes entries that did not come back after the store did.
    pub fn sweep(&mut self, now: Now) -> Vec<DirectoryChange> {
        let is_returning = self
            .returned_ms
            .is_none_or(|returned| now.since_ms(returned) < self.options.lapse_grace_ms);
        if is_returning || self.is_away {
            return Vec::new();
        }
        let missing = self.endpoints.iter().filter(|(_, known)| known.is_missing);
        let missing: Vec<EndpointId> = missing.map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in &missing {
            self.endpoints.shift_remove(endpoint);
        }
        missing.into_iter().map(DirectoryChange::Gone).collect()
    }

    /// Another endpoint answered at this one's address.
    pub fn displaced(&mut self, endpoint: &EndpointId) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.is_displaced = true;
        }
    }

    /// Whether an endpoint takes new work now.
    #[must_use]
    pub fn takes_work(&self, endpoint: &EndpointId) -> bool {
        self.endpoints.get(endpoint).is_some_and(Known::takes_work)
    }

    /// The endpoints of a service that take work.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointEntry> {
        self.endpoints
            .values()
            .filter(move |known| known.entry.service == service && known.takes_work())
            .map(|known| &known.entry)
    }

    /// All endpoints, also those that are leaving.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.endpoints.values().map(|known| &known.entry)
    }
}

impl Known {
    fn takes_work(&self) -> bool {
        self.entry.state == EntryState::Ready && !self.is_displaced
    }
}
