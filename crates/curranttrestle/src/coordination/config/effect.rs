//! Effects of a [`super::ConfigManager`]: the I/O it requests and the events it reports.

use std::fmt;

use crate::protocol::peer::PeerMessage;
use crate::protocol::platform::{StoreCall, Version};
use crate::state::InstanceId;
use crate::state::marks::{MarkEntry, Marks};
use crate::state::sheet::SheetObject;

/// An object of the store that holds configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConfigObject {
    /// The current sheet.
    Sheet,
    /// The marks of all endpoints.
    Marks,
}

impl ConfigObject {
    /// Returns the name of the object in the store.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Sheet => SheetObject::NAME,
            Self::Marks => Marks::NAME,
        }
    }
}

/// Identifies an outstanding store call, to match its response. There is at most one call per
/// object at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConfigCallKey(pub ConfigObject);

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigFault {
    /// Two different sheets have the same number.
    SheetConflict {
        /// The number of both sheets.
        number: u64,
        /// The source of the other sheet: the name of a router or of the store's object.
        other: String,
    },
    /// The store holds an older sheet than the one that was in force when it was asked.
    StoreReverted {
        /// The number of that sheet, which stays in force.
        in_force: u64,
        /// The number of the sheet in the store.
        stored: u64,
    },
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SheetConflict { number, other } => {
                write!(
                    formatter,
                    "two different sheets have number {number}; the other one is from {other}"
                )
            }
            Self::StoreReverted { in_force, stored } => write!(
                formatter,
                "the store holds sheet {stored}, older than sheet {in_force} in force"
            ),
        }
    }
}

/// I/O to perform or an event to report.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigEffect {
    /// Call the store and pass its response to [`super::ConfigManager::receive_store_response`].
    Store {
        /// Identifies the call.
        key: ConfigCallKey,
        /// The call to make.
        call: StoreCall,
    },
    /// Send a message to a router.
    Send {
        /// The receiving router.
        to: InstanceId,
        /// The message to send.
        message: PeerMessage,
    },
    /// A new sheet is in force; [`super::ConfigManager::sheet`] returns it.
    SheetInForce {
        /// The number of the sheet.
        number: u64,
    },
    /// New marks are in force.
    MarksInForce {
        /// The version of the object that holds the marks. It is also the fencing number of the
        /// stop orders that follow from them.
        version: Version,
        /// The marks that were not in force before.
        added: Vec<MarkEntry>,
    },
    /// An object in the store could not be parsed and was ignored.
    Unreadable {
        /// The object.
        object: ConfigObject,
        /// The parse error.
        reason: String,
    },
    /// An invariant was violated.
    Fault(ConfigFault),
}
