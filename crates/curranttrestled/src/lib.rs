//! The router daemon of a curranttrestle fleet.

pub mod clock;
pub mod control;
pub mod daemon;
pub mod front;
pub mod operators;
pub mod router_options;
pub mod shared;

pub use daemon::{Daemon, DaemonError};
