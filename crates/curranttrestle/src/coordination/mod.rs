//! The decisions of a router. No I/O, no clock, no random number of its own.

pub mod cost;
pub mod fair_share;
pub mod queue;
pub mod rendezvous;
pub mod slots;
pub mod speed;
