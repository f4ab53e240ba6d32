//! The settings of a router and their defaults.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use indexmap::IndexMap;
use log::LevelFilter;

use crate::state::sheet::KeyDigest;
use crate::state::{DataCentreId, InstanceId};

/// A loopback address with port zero, for which the operating system chooses a free port.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A string that must not be logged. Its `Debug` output hides the content.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret string.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns the secret in clear text.
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
    /// The identity of this router.
    pub instance: Instance,
    /// The addresses that it listens on.
    pub listen: Listen,
    /// Calls to the platform's store.
    pub platform: Platform,
    /// The fleet and how to join it.
    pub fleet: Fleet,
    /// Authentication of operators.
    pub operators: Operators,
    /// Limits on callers and on requests.
    pub limits: Limits,
    /// Intervals and timeouts between routers.
    pub timing: Timing,
    /// Scheduling of requests.
    pub policy: Policy,
    /// Logs and events.
    pub log: Log,
    /// The threads of the process.
    pub threads: Threads,
}

/// The identity of a router.
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

/// The addresses that a router listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// The listener for callers.
    pub callers: SocketAddr,
    /// The listener for operators.
    pub operators: SocketAddr,
    /// The listener for other routers. This address is announced to them.
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
    /// The address of the platform's object API.
    pub address: SocketAddr,
    /// The maximum number of calls per second from this router.
    pub calls_per_second: u32,
    /// The maximum number of calls per second from all routers together. Each router uses an equal
    /// part.
    pub fleet_calls_per_second: u32,
    /// The timeout of a call, except for watches.
    pub timeout_ms: u64,
    /// The timeout of a watch. It must exceed the time after which the platform ends a watch.
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
    /// The shared secret of all routers in the fleet.
    pub key: Secret,
    /// Addresses of the peer listeners of some routers, contacted to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Addresses to use for routers instead of those that they announce, for example where a
    /// gateway forwards ports between data centres.
    pub via: IndexMap<InstanceId, SocketAddr>,
}

/// Authentication of operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operators {
    /// The SHA-256 digest of the token that operators present.
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
    /// The maximum size of a request body.
    pub body_bytes: usize,
    /// How long a connection may be idle before a request begins. A request must be complete within
    /// the sum of this and `sender_timeout_ms`.
    pub header_timeout_ms: u64,
    /// The timeout for receiving the body of a request after its head. Also how long a caller may
    /// read nothing of a response that waits to be sent.
    pub sender_timeout_ms: u64,
    /// The maximum number of concurrent connections from callers.
    pub connections: u32,
    /// The maximum number of waiting requests of a customer for which the sheet sets no limit.
    pub queue_per_customer: u32,
    /// The deadline of a request whose caller sets none, and the longest deadline that a caller
    /// may set. It covers both waiting and running.
    pub deadline_ms: u64,
    /// How long a graceful shutdown waits for requests in flight.
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
    /// How long a router may be silent after a probe before it becomes suspect.
    pub suspect_after_ms: u64,
    /// How long a suspect router has to refute the suspicion before it is declared dead.
    pub dead_after_ms: u64,
    /// The duration of a slot lease that is not renewed.
    pub lease_ms: u64,
    /// The interval between reports of the service provided to each customer.
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

/// Scheduling of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How requests are ordered and endpoints are chosen.
    pub kind: PolicyKind,
    /// Whether a slow idempotent request may be hedged with a second attempt.
    pub hedging: bool,
    /// How load reports from endpoints are used.
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

/// How requests are ordered and endpoints are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum PolicyKind {
    /// Fair shares across the whole fleet.
    #[default]
    Fair,
    /// First come, first served, with round-robin over the endpoints. A baseline for comparison.
    Naive,
}

/// How load reports from endpoints are used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LoadReports {
    /// A report replaces the router's own count only if both list the same attempts.
    #[default]
    Reconcile,
    /// A report always replaces the router's own count.
    Trust,
    /// Reports are ignored.
    Ignore,
}

/// Logs and events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// The most verbose level that is logged.
    pub level: LevelFilter,
    /// The maximum number of events buffered for the timeline.
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
    /// The number of threads that carry traffic, in addition to the control thread.
    pub traffic: u32,
}

impl Default for Threads {
    fn default() -> Self {
        Self { traffic: 2 }
    }
}
