//! A stand-in for the platform: versioned objects, conditional updates, watches, a lagging
//! instance list, rate limits and outages.

mod handlers;
mod instances;
mod rates;
mod store;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::server::{Handle, Reply, Request, Result, ServerControl, StandIn};
use crate::server::{ListenOptions, milliseconds};
use curranttrestle::protocol::platform::{InstanceStatus, Object};
use instances::Instances;
use rates::Rates;
pub use rates::{CallCounts, SecondCounts};
use store::Store;

/// Options of a platform stand-in.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Address to serve on; port 0 lets the system choose.
    pub address: SocketAddr,
    /// Address for fault injection and the ground truth.
    pub admin_address: SocketAddr,
    /// Delay before a change to the instance list becomes visible.
    pub instance_lag_ms: u64,
    /// Maximum number of writes per second.
    pub writes_per_s: u32,
    /// Maximum number of reads per second. A watch counts as one read.
    pub reads_per_s: u32,
    /// How long a watch waits for a change.
    pub watch_wait_ms: u64,
    /// Latency added to each call.
    pub delay_ms: u64,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            address: any_port,
            admin_address: any_port,
            instance_lag_ms: 1_000,
            writes_per_s: 500,
            reads_per_s: 2_000,
            watch_wait_ms: 10_000,
            delay_ms: 2,
        }
    }
}

/// How an outage appears to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Every call fails with status 503.
    Unavailable,
    /// Every connection is closed without a response. No call takes effect.
    Closed,
}

/// A fault that can be injected into a platform stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum PlatformFault {
    /// Ends outage, slowness, freeze and lost responses. The instance lag stays as it is.
    Heal,
    /// Starts an outage.
    Outage {
        /// How it appears to callers.
        outage: Outage,
    },
    /// Adds latency to each call.
    Slow {
        /// The added latency.
        delay_ms: u64,
    },
    /// The next updates and removals take effect, but their connections are closed without a
    /// response.
    LoseAnswers {
        /// The number of updates and removals.
        count: u32,
    },
    /// Freezes all connections, like a paused process.
    Freeze,
    /// Silences the open connections permanently. New connections work.
    SilenceConnections,
    /// Changes the delay before a change to the instance list becomes visible.
    InstanceLag {
        /// The delay.
        lag_ms: u64,
    },
}

/// An outage, in time since the start of the stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageSpan {
    /// Start of the outage.
    pub began_ms: u64,
    /// End of the outage; none while it lasts.
    pub ended_ms: Option<u64>,
}

/// Ground truth of a platform stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformTruth {
    /// Counts of all calls.
    pub total: CallCounts,
    /// Counts of the calls in each second that had any. At least the last 3,600 such seconds are
    /// retained.
    pub by_second: Vec<SecondCounts>,
    /// All outages.
    pub outages: Vec<OutageSpan>,
    /// Number of updates and removals that took effect.
    pub effects: u64,
    /// Number of responses lost after the call took effect.
    pub answers_lost: u64,
    /// Number of stored objects.
    pub objects: u64,
    /// Number of watches waiting now.
    pub waiting_watches: u64,
}

/// A running platform stand-in.
pub type PlatformHandle = Handle<Platform>;

/// A platform stand-in.
#[derive(Debug)]
pub struct Platform {
    options: PlatformOptions,
    control: Arc<ServerControl>,
    started: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    store: Store,
    instances: Instances,
    rates: Rates,
    faults: Faults,
    outages: Vec<OutageSpan>,
    effects: u64,
    answers_lost: u64,
    waiting_watches: u64,
}

/// The active faults.
#[derive(Clone, Copy, Debug)]
struct Faults {
    outage: Option<Outage>,
    delay_ms: u64,
    responses_to_lose: u32,
    instance_lag_ms: u64,
}

/// Starts a platform stand-in.
///
/// ```
/// use curranttrestle_standins::platform::{PlatformOptions, start};
/// let platform = start(PlatformOptions::default()).unwrap();
/// assert_ne!(platform.address().port(), 0);
/// platform.stop();
/// ```
///
/// # Errors
///
/// Returns an error when an address cannot be bound or a thread cannot be started.
pub fn start(options: PlatformOptions) -> Result<PlatformHandle> {
    let listen = ListenOptions {
        name: "platform",
        address: options.address,
        admin_address: options.admin_address,
    };
    Handle::start(&listen, |control, _reopen| Platform::new(options, control))
}

impl Platform {
    fn new(options: PlatformOptions, control: Arc<ServerControl>) -> Self {
        let faults = Faults {
            outage: None,
            delay_ms: 0,
            responses_to_lose: 0,
            instance_lag_ms: options.instance_lag_ms,
        };
        let state = State {
            store: Store::default(),
            instances: Instances::default(),
            rates: Rates::new(options.reads_per_s, options.writes_per_s),
            faults,
            outages: Vec::new(),
            effects: 0,
            answers_lost: 0,
            waiting_watches: 0,
        };
        Self {
            options,
            control,
            started: Instant::now(),
            state: Mutex::new(state),
        }
    }

    /// Reads an object, without counting it as a call.
    #[must_use]
    pub fn object(&self, name: &str) -> Option<Object> {
        self.state().store.read(name).cloned()
    }

    /// Lists the names of all objects, without counting it as a call.
    #[must_use]
    pub fn object_names(&self) -> Vec<String> {
        self.state().store.names("")
    }

    /// Adds or replaces an instance. The change becomes visible after the instance lag.
    pub fn put_instance(&self, status: InstanceStatus) {
        let now_ms = self.now_ms();
        self.state()
            .instances
            .put(now_ms, status.name.clone(), Some(status));
    }

    /// Removes an instance. It stays visible until the instance lag has passed.
    pub fn remove_instance(&self, name: &str) {
        let now_ms = self.now_ms();
        self.state().instances.put(now_ms, name.to_owned(), None);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Milliseconds since the stand-in started.
    fn now_ms(&self) -> u64 {
        milliseconds(self.started.elapsed())
    }
}

impl StandIn for Platform {
    type Fault = PlatformFault;
    type Truth = PlatformTruth;

    async fn handle(self: &Arc<Self>, request: Request) -> Reply {
        handlers::handle(self, request).await
    }

    fn inject(self: &Arc<Self>, fault: PlatformFault) {
        log::info!("event=platform-fault fault={fault:?}");
        match fault {
            PlatformFault::Heal => self.heal(),
            PlatformFault::Outage { outage } => self.begin_outage(outage),
            PlatformFault::Slow { delay_ms } => self.state().faults.delay_ms = delay_ms,
            PlatformFault::LoseAnswers { count } => self.state().faults.responses_to_lose = count,
            PlatformFault::Freeze => self.control.set_frozen(true),
            PlatformFault::SilenceConnections => self.control.silence_connections(),
            PlatformFault::InstanceLag { lag_ms } => {
                self.state().faults.instance_lag_ms = lag_ms;
            }
        }
    }

    fn truth(&self) -> PlatformTruth {
        let state = self.state();
        PlatformTruth {
            total: state.rates.total(),
            by_second: state.rates.by_second(),
            outages: state.outages.clone(),
            effects: state.effects,
            answers_lost: state.answers_lost,
            objects: state.store.len() as u64,
            waiting_watches: state.waiting_watches,
        }
    }
}

impl Platform {
    fn begin_outage(&self, outage: Outage) {
        let began_ms = self.now_ms();
        let mut state = self.state();
        state.faults.outage = Some(outage);
        state.outages.push(OutageSpan {
            began_ms,
            ended_ms: None,
        });
        drop(state);
        if outage == Outage::Closed {
            self.control.close_connections();
        }
    }

    fn heal(&self) {
        let ended_ms = self.now_ms();
        let mut state = self.state();
        if let Some(outage) = state.outages.last_mut() {
            outage.ended_ms.get_or_insert(ended_ms);
        }
        state.faults.outage = None;
        state.faults.delay_ms = 0;
        state.faults.responses_to_lose = 0;
        drop(state);
        self.control.set_frozen(false);
    }
}
