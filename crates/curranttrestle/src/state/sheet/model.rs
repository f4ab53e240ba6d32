//! The data model of a sheet.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::state::{CustomerId, DataCentreId, EndpointId, PoolId};

/// The SHA-256 digest of a customer's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest(#[serde(with = "hex::serde")] pub [u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// One customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// The weight of the customer in fair sharing of capacity; at least one.
    pub share: u32,
    /// The digest of the key that the customer's callers present.
    pub key_digest: KeyDigest,
    /// The maximum number of its requests that may wait at one router. Zero means that the
    /// router's settings apply.
    pub queue_limit: u32,
}

impl Customer {
    /// Returns the queue limit, or `setting` if the sheet sets none.
    #[must_use]
    pub fn queue_limit_or(&self, setting: u32) -> u32 {
        match self.queue_limit {
            0 => setting,
            limit => limit,
        }
    }
}

/// The kind of work that the endpoints of a pool do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine, which streams tokens.
    Model,
    /// A plain service, which sends its response in one piece.
    Service,
}

/// One operation that callers may request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// The pool that runs the operation.
    pub pool: PoolId,
    /// Whether the operation may run more than once for one request.
    pub idempotent: bool,
    /// The priority among the waiting requests of one customer; lower values run first.
    pub priority: u8,
    /// The expected cost of one request, in tokens (model) or milliseconds (service).
    pub expected_cost: f64,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The pool that the endpoint belongs to.
    pub pool: PoolId,
    /// Whether it is a model engine or a plain service.
    pub kind: EndpointKind,
    /// The data centre where the endpoint runs.
    pub data_centre: DataCentreId,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Whether the sheet orders the endpoint to drain.
    pub leaving: bool,
}

/// A sheet. Each accepted sheet has a higher number than the one before it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sheet {
    /// The number of the sheet; zero if it is not accepted yet.
    pub number: u64,
    /// The customers, in the order of the sheet.
    pub customers: IndexMap<CustomerId, Customer>,
    /// The operations by name, in the order of the sheet.
    pub operations: IndexMap<String, Operation>,
    /// The endpoints, in the order of the sheet.
    pub endpoints: IndexMap<EndpointId, Endpoint>,
}

impl Sheet {
    /// Returns the pools in the order of their first endpoints.
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

    /// Returns the customer whose key has the digest `digest`.
    #[must_use]
    pub fn customer_by_key_digest(&self, digest: &KeyDigest) -> Option<(&CustomerId, &Customer)> {
        self.customers
            .iter()
            .find(|(_, customer)| customer.key_digest == *digest)
    }
}
