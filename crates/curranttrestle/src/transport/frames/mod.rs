//! Reads the frames of a streamed response and puts them in order.

mod assembler;
mod stream;

pub use assembler::{Chunk, FrameAssembler, FrameCounters};
pub use stream::FrameStream;
pub(super) use stream::FrameTimeouts;
