//! A gateway that forwards any HTTP request to an endpoint, by the routes of a watched
//! configuration.
//!
//! It is single-threaded: an instance has a quarter of a core, where context switches cost more
//! than the work itself. Tasks of the control path run before those of requests. Decisions are made
//! in [`curranttrestle::coordination`]; this crate does the I/O. Names and formats of a platform are
//! behind the traits of [`edge`].

mod changes;
pub mod client_limits;
pub mod clock;
pub mod connections;
pub mod edge;
pub mod executor;
pub mod front;
pub mod gateway;
mod listeners;
pub mod log;
pub mod memory;
pub mod metrics;
pub mod peers;
mod reload;
pub mod settings;
mod shutdown;
pub mod store;
pub mod strain;
pub mod timer;
pub mod upstream;

pub use gateway::{Gateway, SignalFlags, StartError, run};
pub use settings::GatewaySettings;
