//! The content of a sheet.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::state::{CustomerId, DataCentreId, EndpointId, PoolId};

/// The SHA-256 digest of a customer's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest(#[serde(with = "hex::serde")] pub [u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// One customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Its weight when capacity is shared; at least one.
    pub share: u32,
    /// The digest of the key its callers present.
    pub key_digest: KeyDigest,
    /// How many of its requests may wait at one router; zero leaves it to the settings.
    pub queue_limit: u32,
}

impl Customer {
    /// The queue limit, or that of the settings when the sheet gives none.
    #[must_use]
    pub fn queue_limit_or(&self, setting: u32) -> u32 {
        match self.queue_limit {
            0 => setting,
            limit => limit,
        }
    }
}

/// What kind of work a pool's endpoints do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine, which streams tokens.
    Model,
    /// A plain service, which answers whole.
    Service,
}

/// One operation that callers may ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// The pool that runs it.
    pub pool: PoolId,
    /// Whether it may run more than once for one request.
    pub idempotent: bool,
    /// Order among the waiting requests of one customer: lower goes first.
    pub priority: u8,
    /// The expected cost of one request, in tokens (model) or milliseconds (service).
    pub expected_cost: f64,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The pool it belongs to.
    pub pool: PoolId,
    /// Whether it is a model engine or a plain service.
    pub kind: EndpointKind,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// The address it listens on.
    pub address: SocketAddr,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Whether the sheet orders it to leave.
    pub leaving: bool,
}

/// An accepted sheet. Its number grows by one with each acceptance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sheet {
    /// The number of the sheet; zero before the first.
    pub number: u64,
    /// The customers, in the order of the sheet.
    pub customers: IndexMap<CustomerId, Customer>,
    /// The operations by name.
    pub operations: IndexMap<String, Operation>,
    /// The endpoints.
    pub endpoints: IndexMap<EndpointId, Endpoint>,
}

impl Sheet {
    /// The pools in the order of their first endpoint.
    #[must_use]
    pub fn pools(&self) -> Vec<&PoolId> {
        let mut pools: Vec<&PoolId> = Vec::new();
        for endpoint in self.endpoints.values() {
            if !pools.contains(&&endpoint.pool) {
                pools.push(&endpoint.pool);
            }
        }
        pools
    }

    /// The customer whose key has the digest `digest`.
    #[must_use]
    pub fn customer_by_key(&self, digest: &KeyDigest) -> Option<(&CustomerId, &Customer)> {
        self.customers
            .iter()
            .find(|(_, customer)| customer.key_digest == *digest)
    }
}
