//! The I/O of a router.

pub mod body;
pub mod endpoint;
pub mod frames;
pub mod http_client;
pub mod peer;
pub mod platform;
pub mod sender_limit;
