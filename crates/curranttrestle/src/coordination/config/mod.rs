//! Keeps the sheet and the marks of endpoints that are in force at a router, and changes
//! them in the platform's store.
//!
//! Two routers of each data centre watch the two objects in the store all the time, the
//! others with pauses. All learn from the numbers in heartbeats that a peer is ahead, and
//! fetch what changed from it, which works while the store is down too. Only greater sheet
//! numbers come into force.

mod backoff;
mod effect;
mod fetch;
mod keeper;
mod marking;
mod object_watch;
mod sheet_state;
mod step;
mod submit;

pub use effect::{ConfigEffect, ConfigFault, ConfigObject, ConfigPurpose};
pub use keeper::{ConfigKeeper, ConfigSettings};
pub use marking::{MarkOutcome, Marking};
pub use step::{ChangeSettings, Step};
pub use submit::{Submission, SubmitOutcome};
