//! Indexes in place of names, as messages use them.

use crate::state::sheet::Sheet;
use crate::state::{AccountId, CustomerId, PoolId};

/// The names of the pools and customers of one sheet, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Names {
    pub(super) sheet_number: u64,
    pools: Vec<PoolId>,
    customers: Vec<CustomerId>,
}

impl Names {
    pub(super) fn of(sheet: &Sheet) -> Self {
        Self {
            sheet_number: sheet.number,
            pools: sheet.pools().into_iter().cloned().collect(),
            customers: sheet.customers.keys().cloned().collect(),
        }
    }

    pub(super) fn account(&self, pool: u16, customer: u16) -> Option<AccountId> {
        Some(AccountId {
            pool: self.pools.get(usize::from(pool))?.clone(),
            customer: self.customers.get(usize::from(customer))?.clone(),
        })
    }

    /// All accounts with their indexes.
    pub(super) fn accounts(&self) -> impl Iterator<Item = (AccountId, u16, u16)> {
        self.pools
            .iter()
            .zip(0..)
            .flat_map(move |(pool, pool_index)| {
                self.customers
                    .iter()
                    .zip(0..)
                    .map(move |(customer, customer_index)| {
                        let account = AccountId {
                            pool: pool.clone(),
                            customer: customer.clone(),
                        };
                        (account, pool_index, customer_index)
                    })
            })
    }
}
