//! A store in memory.

use curranttrestle::protocol::platform::{Expected, Object, StoreAnswer, StoreCall, Version};
use indexmap::IndexMap;

/// The objects of the store.
#[derive(Debug, Default)]
pub struct Store {
    /// Whether no call is served.
    pub is_down: bool,
    objects: IndexMap<String, Object>,
    version: u64,
}

impl Store {
    /// A store that holds one object.
    pub fn with(name: &str, value: String) -> Self {
        let mut store = Self::default();
        store.replace(name, value);
        store
    }

    /// Replaces an object, whatever its version.
    pub fn replace(&mut self, name: &str, value: String) {
        self.version += 1;
        let version = Version(self.version);
        self.objects
            .insert(name.to_owned(), Object { version, value });
    }

    /// The answer to a call; none when a watch has to wait.
    pub fn answer(&mut self, call: StoreCall) -> Option<StoreAnswer> {
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
        let present = match self.objects.get(name) {
            Some(object) => Expected::Version(object.version),
            None => Expected::Absent,
        };
        if present != expected {
            return StoreAnswer::Conflict;
        }
        self.replace(name, value);
        StoreAnswer::Updated(Version(self.version))
    }
}
