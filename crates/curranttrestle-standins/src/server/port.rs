//! An address that stays with a stand-in while nobody listens there.

use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

use rustix::net::{AddressFamily, SocketType, bind, getsockname, socket, sockopt};
use smol::Timer;
use smol::net::TcpListener;

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
