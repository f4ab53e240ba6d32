//! An address that stays reserved while its stand-in doesn't listen.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

use rustix::net::{AddressFamily, Shutdown, SocketType, bind, getsockname, socket, sockopt};
use smol::net::TcpListener;
use smol::{Task, Timer};

use super::{Error, Result};

/// Interval between attempts to bind an address that is still in use.
const RETRY_INTERVAL_MS: u64 = 20;

/// A reserved address. It stays reserved while the stand-in refuses connections.
#[derive(Debug)]
pub(crate) struct Port {
    address: SocketAddr,
    _reservation: OwnedFd,
}

impl Port {
    /// Reserves an address; port 0 lets the system choose.
    pub(crate) fn reserve(address: SocketAddr) -> Result<Self> {
        reserve(address).map_err(|source| Error::Bind { address, source })
    }

    /// The reserved address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to listen.
    pub(crate) fn listen(&self) -> Result<TcpListener> {
        let address = self.address;
        let bound = std::net::TcpListener::bind(address).and_then(TcpListener::try_from);
        bound.map_err(|source| Error::Bind { address, source })
    }

    /// Listens again, retrying until the previous listener is closed.
    pub(crate) async fn relisten(&self) -> TcpListener {
        loop {
            if let Ok(listener) = self.listen() {
                return listener;
            }
            Timer::after(Duration::from_millis(RETRY_INTERVAL_MS)).await;
        }
    }
}

/// A listener and the task that accepts its connections. Refuses connections once dropped.
#[derive(Debug)]
pub(crate) struct AcceptLoop {
    listener: TcpListener,
    _task: Option<Task<()>>,
}

impl AcceptLoop {
    /// Combines a listener with the task that uses it.
    pub(crate) fn new(listener: TcpListener, task: Option<Task<()>>) -> Self {
        Self {
            listener,
            _task: task,
        }
    }
}

impl Drop for AcceptLoop {
    /// Shuts the socket down, which refuses connections at once. The socket itself is closed later,
    /// when the executor drops the cancelled task.
    fn drop(&mut self) {
        let _ = rustix::net::shutdown(&self.listener, Shutdown::Both);
    }
}

/// Reserves an address by binding a socket that never listens. The system then doesn't assign
/// the port to other sockets, but a listener that also sets `SO_REUSEADDR` can still bind it.
fn reserve(address: SocketAddr) -> io::Result<Port> {
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let reservation = socket(family, SocketType::STREAM, None)?;
    sockopt::set_socket_reuseaddr(&reservation, true)?;
    bind(&reservation, &address)?;
    let bound = getsockname(&reservation)?;
    Ok(Port {
        address: SocketAddr::try_from(bound)?,
        _reservation: reservation,
    })
}
