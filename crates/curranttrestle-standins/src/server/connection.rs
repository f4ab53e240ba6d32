//! A TCP connection that can be silenced, frozen or closed by fault injection.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker, ready};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use trillium_http::transport::Transport;

const OPEN: u8 = 0;
const SILENT: u8 = 1;
const CLOSED: u8 = 2;

/// Controls whether one connection is open, silent or closed.
#[derive(Debug, Default)]
pub struct Link(AtomicU8);

impl Link {
    /// Closes the connection on its next use. Nothing more is sent.
    pub fn close(&self) {
        self.0.store(CLOSED, Ordering::SeqCst);
    }

    /// Stops all traffic on the connection, in both directions, without closing it.
    pub fn silence(&self) {
        self.0.store(SILENT, Ordering::SeqCst);
    }
}

/// Blocks the tasks that wait for it while it is frozen, to simulate a paused process.
#[derive(Debug, Default)]
pub(crate) struct Gate(Mutex<GateState>);

#[derive(Debug, Default)]
struct GateState {
    frozen: bool,
    wakers: Vec<Waker>,
}

impl Gate {
    /// Freezes or unfreezes the gate.
    pub(crate) fn set_frozen(&self, frozen: bool) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.frozen = frozen;
        if frozen {
            return;
        }
        let wakers = std::mem::take(&mut state.wakers);
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Whether the gate is frozen.
    pub(super) fn is_frozen(&self) -> bool {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.frozen
    }

    /// Waits while the gate is frozen.
    pub(crate) async fn wait_unfrozen(&self) {
        poll_fn(|context| self.poll_unfrozen(context)).await;
    }

    /// Ready unless the gate is frozen.
    fn poll_unfrozen(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.frozen {
            return Poll::Ready(());
        }
        state.wakers.push(context.waker().clone());
        Poll::Pending
    }
}

/// The transport of one HTTP connection.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    link: Arc<Link>,
    gate: Arc<Gate>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, link: Arc<Link>, gate: Arc<Gate>) -> Self {
        Self { stream, link, gate }
    }

    /// Ready if the connection may be used; an error if it was closed.
    fn poll_usable(&self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.gate.poll_unfrozen(context));
        match self.link.0.load(Ordering::SeqCst) {
            OPEN => Poll::Ready(Ok(())),
            SILENT => Poll::Pending,
            _ => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_usable(context))?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_usable(context))?;
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_usable(context))?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_usable(context))?;
        Pin::new(&mut self.stream).poll_close(context)
    }
}

impl Transport for Connection {}
