//! The decisions of a router. No I/O, no clock, no random number of its own.

pub mod config;
pub mod rendezvous;
