//! Message types exchanged between routers and with the platform, endpoints and callers.

pub mod endpoint;
pub mod gateway;
pub mod outcome;
pub mod peer;
pub mod platform;
pub mod resume;

pub use outcome::{Outcome, Refusal, RefusalReason};
