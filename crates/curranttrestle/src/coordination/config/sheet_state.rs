//! The sheet in force and those before it.

use std::collections::VecDeque;
use std::sync::Arc;

use super::effect::{ConfigEffect, ConfigFault};
use crate::protocol::peer::SheetUpdate;
use crate::state::sheet::{Sheet, SheetDiff};

/// How many earlier sheets are kept to make diffs from.
const EARLIER_SHEETS: usize = 4;

/// A sheet with its digest.
#[derive(Clone, Debug)]
pub(super) struct Digested {
    pub(super) sheet: Arc<Sheet>,
    pub(super) digest: u64,
}

/// The sheet in force, the one that waits to come into force, and earlier ones.
#[derive(Clone, Debug, Default)]
pub(super) struct SheetState {
    in_force: Option<Digested>,
    waiting: Option<Digested>,
    earlier: VecDeque<Digested>,
}

impl SheetState {
    pub(super) fn in_force(&self) -> Option<&Digested> {
        self.in_force.as_ref()
    }

    /// The newest sheet, which may still wait to come into force.
    pub(super) fn newest(&self) -> Option<&Digested> {
        self.waiting.as_ref().or(self.in_force.as_ref())
    }

    /// Takes a sheet. It waits until [`SheetState::put_in_force`] when it is the newest;
    /// otherwise it is passed over. `source` is named when it conflicts with the newest.
    pub(super) fn take(&mut self, sheet: Sheet, source: &str) -> Option<ConfigEffect> {
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
            self.waiting = Some(Digested { sheet, digest });
        }
        None
    }

    /// Puts the waiting sheet in force.
    pub(super) fn put_in_force(&mut self) -> Option<ConfigEffect> {
        let next = self.waiting.take()?;
        let number = next.sheet.number;
        if let Some(previous) = self.in_force.replace(next) {
            assert!(
                number > previous.sheet.number,
                "sheet {number} would follow sheet {}",
                previous.sheet.number
            );
            self.earlier.push_front(previous);
            self.earlier.truncate(EARLIER_SHEETS);
        }
        Some(ConfigEffect::SheetInForce { number })
    }

    /// The sheet in force for a router that has sheet `number` with `digest`: a diff when
    /// that sheet is still known here, the whole otherwise.
    pub(super) fn update_for(&self, number: u64, digest: u64) -> Option<SheetUpdate> {
        let current = self.in_force.as_ref()?;
        if current.sheet.number <= number {
            return None;
        }
        let base = self
            .earlier
            .iter()
            .find(|earlier| earlier.sheet.number == number && earlier.digest == digest);
        Some(match base {
            Some(base) => SheetUpdate::Diff(SheetDiff::between(&base.sheet, &current.sheet)),
            None => SheetUpdate::Whole(current.sheet.as_ref().clone()),
        })
    }
}
