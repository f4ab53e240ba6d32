//! The effects of draining: actions that the caller must carry out.

use std::fmt;

use crate::protocol::endpoint::Order;
use crate::protocol::peer::PeerMessage;
use crate::state::{EndpointId, InstanceId};

/// An action that a [`super::Drain`] asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum DrainEffect {
    /// Send an order to an endpoint.
    Order {
        /// The endpoint.
        endpoint: EndpointId,
        /// The order.
        order: Order,
        /// The order must not be sent after this time, on the steady clock: the endpoint may have
        /// restarted by then, and it may not check which run the order is for.
        valid_until_ms: u64,
    },
    /// Send a message to another router.
    Notify {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// The endpoint takes no new work from now on: recall its leases.
    Leaving {
        /// The endpoint.
        endpoint: EndpointId,
        /// The source of this information.
        source: LeavingSource,
    },
}

/// How a router learned that an endpoint is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeavingSource {
    /// The operators' marks.
    Marks,
    /// The sheet.
    Sheet,
    /// The platform's list of instances.
    Platform,
    /// The endpoint itself.
    Endpoint,
    /// Another router.
    Router,
}

impl LeavingSource {
    /// The name of the source, as used in events.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Marks => "marks",
            Self::Sheet => "sheet",
            Self::Platform => "platform",
            Self::Endpoint => "endpoint",
            Self::Router => "router",
        }
    }
}

impl fmt::Display for LeavingSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
