//! A TCP relay that simulates network faults: partitions, silent connections and delay.

mod pump;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol::Task;
use smol::net::{TcpListener, TcpStream};

use crate::server::{AcceptLoop, Gate, Port, Result, Runtime, Spawner};
use pump::{Flow, pump};

/// Options of a relay.
#[derive(Clone, Copy, Debug)]
pub struct RelayOptions {
    /// Address to listen on; port 0 lets the system choose.
    pub address: SocketAddr,
    /// Address to connect to. The default, port 0, cannot be connected to.
    pub target: SocketAddr,
    /// One-way delay of the data, in each direction.
    pub delay_ms: u64,
}

impl Default for RelayOptions {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            address: any_port,
            target: any_port,
            delay_ms: 0,
        }
    }
}

/// A direction of traffic through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From client to target.
    Forward,
    /// From target to client.
    Backward,
    /// Both directions.
    Both,
}

/// A fault that can be injected into a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum RelayFault {
    /// Ends partitions and refusals and resets the delay. Silenced connections stay silent.
    Heal,
    /// Partitions: passes no data in a direction, on open and new connections, without closing any.
    /// Replaces an earlier partition.
    Cut {
        /// The direction.
        direction: Direction,
    },
    /// Closes the open connections and refuses new ones.
    Refuse,
    /// Closes the open connections.
    CloseConnections,
    /// Silences the open connections permanently. New connections work.
    SilenceConnections,
    /// Changes the one-way delay of the data, in each direction.
    Delay {
        /// The delay.
        delay_ms: u64,
    },
}

/// A running relay. It stops when the handle is dropped.
#[derive(Debug)]
pub struct RelayHandle {
    address: SocketAddr,
    relay: Arc<Relay>,
    runtime: Runtime,
}

/// The open connections, each with the gate that silences it.
type Connections = IndexMap<u64, (Arc<Gate>, Task<()>)>;

#[derive(Debug)]
struct Relay {
    options: RelayOptions,
    target: Mutex<SocketAddr>,
    port: Port,
    spawner: Spawner,
    forward: Arc<Flow>,
    backward: Arc<Flow>,
    next_connection: AtomicU64,
    connections: Mutex<Connections>,
    listening: Mutex<Option<AcceptLoop>>,
}

/// Starts a relay.
///
/// ```
/// use curranttrestle_standins::relay::{RelayFault, RelayOptions, start};
/// let relay = start(RelayOptions::default()).unwrap();
/// relay.inject(RelayFault::Refuse);
/// relay.stop();
/// ```
///
/// # Errors
///
/// Returns an error when the address cannot be bound or the thread cannot be started.
pub fn start(options: RelayOptions) -> Result<RelayHandle> {
    let runtime = Runtime::start("relay")?;
    let port = Port::reserve(options.address)?;
    let address = port.address();
    let listener = port.listen()?;
    let relay = Arc::new(Relay {
        options,
        target: Mutex::new(options.target),
        port,
        spawner: runtime.spawner(),
        forward: Arc::new(Flow::new(options.delay_ms)),
        backward: Arc::new(Flow::new(options.delay_ms)),
        next_connection: AtomicU64::new(0),
        connections: Mutex::default(),
        listening: Mutex::default(),
    });
    relay.listen(listener);
    Ok(RelayHandle {
        address,
        relay,
        runtime,
    })
}

impl RelayHandle {
    /// Address the relay listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects a fault, or ends one.
    pub fn inject(&self, fault: RelayFault) {
        self.relay.inject(fault);
    }

    /// Changes the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *self.relay.lock_target() = target;
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.relay.connections().len()
    }

    /// Stops the relay and closes its connections.
    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for RelayHandle {
    fn drop(&mut self) {
        let accepting = self.relay.listening().take();
        drop(accepting);
        self.runtime.stop();
    }
}

impl Relay {
    fn lock_target(&self) -> MutexGuard<'_, SocketAddr> {
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn inject(self: &Arc<Self>, fault: RelayFault) {
        match fault {
            RelayFault::Heal => self.heal(),
            RelayFault::Cut { direction } => self.partition(direction),
            RelayFault::Refuse => {
                let listening = self.listening().take();
                drop(listening);
                self.close_connections();
            }
            RelayFault::CloseConnections => self.close_connections(),
            RelayFault::SilenceConnections => {
                for (gate, _) in self.connections().values() {
                    gate.set_frozen(true);
                }
            }
            RelayFault::Delay { delay_ms } => {
                self.forward.set_delay(delay_ms);
                self.backward.set_delay(delay_ms);
            }
        }
    }

    fn partition(&self, direction: Direction) {
        let forward = matches!(direction, Direction::Forward | Direction::Both);
        let backward = matches!(direction, Direction::Backward | Direction::Both);
        self.forward.gate.set_frozen(forward);
        self.backward.gate.set_frozen(backward);
    }

    fn heal(self: &Arc<Self>) {
        for flow in [&self.forward, &self.backward] {
            flow.gate.set_frozen(false);
            flow.set_delay(self.options.delay_ms);
        }
        if self.listening().is_some() {
            return;
        }
        let relay = Arc::clone(self);
        self.spawner.spawn_detached(async move {
            let listener = relay.port.relisten().await;
            relay.listen(listener);
        });
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let relay = Arc::clone(self);
        let accept_listener = listener.clone();
        let task = self.spawner.spawn(async move {
            while let Ok((stream, _)) = accept_listener.accept().await {
                relay.accept(stream);
            }
        });
        *self.listening() = Some(AcceptLoop::new(listener, task));
    }

    fn accept(self: &Arc<Self>, stream: TcpStream) {
        let id = self.next_connection.fetch_add(1, Ordering::SeqCst);
        let gate = Arc::new(Gate::default());
        let relay = Arc::clone(self);
        let connection_gate = Arc::clone(&gate);
        let mut connections = self.connections();
        let task = self.spawner.spawn(async move {
            relay.relay_connection(stream, connection_gate).await;
            let ended = relay.connections().swap_remove(&id);
            drop(ended);
        });
        if let Some(task) = task {
            connections.insert(id, (gate, task));
        }
    }

    /// Forwards one connection until both directions have ended.
    async fn relay_connection(&self, client: TcpStream, gate: Arc<Gate>) {
        self.forward.gate.wait_unfrozen().await;
        let address = *self.lock_target();
        let Ok(target) = TcpStream::connect(address).await else {
            return;
        };
        let nodelay = client.set_nodelay(true).and(target.set_nodelay(true));
        if nodelay.is_err() {
            return;
        }
        let forward = pump(client.clone(), target.clone(), &self.forward, &gate);
        let backward = pump(target, client, &self.backward, &gate);
        smol::future::zip(forward, backward).await;
    }

    fn close_connections(&self) {
        let connections = std::mem::take(&mut *self.connections());
        drop(connections);
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
