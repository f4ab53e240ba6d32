//! Maintains the sheet and the endpoint marks in force at a router, and changes them in the
//! platform's store.
//!
//! Two routers of each data centre watch the two objects in the store continuously; the others
//! pause between watches. Heartbeats carry the numbers in force, so each router learns which
//! peers are ahead and fetches the changes from them, also during a store outage. A sheet takes
//! effect only if its number is higher than that of the sheet in force.

mod backoff;
mod effect;
mod fetch;
mod manager;
mod mark_submission;
mod object_watch;
mod sheet_state;
mod sheet_submission;
mod step;

pub use effect::{ConfigCallKey, ConfigEffect, ConfigFault, ConfigObject};
pub use manager::{ConfigManager, ConfigSettings};
pub use mark_submission::{MarkOutcome, MarkSubmission};
pub use sheet_submission::{SheetSubmission, SubmitOutcome};
pub use step::{ChangeSettings, ChangeStep};
