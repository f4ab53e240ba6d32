//! Starts, runs and stops a gateway.

use std::cell::{Cell, OnceCell, RefCell};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_task::Task;
use curranttrestle::coordination::gateway::control::Control;
use curranttrestle::coordination::gateway::evacuation::EvacuationOptions;
use curranttrestle::coordination::gateway::part_quarantine::PartChange;
use curranttrestle::state::Now;
use rustix::net::sockopt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};

use crate::client_limits::ClientLimits;
use crate::clock;
use crate::connections::{ConnectionLimit, max_idle_by_descriptors};
use crate::edge::{Dialect, EntryReader, Platform};
use crate::executor::{Executors, block_on};
use crate::front;
use crate::front::body::ReceivingBodies;
use crate::log::{EventRateLimiter, LogLines};
use crate::memory::{Budget, ClientMemory, socket_buffer_bytes};
use crate::metrics::Metrics;
use crate::peers::{Peers, ProofRole};
use crate::settings::{GatewaySettings, ListingOptions, ReloadCause};
use crate::store;
use crate::strain::{StrainMonitor, WorkTotals, measure_own_delay};
use crate::timer::sleep_ms;
use crate::upstream::{HttpClient, HttpClientOptions, Pool, PoolLimits};

/// Interval for checking signals and timers and for sending to peers.
const TICK_INTERVAL_MS: u64 = 50;

/// Interval for checking whether the settings have changed.
const SETTINGS_INTERVAL_MS: u64 = 500;

/// Reads of single entries of the directory per second. All gateways share the store.
const MAX_ENTRY_READS_PER_S: u64 = 5;

/// Interval for recording the software versions in the directory.
const VERSION_INTERVAL_MS: u64 = 1_000;

/// Why a gateway did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Cannot listen on an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The events of sockets and timers are not available.
    #[error("cannot wait for events: {0}")]
    Runtime(io::Error),
    /// Signal handlers cannot be installed.
    #[error("cannot receive signals: {0}")]
    Signals(io::Error),
    /// The metrics cannot be registered.
    #[error("cannot set up metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Notifies one task. Notifications that arrive before it waits again are merged into one.
#[derive(Debug)]
pub struct Notify {
    sender: async_channel::Sender<()>,
    receiver: async_channel::Receiver<()>,
}

impl Default for Notify {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Notify {
    /// Notifies the task, or makes its next wait return at once.
    pub fn notify(&self) {
        // A full channel already holds a notification.
        let _ = self.sender.try_send(());
    }

    /// Waits for a notification; false if the channel is closed.
    pub async fn notified(&self) -> bool {
        self.receiver.recv().await.is_ok()
    }
}

/// The phases of running and stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serves requests.
    Running,
    /// Reports not ready, but still accepts connections because the load balancer may not have
    /// noticed yet.
    NotReady,
    /// Accepts no new connections and completes requests in flight.
    Draining,
}

/// State that all tasks of a gateway share.
pub struct Gateway {
    /// The settings at the start. Bounds that are reloaded later are in `control`.
    pub settings: GatewaySettings,
    /// The header conventions of the platform.
    pub dialect: Rc<dyn Dialect>,
    /// Reads single entries of the directory.
    pub entries: Rc<dyn EntryReader>,
    /// Limits the rate of these reads.
    pub entry_read_limit: RefCell<EventRateLimiter>,
    /// State and decisions of the coordination layer.
    pub control: RefCell<Control>,
    /// Connections to endpoints.
    pub pool: Rc<Pool>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The log, with the number of dropped lines.
    pub log_lines: Option<LogLines>,
    /// Limits the rate of logged refusals.
    pub refusal_log_limit: RefCell<EventRateLimiter>,
    /// Notified when a peer has a newer configuration.
    pub newer_config: Notify,
    /// Requests whose response is not complete yet.
    pub open_requests: Cell<usize>,
    /// Memory held for clients.
    pub memory: RefCell<ClientMemory>,
    /// The bodies that are being received.
    pub receiving: ReceivingBodies,
    /// The client connections.
    pub connections: RefCell<ConnectionLimit>,
    /// State of the limits on clients.
    pub client_limits: ClientLimits,
    /// The current phase.
    pub phase: Cell<Phase>,
    /// Successful requests, for sampling log lines.
    pub successes: Cell<u64>,
    /// Detects a lack of processor time or of information from peers.
    pub strain: RefCell<StrainMonitor>,
    /// How this gateway comes by proofs of freshness.
    pub proof_role: Cell<ProofRole>,
    /// Whether this gateway reads the evacuations for its peers.
    pub reads_evacuations: Cell<bool>,
    /// Whether requests with a key were allowed at the last check.
    was_fresh: Cell<bool>,
    /// When the software versions in the directory were last recorded, by the steady clock.
    versions_observed_ms: Cell<u64>,
    /// The other gateways; set once the gateway serves.
    pub peers: OnceCell<Rc<Peers>>,
    executors: Executors,
}

impl fmt::Debug for Gateway {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Gateway")
            .field("instance", &self.settings.instance)
            .finish_non_exhaustive()
    }
}

impl Gateway {
    /// The executors of this thread.
    #[must_use]
    pub fn executors(&self) -> &Executors {
        &self.executors
    }

    /// Whether the load balancer should send clients here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Running && self.control.borrow().is_ready()
    }

    fn tick(&self, now: Now) {
        self.update_client_limits(now);
        let changes = self.control.borrow_mut().directory.remove_lapsed(now);
        self.apply_directory_changes(&changes, "lapse-sweep");
        if now.since_ms(self.versions_observed_ms.get()) >= VERSION_INTERVAL_MS {
            self.versions_observed_ms.set(now.steady_ms);
            self.control.borrow_mut().observe_versions(now);
        }
        self.control.borrow_mut().pauses.remove_ended(now);
        self.check_lost_endpoints(now);
        self.log_cold_changes(now);
        self.log_freshness_change(now);
        for change in self.control.borrow_mut().prompt_parts.update(now) {
            match change {
                PartChange::Refused(part) => log::warn!("kind=prompt-part-refused part={part:x}"),
                PartChange::Allowed(part) => log::info!("kind=prompt-part-allowed part={part:x}"),
            }
        }
        if let Some(count) = self.refusal_log_limit.borrow_mut().take_suppressed(now) {
            log::warn!("kind=refusals-not-logged count={count}");
        }
    }

    /// Logs when this gateway lacks processor time or information from its peers. The last timer
    /// fired after `elapsed_ms`.
    fn log_strain(&self, peers: &Peers, elapsed_ms: u64, now: Now) {
        let mut strain = self.strain.borrow_mut();
        strain.record_tick(elapsed_ms, TICK_INTERVAL_MS);
        let shares = self.control.borrow().shares.coverage(now);
        let open_requests = self.open_requests.get();
        let directory_age_ms = self.directory_age_ms(now);
        let reports = peers.report_state();
        let totals = WorkTotals {
            task_turns: self.executors.turns(),
            processor_ms: clock::processor_ms(),
        };
        let line = strain.log_line(
            reports,
            shares,
            open_requests,
            directory_age_ms,
            totals,
            now,
        );
        if let Some(line) = line {
            log::warn!("{line}");
        }
    }

    /// Time since the store last responded with the directory or its changes; zero before that.
    #[must_use]
    pub fn directory_age_ms(&self, now: Now) -> u64 {
        let control = self.control.borrow();
        control.directory.age_ms(now).unwrap_or_default()
    }

    /// Logs when the freshness proof of the configuration becomes too old for requests with a key,
    /// and when it is renewed.
    fn log_freshness_change(&self, now: Now) {
        let control = self.control.borrow();
        let is_fresh = control.config_freshness.is_fresh(now);
        if self.was_fresh.replace(is_fresh) == is_fresh {
            return;
        }
        let revision = control.config_freshness.revision();
        let age_ms = control.config_freshness.age_ms(now).unwrap_or_default();
        if is_fresh {
            log::info!("kind=proof-renewed revision={revision} age_ms={age_ms}");
        } else {
            log::warn!("kind=proof-old revision={revision} age_ms={age_ms}");
        }
    }
}

/// Signals that have arrived and were not handled yet.
#[derive(Clone, Debug, Default)]
pub struct SignalFlags {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl SignalFlags {
    /// Installs the handlers. Until then a signal ends the process, so call this first.
    ///
    /// # Errors
    ///
    /// [`StartError::Signals`] if a handler cannot be installed.
    pub fn register() -> Result<Self, StartError> {
        let flags = Self::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&flags.stop))
                .map_err(StartError::Signals)?;
        }
        signal_hook::flag::register(SIGHUP, Arc::clone(&flags.reload))
            .map_err(StartError::Signals)?;
        Ok(flags)
    }
}

/// Runs a gateway until a signal stops it and its requests have ended.
///
/// `platform` creates the adapter's store client on the given HTTP client. `reload` reads the settings
/// again after SIGHUP and at regular checks, and returns `None` if they are invalid or have not changed.
///
/// # Errors
///
/// [`StartError`] if the gateway cannot start.
pub fn run<P: Platform + 'static>(
    settings: GatewaySettings,
    flags: SignalFlags,
    dialect: Rc<dyn Dialect>,
    log_lines: Option<LogLines>,
    platform: impl FnOnce(HttpClient) -> P,
    reload: impl FnMut(ReloadCause) -> Option<GatewaySettings> + 'static,
) -> Result<(), StartError> {
    let executors = Executors::default();
    let receive_buffer_bytes = socket_buffer_bytes(settings.resources.memory_bytes);
    let max_idle = settings
        .resources
        .descriptors
        .map(|descriptors| max_idle_by_descriptors(descriptors, &settings.connections));
    let limits = PoolLimits {
        max_idle,
        receive_buffer_bytes,
    };
    let pool = Pool::new(executors.traffic().clone(), settings.traffic, limits);
    let pool = Rc::new(pool);
    let client_options = HttpClientOptions {
        connect_timeout_ms: settings.store.timeout_ms,
        tcp_user_timeout_ms: settings.traffic.tcp_user_timeout_ms,
    };
    let client = HttpClient::new(executors.control().clone(), client_options);
    let platform = Rc::new(platform(client));
    let mut control_options = settings.control.clone();
    control_options.evacuation = settings.evacuate_ms.map(|bound_ms| EvacuationOptions {
        bound_ms,
        ..EvacuationOptions::default()
    });
    let gateway = Rc::new(Gateway {
        control: RefCell::new(Control::new(control_options)),
        metrics: Metrics::new()?,
        pool,
        dialect,
        entries: Rc::clone(&platform) as Rc<dyn EntryReader>,
        entry_read_limit: RefCell::new(EventRateLimiter::new(MAX_ENTRY_READS_PER_S)),
        log_lines,
        refusal_log_limit: RefCell::new(EventRateLimiter::new(settings.logged_refusals_per_s)),
        newer_config: Notify::default(),
        open_requests: Cell::new(0),
        memory: RefCell::new(ClientMemory::new(
            Budget::of(
                settings.resources.memory_bytes,
                0,
                &settings.memory,
                &settings.traffic,
            ),
            settings.memory,
        )),
        receiving: ReceivingBodies::default(),
        client_limits: ClientLimits::default(),
        connections: RefCell::new(ConnectionLimit::new(None, settings.connections)),
        phase: Cell::new(Phase::Running),
        successes: Cell::new(0),
        strain: RefCell::default(),
        proof_role: Cell::default(),
        reads_evacuations: Cell::new(false),
        was_fresh: Cell::new(false),
        versions_observed_ms: Cell::new(0),
        peers: OnceCell::new(),
        executors: executors.clone(),
        settings,
    });
    gateway.update_connection_limit();
    // The gateways share the retry budgets. Assume twice as many as seeds; reports from peers can
    // only raise this number.
    let assumed_size = 2 * gateway.settings.seeds.len();
    gateway
        .control
        .borrow_mut()
        .observe_fleet_size(assumed_size);
    let running = async {
        let listeners = Listeners::bind(&gateway.settings)?;
        log::info!(
            "kind=started clients={} peers={} data_centre={:?}",
            gateway.settings.client_listen,
            gateway.settings.peers,
            gateway.settings.control.data_centre
        );
        let serving = serve(gateway, listeners, platform, flags, reload);
        executors.run(serving).await;
        Ok(())
    };
    block_on(running).map_err(StartError::Runtime)?
}

/// The listening sockets of a gateway.
struct Listeners {
    clients: TcpListener,
    readiness: TcpListener,
    metrics: Option<TcpListener>,
    peers: UdpSocket,
}

impl Listeners {
    /// Binds the sockets. Runs inside [`block_on`].
    fn bind(settings: &GatewaySettings) -> Result<Self, StartError> {
        let listen = |address: SocketAddr| {
            let bound = std::net::TcpListener::bind(address).and_then(|listener| {
                listener.set_nonblocking(true)?;
                TcpListener::from_std(listener)
            });
            bound.map_err(|source| StartError::Listen { address, source })
        };
        let peers = settings.peers;
        let clients = listen(settings.client_listen)?;
        if let Some(bytes) = socket_buffer_bytes(settings.resources.memory_bytes) {
            // Accepted sockets inherit the sizes.
            let receive = sockopt::set_socket_recv_buffer_size(&clients, bytes);
            let send = sockopt::set_socket_send_buffer_size(&clients, bytes);
            if let Err(error) = receive.and(send) {
                log::warn!("kind=socket-option-failed error={:?}", error.to_string());
            }
        }
        Ok(Self {
            clients,
            readiness: listen(settings.readiness)?,
            metrics: settings.metrics.map(listen).transpose()?,
            peers: bind_udp(peers).map_err(|source| StartError::Listen {
                address: peers,
                source,
            })?,
        })
    }
}

fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

async fn serve<P: Platform + 'static>(
    gateway: Rc<Gateway>,
    listeners: Listeners,
    platform: Rc<P>,
    flags: SignalFlags,
    mut reload: impl FnMut(ReloadCause) -> Option<GatewaySettings> + 'static,
) {
    let executors = gateway.executors().clone();
    let (control, traffic) = (executors.control(), executors.traffic());
    let peers = Rc::new(Peers::new(&gateway.settings, listeners.peers));
    let peers = Rc::clone(gateway.peers.get_or_init(|| peers));
    let mut tasks = vec![
        traffic.spawn(front::status::serve(
            Rc::clone(&gateway),
            listeners.readiness,
        )),
        control.spawn(store::maintain_config(
            Rc::clone(&gateway),
            Rc::clone(&platform),
        )),
        control.spawn(store::maintain_directory(
            Rc::clone(&gateway),
            Rc::clone(&platform),
        )),
        traffic.spawn(Rc::clone(&peers).receive(Rc::clone(&gateway))),
        traffic.spawn(measure_own_delay(Rc::clone(&gateway))),
    ];
    tasks.push(control.spawn(store::maintain_gateways(
        Rc::clone(&gateway),
        Rc::clone(&platform),
        Rc::clone(&peers),
        ListingOptions::default(),
    )));
    let evacuation = gateway.control.borrow().evacuations.options();
    if let Some(options) = evacuation {
        let reading = store::maintain_evacuations(Rc::clone(&gateway), platform, options);
        tasks.push(control.spawn(reading));
    }
    if let Some(metrics) = listeners.metrics {
        tasks.push(traffic.spawn(front::status::serve(Rc::clone(&gateway), metrics)));
    }
    let clients = front::ClientConnections::new(Rc::clone(&gateway));
    let accepting = traffic.spawn(clients.clone().accept(listeners.clients));
    let mut last_tick_ms = clock::now().steady_ms;
    let mut last_check_ms = last_tick_ms;
    while !flags.stop.load(Ordering::Relaxed) {
        sleep_ms(TICK_INTERVAL_MS).await;
        let now = clock::now();
        gateway.tick(now);
        gateway.log_strain(&peers, now.since_ms(last_tick_ms), now);
        last_tick_ms = now.steady_ms;
        gateway.pool.close_expired();
        peers.send_due(&gateway, now);
        let is_signalled = flags.reload.swap(false, Ordering::Relaxed);
        if is_signalled || now.since_ms(last_check_ms) >= SETTINGS_INTERVAL_MS {
            last_check_ms = now.steady_ms;
            let cause = if is_signalled {
                ReloadCause::Signal
            } else {
                ReloadCause::Check
            };
            apply_settings(&gateway, reload(cause));
        }
    }
    shut_down(&gateway, &clients, &peers, accepting).await;
    drop(tasks);
    log::info!("kind=stopped open_requests={}", gateway.open_requests.get());
    log::logger().flush();
}

fn apply_settings(gateway: &Gateway, settings: Option<GatewaySettings>) {
    let Some(settings) = settings else {
        // Unchanged, or the reader of the settings has logged the error.
        return;
    };
    let (freshness, retries) = settings.bounds();
    gateway.control.borrow_mut().set_bounds(freshness, retries);
    log::info!(
        "kind=settings-reloaded revoke_ms={} repeat_ratio={}",
        freshness.revoke_ms,
        retries.ratio
    );
}

/// Stops gracefully: waits until the load balancer has noticed that the gateway is not ready,
/// then completes requests in flight.
async fn shut_down(
    gateway: &Rc<Gateway>,
    clients: &front::ClientConnections,
    peers: &Peers,
    accepting: Task<()>,
) {
    let options = gateway.settings.stop;
    let started_ms = clock::now().steady_ms;
    gateway.phase.set(Phase::NotReady);
    log::info!(
        "kind=stopping open_requests={} grace_ms={}",
        gateway.open_requests.get(),
        options.grace_ms
    );
    let mut accepting = Some(accepting);
    loop {
        sleep_ms(TICK_INTERVAL_MS).await;
        let now = clock::now();
        gateway.tick(now);
        peers.send_due(gateway, now);
        let elapsed_ms = now.since_ms(started_ms);
        if elapsed_ms >= options.accept_ms
            && let Some(accepting) = accepting.take()
        {
            accepting.cancel().await;
            gateway.phase.set(Phase::Draining);
            clients.close_idle();
        }
        let is_done = accepting.is_none() && clients.open_count() == 0;
        if is_done || elapsed_ms >= options.grace_ms {
            return;
        }
    }
}
