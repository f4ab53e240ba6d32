//! The I/O of a router.

pub mod endpoint;
pub mod frames;
mod http_client;
pub mod peer;
pub mod platform;
