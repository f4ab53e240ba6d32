//! The settings of a gateway.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use curranttrestle::coordination::gateway::control::{ControlOptions, RepeatOptions};
use curranttrestle::coordination::gateway::freshness::FreshnessOptions;
use curranttrestle::coordination::gateway::peering::PeeringOptions;
use curranttrestle::coordination::gateway::relaying::RelayOptions;

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The name of this instance.
    pub instance: String,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Where the balancer asks whether this gateway takes clients.
    pub readiness: SocketAddr,
    /// The path of that question.
    pub readiness_path: String,
    /// Where the metrics are read; none where they are not served.
    pub metrics: Option<SocketAddr>,
    /// Where other gateways send their reports.
    pub peers: SocketAddr,
    /// Gateways to begin with.
    pub seeds: Vec<SocketAddr>,
    /// The options of the decisions.
    pub control: ControlOptions,
    /// Calls to the store, and their pace.
    pub store: StoreOptions,
    /// Reports between gateways.
    pub reports: PeeringOptions,
    /// News that relays pass on in a large fleet.
    pub relays: RelayOptions,
    /// Connections and waiting.
    pub traffic: TrafficOptions,
    /// Stopping.
    pub stop: StopOptions,
    /// Lines of calm successes that are written: one in this many; zero for none.
    pub log_sample: u64,
    /// Refused requests that are logged in a second; a flood has many that look alike.
    pub logged_refusals_per_s: u64,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            instance: String::new(),
            clients: any,
            readiness: any,
            readiness_path: "/readyz".to_owned(),
            metrics: None,
            peers: any,
            seeds: Vec::new(),
            control: ControlOptions::default(),
            store: StoreOptions::default(),
            reports: PeeringOptions::default(),
            relays: RelayOptions::default(),
            traffic: TrafficOptions::default(),
            stop: StopOptions::default(),
            log_sample: 50,
            logged_refusals_per_s: 100,
        }
    }
}

impl GatewaySettings {
    /// The bounds that may change while the gateway runs.
    #[must_use]
    pub fn bounds(&self) -> (FreshnessOptions, RepeatOptions) {
        (self.control.freshness, self.control.repeats)
    }
}

/// The pace of calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOptions {
    /// The greatest age of the proof that the configuration is the newest one; then it is
    /// read again.
    pub config_interval_ms: u64,
    /// The same in a large fleet, for each gateway: the proofs of peers are older there.
    pub config_interval_ms_per_gateway: u64,
    /// The greatest such age: a new configuration must be in force in time, also where no peer
    /// tells of it.
    pub max_config_interval_ms: u64,
    /// The least time between two watches of the directory. Changes that come in between
    /// arrive together.
    pub watch_interval_ms: u64,
    /// How long a watch of the directory waits.
    pub watch_ms: u64,
    /// How long an answer may take beyond that.
    pub timeout_ms: u64,
    /// The first pause after a failed call; it doubles with each further one.
    pub min_backoff_ms: u64,
    /// The longest pause.
    pub max_backoff_ms: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            config_interval_ms: 1_400,
            config_interval_ms_per_gateway: 30,
            max_config_interval_ms: 1_400,
            watch_interval_ms: 700,
            watch_ms: 3_000,
            timeout_ms: 700,
            min_backoff_ms: 100,
            max_backoff_ms: 500,
        }
    }
}

impl StoreOptions {
    /// The greatest age of a proof in a fleet of so many gateways.
    ///
    /// ```
    /// use curranttrestle_gateway::settings::StoreOptions;
    /// let options = StoreOptions {
    ///     max_config_interval_ms: 2_400,
    ///     ..StoreOptions::default()
    /// };
    /// assert_eq!(options.config_interval_in(9), 1_400);
    /// assert_eq!(options.config_interval_in(69), 2_070);
    /// assert_eq!(options.config_interval_in(350), 2_400);
    /// ```
    #[must_use]
    pub fn config_interval_in(&self, gateways: usize) -> u64 {
        let gateways = u64::try_from(gateways).unwrap_or(u64::MAX);
        let spread_ms = gateways.saturating_mul(self.config_interval_ms_per_gateway);
        let interval_ms = spread_ms.max(self.config_interval_ms);
        interval_ms.min(self.max_config_interval_ms)
    }
}

/// Connections and waiting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficOptions {
    /// How long a connection to an endpoint may take to open.
    pub connect_timeout_ms: u64,
    /// How long an unused connection to an endpoint is kept where the endpoint says nothing.
    pub idle_ms: u64,
    /// A connection is not used any more this long before the endpoint would close it.
    pub idle_margin_ms: u64,
    /// A request that must not run twice uses a kept connection only if it is this young.
    pub careful_idle_ms: u64,
    /// Unused connections that are kept for an endpoint.
    pub max_idle: usize,
    /// After how many targets without a sign an endpoint counts as silent.
    pub silent_targets: f64,
    /// The shortest such time.
    pub min_silent_ms: u64,
    /// After how many allowed pauses without an event a running stream counts as silent.
    pub silent_pauses: f64,
    /// Answers up to this size are read whole before they are passed on.
    pub whole_answer_bytes: usize,
    /// Memory for the bodies of all requests together.
    pub body_memory_bytes: usize,
    /// Open connections of clients from which on each is closed after its answer. A flood
    /// would fill the memory with unused ones.
    pub max_kept_clients: usize,
    /// The least time left with which a request is still sent to an endpoint.
    pub min_left_ms: u64,
    /// How long sent bytes may stay unacknowledged.
    pub unacknowledged_ms: u32,
    /// When a client is told to come back while the configuration is not known to be new.
    pub stale_retry_ms: f64,
}

impl Default for TrafficOptions {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 300,
            idle_ms: 4_000,
            idle_margin_ms: 1_000,
            careful_idle_ms: 500,
            max_idle: 64,
            silent_targets: 2.0,
            min_silent_ms: 800,
            silent_pauses: 5.0,
            whole_answer_bytes: 262_144,
            body_memory_bytes: 33_554_432,
            max_kept_clients: 512,
            min_left_ms: 20,
            unacknowledged_ms: 5_000,
            stale_retry_ms: 500.0,
        }
    }
}

/// Stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopOptions {
    /// How long new connections are taken after the signal, until the balancer has noticed.
    pub accept_ms: u64,
    /// When the process ends at the latest.
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
