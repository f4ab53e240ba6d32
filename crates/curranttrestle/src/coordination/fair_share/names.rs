//! Indexes in place of names, as messages use them.

use indexmap::IndexMap;

use crate::protocol::peer::AccountIndex;
use crate::state::AccountId;
use crate::state::sheet::Sheet;

/// The accounts of one sheet by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Names {
    pub(super) sheet_number: u64,
    /// Keyed in the order of the indexes.
    accounts: IndexMap<AccountId, ()>,
}

impl Names {
    pub(super) fn of(sheet: &Sheet) -> Self {
        let mut accounts = IndexMap::new();
        for pool in sheet.pools() {
            for customer in sheet.customers.keys() {
                let account = AccountId {
                    pool: pool.clone(),
                    customer: customer.clone(),
                };
                accounts.insert(account, ());
            }
        }
        Self {
            sheet_number: sheet.number,
            accounts,
        }
    }

    pub(super) fn account(&self, index: AccountIndex) -> Option<&AccountId> {
        let place = usize::try_from(index.0).ok()?;
        self.accounts.get_index(place).map(|(account, ())| account)
    }

    pub(super) fn index(&self, account: &AccountId) -> Option<AccountIndex> {
        let place = self.accounts.get_index_of(account)?;
        u32::try_from(place).ok().map(AccountIndex)
    }

    /// All accounts, in the order of the indexes.
    pub(super) fn accounts(&self) -> impl Iterator<Item = &AccountId> {
        self.accounts.keys()
    }
}
