//! Receives envelopes.

use std::io;
use std::net::SocketAddr;

use async_channel::Sender;
use async_compat::Compat;
use futures_util::StreamExt;
use smol::net::{TcpListener, TcpStream};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};

use super::counting::{ByteCounts, CountingStream};
use super::{Delivery, Peer, framed};
use crate::protocol::peer::{Envelope, FleetKey, SealedEnvelope};

/// Options of a [`PeerListener`].
#[derive(Clone, Debug)]
pub struct PeerListenerOptions {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The fleet key.
    pub key: FleetKey,
    /// Counts the bytes sent and received.
    pub counts: ByteCounts,
}

/// Listens for connections from other routers.
#[derive(Debug)]
pub struct PeerListener {
    listener: TcpListener,
    options: PeerListenerOptions,
}

impl PeerListener {
    /// Binds the address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(options: PeerListenerOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        Ok(Self { listener, options })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot determine the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections and passes received envelopes to `inbox` until it is closed.
    pub async fn run(self, inbox: Sender<Envelope>) {
        while !inbox.is_closed() {
            let Ok((stream, _)) = self.listener.accept().await else {
                continue;
            };
            let handler = EnvelopeHandler {
                key: self.options.key.clone(),
                inbox: inbox.clone(),
            };
            let counts = self.options.counts.clone();
            smol::spawn(Compat::new(serve(stream, counts, handler))).detach();
        }
    }
}

async fn serve(stream: TcpStream, counts: ByteCounts, handler: EnvelopeHandler) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let channel = BaseChannel::with_defaults(framed(CountingStream::new(stream, counts)));
    let mut requests = Box::pin(channel.execute(handler.serve()));
    // Envelopes are handled one at a time to preserve the order of the sender's messages.
    while let Some(request) = requests.next().await {
        request.await;
    }
}

/// Handles the requests of one connection.
#[derive(Clone)]
struct EnvelopeHandler {
    key: FleetKey,
    inbox: Sender<Envelope>,
}

impl Peer for EnvelopeHandler {
    async fn deliver(self, _: Context, sealed: SealedEnvelope) -> Delivery {
        match self.key.open(&sealed) {
            Ok(envelope) => {
                let _ = self.inbox.send(envelope).await;
                Delivery::Accepted
            }
            Err(error) => {
                log::warn!("kind=peer-refused error={:?}", error.to_string());
                Delivery::Refused
            }
        }
    }
}
