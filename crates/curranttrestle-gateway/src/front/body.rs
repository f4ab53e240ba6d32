//! Reads the bodies of requests.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::{Buf, Bytes, BytesMut};
use curranttrestle::state::gateway::{ClientLimits, RequestHints};
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{self, HeaderMap};
use indexmap::IndexMap;

use super::held::HeldMemory;
use super::response::LocalResponse;
use crate::clock;
use crate::gateway::Gateway;
use crate::memory::{BodyId, Growth, MemoryKind};
use crate::timer::{sleep_ms, with_timeout};

/// Reads the whole body of a request, within the client limits and the memory for clients.
///
/// # Errors
///
/// The response for the client if the body is too large, too slow or unreadable, or if there is no
/// memory for it.
pub async fn read_body(
    gateway: &Rc<Gateway>,
    headers: &HeaderMap,
    mut body: Incoming,
    hints: &RequestHints,
) -> Result<(Bytes, HeldMemory), LocalResponse> {
    let limits = gateway.control.borrow().client_limits();
    let declared = headers.get(header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limits.body_bytes) {
        discard(body).await;
        return Err(too_large());
    }
    if body.is_end_stream() {
        let memory = HeldMemory::of_taken(gateway, MemoryKind::Bodies, 0);
        return Ok((Bytes::new(), memory));
    }
    let reader = BodyReader::new(gateway, declared, limits);
    let deadline_ms = clock::now()
        .steady_ms
        .saturating_add(hints.deadline_ms.unwrap_or(limits.idle_timeout_ms));
    let received = reader.receive(&mut body);
    let result = received.or(reader.wait_until_too_slow(deadline_ms)).await;
    match result {
        Ok(()) => Ok(reader.complete()),
        Err(refusal) => {
            drop(reader);
            if refusal.is_client_sending {
                discard(body).await;
            }
            Err(refusal.response)
        }
    }
}

fn too_large() -> LocalResponse {
    LocalResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large")
}

/// Why a body is not accepted.
struct BodyRefusal {
    response: LocalResponse,
    /// The client would not see the response before it has sent the rest.
    is_client_sending: bool,
}

/// The next part of a body.
enum NextFrame {
    Received(Frame<Bytes>),
    End,
    Failed(hyper::Error),
    /// The memory was needed for another request.
    Evicted,
}

/// Receives one body. Dropping it releases the memory.
struct BodyReader<'a> {
    gateway: &'a Rc<Gateway>,
    id: BodyId,
    declared: Option<usize>,
    limits: ClientLimits,
}

impl<'a> BodyReader<'a> {
    fn new(gateway: &'a Rc<Gateway>, declared: Option<usize>, limits: ClientLimits) -> Self {
        let id = gateway.memory.borrow_mut().open_body(clock::now());
        gateway.receiving.0.borrow_mut().insert(
            id,
            ReceivingBody {
                buffer: BodyBuffer::default(),
                waker: None,
            },
        );
        Self {
            gateway,
            id,
            declared,
            limits,
        }
    }

    /// Receives the body until its end.
    async fn receive(&self, body: &mut Incoming) -> Result<(), BodyRefusal> {
        let mut received_bytes = 0;
        loop {
            let frame = match poll_fn(|context| self.poll_frame(body, context)).await {
                NextFrame::Evicted => return Err(self.no_memory("body-evicted")),
                NextFrame::End => return Ok(()),
                NextFrame::Received(frame) => frame,
                NextFrame::Failed(error) => {
                    log::debug!("kind=body-unreadable error={error:?}");
                    let status = StatusCode::BAD_REQUEST;
                    return Err(BodyRefusal {
                        response: LocalResponse::new(status, "unreadable-body"),
                        is_client_sending: false,
                    });
                }
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            received_bytes += data.len();
            if received_bytes > self.limits.body_bytes {
                return Err(BodyRefusal {
                    response: too_large(),
                    is_client_sending: false,
                });
            }
            if !self.store(data) {
                return Err(self.no_memory("body-memory"));
            }
        }
    }

    fn poll_frame(&self, body: &mut Incoming, context: &mut Context<'_>) -> Poll<NextFrame> {
        let mut receiving = self.gateway.receiving.0.borrow_mut();
        let Some(entry) = receiving.get_mut(&self.id) else {
            return Poll::Ready(NextFrame::Evicted);
        };
        let waker = context.waker();
        match &mut entry.waker {
            Some(known) => known.clone_from(waker),
            unknown => *unknown = Some(waker.clone()),
        }
        drop(receiving);
        Pin::new(body).poll_frame(context).map(|next| match next {
            None => NextFrame::End,
            Some(Ok(frame)) => NextFrame::Received(frame),
            Some(Err(error)) => NextFrame::Failed(error),
        })
    }

    /// Copies a part of the body, so that the buffer it was read into can be used again. Returns
    /// false if there is no memory.
    fn store(&self, mut data: Bytes) -> bool {
        let now = clock::now();
        let receiving = &self.gateway.receiving;
        self.gateway
            .memory
            .borrow_mut()
            .record_received(self.id, data.len(), now);
        loop {
            let mut bodies = receiving.0.borrow_mut();
            let Some(body) = bodies.get_mut(&self.id) else {
                return false;
            };
            body.buffer.fill(&mut data);
            if data.is_empty() {
                return true;
            }
            let segment_bytes = body.buffer.next_segment_bytes(self.declared);
            drop(bodies);
            let mut memory = self.gateway.memory.borrow_mut();
            let growth = memory.grow_body(self.id, segment_bytes, now);
            drop(memory);
            let Growth::Granted(evicted) = growth else {
                return false;
            };
            self.gateway.evict_bodies(&evicted);
            if let Some(body) = receiving.0.borrow_mut().get_mut(&self.id) {
                body.buffer.add_segment(segment_bytes);
            }
        }
    }

    /// Completes when nothing has arrived for too long, or at the deadline.
    async fn wait_until_too_slow(&self, deadline_ms: u64) -> Result<(), BodyRefusal> {
        let stall_ms = self.stall_ms();
        loop {
            let now = clock::now();
            let deadline_left_ms = deadline_ms.saturating_sub(now.steady_ms);
            let stall_left_ms = stall_ms.map_or(u64::MAX, |stall_ms| {
                let memory = self.gateway.memory.borrow();
                memory.stall_left_ms(self.id, stall_ms, now)
            });
            let left_ms = deadline_left_ms.min(stall_left_ms);
            if left_ms == 0 {
                let reason = if deadline_left_ms == 0 {
                    "body-too-slow"
                } else {
                    "body-stalled"
                };
                return Err(BodyRefusal {
                    response: LocalResponse::new(StatusCode::REQUEST_TIMEOUT, reason),
                    is_client_sending: false,
                });
            }
            sleep_ms(left_ms).await;
        }
    }

    /// How long nothing may arrive; `None` if only the deadline counts.
    fn stall_ms(&self) -> Option<u64> {
        let settings = &self.gateway.settings;
        settings.resources.memory_bytes?;
        Some(settings.memory.body_stall_ms)
    }

    fn no_memory(&self, reason: &'static str) -> BodyRefusal {
        let retry_ms = self.gateway.settings.traffic.refusal_retry_after_ms;
        BodyRefusal {
            response: LocalResponse::refused(reason, retry_ms),
            is_client_sending: true,
        }
    }

    fn complete(self) -> (Bytes, HeldMemory) {
        let body = self.gateway.receiving.0.borrow_mut().swap_remove(&self.id);
        let held_bytes = self.gateway.memory.borrow_mut().complete_body(self.id);
        let memory = HeldMemory::of_taken(self.gateway, MemoryKind::Bodies, held_bytes);
        let bytes = body.map_or_else(Bytes::new, |body| body.buffer.into_bytes());
        (bytes, memory)
    }
}

impl Drop for BodyReader<'_> {
    fn drop(&mut self) {
        self.gateway.receiving.0.borrow_mut().swap_remove(&self.id);
        self.gateway.memory.borrow_mut().discard(self.id);
    }
}

/// The bodies that are being received.
#[derive(Debug, Default)]
pub struct ReceivingBodies(RefCell<IndexMap<BodyId, ReceivingBody>>);

#[derive(Debug)]
struct ReceivingBody {
    buffer: BodyBuffer,
    /// Wakes the task that receives the body.
    waker: Option<Waker>,
}

impl ReceivingBodies {
    /// Discards the received parts of bodies, and ends their requests.
    pub fn evict(&self, bodies: &[BodyId]) {
        for id in bodies {
            let body = self.0.borrow_mut().swap_remove(id);
            if let Some(waker) = body.and_then(|body| body.waker) {
                waker.wake();
            }
        }
    }
}

/// The shortest and the longest segment of a [`BodyBuffer`].
const SEGMENT_BYTES: std::ops::RangeInclusive<usize> = 1_024..=16_384;

/// Collects a body in segments. A buffer that is enlarged would be copied, and would leave unused
/// space of many sizes behind.
///
/// ```
/// use bytes::Bytes;
/// use curranttrestle_gateway::front::body::BodyBuffer;
/// let mut buffer = BodyBuffer::default();
/// let mut data = Bytes::from(vec![7; 1_500]);
/// buffer.fill(&mut data);
/// assert_eq!(data.len(), 1_500);
/// while !data.is_empty() {
///     buffer.add_segment(buffer.next_segment_bytes(None));
///     buffer.fill(&mut data);
/// }
/// assert_eq!(buffer.into_bytes(), vec![7; 1_500]);
/// ```
#[derive(Debug, Default)]
pub struct BodyBuffer {
    segments: Vec<BytesMut>,
    capacity_bytes: usize,
    length_bytes: usize,
}

impl BodyBuffer {
    /// Copies what the last segment has room for, and removes it from `data`.
    pub fn fill(&mut self, data: &mut Bytes) {
        if let Some(segment) = self.segments.last_mut() {
            let room_bytes = self.capacity_bytes - self.length_bytes;
            let copied = data.split_to(room_bytes.min(data.len()));
            segment.extend_from_slice(&copied);
            self.length_bytes += copied.len();
        }
    }

    /// The size of the next segment of a body of `declared` bytes. Segments grow with the body, so
    /// that a short one does not hold much more than its length.
    #[must_use]
    pub fn next_segment_bytes(&self, declared: Option<usize>) -> usize {
        let segment_bytes = self.capacity_bytes;
        let segment_bytes = segment_bytes.clamp(*SEGMENT_BYTES.start(), *SEGMENT_BYTES.end());
        declared.map_or(segment_bytes, |declared| {
            let left_bytes = declared.saturating_sub(self.length_bytes);
            left_bytes.clamp(1, *SEGMENT_BYTES.end())
        })
    }

    /// Adds a segment. The last one is full.
    pub fn add_segment(&mut self, bytes: usize) {
        self.segments.push(BytesMut::with_capacity(bytes));
        self.capacity_bytes += bytes;
    }

    /// The length of the body so far.
    #[must_use]
    pub fn length_bytes(&self) -> usize {
        self.length_bytes
    }

    /// Returns the segments.
    #[must_use]
    pub fn into_segments(self) -> VecDeque<Bytes> {
        self.segments.into_iter().map(BytesMut::freeze).collect()
    }

    /// Returns the body in one piece.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        if self.segments.len() < 2 {
            return self.segments.pop().unwrap_or_default().freeze();
        }
        let mut whole = Vec::with_capacity(self.length_bytes);
        for segment in self.segments {
            whole.extend_from_slice(segment.chunk());
        }
        Bytes::from(whole)
    }
}

/// How long the rest of a body that is refused is read.
const DISCARD_TIMEOUT_MS: u64 = 1_000;

/// Reads and discards a body for a limited time. Closing a connection with unread bytes resets it,
/// and the client would not see the response.
async fn discard(mut body: Incoming) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // The response is sent whether or not the whole body was read.
    let _ = with_timeout(DISCARD_TIMEOUT_MS, read).await;
}
