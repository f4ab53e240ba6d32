//! Starts, runs and stops a gateway.

use std::cell::{Cell, OnceCell, RefCell};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use curranttrestle::coordination::gateway::control::Control;
use curranttrestle::coordination::gateway::evacuation::EvacuationOptions;
use curranttrestle::coordination::gateway::part_quarantine::PartChange;
use curranttrestle::state::Now;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use thiserror::Error;

use crate::client_limits::ClientLimits;
use crate::clock;
use crate::connections::{ConnectionLimit, max_idle_by_descriptors};
use crate::edge::{Dialect, Platform};
use crate::executor::{Executors, block_on};
use crate::front;
use crate::front::body::ReceivingBodies;
use crate::listeners::Listeners;
use crate::log::{EventRateLimiter, LogLines};
use crate::memory::{Budget, ClientMemory, socket_buffer_bytes};
use crate::metrics::Metrics;
use crate::peers::{Peers, ProofRole};
use crate::reload::SettingsCheck;
use crate::settings::{Bounds, GatewaySettings, ListingOptions, ReloadCause};
use crate::shutdown::shut_down;
use crate::store::{self, VersionReads};
use crate::strain::{StrainMonitor, WorkTotals, measure_own_delay};
use crate::timer::sleep_ms;
use crate::upstream::{HttpClient, HttpClientOptions, Pool, PoolLimits};

/// Interval for checking signals and timers and for sending to peers.
pub(crate) const TICK_INTERVAL_MS: u64 = 50;

/// Time in which a gateway finds its peers, if some of them are running.
const PEER_DISCOVERY_MS: u64 = 4_000;

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
    Draining {
        /// When the process exits at the latest, by the steady clock.
        exit_ms: u64,
    },
}

impl Phase {
    /// Whether a request may be sent to an endpoint that has until `deadline_ms` to finish, by the
    /// steady clock. In the first two phases clients still come, and most requests end far earlier.
    ///
    /// ```
    /// use curranttrestle_gateway::gateway::Phase;
    /// let draining = Phase::Draining { exit_ms: 5_000 };
    /// assert!(draining.allows(5_000) && !draining.allows(5_001));
    /// assert!(Phase::NotReady.allows(5_001));
    /// ```
    #[must_use]
    pub fn allows(self, deadline_ms: u64) -> bool {
        match self {
            Self::Running | Self::NotReady => true,
            Self::Draining { exit_ms } => deadline_ms <= exit_ms,
        }
    }
}

/// State that all tasks of a gateway share.
pub struct Gateway {
    /// The settings at the start. Those that may change later are read from [`Gateway::bounds`].
    pub settings: GatewaySettings,
    bounds: Cell<Bounds>,
    /// The header conventions of the platform.
    pub dialect: Rc<dyn Dialect>,
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
    /// Reads of the record of software versions.
    pub version_reads: VersionReads,
    /// The current phase.
    pub phase: Cell<Phase>,
    /// When the gateway started, by the steady clock.
    started_ms: u64,
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

    /// The bounds in force.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Changes the bounds in force. A call or wait that is under way ends by the previous ones.
    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        let mut control = self.control.borrow_mut();
        control.set_bounds(bounds.freshness, bounds.retries);
        self.bounds.set(bounds);
        log::info!(
            "kind=settings-reloaded revoke_ms={} repeat_ratio={} grace_ms={} config_interval_ms={} watch_interval_ms={}",
            bounds.freshness.revoke_ms,
            bounds.retries.ratio,
            bounds.stop.grace_ms,
            bounds.store.max_config_interval_ms,
            bounds.store.max_watch_interval_ms
        );
    }

    /// Whether the load balancer should send clients here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Running && self.control.borrow().is_ready()
    }

    /// Time since the gateway started.
    #[must_use]
    pub fn running_ms(&self, now: Now) -> u64 {
        now.since_ms(self.started_ms)
    }

    /// Whether the gateway started so recently that it may not have found its peers yet.
    #[must_use]
    pub fn is_finding_peers(&self, now: Now) -> bool {
        let mut seeds = self.settings.seeds.iter();
        seeds.any(|seed| *seed != self.settings.peers) && self.running_ms(now) < PEER_DISCOVERY_MS
    }

    /// Does what is due at regular intervals.
    pub(crate) fn tick(&self, now: Now) {
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
    pub(crate) stop: Arc<AtomicBool>,
    pub(crate) reload: Arc<AtomicBool>,
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
        connect_timeout_ms: settings.store.connect_timeout_ms,
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
        version_reads: VersionReads::default(),
        phase: Cell::new(Phase::Running),
        started_ms: clock::now().steady_ms,
        successes: Cell::new(0),
        strain: RefCell::default(),
        proof_role: Cell::default(),
        reads_evacuations: Cell::new(false),
        was_fresh: Cell::new(false),
        versions_observed_ms: Cell::new(0),
        peers: OnceCell::new(),
        executors: executors.clone(),
        bounds: Cell::new(settings.bounds()),
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

async fn serve<P: Platform + 'static>(
    gateway: Rc<Gateway>,
    listeners: Listeners,
    platform: Rc<P>,
    flags: SignalFlags,
    reload: impl FnMut(ReloadCause) -> Option<GatewaySettings> + 'static,
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
    tasks.push(control.spawn(store::maintain_versions(
        Rc::clone(&gateway),
        Rc::clone(&platform),
        Rc::clone(&peers),
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
    let started = clock::now();
    let mut last_tick_ms = started.steady_ms;
    let mut settings = SettingsCheck::new(flags, reload, started);
    while !settings.must_stop() {
        settings.update(&gateway, clock::now());
        sleep_ms(TICK_INTERVAL_MS).await;
        let now = clock::now();
        gateway.tick(now);
        gateway.log_strain(&peers, now.since_ms(last_tick_ms), now);
        last_tick_ms = now.steady_ms;
        gateway.pool.close_expired();
        peers.send_due(&gateway, now);
    }
    shut_down(&gateway, &clients, &peers, accepting, settings).await;
    drop(tasks);
    log::info!("kind=stopped open_requests={}", gateway.open_requests.get());
    log::logger().flush();
}
