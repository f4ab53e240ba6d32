//! Builds a router from its settings and runs its listeners and threads.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_channel::Sender;
use curranttrestle::coordination::router::{Input, Router};
use curranttrestle::protocol::peer::{Envelope, FleetKey};
use curranttrestle::state::settings::{Limits, Settings};
use curranttrestle::state::sheet::{KeyDigest, Sheet};
use curranttrestle::state::{Incarnation, Member};
use curranttrestle::transport::connection_timeouts::ConnectionTimeouts;
use curranttrestle::transport::endpoint::{EndpointClient, EndpointClientOptions};
use curranttrestle::transport::peer::{
    ByteCounts, PeerListener, PeerListenerOptions, PeerSender, PeerSenderOptions,
};
use curranttrestle::transport::platform::{PlatformClient, PlatformClientOptions};
use futures_lite::FutureExt;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol::net::TcpListener;
use trillium_http::HttpConfig;
use trillium_server_common::ServerHandle;

use crate::clock::Clock;
use crate::control::{ControlLoop, ControlMetrics};
use crate::shared::{ControlMessage, Shared};
use crate::{front, operators, router_options};

/// Capacity of the channel to the control thread, in messages.
const CONTROL_CHANNEL_CAPACITY: usize = 16_384;
/// Capacity of the channel of envelopes received from other routers.
const INBOX_CAPACITY: usize = 4_096;
/// Interval at which [`Daemon::join`] polls whether the control thread has ended.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of low, random bits of an incarnation. They distinguish two runs that start in the
/// same millisecond.
const INCARNATION_RANDOM_BITS: u32 = 12;

/// An error that prevents a daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A listener could not be bound.
    #[error("cannot listen on {address}: {error}")]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The control thread could not be started, or the bound address of a listener could not be
    /// read.
    #[error("cannot start the control thread or read a listener's address: {0}")]
    Thread(#[from] io::Error),
    /// A metric could not be registered.
    #[error("cannot register the metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// The result of starting a daemon.
pub type Result<T> = std::result::Result<T, DaemonError>;

/// A running router.
#[derive(Debug)]
pub struct Daemon {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    control: Sender<ControlMessage>,
    thread: JoinHandle<()>,
    servers: Vec<ServerHandle>,
    shutdown_ms: u64,
}

impl Daemon {
    /// Binds the listeners and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns the first error from binding a listener, reading its address, registering the
    /// metrics or spawning the control thread.
    pub fn start(settings: &Settings) -> Result<Self> {
        smol::block_on(Self::start_async(settings))
    }

    async fn start_async(settings: &Settings) -> Result<Self> {
        let mut rng = ChaCha8Rng::from_os_rng();
        let clock = Clock::default();
        let callers = bind(settings.listen.callers).await?;
        let operators = bind(settings.listen.operators).await?;
        let key = FleetKey::new(settings.fleet.key.expose());
        let byte_counts = ByteCounts::default();
        let peers = PeerListener::bind(PeerListenerOptions {
            address: settings.listen.peers,
            key: key.clone(),
            counts: byte_counts.clone(),
        })
        .await
        .map_err(|error| DaemonError::Bind {
            address: settings.listen.peers,
            error,
        })?;
        let random = rng.random_range(0..1_u64 << INCARNATION_RANDOM_BITS);
        let incarnation = Incarnation(clock.now().unix_ms << INCARNATION_RANDOM_BITS | random);
        let member = Member {
            instance: settings.instance.name.clone(),
            incarnation,
            data_centre: settings.instance.data_centre.clone(),
            address: peers.local_addr()?,
        };
        let (control, messages) = async_channel::bounded(CONTROL_CHANNEL_CAPACITY);
        let shared = Arc::new(Shared {
            clock,
            control: control.clone(),
            endpoints: EndpointClient::new(EndpointClientOptions::default()),
            platform: PlatformClient::new(PlatformClientOptions {
                address: settings.platform.address,
                timeout_ms: settings.platform.timeout_ms,
                watch_timeout_ms: settings.platform.watch_timeout_ms,
                ..PlatformClientOptions::default()
            }),
            sheet: RwLock::new(Arc::new(Sheet::default())),
            limits: settings.limits.clone(),
            fleet_key: key.clone(),
        });
        let sender = PeerSender::new(PeerSenderOptions {
            counts: byte_counts.clone(),
            ..PeerSenderOptions::new(member.instance.clone(), incarnation, key)
        });
        let options = router_options::from_settings(settings);
        let router = Router::new(member, options, clock.now());
        let control_loop = ControlLoop::new(
            router,
            shared.clone(),
            messages,
            sender,
            settings.log.events_capacity,
            ControlMetrics::new(byte_counts)?,
            rng,
        );
        let mut daemon = Self {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            peers: peers.local_addr()?,
            control,
            servers: Vec::new(),
            shutdown_ms: settings.limits.shutdown_ms,
            thread: std::thread::Builder::new()
                .name("control".into())
                .spawn(move || control_loop.run())?,
        };
        daemon.listen(settings, &shared, callers, operators, peers);
        Ok(daemon)
    }

    fn listen(
        &mut self,
        settings: &Settings,
        shared: &Arc<Shared>,
        callers: TcpListener,
        operators: TcpListener,
        peers: PeerListener,
    ) {
        let (inbox, envelopes) = async_channel::bounded::<Envelope>(INBOX_CAPACITY);
        smol::spawn(peers.run(inbox)).detach();
        let control = self.control.clone();
        smol::spawn(async move {
            while let Ok(envelope) = envelopes.recv().await {
                let message = ControlMessage::Input(Input::Envelope(envelope));
                if control.send(message).await.is_err() {
                    return;
                }
            }
        })
        .detach();
        let limits = &settings.limits;
        let callers_shared = shared.clone();
        self.serve(callers, limits, move |conn| {
            front::handle(conn, callers_shared.clone())
        });
        let operators_shared = shared.clone();
        let token_digest: KeyDigest = settings.operators.token_digest;
        self.serve(operators, limits, move |conn| {
            operators::handle(conn, operators_shared.clone(), token_digest)
        });
    }

    fn serve<F, Response>(&mut self, listener: TcpListener, limits: &Limits, handler: F)
    where
        F: Fn(trillium::Conn) -> Response + Send + Sync + 'static,
        Response: Future<Output = trillium::Conn> + Send + 'static,
    {
        // No response buffer, so that chunks of a streamed response are sent immediately. The first
        // chunk also needs the padding that `front::sse` adds.
        let http = HttpConfig::default().with_response_buffer_len(0);
        let config = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_http_config(http)
            .with_max_connections(Some(limits.connections as usize))
            .with_acceptor(ConnectionTimeouts {
                idle_timeout_ms: limits.header_timeout_ms,
                request_timeout_ms: limits.header_timeout_ms + limits.sender_timeout_ms,
                write_stall_timeout_ms: limits.sender_timeout_ms,
            })
            .with_prebound_server(listener);
        self.servers.push(config.spawn(handler));
    }

    /// The bound address of the listener for callers.
    #[must_use]
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers
    }

    /// The bound address of the listener for operators.
    #[must_use]
    pub fn operators_addr(&self) -> SocketAddr {
        self.operators
    }

    /// The bound address of the listener for other routers.
    #[must_use]
    pub fn peers_addr(&self) -> SocketAddr {
        self.peers
    }

    /// Starts a graceful shutdown: the router accepts no new requests and finishes those in
    /// flight. Returns at once; [`Daemon::join`] waits for the end.
    pub fn stop(&self) {
        let _ = self.control.try_send(ControlMessage::Input(Input::Stop));
    }

    /// Waits until all requests have ended and their responses are sent, at most for
    /// `limits.shutdown_ms` of the settings, counted from this call.
    pub fn join(self) {
        let deadline = Instant::now() + Duration::from_millis(self.shutdown_ms);
        while !self.thread.is_finished() && Instant::now() < deadline {
            std::thread::sleep(JOIN_POLL_INTERVAL);
        }
        let servers = self.servers;
        let stopped = async {
            for server in &servers {
                server.stop().await;
            }
        };
        let expired = async {
            smol::Timer::at(deadline).await;
        };
        smol::block_on(stopped.or(expired));
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| DaemonError::Bind { address, error })
}
