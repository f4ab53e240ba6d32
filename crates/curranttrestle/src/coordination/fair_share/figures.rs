//! Service figures between accounts and messages.

use crate::protocol::peer::{AccountLift, AccountUnits, ServiceFigures};
use crate::state::AccountId;

use super::names::Names;

/// The figures of one account, as one message states them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Figure {
    pub(super) account: AccountId,
    pub(super) units: i64,
    pub(super) backlogged: bool,
    /// None when the message says nothing of a lift.
    pub(super) lift_milliunits: Option<u64>,
}

/// Puts figures into a message. Accounts that the sheet does not name are left out.
pub(super) fn encode(names: &Names, figures: &[Figure]) -> ServiceFigures {
    let base_units = figures.iter().map(|figure| figure.units).min().unwrap_or(0);
    let mut encoded = ServiceFigures {
        sheet_number: names.sheet_number,
        base_units,
        ..ServiceFigures::default()
    };
    for figure in figures {
        let Some(account) = names.index(&figure.account) else {
            continue;
        };
        let entry = AccountUnits {
            account,
            units_above: figure.units.abs_diff(base_units),
        };
        if figure.backlogged {
            encoded.backlogged.push(entry);
        } else {
            encoded.idle.push(entry);
        }
        if let Some(lift_milliunits) = figure.lift_milliunits {
            encoded.lifts.push(AccountLift {
                account,
                lift_milliunits,
            });
        }
    }
    encoded
}

/// Reads the figures of a message.
pub(super) fn decode(names: &Names, encoded: &ServiceFigures) -> Vec<Figure> {
    let backlogged = encoded.backlogged.iter().map(|entry| (entry, true));
    let idle = encoded.idle.iter().map(|entry| (entry, false));
    backlogged
        .chain(idle)
        .filter_map(|(entry, backlogged)| {
            let lift = encoded
                .lifts
                .iter()
                .find(|lift| lift.account == entry.account);
            Some(Figure {
                account: names.account(entry.account)?.clone(),
                units: encoded
                    .base_units
                    .saturating_add_unsigned(entry.units_above),
                backlogged,
                lift_milliunits: lift.map(|lift| lift.lift_milliunits),
            })
        })
        .collect()
}

/// The estimated size of figures in a message, with all around them.
pub(super) fn estimated_bytes(figures: &ServiceFigures) -> u64 {
    /// A message without entries.
    const MESSAGE_BYTES: usize = 45;
    /// An entry of an account.
    const ENTRY_BYTES: usize = 5;
    /// An entry of a lift.
    const LIFT_BYTES: usize = 6;

    let entries = figures.backlogged.len() + figures.idle.len();
    let bytes = MESSAGE_BYTES + ENTRY_BYTES * entries + LIFT_BYTES * figures.lifts.len();
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
