//! Pool of idle connections.

use std::cell::RefCell;
use std::net::SocketAddr;

use indexmap::IndexMap;

use super::connection::{ConnectError, Connection, SocketOptions};
use crate::clock;
use crate::executor::TaskQueue;
use crate::settings::TrafficOptions;

/// Limits that follow from what the instance has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLimits {
    /// The most idle connections of all addresses together; `None` if they are not limited.
    pub max_idle: Option<usize>,
    /// Size of the receive buffers; `None` leaves it to the operating system.
    pub receive_buffer_bytes: Option<usize>,
}

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    executor: TaskQueue,
    options: TrafficOptions,
    limits: PoolLimits,
    idle: RefCell<IndexMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Creates an empty pool whose connections run on `executor`.
    #[must_use]
    pub fn new(executor: TaskQueue, options: TrafficOptions, limits: PoolLimits) -> Self {
        Self {
            executor,
            options,
            limits,
            idle: RefCell::default(),
        }
    }

    /// Takes the most recently used idle connection, if it was used at most `max_idle_ms` ago.
    #[must_use]
    pub fn take(&self, address: SocketAddr, max_idle_ms: u64) -> Option<Connection> {
        let now_ms = clock::now().steady_ms;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let TrafficOptions {
            idle_timeout_ms,
            idle_margin_ms,
            ..
        } = self.options;
        connections
            .retain(|connection| connection.is_usable(idle_timeout_ms, idle_margin_ms, now_ms));
        let last_used_ms = connections.last()?.last_used_ms;
        if now_ms.saturating_sub(last_used_ms) > max_idle_ms {
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
        let options = SocketOptions {
            tcp_user_timeout_ms: self.options.tcp_user_timeout_ms,
            receive_buffer_bytes: self.limits.receive_buffer_bytes,
        };
        Connection::open(&self.executor, address, timeout_ms, options).await
    }

    /// Keeps a connection whose response was read completely, at most `max_idle` per address. Drops
    /// the least recently used one when there are more, and this one when the pool is full.
    pub fn put_back(&self, mut connection: Connection, max_idle: usize) {
        let is_full = self
            .limits
            .max_idle
            .is_some_and(|max| self.idle_count() >= max);
        if connection.will_close() || max_idle == 0 || is_full {
            return;
        }
        connection.last_used_ms = clock::now().steady_ms;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address()).or_default();
        if connections.len() >= max_idle.min(self.options.max_idle_per_address) {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Closes connections that are too old to be used again.
    pub fn close_expired(&self) {
        let now_ms = clock::now().steady_ms;
        let idle_timeout_ms = self.options.idle_timeout_ms;
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.is_usable(idle_timeout_ms, 0, now_ms));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// When the oldest idle connection to an address that is still open was opened, by the steady
    /// clock.
    #[must_use]
    pub fn oldest_open_ms(&self, address: SocketAddr) -> Option<u64> {
        let idle = self.idle.borrow();
        let connections = idle.get(&address)?.iter();
        connections.filter_map(Connection::open_since_ms).min()
    }

    /// The number of idle connections.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }
}
