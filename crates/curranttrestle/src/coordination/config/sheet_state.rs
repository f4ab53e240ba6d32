//! The sheet in force and its predecessors.

use std::collections::VecDeque;
use std::sync::Arc;

use super::effect::{ConfigEffect, ConfigFault};
use crate::protocol::peer::SheetUpdate;
use crate::state::sheet::{Sheet, SheetDiff};

/// The number of previous sheets that are kept as bases for diffs.
const MAX_PREVIOUS_SHEETS: usize = 4;

/// A sheet with its digest.
#[derive(Clone, Debug)]
pub(super) struct DigestedSheet {
    pub(super) sheet: Arc<Sheet>,
    pub(super) digest: u64,
}

/// The sheet in force, the pending sheet and the previous ones.
#[derive(Clone, Debug, Default)]
pub(super) struct SheetState {
    in_force: Option<DigestedSheet>,
    pending: Option<DigestedSheet>,
    history: VecDeque<DigestedSheet>,
}

impl SheetState {
    pub(super) fn in_force(&self) -> Option<&DigestedSheet> {
        self.in_force.as_ref()
    }

    /// Returns the newest sheet, which may be pending.
    pub(super) fn newest(&self) -> Option<&DigestedSheet> {
        self.pending.as_ref().or(self.in_force.as_ref())
    }

    /// Receives a sheet from `source`. A sheet newer than all others is pending until
    /// [`SheetState::activate_pending`]; any other is ignored. Returns a fault if it has the
    /// number of the newest sheet but different content.
    pub(super) fn receive(&mut self, sheet: Sheet, source: &str) -> Option<ConfigEffect> {
        let digest = sheet.digest();
        let known = self
            .newest()
            .map(|known| (known.sheet.number, known.digest));
        let (known_number, known_digest) = known.unwrap_or_default();
        if sheet.number == known_number && known.is_some() && digest != known_digest {
            return Some(ConfigEffect::Fault(ConfigFault::SheetConflict {
                number: sheet.number,
                other: source.to_owned(),
            }));
        }
        if sheet.number > known_number {
            let sheet = Arc::new(sheet);
            self.pending = Some(DigestedSheet { sheet, digest });
        }
        None
    }

    /// Puts the pending sheet in force.
    pub(super) fn activate_pending(&mut self) -> Option<ConfigEffect> {
        let next = self.pending.take()?;
        let number = next.sheet.number;
        if let Some(previous) = self.in_force.replace(next) {
            assert!(
                number > previous.sheet.number,
                "sheet {number} is not newer than sheet {} in force",
                previous.sheet.number
            );
            self.history.push_front(previous);
            self.history.truncate(MAX_PREVIOUS_SHEETS);
        }
        Some(ConfigEffect::SheetInForce { number })
    }

    /// Returns the sheet in force for a router that has sheet `number` with `digest`: a diff if
    /// that sheet is in the history, the whole sheet otherwise. Returns `None` if the router is
    /// not behind.
    pub(super) fn update_for(&self, number: u64, digest: u64) -> Option<SheetUpdate> {
        let current = self.in_force.as_ref()?;
        if current.sheet.number <= number {
            return None;
        }
        let base = self
            .history
            .iter()
            .find(|entry| entry.sheet.number == number && entry.digest == digest);
        Some(match base {
            Some(base) => SheetUpdate::Diff(SheetDiff::between(&base.sheet, &current.sheet)),
            None => SheetUpdate::Whole(current.sheet.as_ref().clone()),
        })
    }
}
