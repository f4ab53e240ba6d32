//! The settings of a gateway.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use curranttrestle::coordination::gateway::control::{ControlOptions, FleetRetryOptions};
use curranttrestle::coordination::gateway::freshness::FreshnessOptions;
use curranttrestle::coordination::gateway::load_relay::RelayOptions;
use curranttrestle::coordination::gateway::peering::PeeringOptions;

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The name of this instance.
    pub instance: String,
    /// Address for clients.
    pub client_listen: SocketAddr,
    /// Address where the load balancer checks readiness.
    pub readiness: SocketAddr,
    /// Path of the readiness check.
    pub readiness_path: String,
    /// Address of the metrics; `None` if they are not served.
    pub metrics: Option<SocketAddr>,
    /// Address for messages from other gateways.
    pub peers: SocketAddr,
    /// Gateways to contact first.
    pub seeds: Vec<SocketAddr>,
    /// What the instance has.
    pub resources: InstanceResources,
    /// How the memory of the instance is divided.
    pub memory: MemoryOptions,
    /// How the descriptors of the instance are divided.
    pub connections: ConnectionOptions,
    /// Maximum time until an evacuation of a data centre takes effect; `None` if evacuations are not
    /// read.
    pub evacuate_ms: Option<u64>,
    /// Options of the coordination layer.
    pub control: ControlOptions,
    /// Options of the calls to the store.
    pub store: StoreOptions,
    /// Options of the reports between gateways.
    pub reports: PeeringOptions,
    /// Options of relaying load updates in a large fleet.
    pub relays: RelayOptions,
    /// Options of connections and timeouts.
    pub traffic: TrafficOptions,
    /// Timing of a graceful stop.
    pub stop: StopOptions,
    /// Logs one in this many successful requests that were not late; zero logs none.
    pub success_log_interval: u64,
    /// Maximum refusals logged per second; a flood causes many similar ones.
    pub logged_refusals_per_s: u64,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        let loopback = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            instance: String::new(),
            client_listen: loopback,
            readiness: loopback,
            readiness_path: "/readyz".to_owned(),
            metrics: None,
            peers: loopback,
            seeds: Vec::new(),
            resources: InstanceResources::default(),
            memory: MemoryOptions::default(),
            connections: ConnectionOptions::default(),
            evacuate_ms: None,
            control: ControlOptions::default(),
            store: StoreOptions::default(),
            reports: PeeringOptions::default(),
            relays: RelayOptions::default(),
            traffic: TrafficOptions::default(),
            stop: StopOptions::default(),
            success_log_interval: 50,
            logged_refusals_per_s: 100,
        }
    }
}

/// Why the settings are read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadCause {
    /// A signal says that they have changed.
    Signal,
    /// They may have changed without a signal.
    Check,
}

impl GatewaySettings {
    /// The bounds that follow the settings while the gateway runs.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        Bounds {
            freshness: self.control.freshness,
            retries: self.control.retries,
            store: self.store,
            stop: self.stop,
        }
    }
}

/// The settings that take effect whenever they change.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    /// The bound on key revocation.
    pub freshness: FreshnessOptions,
    /// The retry budget of the whole fleet.
    pub retries: FleetRetryOptions,
    /// Options of the calls to the store.
    pub store: StoreOptions,
    /// Timing of a graceful stop.
    pub stop: StopOptions,
}

/// Memory and descriptors of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstanceResources {
    /// Memory that the process may use, including received bytes that it has not read; `None` if
    /// unknown.
    pub memory_bytes: Option<u64>,
    /// Descriptors that the process may open, including files; `None` if unknown.
    pub descriptors: Option<u64>,
}

/// How the memory of an instance is divided. Only used where the memory is known, except for the rate
/// of bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryOptions {
    /// Assumed memory of the process without clients, unless more is measured.
    pub min_process_bytes: usize,
    /// Kept for reading the next configuration while the present one is in use; an eighth of the
    /// memory if that is more.
    pub min_config_bytes: usize,
    /// The smallest budget for clients, however small the memory of the instance is.
    pub min_budget_bytes: usize,
    /// Memory of a client connection without a request. An unfinished head is what needs most.
    pub connection_bytes: usize,
    /// Additional memory of a request in progress, with its connection to an endpoint and apart from
    /// a socket buffer.
    pub request_bytes: usize,
    /// Additional memory of a stream that arrives faster than its client reads it.
    pub stream_backlog_bytes: usize,
    /// A body up to this size may use the part of the budget that is kept for small bodies.
    pub small_body_bytes: usize,
    /// When memory is needed, bodies that arrive more slowly are refused first.
    pub min_body_bytes_per_s: u64,
    /// How far a body may be behind the minimum rate.
    pub rate_grace_ms: u64,
    /// A body of which nothing arrives for this long is refused.
    pub body_stall_ms: u64,
}

impl Default for MemoryOptions {
    fn default() -> Self {
        Self {
            min_process_bytes: 12_582_912,
            min_config_bytes: 6_291_456,
            min_budget_bytes: 2_097_152,
            connection_bytes: 32_768,
            request_bytes: 16_384,
            stream_backlog_bytes: 131_072,
            small_body_bytes: 16_384,
            min_body_bytes_per_s: 65_536,
            rate_grace_ms: 1_000,
            body_stall_ms: 5_000,
        }
    }
}

/// How the descriptors of an instance are divided. Only used where they are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// Descriptors for files, which sockets do not use.
    pub reserved_descriptors: u64,
    /// Sockets and pipes other than those of clients and endpoints: listeners, peers, calls to the
    /// store, readiness and metrics.
    pub own_sockets: u64,
    /// A new connection on which no complete request head has arrived is closed after this time at
    /// the earliest, unless a quarter of all connections are new.
    pub head_grace_ms: u64,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self {
            reserved_descriptors: 200,
            own_sockets: 32,
            head_grace_ms: 1_000,
        }
    }
}

/// Times of the list of gateways in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListingOptions {
    /// Time after the start in which the seeds respond, and between two attempts.
    pub settle_ms: u64,
    /// Additional time after the start if seeds have responded.
    pub found_peers_ms: u64,
    /// Time in which the gateways of the list respond.
    pub response_ms: u64,
    /// Interval between two reads by the first gateway.
    pub interval_ms: u64,
}

impl Default for ListingOptions {
    fn default() -> Self {
        Self {
            settle_ms: 2_500,
            found_peers_ms: 6_000,
            response_ms: 1_000,
            interval_ms: 30_000,
        }
    }
}

/// Intervals and timeouts of the calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOptions {
    /// Maximum age of the freshness proof of the configuration; an older proof triggers a read.
    pub config_interval_ms: u64,
    /// In a large fleet proofs from peers are older: this times the number of gateways is the
    /// maximum age if it is larger than `config_interval_ms`.
    pub config_interval_ms_per_gateway: u64,
    /// Upper limit of the age: a new configuration must take effect in time even if no peer
    /// reports it.
    pub max_config_interval_ms: u64,
    /// Minimum interval between two watches of the directory. Changes in between arrive together.
    pub watch_interval_ms: u64,
    /// In a large fleet, peers announce what matters most: this times the number of gateways is the
    /// interval if it is larger than `watch_interval_ms`.
    pub watch_interval_ms_per_gateway: u64,
    /// Upper limit of the interval: a gateway must learn of a leaving endpoint in time even if no
    /// peer announces it.
    pub max_watch_interval_ms: u64,
    /// How long a watch of the directory waits for changes.
    pub watch_wait_ms: u64,
    /// Timeout of a watch's response after its wait.
    pub watch_timeout_ms: u64,
    /// Timeout for connecting. While this instance is cut off, each call waits for it.
    pub connect_timeout_ms: u64,
    /// Timeout of other calls.
    pub timeout_ms: u64,
    /// Backoff after the first failed call; it doubles with each further failure.
    pub min_backoff_ms: u64,
    /// Maximum backoff.
    pub max_backoff_ms: u64,
    /// In a large fleet, all gateways try again at once when the store is unavailable: this times
    /// the number of gateways is the maximum backoff if it is larger than `max_backoff_ms`.
    pub max_backoff_ms_per_gateway: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            config_interval_ms: 1_400,
            config_interval_ms_per_gateway: 30,
            max_config_interval_ms: 1_400,
            watch_interval_ms: 700,
            watch_interval_ms_per_gateway: 25,
            max_watch_interval_ms: 700,
            watch_wait_ms: 3_000,
            watch_timeout_ms: 400,
            connect_timeout_ms: 300,
            timeout_ms: 700,
            min_backoff_ms: 100,
            max_backoff_ms: 500,
            max_backoff_ms_per_gateway: 7,
        }
    }
}

impl StoreOptions {
    /// Maximum age of a proof in a fleet of `gateways` instances, in milliseconds.
    ///
    /// ```
    /// use curranttrestle_gateway::settings::StoreOptions;
    /// let options = StoreOptions {
    ///     max_config_interval_ms: 2_400,
    ///     ..StoreOptions::default()
    /// };
    /// assert_eq!(options.config_interval_ms_in(9), 1_400);
    /// assert_eq!(options.config_interval_ms_in(69), 2_070);
    /// assert_eq!(options.config_interval_ms_in(350), 2_400);
    /// ```
    #[must_use]
    pub fn config_interval_ms_in(&self, gateways: usize) -> u64 {
        let fleet_interval_ms = times(self.config_interval_ms_per_gateway, gateways);
        let interval_ms = fleet_interval_ms.max(self.config_interval_ms);
        interval_ms.min(self.max_config_interval_ms)
    }

    /// Minimum interval between two watches of the directory in a fleet of `gateways` instances, in
    /// milliseconds.
    ///
    /// ```
    /// use curranttrestle_gateway::settings::StoreOptions;
    /// let options = StoreOptions {
    ///     max_watch_interval_ms: 2_700,
    ///     ..StoreOptions::default()
    /// };
    /// assert_eq!(options.watch_interval_ms_in(9), 700);
    /// assert_eq!(options.watch_interval_ms_in(62), 1_550);
    /// assert_eq!(options.watch_interval_ms_in(295), 2_700);
    /// ```
    #[must_use]
    pub fn watch_interval_ms_in(&self, gateways: usize) -> u64 {
        let fleet_interval_ms = times(self.watch_interval_ms_per_gateway, gateways);
        let interval_ms = fleet_interval_ms.max(self.watch_interval_ms);
        interval_ms.min(self.max_watch_interval_ms)
    }

    /// Maximum backoff in a fleet of `gateways` instances, in milliseconds.
    ///
    /// ```
    /// use curranttrestle_gateway::settings::StoreOptions;
    /// let options = StoreOptions::default();
    /// assert_eq!(options.max_backoff_ms_in(69), 500);
    /// assert_eq!(options.max_backoff_ms_in(295), 2_065);
    /// ```
    #[must_use]
    pub fn max_backoff_ms_in(&self, gateways: usize) -> u64 {
        times(self.max_backoff_ms_per_gateway, gateways).max(self.max_backoff_ms)
    }
}

fn times(interval_ms: u64, gateways: usize) -> u64 {
    interval_ms.saturating_mul(u64::try_from(gateways).unwrap_or(u64::MAX))
}

/// Connections and timeouts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficOptions {
    /// Timeout for connecting to an endpoint.
    pub connect_timeout_ms: u64,
    /// Idle timeout of a connection to an endpoint that does not announce its own.
    pub idle_timeout_ms: u64,
    /// A connection is no longer used this long before the endpoint would close it.
    pub idle_margin_ms: u64,
    /// Maximum idle time of a pooled connection for a stream that cannot be resumed.
    pub non_resumable_max_idle_ms: u64,
    /// Maximum idle connections for each address.
    pub max_idle_per_address: usize,
    /// An endpoint times out after this many times the target latency, or the predicted time if
    /// that is longer, without a response.
    pub timeout_target_factor: f64,
    /// Lower limit of the timeouts of a stream.
    pub min_stream_timeout_ms: u64,
    /// A running stream times out after this many maximum pauses without an event.
    pub timeout_pause_factor: f64,
    /// Other responses than streams may have up to this size. They are read completely before they
    /// are forwarded.
    pub max_buffered_response_bytes: usize,
    /// Memory for the bodies of all requests together.
    pub body_memory_bytes: usize,
    /// Above this number of open client connections, each is closed after its response. Otherwise a
    /// flood would fill the memory with idle connections.
    pub max_keep_alive_clients: usize,
    /// Minimum time left for sending a request to another endpoint.
    pub min_remaining_ms: u64,
    /// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub tcp_user_timeout_ms: u32,
    /// `Retry-After` of refusals by the gateway itself, for example while the configuration may be
    /// stale.
    pub refusal_retry_after_ms: f64,
}

impl Default for TrafficOptions {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 300,
            idle_timeout_ms: 4_000,
            idle_margin_ms: 1_000,
            non_resumable_max_idle_ms: 500,
            max_idle_per_address: 64,
            timeout_target_factor: 2.0,
            min_stream_timeout_ms: 800,
            timeout_pause_factor: 5.0,
            max_buffered_response_bytes: 262_144,
            body_memory_bytes: 33_554_432,
            max_keep_alive_clients: 512,
            min_remaining_ms: 20,
            tcp_user_timeout_ms: 5_000,
            refusal_retry_after_ms: 500.0,
        }
    }
}

/// Timing of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopOptions {
    /// How long connections are still accepted after the signal, until the load balancer has
    /// noticed.
    pub accept_ms: u64,
    /// Maximum time from the signal to the end of the process.
    pub grace_ms: u64,
}

impl Default for StopOptions {
    fn default() -> Self {
        Self {
            accept_ms: 2_600,
            grace_ms: 8_000,
        }
    }
}
