//! The decision logic of routers and gateways. It performs no I/O and reads no clock; the code that
//! uses it passes in the time and the random number generator.

pub mod call_ids;
pub mod claims;
pub mod config;
pub mod cost;
pub mod drain;
pub mod fair_share;
pub mod gateway;
pub mod invariant;
pub mod membership;
pub mod quarantine;
pub mod queue;
pub mod rendezvous;
pub mod retry_budget;
pub mod router;
pub mod slots;
pub mod slow_endpoints;
pub mod store_call_limiter;
