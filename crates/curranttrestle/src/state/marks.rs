//! Marks of endpoints that are to leave or to stop. A mark is never withdrawn from an endpoint
//! that the sheet still names.

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::EndpointId;

/// What an endpoint is to do. The later one implies the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mark {
    /// It gets no new work.
    Leaving,
    /// It gets no new work, and a stop order once nothing runs on it.
    Stop,
}

impl Mark {
    /// The text form.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Stop => "stop",
        }
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// One mark of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MarkEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The run of the endpoint; none: all its runs, so its name is not used again.
    pub incarnation: Option<u64>,
    /// What it is to do.
    pub mark: Mark,
    /// When the mark was added, by the clock of whoever added it.
    pub unix_ms: u64,
    /// Who added it.
    pub by: String,
}

/// What a mark is about; there is one entry for each.
type MarkKey = (EndpointId, Option<u64>, Mark);

/// All marks. Merging only adds to them, in any order with the same outcome.
///
/// ```
/// use curranttrestle::state::marks::{Mark, MarkEntry, Marks};
/// let entry = MarkEntry {
///     endpoint: "m1".into(),
///     incarnation: Some(7),
///     mark: Mark::Leaving,
///     unix_ms: 0,
///     by: "operator".to_owned(),
/// };
/// let mut marks = Marks::default();
/// assert_eq!(marks.merge(&[entry.clone()]), [entry]);
/// assert_eq!(marks.mark_of(&"m1".into(), 7), Some(Mark::Leaving));
/// assert_eq!(marks.mark_of(&"m1".into(), 8), None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// The marks, sorted.
    pub entries: Vec<MarkEntry>,
}

impl Marks {
    /// The name of the object in the store.
    pub const NAME: &'static str = "fleet/marks";

    /// Adds the entries that are new and returns them. Of two entries about the same the
    /// earlier stays.
    pub fn merge(&mut self, entries: &[MarkEntry]) -> Vec<MarkEntry> {
        let mut by_key: IndexMap<MarkKey, MarkEntry> = self
            .entries
            .drain(..)
            .map(|entry| (key_of(&entry), entry))
            .collect();
        let mut added = Vec::new();
        for entry in entries {
            let key = key_of(entry);
            match by_key.get_mut(&key) {
                Some(held) if *held <= *entry => {}
                Some(held) => *held = entry.clone(),
                None => {
                    by_key.insert(key, entry.clone());
                    added.push(entry.clone());
                }
            }
        }
        self.entries = by_key.into_values().collect();
        self.entries.sort();
        added
    }

    /// Removes the entries of endpoints for which `is_named` does not hold.
    ///
    /// ```
    /// use curranttrestle::state::marks::{Mark, MarkEntry, Marks};
    /// let entry = MarkEntry {
    ///     endpoint: "m1".into(),
    ///     incarnation: None,
    ///     mark: Mark::Stop,
    ///     unix_ms: 0,
    ///     by: "operator".to_owned(),
    /// };
    /// let mut marks = Marks { entries: vec![entry] };
    /// marks.retain_named(|endpoint| endpoint.as_str() == "m1");
    /// assert_eq!(marks.entries.len(), 1);
    /// marks.retain_named(|_| false);
    /// assert!(marks.entries.is_empty());
    /// ```
    pub fn retain_named(&mut self, is_named: impl Fn(&EndpointId) -> bool) {
        self.entries.retain(|entry| is_named(&entry.endpoint));
    }

    /// Whether an entry about the same is there.
    #[must_use]
    pub fn contains(&self, entry: &MarkEntry) -> bool {
        self.entries
            .iter()
            .any(|held| key_of(held) == key_of(entry))
    }

    /// The furthest mark of one run of an endpoint.
    #[must_use]
    pub fn mark_of(&self, endpoint: &EndpointId, incarnation: u64) -> Option<Mark> {
        let applies = |entry: &&MarkEntry| {
            entry.endpoint == *endpoint
                && entry.incarnation.is_none_or(|marked| marked == incarnation)
        };
        let entries = self.entries.iter().filter(applies);
        entries.map(|entry| entry.mark).max()
    }
}

fn key_of(entry: &MarkEntry) -> MarkKey {
    (entry.endpoint.clone(), entry.incarnation, entry.mark)
}
