//! The listening sockets of a gateway.

use std::io;
use std::net::SocketAddr;

use rustix::net::sockopt;
use tokio::net::{TcpListener, UdpSocket};

use crate::gateway::StartError;
use crate::memory::socket_buffer_bytes;
use crate::settings::GatewaySettings;

/// The listening sockets of a gateway.
pub struct Listeners {
    /// For clients.
    pub clients: TcpListener,
    /// For checks of the load balancer.
    pub readiness: TcpListener,
    /// For readers of the metrics.
    pub metrics: Option<TcpListener>,
    /// For messages of other gateways.
    pub peers: UdpSocket,
}

impl Listeners {
    /// Binds the sockets. Runs inside [`block_on`](crate::executor::block_on).
    ///
    /// # Errors
    ///
    /// [`StartError::Listen`] for the first address that cannot be used.
    pub fn bind(settings: &GatewaySettings) -> Result<Self, StartError> {
        let listen = |address: SocketAddr| {
            let bound = std::net::TcpListener::bind(address).and_then(|listener| {
                listener.set_nonblocking(true)?;
                TcpListener::from_std(listener)
            });
            bound.map_err(|source| StartError::Listen { address, source })
        };
        let peers = settings.peers;
        let clients = listen(settings.client_listen)?;
        if let Some(bytes) = socket_buffer_bytes(settings.resources.memory_bytes) {
            // Accepted sockets inherit the sizes.
            let receive = sockopt::set_socket_recv_buffer_size(&clients, bytes);
            let send = sockopt::set_socket_send_buffer_size(&clients, bytes);
            if let Err(error) = receive.and(send) {
                log::warn!("kind=socket-option-failed error={:?}", error.to_string());
            }
        }
        Ok(Self {
            clients,
            readiness: listen(settings.readiness)?,
            metrics: settings.metrics.map(listen).transpose()?,
            peers: bind_udp(peers).map_err(|source| StartError::Listen {
                address: peers,
                source,
            })?,
        })
    }
}

fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}
