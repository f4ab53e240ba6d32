//! Identifier types.

use std::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Defines a string newtype for names whose `Display` output is the name itself.
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $name(Box<str>);

        impl $name {
            /// Creates an identifier from a name.
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(name.into())
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// The name of a router instance.
    InstanceId
);
name_type!(
    /// The name of a data centre.
    DataCentreId
);
name_type!(
    /// The name of a customer.
    CustomerId
);
name_type!(
    /// The name of an endpoint: a model replica or a plain service replica.
    EndpointId
);
name_type!(
    /// The name of a pool: the endpoints that serve one model or one service.
    PoolId
);

/// Distinguishes the runs of one router instance. It increases with each restart.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Identifies a caller's request, unique across the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub Uuid);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identifies an attempt to run a request on an endpoint, unique across the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The router that made the attempt.
    pub instance: InstanceId,
    /// The incarnation of that router.
    pub incarnation: Incarnation,
    /// The sequence number of the attempt within that incarnation.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}",
            self.instance, self.incarnation, self.sequence
        )
    }
}

/// The unit of fair-share accounting: one customer's use of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AccountId {
    /// The pool that provides the service.
    pub pool: PoolId,
    /// The customer that uses it.
    pub customer: CustomerId,
}
