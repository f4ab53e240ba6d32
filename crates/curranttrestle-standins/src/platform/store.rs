//! The versioned object store.

use async_channel::{Receiver, Sender};
use curranttrestle::protocol::platform::{Expected, Object, Version};
use indexmap::IndexMap;

/// The objects and the watches that wait for changes.
#[derive(Debug, Default)]
pub(super) struct Store {
    objects: IndexMap<String, Object>,
    last_version: u64,
    watchers: IndexMap<String, Vec<Sender<()>>>,
}

impl Store {
    pub(super) fn read(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    pub(super) fn len(&self) -> usize {
        self.objects.len()
    }

    pub(super) fn names(&self, prefix: &str) -> Vec<String> {
        let names = self.objects.keys().filter(|name| name.starts_with(prefix));
        let mut names: Vec<String> = names.cloned().collect();
        names.sort_unstable();
        names
    }

    /// Writes an object if its version is as expected. Returns the new version, or none on conflict.
    pub(super) fn update(
        &mut self,
        name: &str,
        expected: Expected,
        value: String,
    ) -> Option<Version> {
        let current_version = self.objects.get(name).map(|object| object.version);
        let expected_version = match expected {
            Expected::Absent => None,
            Expected::Version(version) => Some(version),
        };
        if current_version != expected_version {
            return None;
        }
        let version = self.next_version();
        self.objects
            .insert(name.to_owned(), Object { version, value });
        self.notify(name);
        Some(version)
    }

    /// Removes an object. Returns the version of the removal, or none if there was no such object.
    pub(super) fn remove(&mut self, name: &str) -> Option<Version> {
        self.objects.swap_remove(name)?;
        let version = self.next_version();
        self.notify(name);
        Some(version)
    }

    /// Returns a channel that is closed when the object changes.
    pub(super) fn watch(&mut self, name: &str) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let watchers = self.watchers.entry(name.to_owned()).or_default();
        watchers.retain(|watcher| !watcher.is_closed());
        watchers.push(sender);
        receiver
    }

    /// Wakes the watches of an object by dropping the senders of their channels.
    fn notify(&mut self, name: &str) {
        self.watchers.swap_remove(name);
    }

    fn next_version(&mut self) -> Version {
        self.last_version += 1;
        Version(self.last_version)
    }
}
