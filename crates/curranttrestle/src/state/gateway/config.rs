//! The service configuration: routes, services, customers and limits.

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// The version number; later versions have greater numbers.
    pub version: u64,
    /// The routes of requests.
    pub routes: Vec<Route>,
    /// The groups of endpoints that routes refer to.
    pub services: Vec<Service>,
    /// The customers and their keys; `None` if requests need no key. An empty list accepts no key.
    pub customers: Option<Vec<Customer>>,
    /// Limits on what clients may send.
    pub limits: ClientLimits,
}

/// Which requests a route matches, and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host to match.
    pub host: String,
    /// The path prefix to match, with a slash at both ends.
    pub path_prefix: String,
    /// Which requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Maximum time that a client waits.
    pub timeout_ms: u64,
    /// Target latency of a response; of a stream, the target time to its first event.
    pub target_latency_ms: u64,
    /// Maximum pause between two events of a stream that is on time.
    pub max_pause_ms: u64,
    /// The services that handle the requests.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of endpoints that one client attempt is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// The regions whose endpoints may handle the requests; empty for any.
    pub allowed_regions: Vec<String>,
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The name of the service.
    pub service: String,
    /// Its weight among the targets of the route.
    pub weight: u64,
}

/// Which requests may be retried after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// The response is a stream of events. The request may run again only to resume
    /// the stream after its last event.
    Stream {
        /// Whether another endpoint can resume after the last event.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Whether a request that may already have run can be retried.
    ///
    /// ```
    /// use curranttrestle::state::gateway::RetryPolicy;
    /// assert!(RetryPolicy::Stream { resumable: true }.allows_rerun());
    /// assert!(!RetryPolicy::AtMostOnce.allows_rerun());
    /// ```
    #[must_use]
    pub fn allows_rerun(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether responses are streams of events.
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
    /// Maximum number of connections to an endpoint from all callers together; zero for no limit.
    pub max_connections: u32,
    /// The model engine of its endpoints; `None` for a plain service.
    pub engine: Option<EngineCapacity>,
    /// How its endpoints warm up after a start; `None` if they are warm at once.
    pub warmup: Option<Warmup>,
}

/// How an endpoint warms up after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// How long it is cold.
    pub duration_ms: u64,
    /// Requests per second, from all gateways together, that a cold endpoint serves.
    pub requests_per_s: f64,
}

/// The capacity of a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Number of requests that it processes concurrently; zero for no limit.
    pub slots: u32,
    /// Memory for running requests and cached prompt parts, in tokens; zero for no limit. With
    /// zero, no prompt part counts as cached.
    pub memory_tokens: u64,
}

/// A customer and its keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Customer {
    /// The name of the customer.
    pub name: String,
    /// The keys that identify the customer.
    pub keys: Vec<String>,
    /// The regions whose endpoints may handle the customer's requests; empty for any.
    pub allowed_regions: Vec<String>,
}

/// Limits on what clients may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum length of a request head.
    pub header_bytes: usize,
    /// Maximum length of a request body.
    pub body_bytes: usize,
    /// Maximum time that a connection may be idle, or take to send a request head.
    pub idle_timeout_ms: u64,
    /// Tokens per second that all engines together serve: each prompt token counts once, each
    /// generated token twice. Zero: unknown, so that customers are not limited to fair shares.
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
