//! An in-memory store.

use curranttrestle::protocol::platform::{Expected, Object, StoreCall, StoreResponse, Version};
use indexmap::IndexMap;

/// The objects of the store.
#[derive(Debug, Default)]
pub struct Store {
    /// Whether the store is down: every call then gets [`StoreResponse::Unavailable`].
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
    pub fn handle(&mut self, call: StoreCall) -> Option<StoreResponse> {
        if self.is_down {
            return Some(StoreResponse::Unavailable);
        }
        Some(match call {
            StoreCall::Read { name } => match self.objects.get(&name) {
                Some(object) => StoreResponse::Found(object.clone()),
                None => StoreResponse::Absent,
            },
            StoreCall::Watch { name, after } => {
                let object = self.objects.get(&name)?;
                if object.version <= after {
                    return None;
                }
                StoreResponse::Found(object.clone())
            }
            StoreCall::Update {
                name,
                expected,
                value,
            } => self.update(&name, expected, value),
            StoreCall::List { prefix } => StoreResponse::Names(
                self.objects
                    .keys()
                    .filter(|name| name.starts_with(&prefix))
                    .cloned()
                    .collect(),
            ),
            StoreCall::Delete { name } => {
                self.objects.swap_remove(&name);
                StoreResponse::Updated(Version(self.version))
            }
            StoreCall::Instances => StoreResponse::Instances(Vec::new()),
        })
    }

    fn update(&mut self, name: &str, expected: Expected, value: String) -> StoreResponse {
        let current = match self.objects.get(name) {
            Some(object) => Expected::Version(object.version),
            None => Expected::Absent,
        };
        if current != expected {
            return StoreResponse::Conflict;
        }
        self.replace(name, value);
        StoreResponse::Updated(Version(self.version))
    }
}
