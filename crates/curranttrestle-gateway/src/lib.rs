//! The gateway: forwards any HTTP request to an endpoint, by the routes of a watched
//! configuration.
//!
//! One thread does everything: an instance has a quarter of a core, where changing threads
//! costs more than the work itself. The decisions are in [`curranttrestle::coordination`];
//! here is the I/O around them. What a platform calls things stands behind the traits of
//! [`edge`].

pub mod clock;
pub mod edge;
pub mod front;
pub mod gateway;
pub mod log;
pub mod metrics;
pub mod peers;
pub mod settings;
pub mod store;
pub mod timer;
pub mod upstream;

pub use gateway::{Gateway, StartError, run};
pub use settings::GatewaySettings;
