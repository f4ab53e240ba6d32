//! What a [`super::ConfigKeeper`] wants done, and what it reports.

use std::fmt;

use crate::protocol::peer::PeerMessage;
use crate::protocol::platform::{StoreCall, Version};
use crate::state::InstanceId;
use crate::state::marks::{MarkEntry, Marks};
use crate::state::sheet::SheetObject;

/// An object of the store that the keeper follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConfigObject {
    /// The sheet.
    Sheet,
    /// The marks of endpoints.
    Marks,
}

impl ConfigObject {
    /// The name of the object in the store.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Sheet => SheetObject::NAME,
            Self::Marks => Marks::NAME,
        }
    }
}

/// Names a store call of the keeper, so that the answer finds its way back. There is at
/// most one call for each object at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConfigPurpose(pub ConfigObject);

/// Something that should not happen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigFault {
    /// Two different sheets bear the same number.
    SheetConflict {
        /// The number.
        number: u64,
        /// Who has the other sheet: a router, or the store's object.
        other: String,
    },
    /// The store holds an older sheet than was in force.
    StoreWentBack {
        /// The number in force, which stays in force.
        in_force: u64,
        /// The number in the store.
        stored: u64,
    },
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SheetConflict { number, other } => {
                write!(formatter, "another sheet {number} is at {other}")
            }
            Self::StoreWentBack { in_force, stored } => write!(
                formatter,
                "the store went back to sheet {stored} while sheet {in_force} is in force"
            ),
        }
    }
}

/// One thing that a keeper wants done or reports.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigEffect {
    /// Call the store, and hand the answer to [`super::ConfigKeeper::store_answer`].
    Store {
        /// Names the call.
        purpose: ConfigPurpose,
        /// The call.
        call: StoreCall,
    },
    /// Send a message to a router.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// A sheet came into force; [`super::ConfigKeeper::sheet`] has it.
    SheetInForce {
        /// Its number.
        number: u64,
    },
    /// Marks came into force.
    MarksInForce {
        /// The version of the object that holds them, also the fencing number of the stop
        /// orders that follow from them.
        version: Version,
        /// The marks that are new.
        added: Vec<MarkEntry>,
    },
    /// The content of an object in the store makes no sense and was passed over.
    Unreadable {
        /// The object.
        object: ConfigObject,
        /// Why.
        reason: String,
    },
    /// An invariant did not hold.
    Fault(ConfigFault),
}
