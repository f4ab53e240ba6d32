//! Account indexes, which messages use instead of names to save bytes.

use indexmap::IndexMap;

use crate::protocol::peer::AccountIndex;
use crate::state::AccountId;
use crate::state::sheet::Sheet;

/// The account indexes of one sheet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct IndexTable {
    pub(super) sheet_number: u64,
    /// The position of an account is its index.
    accounts: IndexMap<AccountId, ()>,
}

impl IndexTable {
    pub(super) fn from_sheet(sheet: &Sheet) -> Self {
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
        let position = usize::try_from(index.0).ok()?;
        self.accounts
            .get_index(position)
            .map(|(account, ())| account)
    }

    pub(super) fn index(&self, account: &AccountId) -> Option<AccountIndex> {
        let position = self.accounts.get_index_of(account)?;
        u32::try_from(position).ok().map(AccountIndex)
    }

    /// All accounts in index order.
    pub(super) fn accounts(&self) -> impl Iterator<Item = &AccountId> {
        self.accounts.keys()
    }
}
