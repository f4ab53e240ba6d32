//! The service configuration: routes, services, customers and limits.

/// One version of the configuration, complete in itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// The number of this version; later versions have greater ones.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// The groups of endpoints that routes name.
    pub services: Vec<Service>,
    /// The customers and their keys. Empty: no request needs a key.
    pub customers: Vec<Customer>,
    /// What a client may send, and how slowly.
    pub limits: ClientLimits,
}

/// Which requests a route takes, and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host that a request names.
    pub host: String,
    /// The start of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be sent again.
    pub repeat: Repeat,
    /// The longest time that a client is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer is on time; for a stream its first event.
    pub target_latency_ms: u64,
    /// The longest pause between two events of a stream that is on time.
    pub max_pause_ms: u64,
    /// The services that take the requests.
    pub targets: Vec<RouteTarget>,
    /// The most endpoints that one client attempt is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// A service that a route sends to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The name of the service.
    pub service: String,
    /// Its share of the route's requests, against the other targets.
    pub weight: u64,
}

/// What may be sent again when its first attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// A request that may run more than once.
    Idempotent,
    /// A request that runs at most once.
    AtMostOnce,
    /// A stream of events; it may run again only where it resumes after an event.
    Stream {
        /// Whether another endpoint may go on after the last event.
        resumable: bool,
    },
}

impl Repeat {
    /// Whether a request that may have run can be sent again.
    ///
    /// ```
    /// use curranttrestle::state::gateway::Repeat;
    /// assert!(Repeat::Stream { resumable: true }.may_run_again());
    /// assert!(!Repeat::AtMostOnce.may_run_again());
    /// ```
    #[must_use]
    pub fn may_run_again(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether answers are streams of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A group of endpoints that run the same software.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: String,
    /// The most connections an endpoint takes from all callers together; zero for no limit.
    pub max_connections: u32,
    /// What its endpoints are as model engines; none for a plain service.
    pub engine: Option<EngineModel>,
}

/// The figures of a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineModel {
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Its memory for running requests and cached parts of prompts, in tokens.
    pub memory_tokens: u64,
}

/// A customer and the keys that identify it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Customer {
    /// The name of the customer.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
}

/// What a client may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The longest head of a request.
    pub header_bytes: usize,
    /// The longest body of a request.
    pub body_bytes: usize,
    /// How long a connection may be idle, or take to send a head.
    pub idle_timeout_ms: u64,
    /// The tokens that all engines serve in a second: each one read counts once, each one
    /// generated twice. Zero: not known.
    pub tokens_per_s: u64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            idle_timeout_ms: 15_000,
            tokens_per_s: 0,
        }
    }
}
