//! What the stand-ins share: a thread of their own, HTTP listeners and faults of connections.

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
pub(crate) use handle::{Listen, Reopen};
pub use http::{Reply, Request};
pub(crate) use port::{Accepting, Port};
pub(crate) use runtime::{Runtime, Spawner};
pub(crate) use time::{milliseconds, unix_ms};

/// Why a stand-in could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(std::io::Error),
}

/// The result of starting a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

/// The behaviour of one stand-in, as its server sees it.
pub trait StandIn: Send + Sync + 'static {
    /// What can be injected.
    type Fault: DeserializeOwned + Send;
    /// What really happened.
    type Truth: Serialize;

    /// Answers one request.
    fn answer(self: &Arc<Self>, request: Request) -> impl Future<Output = Reply> + Send;

    /// Injects a fault, or ends one.
    fn inject(self: &Arc<Self>, fault: Self::Fault);

    /// What really happened so far.
    fn truth(&self) -> Self::Truth;
}
