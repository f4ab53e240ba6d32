//! Connections to endpoints and to the platform's store.

pub mod call;
pub mod connection;
pub mod pool;

pub use call::{CallError, HttpCaller};
pub use connection::{ConnectError, Connection};
pub use pool::Pool;
