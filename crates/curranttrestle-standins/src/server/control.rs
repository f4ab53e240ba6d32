//! Control of a stand-in's listener and connections.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;
use smol::net::{TcpListener, TcpStream};
use smol::{Task, Timer};

use super::connection::{Connection, Gate, Link};
use super::http::{Reply, Request, serve};
use super::{AcceptLoop, Spawner};

/// Time for the response to a stop order to be sent before the connections are closed.
const CLOSE_DELAY_MS: u64 = 50;

/// The open connections, each with its link and its task.
type Connections = IndexMap<u64, (Arc<Link>, Task<()>)>;

/// Controls the listener and the connections of one stand-in.
#[derive(Debug)]
pub struct ServerControl {
    spawner: Spawner,
    gate: Arc<Gate>,
    connections: Mutex<Connections>,
    next_connection: AtomicU64,
    close_on_accept: AtomicU32,
    listening: Mutex<Option<AcceptLoop>>,
}

impl ServerControl {
    pub(super) fn new(spawner: Spawner) -> Self {
        Self {
            spawner,
            gate: Arc::default(),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
            close_on_accept: AtomicU32::new(0),
            listening: Mutex::default(),
        }
    }

    /// Freezes or unfreezes all connections, open and future ones.
    pub fn set_frozen(&self, frozen: bool) {
        self.gate.set_frozen(frozen);
    }

    /// Whether the connections are frozen.
    #[must_use]
    pub fn is_frozen(&self) -> bool {
        self.gate.is_frozen()
    }

    /// Waits while the connections are frozen.
    pub async fn wait_unfrozen(&self) {
        self.gate.wait_unfrozen().await;
    }

    /// Silences the open connections permanently. New connections work.
    pub fn silence_connections(&self) {
        for (link, _) in self.connections().values() {
            link.silence();
        }
    }

    /// Closes the open connections.
    pub fn close_connections(&self) {
        let connections = std::mem::take(&mut *self.connections());
        drop(connections);
    }

    /// Closes the next `count` connections as soon as they are accepted.
    pub fn close_next_connections(&self, count: u32) {
        self.close_on_accept.store(count, Ordering::SeqCst);
    }

    /// Refuses new connections.
    pub fn stop_listening(&self) {
        let accepting = self.listening().take();
        drop(accepting);
    }

    /// Refuses new connections and closes the open ones after a short delay, so that the response
    /// to the stop order is still sent.
    pub(crate) fn close_after_delay(self: &Arc<Self>) {
        let control = Arc::clone(self);
        self.spawn_detached(async move {
            Timer::after(Duration::from_millis(CLOSE_DELAY_MS)).await;
            control.stop_listening();
            control.close_connections();
        });
    }

    /// Whether new connections are accepted.
    #[must_use]
    pub fn is_listening(&self) -> bool {
        self.listening().is_some()
    }

    /// Runs a task on the stand-in's thread.
    pub(crate) fn spawn_detached(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.spawner.spawn_detached(future);
    }

    /// Accepts connections from `listener` and handles their requests.
    pub(super) fn listen<F, Fut>(self: &Arc<Self>, listener: TcpListener, handler: F)
    where
        F: Fn(Request) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Reply> + Send + 'static,
    {
        let control = Arc::clone(self);
        let accept_listener = listener.clone();
        let task = self.spawner.spawn(async move {
            while let Ok((stream, source)) = accept_listener.accept().await {
                control.accept(stream, source, handler.clone());
            }
        });
        *self.listening() = Some(AcceptLoop::new(listener, task));
    }

    fn accept<F, Fut>(self: &Arc<Self>, stream: TcpStream, source: SocketAddr, handler: F)
    where
        F: Fn(Request) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Reply> + Send + 'static,
    {
        if self.take_close_on_accept() || stream.set_nodelay(true).is_err() {
            return;
        }
        let id = self.next_connection.fetch_add(1, Ordering::SeqCst);
        let link = Arc::new(Link::default());
        let connection = Connection::new(stream, Arc::clone(&link), Arc::clone(&self.gate));
        let serving = serve(connection, Some(source), Arc::clone(&link), handler);
        let control = Arc::clone(self);
        let mut connections = self.connections();
        let task = self.spawner.spawn(async move {
            serving.await;
            let ended = control.connections().swap_remove(&id);
            drop(ended);
        });
        if let Some(task) = task {
            connections.insert(id, (link, task));
        }
    }

    fn take_close_on_accept(&self) -> bool {
        let decrement = |count: u32| count.checked_sub(1);
        self.close_on_accept
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn listening(&self) -> MutexGuard<'_, Option<AcceptLoop>> {
        self.listening
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
