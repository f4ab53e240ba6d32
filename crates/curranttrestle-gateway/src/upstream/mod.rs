//! Connections to endpoints and to the platform's store.

pub mod client;
pub mod connection;
pub mod pool;

pub use client::{CallError, HttpCaller};
pub use connection::{ConnectError, Connection};
pub use pool::Pool;
