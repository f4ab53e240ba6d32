//! The frames of a streamed answer: read from a connection and put in order.

mod assembler;
mod stream;

pub use assembler::{Chunk, FrameAssembler, FrameCounters};
pub use stream::FrameStream;
pub(super) use stream::FrameTimeouts;
