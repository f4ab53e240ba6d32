//! Network I/O of a router: HTTP clients, stream frames, peer messages and caller timeouts.

pub mod body;
pub mod connection_timeouts;
pub mod endpoint;
pub mod frames;
pub mod http_client;
pub mod peer;
pub mod platform;
pub mod yielding;
