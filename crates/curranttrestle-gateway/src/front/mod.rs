//! The client side: connections, requests and their responses.

pub mod attempt;
pub mod body;
pub mod connection;
pub mod endpoint_connection;
pub mod event_order;
pub mod event_stream;
pub mod events;
pub mod exchange;
pub mod headers;
pub mod held;
pub mod record;
pub mod request;
pub mod response;
pub mod response_body;
pub mod response_end;
pub mod resumption;
pub mod silent_stream;
pub mod status;

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use self::connection::{Admitted, BusyGuard, ConnectionWakers, TrackedBody};
use crate::gateway::Gateway;
use crate::timer::sleep_ms;

/// Pause after a failed accept, such as too many open files.
const ACCEPT_PAUSE_MS: u64 = 50;

/// Read buffer of a connection: the longest request head and some reserve. An idle connection keeps
/// its buffer, and there may be thousands of them.
const MAX_BUFFER_BYTES: usize = 24_576;

/// The open client connections.
#[derive(Clone, Debug)]
pub struct ClientConnections {
    gateway: Rc<Gateway>,
    open: Rc<Cell<usize>>,
    wakers: Rc<ConnectionWakers>,
    /// Closed when idle connections have to end.
    close_receiver: async_channel::Receiver<()>,
    close_sender: async_channel::Sender<()>,
}

impl ClientConnections {
    /// Creates an empty set of connections.
    #[must_use]
    pub fn new(gateway: Rc<Gateway>) -> Self {
        let (close_sender, close_receiver) = async_channel::bounded(1);
        Self {
            gateway,
            open: Rc::default(),
            wakers: Rc::default(),
            close_receiver,
            close_sender,
        }
    }

    /// The number of open connections.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Closes connections without a request now, and the others after their response.
    pub fn close_idle(&self) {
        self.close_sender.close();
    }

    /// Accepts connections until the task is cancelled.
    pub async fn accept(self, listener: TcpListener) {
        accept_each(&listener, |stream, address| {
            self.gateway.strain.borrow_mut().work.accepted_connections += 1;
            // Without room for it, the new connection is closed.
            if let Some(admitted) = self.admit() {
                let serving = self.clone().serve(stream, address, admitted);
                self.gateway.executors().traffic().spawn(serving).detach();
            }
        })
        .await;
    }

    async fn serve(self, stream: TcpStream, address: SocketAddr, admitted: Admitted) {
        let _open = OpenGuard::new(&self.open);
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("kind=socket-option-failed error={error:?}");
        }
        let tcp_user_timeout_ms = self.gateway.settings.traffic.tcp_user_timeout_ms;
        if let Err(error) = rustix::net::sockopt::set_tcp_user_timeout(&stream, tcp_user_timeout_ms)
        {
            log::debug!("kind=socket-option-failed error={error:?}");
        }
        let limits = self.gateway.control.borrow().client_limits();
        let gateway = Rc::clone(&self.gateway);
        let open = Rc::clone(&self.open);
        let id = admitted.id();
        let service = service_fn(move |request| {
            let gateway = Rc::clone(&gateway);
            let is_over_client_limit = open.get() > gateway.settings.traffic.max_keep_alive_clients;
            let busy = BusyGuard::new(&gateway, id);
            // Boxed, so that a connection without a request does not hold the memory of one.
            Box::pin(async move {
                let handled = request::handle(gateway, request, is_over_client_limit).await;
                Ok::<_, Infallible>(handled.map(|body| TrackedBody::new(body, busy)))
            })
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
            .max_buf_size(MAX_BUFFER_BYTES)
            .auto_date_header(false)
            // Otherwise the library copies a response before it sends it.
            .writev(true)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let close_receiver = self.close_receiver.clone();
        let close_requested = async {
            // Nothing is sent on the channel; `recv` returns once it is closed.
            let _ = close_receiver.recv().await;
            None
        };
        let serving = async {
            let served = async { Some(connection.as_mut().await) };
            if let Some(ended) = served.or(close_requested).await {
                return ended;
            }
            connection.as_mut().graceful_shutdown();
            connection.await
        };
        // Closing is checked first, so that no request is read from a connection that is closed.
        let closed = async {
            admitted.closed().await;
            Ok(())
        };
        let ended = closed.or(serving).await;
        if let Err(error) = ended {
            log::debug!("kind=client-connection-failed client={address} error={error:?}");
        }
    }
}

/// Passes each new connection to `serve`; never returns.
async fn accept_each(listener: &TcpListener, serve: impl Fn(TcpStream, SocketAddr)) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => serve(stream, address),
            Err(error) => {
                log::warn!("kind=accept-failed error={:?}", error.to_string());
                sleep_ms(ACCEPT_PAUSE_MS).await;
            }
        }
    }
}

/// Counts a connection while it is open.
struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
