//! Events: what each process decided, and why.

mod clock;
mod ring;

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{DataCentreId, Incarnation, InstanceId, RequestId};

pub use clock::{HybridClock, HybridTime};
pub use ring::EventRing;

/// Defines [`EventKind`] with the text form of each kind.
macro_rules! event_kinds {
    ($($(#[$meta:meta])* $name:ident = $text:literal,)*) => {
        /// What an event reports.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum EventKind {
            $($(#[$meta])* #[serde(rename = $text)] $name,)*
        }

        impl EventKind {
            /// The text form, as in logs and in the time line.
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
    /// The process began its graceful shutdown.
    Stopping = "stopping",
    /// A request arrived from a caller.
    Arrived = "arrived",
    /// A request was refused; it did not run.
    Refused = "refused",
    /// A request entered its customer's queue.
    Queued = "queued",
    /// An attempt was handed to an endpoint.
    Dispatched = "dispatched",
    /// An attempt ended.
    AttemptEnded = "attempt-ended",
    /// A stream was resumed.
    Resumed = "resumed",
    /// A second attempt was started beside a slow first one.
    Hedged = "hedged",
    /// A request is tried again.
    Retried = "retried",
    /// A request was answered.
    Answered = "answered",
    /// The outcome of a request is not known.
    Unknown = "unknown",
    /// An idempotency key was claimed.
    Claimed = "claimed",
    /// A claim or its result was written to the platform.
    ClaimStored = "claim-stored",
    /// A slot lease arrived.
    SlotLent = "slot-lent",
    /// A slot lease was returned.
    SlotReturned = "slot-returned",
    /// A slot lease expired.
    SlotExpired = "slot-expired",
    /// A router joined, became suspect, died or left.
    Membership = "membership",
    /// A sheet came into force.
    SheetInForce = "sheet-in-force",
    /// The marks of endpoints changed.
    MarksInForce = "marks-in-force",
    /// An endpoint is leaving.
    EndpointLeaving = "endpoint-leaving",
    /// An endpoint was sent a stop order.
    EndpointStopped = "endpoint-stopped",
    /// An endpoint does not answer.
    EndpointDown = "endpoint-down",
    /// An endpoint is slower than its peers, or no longer is.
    EndpointSlow = "endpoint-slow",
    /// A request is suspected of crashing endpoints, or was refused for it.
    Quarantine = "quarantine",
    /// The platform's store became unavailable or available.
    Store = "store",
    /// An invariant did not hold.
    Invariant = "invariant",
}

impl fmt::Display for EventKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When, on a clock that orders causes before effects over all processes.
    pub time: HybridTime,
    /// The instance that emitted the event.
    pub instance: InstanceId,
    /// The run of that instance.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The request concerned.
    pub request: Option<RequestId>,
    /// What happened.
    pub kind: EventKind,
    /// Details, in the order of emission.
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
            // Quote what would break the key=value form.
            if value.contains(|character: char| character.is_whitespace() || character == '"') {
                write!(formatter, " {key}={value:?}")?;
            } else {
                write!(formatter, " {key}={value}")?;
            }
        }
        Ok(())
    }
}
