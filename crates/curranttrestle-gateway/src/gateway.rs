//! Starts a gateway and stops it.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use curranttrestle::coordination::gateway::control::Control;
use curranttrestle::coordination::gateway::directory::DirectoryChange;
use curranttrestle::state::Now;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use smol::{Async, LocalExecutor};
use thiserror::Error;

use crate::clock;
use crate::edge::{Dialect, Platform};
use crate::front;
use crate::log::{EventRate, LogLines};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::settings::GatewaySettings;
use crate::store;
use crate::timer::sleep_ms;
use crate::upstream::Pool;

/// The time between two looks at signals, timers and peers.
const TICK_MS: u64 = 50;

/// Why a gateway did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be listened at.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(std::io::Error),
    /// The metrics cannot be set up.
    #[error("cannot set up metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Wakes one task. Hints that come while it is busy count once.
#[derive(Debug)]
pub struct Hint {
    sender: async_channel::Sender<()>,
    receiver: async_channel::Receiver<()>,
}

impl Default for Hint {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Hint {
    /// Wakes the task, now or when it waits next.
    pub fn tell(&self) {
        // A full channel holds a hint that was not taken yet.
        let _ = self.sender.try_send(());
    }

    /// Waits for a hint; true once it came.
    pub async fn is_told(&self) -> bool {
        self.receiver.recv().await.is_ok()
    }
}

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Requests are served.
    Running,
    /// No longer ready; the balancer has not noticed yet.
    Leaving,
    /// No new connections; what runs is finished.
    Finishing,
}

/// What all tasks of a gateway share.
pub struct Gateway {
    /// The settings at the start; bounds that change later are in `control`.
    pub settings: GatewaySettings,
    /// The platform's names.
    pub dialect: Rc<dyn Dialect>,
    /// The decisions.
    pub control: RefCell<Control>,
    /// Connections to endpoints.
    pub pool: Rc<Pool>,
    /// Counters.
    pub metrics: Metrics,
    /// Log lines that were lost.
    pub log_lines: Option<LogLines>,
    /// Which refusals are logged.
    pub refusals: RefCell<EventRate>,
    /// Tells that a peer knows a newer configuration.
    pub newer_config: Hint,
    /// Requests without a complete answer.
    pub open_requests: Cell<usize>,
    /// Memory of the bodies of open requests.
    pub body_bytes: Cell<usize>,
    /// How far a stop has come.
    pub phase: Cell<Phase>,
    /// Requests answered, for sampling lines.
    pub answered: Cell<u64>,
    /// Whether requests with a key passed at the last look.
    is_fresh: Cell<bool>,
    executor: Rc<LocalExecutor<'static>>,
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
    /// The executor of this thread.
    #[must_use]
    pub fn executor(&self) -> &Rc<LocalExecutor<'static>> {
        &self.executor
    }

    /// Whether clients should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Running && self.control.borrow().is_ready()
    }

    /// Logs changes of the directory and applies them.
    pub fn directory_changed(&self, changes: &[DirectoryChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let (what, endpoint) = match change {
                DirectoryChange::Joined(endpoint) => ("joined", endpoint),
                DirectoryChange::Leaving(endpoint) => ("leaving", endpoint),
                DirectoryChange::Gone(endpoint) => ("gone", endpoint),
                DirectoryChange::Restarted(endpoint) => ("restarted", endpoint),
            };
            log::info!("kind=endpoint-{what} endpoint={endpoint} source={source}");
            self.metrics
                .directory_changes
                .with_label_values(&[what])
                .inc();
        }
        self.control.borrow_mut().directory_changed(changes);
    }

    fn tick(&self, now: Now) {
        let changes = self.control.borrow_mut().directory.sweep(now);
        self.directory_changed(&changes, "lapse-sweep");
        self.note_freshness(now);
        if let Some(count) = self.refusals.borrow_mut().take_left_out(now) {
            log::warn!("kind=refusals-not-logged count={count}");
        }
    }

    /// Logs when the proof that the configuration is the newest one grows too old for
    /// requests with a key, and when it is renewed.
    fn note_freshness(&self, now: Now) {
        let control = self.control.borrow();
        let is_fresh = control.freshness.is_fresh(now);
        if self.is_fresh.replace(is_fresh) == is_fresh {
            return;
        }
        let revision = control.freshness.revision();
        let age_ms = control.freshness.age_ms(now).unwrap_or_default();
        if is_fresh {
            log::info!("kind=proof-renewed revision={revision} age_ms={age_ms}");
        } else {
            log::warn!("kind=proof-old revision={revision} age_ms={age_ms}");
        }
    }
}

/// Signals that arrived and were not acted on yet.
#[derive(Clone, Debug, Default)]
struct SignalFlags {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl SignalFlags {
    fn register() -> Result<Self, StartError> {
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

/// Runs a gateway until it is told to stop and has finished its work.
///
/// `platform` makes the adapter's client of the store over the given connections; `reload`
/// reads the settings again when they may have changed, and returns none when they are bad.
///
/// # Errors
///
/// [`StartError`] when it cannot start.
pub fn run<P: Platform + 'static>(
    settings: GatewaySettings,
    dialect: Rc<dyn Dialect>,
    log_lines: Option<LogLines>,
    platform: impl FnOnce(Rc<Pool>) -> P,
    reload: impl Fn() -> Option<GatewaySettings> + 'static,
) -> Result<(), StartError> {
    let flags = SignalFlags::register()?;
    let executor = Rc::new(LocalExecutor::new());
    let pool = Rc::new(Pool::new(Rc::clone(&executor), settings.traffic));
    let platform = Rc::new(platform(Rc::clone(&pool)));
    let gateway = Rc::new(Gateway {
        control: RefCell::new(Control::new(settings.control.clone())),
        metrics: Metrics::new()?,
        pool,
        dialect,
        log_lines,
        refusals: RefCell::new(EventRate::new(settings.logged_refusals_per_s)),
        newer_config: Hint::default(),
        open_requests: Cell::new(0),
        body_bytes: Cell::new(0),
        phase: Cell::new(Phase::Running),
        answered: Cell::new(0),
        is_fresh: Cell::new(false),
        executor: Rc::clone(&executor),
        settings,
    });
    // Until others are heard, there are at least as many as the seeds, and as many again.
    let assumed = 2 * gateway.settings.seeds.len();
    gateway.control.borrow_mut().fleet_seen(assumed);
    let listeners = Listeners::bind(&gateway.settings)?;
    log::info!(
        "kind=started clients={} peers={} data_centre={:?}",
        gateway.settings.clients,
        gateway.settings.peers,
        gateway.settings.control.data_centre
    );
    smol::block_on(executor.run(serve(gateway, listeners, platform, flags, reload)));
    Ok(())
}

/// The sockets of a gateway.
struct Listeners {
    clients: Async<std::net::TcpListener>,
    readiness: Async<std::net::TcpListener>,
    metrics: Option<Async<std::net::TcpListener>>,
    peers: Async<UdpSocket>,
}

impl Listeners {
    fn bind(settings: &GatewaySettings) -> Result<Self, StartError> {
        let listen = |address: SocketAddr| {
            Async::<std::net::TcpListener>::bind(address)
                .map_err(|source| StartError::Listen { address, source })
        };
        let peers = settings.peers;
        Ok(Self {
            clients: listen(settings.clients)?,
            readiness: listen(settings.readiness)?,
            metrics: settings.metrics.map(listen).transpose()?,
            peers: Async::<UdpSocket>::bind(peers).map_err(|source| StartError::Listen {
                address: peers,
                source,
            })?,
        })
    }
}

async fn serve<P: Platform + 'static>(
    gateway: Rc<Gateway>,
    listeners: Listeners,
    platform: Rc<P>,
    flags: SignalFlags,
    reload: impl Fn() -> Option<GatewaySettings> + 'static,
) {
    let executor = Rc::clone(gateway.executor());
    let peers = Rc::new(Peers::new(&gateway.settings, listeners.peers));
    let mut tasks = vec![
        executor.spawn(front::status::serve(
            Rc::clone(&gateway),
            listeners.readiness,
        )),
        executor.spawn(store::keep_config(
            Rc::clone(&gateway),
            Rc::clone(&platform),
        )),
        executor.spawn(store::keep_endpoints(Rc::clone(&gateway), platform)),
        executor.spawn(Rc::clone(&peers).receive(Rc::clone(&gateway))),
    ];
    if let Some(metrics) = listeners.metrics {
        tasks.push(executor.spawn(front::status::serve(Rc::clone(&gateway), metrics)));
    }
    let clients = front::Clients::new(Rc::clone(&gateway));
    let accepting = executor.spawn(clients.clone().accept(listeners.clients));
    while !flags.stop.load(Ordering::Relaxed) {
        sleep_ms(TICK_MS).await;
        let now = clock::now();
        gateway.tick(now);
        gateway.pool.sweep();
        peers.send_due(&gateway, now);
        if flags.reload.swap(false, Ordering::Relaxed) {
            apply_settings(&gateway, reload());
        }
    }
    finish(&gateway, &clients, &peers, accepting).await;
    drop(tasks);
    log::info!("kind=stopped open_requests={}", gateway.open_requests.get());
    log::logger().flush();
}

fn apply_settings(gateway: &Gateway, settings: Option<GatewaySettings>) {
    let Some(settings) = settings else {
        // The reader has logged why.
        return;
    };
    let (freshness, repeats) = settings.bounds();
    gateway.control.borrow_mut().set_bounds(freshness, repeats);
    log::info!(
        "kind=settings-reloaded revoke_ms={} repeat_ratio={}",
        freshness.revoke_ms,
        repeats.ratio
    );
}

/// Stops gracefully: first the balancer looks away, then what runs is finished.
async fn finish(
    gateway: &Rc<Gateway>,
    clients: &front::Clients,
    peers: &Peers,
    accepting: smol::Task<()>,
) {
    let options = gateway.settings.stop;
    let begun_ms = clock::now().steady_ms;
    gateway.phase.set(Phase::Leaving);
    log::info!(
        "kind=stopping open_requests={} grace_ms={}",
        gateway.open_requests.get(),
        options.grace_ms
    );
    let mut accepting = Some(accepting);
    loop {
        sleep_ms(TICK_MS).await;
        let now = clock::now();
        gateway.tick(now);
        peers.send_due(gateway, now);
        let elapsed_ms = now.since_ms(begun_ms);
        if elapsed_ms >= options.accept_ms
            && let Some(accepting) = accepting.take()
        {
            accepting.cancel().await;
            gateway.phase.set(Phase::Finishing);
            clients.close_unused();
        }
        let is_done = accepting.is_none() && clients.open() == 0;
        if is_done || elapsed_ms >= options.grace_ms {
            return;
        }
    }
}
