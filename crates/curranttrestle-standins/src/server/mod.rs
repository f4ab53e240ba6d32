//! Infrastructure shared by the stand-ins: runtime thread, HTTP server and connection faults.

mod connection;
mod control;
mod handle;
mod http;
mod port;
mod runtime;
mod time;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub(crate) use connection::Gate;
pub use connection::Link;
pub use control::ServerControl;
pub use handle::Handle;
pub(crate) use handle::{ListenOptions, Reopener};
pub use http::{Reply, Request};
pub(crate) use port::{AcceptLoop, Port};
pub(crate) use runtime::{Runtime, Spawner};
pub(crate) use time::{milliseconds, unix_ms};

/// Error on starting a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(std::io::Error),
}

/// The result of starting a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

/// The behaviour of a stand-in behind its HTTP server.
pub trait StandIn: Send + Sync + 'static {
    /// The faults that can be injected.
    type Fault: DeserializeOwned + Send;
    /// The ground truth: what actually happened at the stand-in.
    type Truth: Serialize;

    /// Handles one request.
    fn handle(self: &Arc<Self>, request: Request) -> impl Future<Output = Reply> + Send;

    /// Injects a fault, or ends one.
    fn inject(self: &Arc<Self>, fault: Self::Fault);

    /// Returns the ground truth so far.
    fn truth(&self) -> Self::Truth;
}
