//! An address that stays with a stand-in while nobody listens there.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

use rustix::net::{AddressFamily, Shutdown, SocketType, bind, getsockname, socket, sockopt};
use smol::net::TcpListener;
use smol::{Task, Timer};

use super::{Error, Result};

/// How long to wait before an address that is still in use is tried again.
const RETRY_INTERVAL_MS: u64 = 20;

/// Keeps an address for one stand-in, also while it refuses connections.
#[derive(Debug)]
pub(crate) struct Port {
    address: SocketAddr,
    _reservation: OwnedFd,
}

impl Port {
    /// Takes an address; port zero lets the system choose.
    pub(crate) fn reserve(address: SocketAddr) -> Result<Self> {
        reserve(address).map_err(|source| Error::Bind { address, source })
    }

    /// The address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins to accept connections.
    pub(crate) fn listen(&self) -> Result<TcpListener> {
        let address = self.address;
        let bound = std::net::TcpListener::bind(address).and_then(TcpListener::try_from);
        bound.map_err(|source| Error::Bind { address, source })
    }

    /// Begins to accept connections again, once the previous listener is closed.
    pub(crate) async fn listen_again(&self) -> TcpListener {
        loop {
            if let Ok(listener) = self.listen() {
                return listener;
            }
            Timer::after(Duration::from_millis(RETRY_INTERVAL_MS)).await;
        }
    }
}

/// A listener and the task that accepts its connections. It refuses connections once dropped.
#[derive(Debug)]
pub(crate) struct Accepting {
    listener: TcpListener,
    _task: Option<Task<()>>,
}

impl Accepting {
    /// Keeps a listener with the task that uses it.
    pub(crate) fn new(listener: TcpListener, task: Option<Task<()>>) -> Self {
        Self {
            listener,
            _task: task,
        }
    }
}

impl Drop for Accepting {
    /// Refuses connections from now on. The task, and with it the socket, ends a little later.
    fn drop(&mut self) {
        let _ = rustix::net::shutdown(&self.listener, Shutdown::Both);
    }
}

/// Binds a socket that never listens. The system then gives its port to nobody else, and a
/// listener with the same options may still use it.
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
