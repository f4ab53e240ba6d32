//! Finds the route of a request and the customer of a key.

use indexmap::IndexMap;

use crate::state::gateway::{Customer, Route, Service, ServiceConfig};

/// A configuration with the indexes that requests need.
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
    /// For each host, the place of a route by its path prefix.
    hosts: IndexMap<String, IndexMap<String, usize>>,
    /// The place of a customer by its key.
    keys: IndexMap<String, usize>,
    services: IndexMap<String, usize>,
}

impl RouteTable {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(config: ServiceConfig) -> Self {
        let mut hosts: IndexMap<String, IndexMap<String, usize>> = IndexMap::new();
        for (place, route) in config.routes.iter().enumerate() {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.path_prefix.clone(), place);
        }
        let mut keys = IndexMap::new();
        for (place, customer) in config.customers.iter().enumerate() {
            for key in &customer.keys {
                keys.insert(key.clone(), place);
            }
        }
        let services = config.services.iter().enumerate();
        let services = services.map(|(place, service)| (service.name.clone(), place));
        Self {
            hosts,
            keys,
            services: services.collect(),
            config,
        }
    }

    /// The configuration.
    #[must_use]
    pub fn config(&self) -> &ServiceConfig {
        &self.config
    }

    /// The route whose path prefix is the longest that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&name.to_ascii_lowercase()))?;
        // Prefixes end with a slash, so only the slashes of the path can end one.
        path.rmatch_indices('/')
            .find_map(|(slash, _)| prefixes.get(&path[..=slash]))
            .map(|place| &self.config.routes[*place])
    }

    /// Whether requests have to name a customer, unless their route is anonymous.
    #[must_use]
    pub fn has_customers(&self) -> bool {
        !self.config.customers.is_empty()
    }

    /// The customer that holds `key`.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        let place = self.keys.get(key)?;
        Some(&self.config.customers[*place])
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let place = self.services.get(name)?;
        Some(&self.config.services[*place])
    }

    /// The service that takes a request of `route`, drawn by `draw`; none where all weights
    /// are zero.
    #[must_use]
    pub fn target<'a>(&self, route: &'a Route, draw: u64) -> Option<&'a str> {
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
