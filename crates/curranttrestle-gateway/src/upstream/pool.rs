//! Unused connections, kept for the next request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use smol::LocalExecutor;

use super::connection::{ConnectError, Connection};
use crate::clock;
use crate::settings::TrafficOptions;

/// Unused connections by address.
#[derive(Debug)]
pub struct Pool {
    executor: Rc<LocalExecutor<'static>>,
    options: TrafficOptions,
    idle: RefCell<IndexMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// An empty pool whose connections are driven by `executor`.
    #[must_use]
    pub fn new(executor: Rc<LocalExecutor<'static>>, options: TrafficOptions) -> Self {
        Self {
            executor,
            options,
            idle: RefCell::default(),
        }
    }

    /// An unused connection that was used at most `max_idle_ms` ago; the latest used first.
    #[must_use]
    pub fn take(&self, address: SocketAddr, max_idle_ms: u64) -> Option<Connection> {
        let now_ms = clock::now().steady_ms;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let TrafficOptions {
            idle_ms,
            idle_margin_ms,
            ..
        } = self.options;
        connections.retain(|connection| connection.is_usable(idle_ms, idle_margin_ms, now_ms));
        let youngest_ms = connections.last()?.used_ms;
        if now_ms.saturating_sub(youngest_ms) > max_idle_ms {
            return None;
        }
        connections.pop()
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]; nothing was sent.
    pub async fn open(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<Connection, ConnectError> {
        let unacknowledged_ms = self.options.unacknowledged_ms;
        Connection::open(&self.executor, address, timeout_ms, unacknowledged_ms).await
    }

    /// Keeps a connection whose answer was read to its end, and no more than `max_idle` of
    /// them to the same address.
    pub fn put_back(&self, mut connection: Connection, max_idle: usize) {
        if connection.closes() || max_idle == 0 {
            return;
        }
        connection.used_ms = clock::now().steady_ms;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address()).or_default();
        if connections.len() >= max_idle.min(self.options.max_idle) {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Closes connections that are too old to be used again.
    pub fn sweep(&self) {
        let now_ms = clock::now().steady_ms;
        let idle_ms = self.options.idle_ms;
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.is_usable(idle_ms, 0, now_ms));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// The number of unused connections.
    #[must_use]
    pub fn idle(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }
}
