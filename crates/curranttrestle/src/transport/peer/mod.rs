//! Sends and receives envelopes over `tarpc`.

mod counting;
mod sender;
mod server;

pub use counting::ByteCounts;
pub use sender::{OutboundMessage, PeerSender, PeerSenderOptions};
pub use server::{PeerListener, PeerListenerOptions};

use async_compat::Compat;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::protocol::peer::SealedEnvelope;
use counting::CountingStream;

/// The greatest length of one frame in bytes.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// What the receiver made of an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Delivery {
    /// It was passed on to the control thread.
    Accepted,
    /// It was sealed with another key or could not be decoded.
    Refused,
}

/// The service that each router offers to the others.
#[tarpc::service]
pub trait Peer {
    /// Takes a batch of messages. The answer only says that it arrived.
    async fn deliver(sealed: SealedEnvelope) -> Delivery;
}

/// The transport of one connection, in either direction.
type PeerTransport<In, Out> = Transport<Compat<CountingStream>, In, Out, Bincode<In, Out>>;

/// Frames a connection for `tarpc`.
fn framed<In, Out>(stream: CountingStream) -> PeerTransport<In, Out>
where
    In: for<'a> serde::Deserialize<'a>,
    Out: serde::Serialize,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    tarpc::serde_transport::new(Framed::new(Compat::new(stream), codec), Bincode::default())
}
