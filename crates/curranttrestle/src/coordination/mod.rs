//! The decisions of a router. No I/O, no clock, no random number of its own.

pub mod call_ids;
pub mod claims;
pub mod drain;
pub mod invariant;
pub mod membership;
pub mod rendezvous;
pub mod retry_budget;
pub mod store_gate;
pub mod cost;
pub mod fair_share;
pub mod queue;
pub mod rendezvous;
pub mod slots;
pub mod speed;
