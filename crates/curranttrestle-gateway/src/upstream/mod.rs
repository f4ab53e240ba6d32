//! Connections to endpoints and to the platform's store.

pub mod client;
pub mod connection;
pub mod head_limit;
pub mod pool;

pub use client::{CallError, HttpClient, HttpClientOptions};
pub use connection::{ConnectError, Connection};
pub use pool::{Pool, PoolLimits};
