//! Differences between two sheets.

use std::fmt;
use std::hash::Hash;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::rows::Record;
use super::{Customer, Endpoint, Operation, Sheet};
use crate::state::{CustomerId, EndpointId};

/// The reason why a diff can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DiffError {
    /// The diff has a different base sheet.
    #[error("the base of the diff is sheet {expected}, not sheet {actual}")]
    BaseMismatch {
        /// The number of the base sheet of the diff.
        expected: u64,
        /// The number of the sheet that the diff was applied to.
        actual: u64,
    },
    /// The diff removes or changes rows that don't exist, adds rows that do, or refers to invalid
    /// positions.
    #[error("the diff refers to rows or positions that do not match the sheet")]
    Malformed,
    /// The resulting sheet is not the one that the diff was computed for.
    #[error("the sheet that results from the diff does not have the expected digest")]
    DigestMismatch,
}

/// The changes to all rows of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowsDiff<K, V> {
    /// The names of the removed rows.
    pub removed: Vec<K>,
    /// The rows whose content changed, with the new content.
    pub changed: Vec<(K, V)>,
    /// The added rows with their positions in the new sheet, in ascending order of position.
    pub added: Vec<(u32, K, V)>,
    /// The new order of the remaining rows, as their positions in the old order. Empty if the
    /// order is unchanged.
    pub order: Vec<u32>,
}

impl<K: Clone + Eq + Hash, V: Clone + PartialEq> RowsDiff<K, V> {
    fn between(old: &IndexMap<K, V>, new: &IndexMap<K, V>) -> Self {
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        let changed = new
            .iter()
            .filter(|(name, row)| old.get(*name).is_some_and(|old_row| old_row != *row));
        let added = (0u32..)
            .zip(new)
            .filter(|(_, (name, _))| !old.contains_key(*name));
        Self {
            removed: removed.cloned().collect(),
            changed: changed
                .map(|(name, row)| (name.clone(), row.clone()))
                .collect(),
            added: added
                .map(|(position, (name, row))| (position, name.clone(), row.clone()))
                .collect(),
            order: remaining_order(old, new),
        }
    }

    fn apply(&self, old: &IndexMap<K, V>) -> Result<IndexMap<K, V>, DiffError> {
        let mut rows = old.clone();
        for name in &self.removed {
            rows.shift_remove(name).ok_or(DiffError::Malformed)?;
        }
        for (name, row) in &self.changed {
            let old_row = rows.get_mut(name).ok_or(DiffError::Malformed)?;
            *old_row = row.clone();
        }
        let mut rows = reorder(rows, &self.order)?;
        for (position, name, row) in &self.added {
            let position = *position as usize;
            if position > rows.len() || rows.contains_key(name) {
                return Err(DiffError::Malformed);
            }
            rows.shift_insert(position, name.clone(), row.clone());
        }
        Ok(rows)
    }

    fn is_empty(&self) -> bool {
        self.removed.is_empty()
            && self.changed.is_empty()
            && self.added.is_empty()
            && self.order.is_empty()
    }
}

/// Returns the new order of the rows that are in both sheets: for each of them, in the order of
/// `new`, its position among them in `old`. Returns an empty list if the order is unchanged.
fn remaining_order<K: Eq + Hash, V>(old: &IndexMap<K, V>, new: &IndexMap<K, V>) -> Vec<u32> {
    let old_positions: IndexMap<&K, u32> = old
        .keys()
        .filter(|name| new.contains_key(*name))
        .zip(0..)
        .collect();
    let order: Vec<u32> = new
        .keys()
        .filter_map(|name| old_positions.get(name).copied())
        .collect();
    if order.is_sorted() { Vec::new() } else { order }
}

/// Reorders `rows` by the positions in `order`. An empty `order` leaves them unchanged.
fn reorder<K: Clone + Eq + Hash, V: Clone>(
    rows: IndexMap<K, V>,
    order: &[u32],
) -> Result<IndexMap<K, V>, DiffError> {
    if order.is_empty() {
        return Ok(rows);
    }
    let reordered: IndexMap<K, V> = order
        .iter()
        .filter_map(|position| rows.get_index(*position as usize))
        .map(|(name, row)| (name.clone(), row.clone()))
        .collect();
    if reordered.len() != rows.len() {
        return Err(DiffError::Malformed);
    }
    Ok(reordered)
}

/// The difference between two sheets. Applied to the old sheet, it gives the new one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SheetDiff {
    /// The number of the old sheet.
    pub from_number: u64,
    /// The number of the new sheet.
    pub to_number: u64,
    /// The digest of the new sheet.
    pub to_digest: u64,
    /// The changes to customers.
    pub customers: RowsDiff<CustomerId, Customer>,
    /// The changes to operations.
    pub operations: RowsDiff<String, Operation>,
    /// The changes to endpoints.
    pub endpoints: RowsDiff<EndpointId, Endpoint>,
}

impl SheetDiff {
    /// Computes the changes from `old` to `new`.
    ///
    /// ```
    /// use curranttrestle::state::sheet::{Sheet, SheetDiff};
    /// let old = Sheet::default();
    /// let new = Sheet { number: 1, ..Sheet::default() };
    /// let diff = SheetDiff::between(&old, &new);
    /// assert!(diff.is_empty());
    /// assert_eq!(diff.apply(&old), Ok(new));
    /// ```
    #[must_use]
    pub fn between(old: &Sheet, new: &Sheet) -> Self {
        Self {
            from_number: old.number,
            to_number: new.number,
            to_digest: new.digest(),
            customers: RowsDiff::between(&old.customers, &new.customers),
            operations: RowsDiff::between(&old.operations, &new.operations),
            endpoints: RowsDiff::between(&old.endpoints, &new.endpoints),
        }
    }

    /// Applies the diff to `old` and returns the new sheet.
    ///
    /// # Errors
    ///
    /// Returns an error if `old` is not the base sheet of the diff, if the diff is malformed, or if
    /// the result does not have the expected digest.
    pub fn apply(&self, old: &Sheet) -> Result<Sheet, DiffError> {
        if old.number != self.from_number {
            return Err(DiffError::BaseMismatch {
                expected: self.from_number,
                actual: old.number,
            });
        }
        let new = Sheet {
            number: self.to_number,
            customers: self.customers.apply(&old.customers)?,
            operations: self.operations.apply(&old.operations)?,
            endpoints: self.endpoints.apply(&old.endpoints)?,
        };
        if new.digest() != self.to_digest {
            return Err(DiffError::DigestMismatch);
        }
        Ok(new)
    }

    /// Returns whether no row changes. The number of the sheet may still change.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty() && self.operations.is_empty() && self.endpoints.is_empty()
    }

    /// Returns the diff as displayable text with one line per row: `+` added, `-` removed, `~`
    /// changed.
    #[must_use]
    pub fn report<'a>(&'a self, old: &'a Sheet) -> DiffReport<'a> {
        DiffReport { diff: self, old }
    }
}

/// Displays a diff as text. Holds the base sheet to show the old values.
#[derive(Clone, Copy, Debug)]
pub struct DiffReport<'a> {
    diff: &'a SheetDiff,
    old: &'a Sheet,
}

impl fmt::Display for DiffReport<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.diff.is_empty() {
            return writeln!(formatter, "no changes");
        }
        write_rows(formatter, &self.diff.customers, &self.old.customers)?;
        write_rows(formatter, &self.diff.operations, &self.old.operations)?;
        write_rows(formatter, &self.diff.endpoints, &self.old.endpoints)
    }
}

fn write_rows<K: Eq + Hash + fmt::Display, V: Record>(
    formatter: &mut fmt::Formatter<'_>,
    diff: &RowsDiff<K, V>,
    old: &IndexMap<K, V>,
) -> fmt::Result {
    let kind = V::KIND;
    for name in &diff.removed {
        writeln!(formatter, "- {kind} {name}")?;
    }
    for (name, row) in &diff.changed {
        write!(formatter, "~ {kind} {name}")?;
        if let Some(old_row) = old.get(name) {
            write_changed_cells(formatter, old_row, row)?;
        }
        writeln!(formatter)?;
    }
    for (_, name, row) in &diff.added {
        write!(formatter, "+ {kind} {name}")?;
        write_cells(formatter, row)?;
        writeln!(formatter)?;
    }
    if !diff.order.is_empty() {
        writeln!(formatter, "~ {kind} rows in another order")?;
    }
    Ok(())
}

fn write_cells(formatter: &mut fmt::Formatter<'_>, row: &impl Record) -> fmt::Result {
    for (column, cell) in named_cells(row) {
        write!(formatter, " {column}={cell}")?;
    }
    Ok(())
}

fn write_changed_cells<V: Record>(
    formatter: &mut fmt::Formatter<'_>,
    old: &V,
    new: &V,
) -> fmt::Result {
    let pairs = named_cells(old).into_iter().zip(named_cells(new));
    for ((column, old_cell), (_, new_cell)) in pairs {
        if old_cell != new_cell {
            write!(formatter, " {column}={old_cell}->{new_cell}")?;
        }
    }
    Ok(())
}

/// Returns all cells except the name, with the names of their columns.
fn named_cells<V: Record>(row: &V) -> Vec<(&'static str, String)> {
    let columns = V::KIND.columns().iter().copied();
    columns.zip(row.cells("")).skip(1).collect()
}
