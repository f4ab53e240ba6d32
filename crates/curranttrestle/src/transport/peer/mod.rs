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

/// The maximum length of a length-delimited frame, which holds one RPC message, in bytes.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// The receiver's response to an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Delivery {
    /// The envelope was passed to the control thread.
    Accepted,
    /// The envelope was sealed with another key or could not be decoded.
    Refused,
}

/// The RPC service that each router provides to the others.
#[tarpc::service]
pub trait Peer {
    /// Receives a batch of messages. The response only acknowledges or refuses the envelope.
    async fn deliver(sealed: SealedEnvelope) -> Delivery;
}

/// The transport of one connection, in either direction.
type PeerTransport<In, Out> = Transport<Compat<CountingStream>, In, Out, Bincode<In, Out>>;

/// Wraps a connection in length-delimited frames for `tarpc`.
fn framed<In, Out>(stream: CountingStream) -> PeerTransport<In, Out>
where
    In: for<'a> serde::Deserialize<'a>,
    Out: serde::Serialize,
{
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    tarpc::serde_transport::new(Framed::new(Compat::new(stream), codec), Bincode::default())
}
