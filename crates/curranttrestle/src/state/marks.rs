//! Marks on endpoints that have to drain or stop. A mark is never removed while the sheet still
//! lists its endpoint.

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::EndpointId;

/// What an endpoint has to do. `Stop` implies `Leaving`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mark {
    /// The endpoint drains: it receives no new work.
    Leaving,
    /// The endpoint drains, and receives a stop order once nothing runs on it.
    Stop,
}

impl Mark {
    /// Returns the text form.
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
    /// The incarnation of the endpoint that the mark applies to. `None` applies to every
    /// incarnation, so the endpoint's name must not be reused.
    pub incarnation: Option<u64>,
    /// What the endpoint has to do.
    pub mark: Mark,
    /// When the mark was added, in milliseconds since the Unix epoch by the clock of the process
    /// that added it.
    pub unix_ms: u64,
    /// Who added the mark.
    pub by: String,
}

/// Identifies a mark: endpoint, incarnation and kind. [`Marks`] has one entry per key.
type MarkKey = (EndpointId, Option<u64>, Mark);

/// The set of all marks. Merging only adds entries, and its result doesn't depend on the order
/// of the merges.
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
    /// The marks in ascending order.
    pub entries: Vec<MarkEntry>,
}

impl Marks {
    /// The name of the marks object in the platform's store.
    pub const NAME: &'static str = "fleet/marks";

    /// Adds the entries that have a new key and returns them. Of two entries with the same key,
    /// the earlier one is retained, and `by` decides between equal times.
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
                Some(existing) if *existing <= *entry => {}
                Some(existing) => *existing = entry.clone(),
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

    /// Removes the entries of all endpoints for which `is_named` returns `false`.
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
    /// marks.retain_endpoints(|endpoint| endpoint.as_str() == "m1");
    /// assert_eq!(marks.entries.len(), 1);
    /// marks.retain_endpoints(|_| false);
    /// assert!(marks.entries.is_empty());
    /// ```
    pub fn retain_endpoints(&mut self, is_named: impl Fn(&EndpointId) -> bool) {
        self.entries.retain(|entry| is_named(&entry.endpoint));
    }

    /// Returns whether there is an entry with the key of `entry`.
    #[must_use]
    pub fn contains(&self, entry: &MarkEntry) -> bool {
        self.entries
            .iter()
            .any(|existing| key_of(existing) == key_of(entry))
    }

    /// Returns the strongest mark that applies to one incarnation of an endpoint.
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
