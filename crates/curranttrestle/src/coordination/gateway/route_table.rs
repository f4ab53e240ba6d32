//! Finds the route of a request and the customer that owns an API key.

use indexmap::{IndexMap, IndexSet};

use crate::state::gateway::{Customer, Route, Service, ServiceConfig};

/// A configuration with lookup indexes.
///
/// ```
/// use curranttrestle::coordination::gateway::route_table::RouteTable;
/// use curranttrestle::state::gateway::ServiceConfig;
/// let table = RouteTable::new(ServiceConfig::default());
/// assert!(table.route("a.example", "/x/y").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    config: ServiceConfig,
    /// For each host, the index of a route by its path prefix.
    hosts: IndexMap<String, IndexMap<String, usize>>,
    /// The index of a customer by key.
    keys: IndexMap<String, usize>,
    /// The index of a customer by name.
    customers: IndexMap<String, usize>,
    services: IndexMap<String, usize>,
    /// The services to which streams may go.
    stream_services: IndexSet<String>,
}

impl RouteTable {
    /// Builds the indexes of a configuration.
    #[must_use]
    pub fn new(config: ServiceConfig) -> Self {
        let mut hosts: IndexMap<String, IndexMap<String, usize>> = IndexMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.path_prefix.clone(), index);
        }
        let mut keys = IndexMap::new();
        let mut customers = IndexMap::new();
        for (index, customer) in config.customers.iter().flatten().enumerate() {
            customers.insert(customer.name.clone(), index);
            for key in &customer.keys {
                keys.insert(key.clone(), index);
            }
        }
        let streams = config
            .routes
            .iter()
            .filter(|route| route.retry_policy.is_stream());
        let targets = streams.flat_map(|route| &route.targets);
        let stream_services = targets.map(|target| target.service.clone()).collect();
        let services = config.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index));
        Self {
            hosts,
            keys,
            customers,
            services: services.collect(),
            stream_services,
            config,
        }
    }

    /// The configuration.
    #[must_use]
    pub fn config(&self) -> &ServiceConfig {
        &self.config
    }

    /// Whether streams may go to a service.
    #[must_use]
    pub fn has_streams(&self, service: &str) -> bool {
        self.stream_services.contains(service)
    }

    /// Returns the route with the longest path prefix that matches `path`. The port and the case of
    /// `host` are ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&name.to_ascii_lowercase()))?;
        // Prefixes end with a slash, so only positions of slashes in the path can match.
        path.rmatch_indices('/')
            .find_map(|(slash, _)| prefixes.get(&path[..=slash]))
            .map(|index| &self.config.routes[*index])
    }

    /// The present form of a route that may be from an earlier configuration; `None` if there is none for
    /// its host and path prefix any more.
    #[must_use]
    pub fn present_route(&self, route: &Route) -> Option<&Route> {
        let prefixes = self
            .hosts
            .get(&route.host)
            .or_else(|| self.hosts.get(&route.host.to_ascii_lowercase()))?;
        let index = prefixes.get(&route.path_prefix)?;
        Some(&self.config.routes[*index])
    }

    /// Whether requests need an API key unless their route is anonymous, also when no customer is
    /// left.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.config.customers.is_some()
    }

    /// Returns the customer that owns `key`.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        let index = self.keys.get(key)?;
        self.config.customers.as_ref()?.get(*index)
    }

    /// Returns the customer with this name.
    #[must_use]
    pub fn customer_named(&self, name: &str) -> Option<&Customer> {
        let index = self.customers.get(name)?;
        self.config.customers.as_ref()?.get(*index)
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        Some(&self.config.services[*index])
    }

    /// Selects the service for a request of `route` by the random number `draw`, in proportion to
    /// the weights. Returns `None` if all weights are zero.
    #[must_use]
    pub fn choose_service<'a>(&self, route: &'a Route, draw: u64) -> Option<&'a str> {
        let total: u64 = route.targets.iter().map(|target| target.weight).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &route.targets {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
        }
        None
    }
}
