//! An in-memory store.

use curranttrestle::protocol::platform::{Expected, Object, StoreAnswer, StoreCall, Version};
use indexmap::IndexMap;

/// The objects of the store.
#[derive(Debug, Default)]
pub struct Store {
    /// Whether the store is down: every call then gets [`StoreAnswer::Unavailable`].
    pub is_down: bool,
    objects: IndexMap<String, Object>,
    version: u64,
}

impl Store {
    /// Creates a store with one object.
    pub fn with_object(name: &str, value: String) -> Self {
        let mut store = Self::default();
        store.replace(name, value);
        store
    }

    /// Writes an object regardless of its current version.
    pub fn replace(&mut self, name: &str, value: String) {
        self.version += 1;
        let version = Version(self.version);
        self.objects
            .insert(name.to_owned(), Object { version, value });
    }

    /// Handles a call and returns the response, or `None` if a watch has to wait for a change.
    pub fn handle(&mut self, call: StoreCall) -> Option<StoreAnswer> {
        if self.is_down {
            return Some(StoreAnswer::Unavailable);
        }
        Some(match call {
            StoreCall::Read { name } => match self.objects.get(&name) {
                Some(object) => StoreAnswer::Found(object.clone()),
                None => StoreAnswer::Absent,
            },
            StoreCall::Watch { name, after } => {
                let object = self.objects.get(&name)?;
                if object.version <= after {
                    return None;
                }
                StoreAnswer::Found(object.clone())
            }
            StoreCall::Update {
                name,
                expected,
                value,
            } => self.update(&name, expected, value),
            StoreCall::List { prefix } => StoreAnswer::Names(
                self.objects
                    .keys()
                    .filter(|name| name.starts_with(&prefix))
                    .cloned()
                    .collect(),
            ),
            StoreCall::Delete { name } => {
                self.objects.swap_remove(&name);
                StoreAnswer::Updated(Version(self.version))
            }
            StoreCall::Instances => StoreAnswer::Instances(Vec::new()),
        })
    }

    fn update(&mut self, name: &str, expected: Expected, value: String) -> StoreAnswer {
        let current = match self.objects.get(name) {
            Some(object) => Expected::Version(object.version),
            None => Expected::Absent,
        };
        if current != expected {
            return StoreAnswer::Conflict;
        }
        self.replace(name, value);
        StoreAnswer::Updated(Version(self.version))
    }
}
