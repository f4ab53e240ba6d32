//! Structured events that record the decisions of each process and their reasons.

mod clock;
mod ring;

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{DataCentreId, Incarnation, InstanceId, RequestId};

pub use clock::{HybridClock, HybridTime};
pub use ring::EventRing;

/// Defines [`EventKind`] and the text form of each kind.
macro_rules! event_kinds {
    ($($(#[$meta:meta])* $name:ident = $text:literal,)*) => {
        /// The kind of an event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum EventKind {
            $($(#[$meta])* #[serde(rename = $text)] $name,)*
        }

        impl EventKind {
            /// The text form used in logs and in the timeline.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

event_kinds! {
    /// The process started.
    Started = "started",
    /// The process began a graceful shutdown.
    Stopping = "stopping",
    /// A request arrived from a caller.
    Arrived = "arrived",
    /// A request was refused without running.
    Refused = "refused",
    /// A request was added to its customer's queue.
    Queued = "queued",
    /// An attempt was dispatched to an endpoint.
    Dispatched = "dispatched",
    /// An attempt ended.
    AttemptEnded = "attempt-ended",
    /// A stream was resumed.
    Resumed = "resumed",
    /// A second attempt was started in parallel with a slow first one.
    Hedged = "hedged",
    /// A request is retried.
    Retried = "retried",
    /// A request completed with a response.
    Answered = "answered",
    /// The outcome of a request is unknown.
    Unknown = "unknown",
    /// An idempotency key was claimed.
    Claimed = "claimed",
    /// A claim or its result was written to the platform's store.
    ClaimStored = "claim-stored",
    /// A slot lease was received.
    SlotLent = "slot-lent",
    /// A slot lease was returned.
    SlotReturned = "slot-returned",
    /// A slot lease expired.
    SlotExpired = "slot-expired",
    /// A router joined, became suspect, was declared dead or left.
    Membership = "membership",
    /// A sheet took effect.
    SheetInForce = "sheet-in-force",
    /// The endpoint marks changed.
    MarksInForce = "marks-in-force",
    /// An endpoint is leaving.
    EndpointLeaving = "endpoint-leaving",
    /// A stop order was sent to an endpoint.
    EndpointStopped = "endpoint-stopped",
    /// An endpoint does not respond.
    EndpointDown = "endpoint-down",
    /// An endpoint is slower than its peers, or no longer is.
    EndpointSlow = "endpoint-slow",
    /// A request is suspected of crashing endpoints, or was refused for that reason.
    Quarantine = "quarantine",
    /// The platform's store became unavailable or available again.
    Store = "store",
    /// An invariant was violated.
    Invariant = "invariant",
}

impl fmt::Display for EventKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// One event emitted by one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The time, from a clock that orders causes before effects across all processes.
    pub time: HybridTime,
    /// The instance that emitted the event.
    pub instance: InstanceId,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// The data centre of that instance.
    pub data_centre: DataCentreId,
    /// The request that the event concerns, if any.
    pub request: Option<RequestId>,
    /// What happened.
    pub kind: EventKind,
    /// Key-value details, in the order in which they are written.
    pub details: IndexMap<String, String>,
}

impl fmt::Display for Event {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "time={} instance={} incarnation={} data_centre={} kind={}",
            self.time, self.instance, self.incarnation, self.data_centre, self.kind
        )?;
        if let Some(request) = &self.request {
            write!(formatter, " request={request}")?;
        }
        for (key, value) in &self.details {
            // Quote values that would break the key=value format.
            if value.contains(|character: char| character.is_whitespace() || character == '"') {
                write!(formatter, " {key}={value:?}")?;
            } else {
                write!(formatter, " {key}={value}")?;
            }
        }
        Ok(())
    }
}
