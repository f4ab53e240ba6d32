//! The settings as values, with their defaults.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use indexmap::IndexMap;
use log::LevelFilter;

use crate::state::sheet::KeyDigest;
use crate::state::{DataCentreId, InstanceId};

/// An address of the loopback interface whose port the operating system chooses.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A text that must not reach logs. Its debug form hides it.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// The text itself.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

/// All settings of one router.
///
/// ```
/// use curranttrestle::state::settings::{Limits, Settings};
/// let settings = Settings {
///     limits: Limits { connections: 10, ..Limits::default() },
///     ..Settings::default()
/// };
/// assert_eq!(settings.limits.body_bytes, 1024 * 1024);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Who this router is.
    pub instance: Instance,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's store.
    pub platform: Platform,
    /// The other routers.
    pub fleet: Fleet,
    /// Access of operators.
    pub operators: Operators,
    /// Limits on callers and on requests.
    pub limits: Limits,
    /// Intervals and timeouts between routers.
    pub timing: Timing,
    /// How requests are shared out.
    pub policy: Policy,
    /// Logs and events.
    pub log: Log,
    /// The threads of the process.
    pub threads: Threads,
}

/// Who a router is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name, unique in the fleet.
    pub name: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
}

impl Default for Instance {
    fn default() -> Self {
        Self {
            name: InstanceId::new("router"),
            data_centre: DataCentreId::new("local"),
        }
    }
}

/// Where a router listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// The listener of callers.
    pub callers: SocketAddr,
    /// The listener of operators.
    pub operators: SocketAddr,
    /// The listener of other routers, who are told this address.
    pub peers: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            callers: ANY_LOOPBACK_PORT,
            operators: ANY_LOOPBACK_PORT,
            peers: ANY_LOOPBACK_PORT,
        }
    }
}

/// How a router calls the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The address of the object API.
    pub address: SocketAddr,
    /// The most calls that this router makes in a second.
    pub calls_per_second: u32,
    /// The most calls that all routers together make in a second; each takes its part.
    pub fleet_calls_per_second: u32,
    /// How long an answer may take, watches excepted.
    pub timeout_ms: u64,
    /// How long a watch waits for news.
    pub watch_timeout_ms: u64,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            address: ANY_LOOPBACK_PORT,
            calls_per_second: 20,
            fleet_calls_per_second: 1_000,
            timeout_ms: 1_000,
            watch_timeout_ms: 20_000,
        }
    }
}

/// The fleet a router belongs to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// The secret that all routers of the fleet share.
    pub key: Secret,
    /// Addresses of the peer listeners of some routers, to join through.
    pub seeds: Vec<SocketAddr>,
    /// Addresses at which routers are reached from here in place of those that they
    /// announce, as where a gateway forwards ports between data centres.
    pub via: IndexMap<InstanceId, SocketAddr>,
}

/// Access of operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operators {
    /// The digest of the token that operators present.
    pub token_digest: KeyDigest,
}

impl Default for Operators {
    fn default() -> Self {
        // No known token has this digest.
        Self {
            token_digest: KeyDigest([0; 32]),
        }
    }
}

/// Limits on callers and on requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest body of a request.
    pub body_bytes: usize,
    /// How long a caller may take to send the head of a request.
    pub header_timeout_ms: u64,
    /// How long a caller may take to send a whole request.
    pub sender_timeout_ms: u64,
    /// The most connections of callers at once.
    pub connections: u32,
    /// How many requests of a customer may wait when the sheet gives no limit.
    pub queue_per_customer: u32,
    /// How long a request may wait and run when its caller sets no deadline, and the most
    /// that a caller may set.
    pub deadline_ms: u64,
    /// How long a graceful shutdown waits for requests in progress.
    pub shutdown_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            header_timeout_ms: 10_000,
            sender_timeout_ms: 10_000,
            connections: 2_000,
            queue_per_customer: 200,
            deadline_ms: 60_000,
            shutdown_ms: 600_000,
        }
    }
}

/// Intervals and timeouts between routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The interval between heartbeats.
    pub heartbeat_interval_ms: u64,
    /// How long a router is silent before it is suspected.
    pub suspect_after_ms: u64,
    /// How long a router is silent before it counts as dead.
    pub dead_after_ms: u64,
    /// How long a slot lease lasts without renewal.
    pub lease_ms: u64,
    /// The interval between reports of service given.
    pub service_round_ms: u64,
    /// The interval between load reports of an endpoint.
    pub load_report_interval_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: 500,
            suspect_after_ms: 1_500,
            dead_after_ms: 3_000,
            lease_ms: 2_500,
            service_round_ms: 250,
            load_report_interval_ms: 500,
        }
    }
}

/// How requests are shared out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// The order of requests and the choice of endpoints.
    pub kind: PolicyKind,
    /// Whether a slow idempotent request may get a second attempt beside the first.
    pub hedging: bool,
    /// What a load report of an endpoint counts for.
    pub load_reports: LoadReports,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            kind: PolicyKind::Fair,
            hedging: true,
            load_reports: LoadReports::Reconcile,
        }
    }
}

/// The order of requests and the choice of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum PolicyKind {
    /// Fair shares over the whole fleet.
    #[default]
    Fair,
    /// First come, first served, to the endpoints in turn; for comparison.
    Naive,
}

/// What a load report of an endpoint counts for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LoadReports {
    /// A report replaces the router's own count only when both name the same attempts.
    #[default]
    Reconcile,
    /// A report always replaces the router's own count.
    Trust,
    /// Reports are not read.
    Ignore,
}

/// Logs and events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// The least severe level that is logged.
    pub level: LevelFilter,
    /// How many events are held for the time line.
    pub events_capacity: usize,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            events_capacity: 4_096,
        }
    }
}

/// The threads of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Threads {
    /// How many threads carry traffic, beside the one that decides.
    pub traffic: u32,
}

impl Default for Threads {
    fn default() -> Self {
        Self { traffic: 2 }
    }
}
