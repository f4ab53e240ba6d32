//! Admits client connections and tracks what they are used for.

use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use indexmap::IndexMap;

use super::ClientConnections;
use super::held::HeldMemory;
use super::response::{BodyAborted, ResponseBody};
use crate::clock;
use crate::connections::ConnectionId;
use crate::gateway::Gateway;
use crate::memory::MemoryKind;

/// Wakers of the tasks of connections, to close them.
#[derive(Debug, Default)]
pub struct ConnectionWakers(RefCell<IndexMap<ConnectionId, Waker>>);

/// A connection that has been admitted. Dropping it makes room for another one.
#[derive(Debug)]
pub struct Admitted {
    gateway: Rc<Gateway>,
    wakers: Rc<ConnectionWakers>,
    id: ConnectionId,
    _memory: HeldMemory,
}

impl ClientConnections {
    /// Admits a new connection. If there is no room, closes another one that carries no request, or
    /// ends the request whose body lags furthest behind. Returns `None` if the new one has to be
    /// closed.
    pub(super) fn admit(&self) -> Option<Admitted> {
        let gateway = &self.gateway;
        let now = clock::now();
        let made = gateway.connections.borrow_mut().make_room(now);
        match made {
            Ok(None) => {}
            Ok(Some(closed)) => {
                gateway.count_closed(closed.reason);
                let waker = self.wakers.0.borrow_mut().swap_remove(&closed.id);
                if let Some(waker) = waker {
                    waker.wake();
                }
            }
            Err(reason) => {
                let slowest = gateway.memory.borrow_mut().evict_slowest(now);
                let Some(slowest) = slowest else {
                    gateway.count_closed(reason);
                    return None;
                };
                gateway.evict_bodies(&[slowest]);
            }
        }
        let bytes = gateway.settings.memory.connection_bytes;
        Some(Admitted {
            id: gateway.connections.borrow_mut().open(now),
            wakers: Rc::clone(&self.wakers),
            _memory: HeldMemory::take(gateway, MemoryKind::Connections, bytes),
            gateway: Rc::clone(gateway),
        })
    }
}

impl Admitted {
    /// Identifies the connection.
    #[must_use]
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Completes when the connection has to make room for another one.
    pub async fn closed(&self) {
        poll_fn(|context| {
            if !self.gateway.connections.borrow().is_open(self.id) {
                return Poll::Ready(());
            }
            let waker = context.waker();
            let mut wakers = self.wakers.0.borrow_mut();
            let known = wakers.entry(self.id).or_insert_with(|| waker.clone());
            known.clone_from(waker);
            Poll::Pending
        })
        .await;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.wakers.0.borrow_mut().swap_remove(&self.id);
        self.gateway.connections.borrow_mut().remove(self.id);
    }
}

/// Marks a connection as busy until its response has ended.
#[derive(Debug)]
pub struct BusyGuard {
    gateway: Rc<Gateway>,
    id: ConnectionId,
}

impl BusyGuard {
    /// A request head arrived.
    #[must_use]
    pub fn new(gateway: &Rc<Gateway>, id: ConnectionId) -> Self {
        gateway.connections.borrow_mut().record_request(id);
        Self {
            gateway: Rc::clone(gateway),
            id,
        }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let mut connections = self.gateway.connections.borrow_mut();
        connections.record_response_end(self.id, clock::now());
    }
}

/// The body of a response, which keeps its connection busy.
pub struct TrackedBody {
    body: ResponseBody,
    _busy: BusyGuard,
}

impl TrackedBody {
    /// Marks the connection as busy until `body` is dropped.
    #[must_use]
    pub fn new(body: ResponseBody, busy: BusyGuard) -> Self {
        Self { body, _busy: busy }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
