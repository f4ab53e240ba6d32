//! Responses that are read completely before they are forwarded.

use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::body::BodyBuffer;
use super::held::{HeldMemory, MEMORY_WAIT_MS};
use super::response::BodyAborted;
use crate::gateway::Gateway;
use crate::memory::MemoryKind;
use crate::timer::sleep_ms;

/// A response in segments, whose memory is released as the client reads them.
#[derive(Debug)]
pub struct CollectedBody {
    segments: VecDeque<Bytes>,
    left_bytes: usize,
    memory: HeldMemory,
}

/// Reads the body of a response. While there is no memory for it, the endpoint has to wait: a
/// request that ran is not refused. Returns `None` if the body ends early or is too long.
pub async fn collect_response(gateway: &Rc<Gateway>, mut body: Incoming) -> Option<CollectedBody> {
    let max_bytes = gateway.settings.traffic.max_buffered_response_bytes;
    let mut memory = HeldMemory::take(gateway, MemoryKind::Responses, 0);
    let mut buffer = BodyBuffer::default();
    let declared = body.size_hint().exact();
    let declared = declared.and_then(|length| usize::try_from(length).ok());
    while let Some(frame) = body.frame().await {
        let frame = frame
            .inspect_err(|error| log::debug!("kind=answer-broken error={error:?}"))
            .ok()?;
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        if buffer.length_bytes() + data.len() > max_bytes {
            log::debug!("kind=answer-broken error=\"longer than {max_bytes} bytes\"");
            return None;
        }
        buffer.fill(&mut data);
        while !data.is_empty() {
            let segment_bytes = buffer.next_segment_bytes(declared);
            while !memory.try_grow(segment_bytes) {
                sleep_ms(MEMORY_WAIT_MS).await;
            }
            buffer.add_segment(segment_bytes);
            buffer.fill(&mut data);
        }
    }
    Some(CollectedBody {
        left_bytes: buffer.length_bytes(),
        segments: buffer.into_segments(),
        memory,
    })
}

impl Body for CollectedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let body = self.get_mut();
        let Some(segment) = body.segments.pop_front() else {
            return Poll::Ready(None);
        };
        body.left_bytes -= segment.len();
        body.memory.shrink(segment.len());
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(u64::try_from(self.left_bytes).unwrap_or(u64::MAX))
    }
}
