//! Sends messages in batches, each in one envelope.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_compat::Compat;
use futures_lite::FutureExt;
use indexmap::IndexMap;
use smol::net::TcpStream;
use tarpc::{client, context};

use super::counting::{ByteCounts, CountingStream};
use super::{PeerClient, framed};
use crate::protocol::peer::{Envelope, FleetKey, PeerMessage};
use crate::state::event::HybridTime;
use crate::state::{Incarnation, InstanceId};

/// Options of a [`PeerSender`].
#[derive(Clone, Debug)]
pub struct PeerSenderOptions {
    /// The sending instance.
    pub instance: InstanceId,
    /// The incarnation of the sending instance.
    pub incarnation: Incarnation,
    /// The fleet key.
    pub key: FleetKey,
    /// Counts the bytes sent and received.
    pub counts: ByteCounts,
    /// The timeout for opening a connection.
    pub connect_timeout_ms: u64,
    /// The timeout for the acknowledgement of an envelope. After it the connection is dropped,
    /// and the next envelope is sent over a new one.
    pub deliver_timeout_ms: u64,
    /// The maximum number of queued messages per receiver. Messages beyond it are dropped.
    pub max_queued_messages: usize,
    /// The maximum number of messages in one envelope.
    pub max_envelope_messages: usize,
}

impl PeerSenderOptions {
    /// Creates the default options for an instance.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: Incarnation, key: FleetKey) -> Self {
        Self {
            instance,
            incarnation,
            key,
            counts: ByteCounts::default(),
            connect_timeout_ms: 500,
            deliver_timeout_ms: 1_000,
            max_queued_messages: 4_096,
            max_envelope_messages: 256,
        }
    }
}

/// A message to be sent to one receiver.
#[derive(Clone, Debug)]
pub struct OutboundMessage {
    /// The sender's clock.
    pub time: HybridTime,
    /// The message.
    pub message: PeerMessage,
}

/// Sends messages to other routers over one connection per receiver.
///
/// Delivery is best effort: messages that cannot be delivered in time are dropped. Protocols
/// between routers resend what must arrive.
#[derive(Debug)]
pub struct PeerSender {
    options: PeerSenderOptions,
    queues: IndexMap<SocketAddr, Sender<OutboundMessage>>,
    dropped_messages: u64,
}

impl PeerSender {
    /// Creates a sender without connections.
    #[must_use]
    pub fn new(options: PeerSenderOptions) -> Self {
        Self {
            options,
            queues: IndexMap::new(),
            dropped_messages: 0,
        }
    }

    /// Queues a message for the router at `address`.
    pub fn send(&mut self, address: SocketAddr, message: OutboundMessage) {
        let options = &self.options;
        let queue = self.queues.entry(address).or_insert_with(|| {
            let (sender, receiver) = async_channel::bounded(options.max_queued_messages);
            let connection = Connection {
                options: options.clone(),
                address,
                client: None,
            };
            smol::spawn(Compat::new(connection.run(receiver))).detach();
            sender
        });
        if queue.try_send(message).is_err() {
            self.dropped_messages += 1;
        }
    }

    /// Returns the number of messages dropped because a receiver's queue was full.
    #[must_use]
    pub fn dropped_messages(&self) -> u64 {
        self.dropped_messages
    }
}

/// The reason for which an envelope was not delivered.
#[derive(Debug, thiserror::Error)]
enum DeliveryError {
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    #[error("no acknowledgement: {0}")]
    Rpc(#[from] client::RpcError),
}

/// The connection to one receiver. It is reopened for the next envelope after a failure.
struct Connection {
    options: PeerSenderOptions,
    address: SocketAddr,
    client: Option<PeerClient>,
}

impl Connection {
    async fn run(mut self, queue: Receiver<OutboundMessage>) {
        while let Ok(first) = queue.recv().await {
            let envelope = self.collect(first, &queue);
            if let Err(error) = self.deliver(&envelope).await {
                log::debug!(
                    "kind=peer-send-failed address={} error={:?}",
                    self.address,
                    error.to_string()
                );
                self.client = None;
            }
        }
    }

    /// Collects queued messages into one envelope, up to its maximum.
    fn collect(&self, first: OutboundMessage, queue: &Receiver<OutboundMessage>) -> Envelope {
        let mut time = first.time;
        let mut messages = vec![first.message];
        while messages.len() < self.options.max_envelope_messages {
            let Ok(next) = queue.try_recv() else {
                break;
            };
            time = time.max(next.time);
            messages.push(next.message);
        }
        Envelope {
            from: self.options.instance.clone(),
            incarnation: self.options.incarnation,
            time,
            messages,
        }
    }

    async fn deliver(&mut self, envelope: &Envelope) -> Result<(), DeliveryError> {
        let sealed = self.options.key.seal(envelope);
        if self.client.is_none() {
            self.client = Some(self.connect().await?);
        }
        let Some(client) = &self.client else {
            return Ok(());
        };
        let mut context = context::current();
        context.deadline = Instant::now() + Duration::from_millis(self.options.deliver_timeout_ms);
        client.deliver(context, sealed).await?;
        Ok(())
    }

    async fn connect(&self) -> Result<PeerClient, DeliveryError> {
        let timeout = Duration::from_millis(self.options.connect_timeout_ms);
        let connecting = async { TcpStream::connect(self.address).await };
        let timed_out = async {
            smol::Timer::after(timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = connecting.or(timed_out).await?;
        stream.set_nodelay(true)?;
        let counting_stream = CountingStream::new(stream, self.options.counts.clone());
        let new_client = PeerClient::new(client::Config::default(), framed(counting_stream));
        smol::spawn(Compat::new(async move {
            let _ = new_client.dispatch.await;
        }))
        .detach();
        Ok(new_client.client)
    }
}
