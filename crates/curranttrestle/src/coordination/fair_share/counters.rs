//! Encoding of service counters in messages.

use crate::protocol::peer::{AccountLift, AccountUnits, ServiceCounters};
use crate::state::AccountId;

use super::index_table::IndexTable;

/// The counter of one account in one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ServiceCounter {
    pub(super) account: AccountId,
    pub(super) units: i64,
    pub(super) backlogged: bool,
    /// `None` if the message contains no lift for the account.
    pub(super) lift_milliunits: Option<u64>,
}

/// Encodes counters for a message. Accounts that are not in the sheet are omitted.
pub(super) fn encode(table: &IndexTable, counters: &[ServiceCounter]) -> ServiceCounters {
    let base_units = counters
        .iter()
        .map(|counter| counter.units)
        .min()
        .unwrap_or(0);
    let mut encoded = ServiceCounters {
        sheet_number: table.sheet_number,
        base_units,
        ..ServiceCounters::default()
    };
    for counter in counters {
        let Some(account) = table.index(&counter.account) else {
            continue;
        };
        let entry = AccountUnits {
            account,
            units_above: counter.units.abs_diff(base_units),
        };
        if counter.backlogged {
            encoded.backlogged.push(entry);
        } else {
            encoded.idle.push(entry);
        }
        if let Some(lift_milliunits) = counter.lift_milliunits {
            encoded.lifts.push(AccountLift {
                account,
                lift_milliunits,
            });
        }
    }
    encoded
}

/// Decodes the counters of a message. Accounts that are not in the sheet are omitted.
pub(super) fn decode(table: &IndexTable, encoded: &ServiceCounters) -> Vec<ServiceCounter> {
    let backlogged = encoded.backlogged.iter().map(|entry| (entry, true));
    let idle = encoded.idle.iter().map(|entry| (entry, false));
    backlogged
        .chain(idle)
        .filter_map(|(entry, backlogged)| {
            let lift = encoded
                .lifts
                .iter()
                .find(|lift| lift.account == entry.account);
            Some(ServiceCounter {
                account: table.account(entry.account)?.clone(),
                units: encoded
                    .base_units
                    .saturating_add_unsigned(entry.units_above),
                backlogged,
                lift_milliunits: lift.map(|lift| lift.lift_milliunits),
            })
        })
        .collect()
}

/// Returns the estimated size of a message with these counters in bytes, including its framing.
pub(super) fn estimated_bytes(encoded: &ServiceCounters) -> u64 {
    /// Size of a message without entries.
    const MESSAGE_BYTES: usize = 45;
    /// Size of an account entry.
    const ENTRY_BYTES: usize = 5;
    /// Size of a lift entry.
    const LIFT_BYTES: usize = 6;

    let entries = encoded.backlogged.len() + encoded.idle.len();
    let bytes = MESSAGE_BYTES + ENTRY_BYTES * entries + LIFT_BYTES * encoded.lifts.len();
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
