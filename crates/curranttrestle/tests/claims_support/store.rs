//! A simulated store of the platform.

use std::ops::Range;

use curranttrestle::protocol::platform::{Expected, Object, StoreCall, StoreResponse, Version};
use indexmap::IndexMap;

/// Objects with versions and conditional updates.
#[derive(Debug)]
pub struct FakeStore {
    /// When the store is unavailable, in milliseconds of simulated time.
    pub outage: Range<u64>,
    /// The number of deleted objects.
    pub deleted: u64,
    objects: IndexMap<String, Object>,
    version: u64,
    ignores_conditions: bool,
}

impl FakeStore {
    /// Creates an empty store.
    pub fn new(ignores_conditions: bool) -> Self {
        Self {
            outage: 0..0,
            deleted: 0,
            objects: IndexMap::new(),
            version: 0,
            ignores_conditions,
        }
    }

    /// Executes a call.
    pub fn call(&mut self, request: &StoreCall, now_ms: u64) -> StoreResponse {
        if self.outage.contains(&now_ms) {
            return StoreResponse::Unavailable;
        }
        match request {
            StoreCall::Read { name } => self.read(name),
            StoreCall::Update {
                name,
                expected,
                value,
            } => self.update(name, *expected, value),
            StoreCall::Delete { name } => {
                self.deleted += u64::from(self.objects.shift_remove(name).is_some());
                StoreResponse::Updated(Version(self.version))
            }
            StoreCall::List { prefix } => {
                let names = self.objects.keys().filter(|name| name.starts_with(prefix));
                StoreResponse::Names(names.cloned().collect())
            }
            StoreCall::Watch { .. } | StoreCall::Instances => StoreResponse::Unavailable,
        }
    }

    /// The size of the largest object.
    pub fn largest_bytes(&self) -> usize {
        let sizes = self.objects.values().map(|object| object.value.len());
        sizes.max().unwrap_or_default()
    }

    fn read(&self, name: &str) -> StoreResponse {
        match self.objects.get(name) {
            Some(object) => StoreResponse::Found(object.clone()),
            None => StoreResponse::Absent,
        }
    }

    fn update(&mut self, name: &str, expected: Expected, value: &str) -> StoreResponse {
        let present = match self.objects.get(name) {
            Some(object) => Expected::Version(object.version),
            None => Expected::Absent,
        };
        if present != expected && !self.ignores_conditions {
            return StoreResponse::Conflict;
        }
        self.version += 1;
        let object = Object {
            version: Version(self.version),
            value: value.to_owned(),
        };
        self.objects.insert(name.to_owned(), object);
        StoreResponse::Updated(Version(self.version))
    }
}
