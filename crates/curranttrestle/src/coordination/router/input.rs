//! Inputs and effects of a router.

use std::net::SocketAddr;
use std::sync::Arc;

use uuid::Uuid;

use crate::protocol::Refusal;
use crate::protocol::endpoint::{LoadReport, Order, OrderResponse};
use crate::protocol::peer::{Envelope, PeerMessage, StoredResponse};
use crate::protocol::platform::{CallId, StoreCall, StoreResponse};
use crate::state::event::HybridTime;
use crate::state::sheet::{EndpointKind, Sheet};
use crate::state::{AttemptId, CustomerId, EndpointId, Event, RequestId};

/// Digest of a request's operation and body. Excludes the idempotency key.
pub type RequestDigest = [u8; 16];

/// A caller's request, received including its body.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Its ID.
    pub request: RequestId,
    /// Customer that sent it.
    pub customer: CustomerId,
    /// Requested operation.
    pub operation: String,
    /// Idempotency key, required if the operation is not idempotent.
    pub key: Option<Uuid>,
    /// Digest of operation and body.
    pub digest: RequestDigest,
    /// Caller's estimate of the cost, in units of the pool.
    pub hint_units: Option<f64>,
    /// Deadline on the steady clock.
    pub deadline_ms: u64,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    /// The complete response was received.
    Completed {
        /// Its cost, in units of the pool.
        units: f64,
        /// The response, recorded for retries of a non-idempotent request.
        stored_response: Option<StoredResponse>,
    },
    /// The endpoint or the failed connection proves that it did not start.
    NotRun {
        /// Description of the error.
        detail: String,
        /// Whether the endpoint could not be connected to.
        unreachable: bool,
    },
    /// The attempt was lost after its dispatch and may have run.
    Interrupted {
        /// Its cost so far, in units of the pool.
        units: f64,
        /// Description of the error.
        detail: String,
        /// Whether the connection broke, as it does when an endpoint crashes.
        connection_lost: bool,
        /// Incarnation of the endpoint, if the attempt learned it.
        incarnation: Option<u64>,
    },
    /// The caller disconnected while the response was sent to it.
    CallerGone {
        /// Its cost so far, in units of the pool.
        units: f64,
    },
}

/// Purpose of a load poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PollPurpose {
    /// Track what runs on the endpoint.
    Load,
    /// Find out whether the endpoint crashed.
    CrashCheck,
}

/// An event that a router reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Periodic timer tick.
    Tick,
    /// An envelope arrived from another router.
    Envelope(Envelope),
    /// A request arrived from a caller.
    Request(NewRequest),
    /// The caller of a request that is not running disconnected.
    CallerGone(RequestId),
    /// An attempt received a further part of its response.
    AttemptProgress {
        /// ID of the attempt.
        attempt: AttemptId,
        /// Its cost so far, in units of the pool.
        units: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// ID of the attempt.
        attempt: AttemptId,
        /// Its result.
        result: AttemptResult,
    },
    /// The platform's store responded to a call.
    StoreResponse {
        /// ID of the call.
        call: CallId,
        /// The response.
        response: StoreResponse,
    },
    /// A load poll of an endpoint completed or failed.
    LoadReport {
        /// The endpoint.
        endpoint: EndpointId,
        /// Purpose of the poll.
        purpose: PollPurpose,
        /// Its report, `None` if it did not respond.
        report: Option<LoadReport>,
    },
    /// An endpoint responded to an order or failed to.
    OrderResponse {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its response, `None` if it did not respond.
        response: Option<OrderResponse>,
    },
    /// Graceful shutdown: accept no new requests and complete the active ones.
    Stop,
}

/// Instruction to send a request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// ID of the attempt.
    pub attempt: AttemptId,
    /// Target endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Kind of the endpoint. Only models stream their responses.
    pub kind: EndpointKind,
    /// Latest time at which the attempt may start, on the steady clock.
    pub valid_until_ms: u64,
    /// Whether this is a hedge of a slow attempt. The first response to complete is used.
    pub hedge: bool,
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to an endpoint and report the result.
    Dispatch(Dispatch),
    /// Respond with a refusal.
    Refuse(Refusal),
    /// Respond with the recorded response of an earlier request.
    Replay(StoredResponse),
}

/// An action that a router requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another router.
    Send {
        /// Address of the other router.
        address: SocketAddr,
        /// Sender's hybrid clock.
        time: HybridTime,
        /// The message.
        message: PeerMessage,
    },
    /// Send a decision to a request's handler.
    Decide {
        /// The request.
        request: RequestId,
        /// The decision.
        decision: Decision,
    },
    /// Call the platform's store.
    Store {
        /// ID of the call.
        call: CallId,
        /// The call.
        request: StoreCall,
    },
    /// Request a load report from an endpoint.
    PollLoad {
        /// The endpoint.
        endpoint: EndpointId,
        /// Purpose of the poll.
        purpose: PollPurpose,
        /// Its address.
        address: SocketAddr,
    },
    /// Send an order to an endpoint.
    SendOrder {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// Latest time at which it may be sent, on the steady clock.
        valid_until_ms: u64,
    },
    /// A new sheet is in force.
    SheetInForce(Arc<Sheet>),
    /// Record an event.
    Emit(Event),
}
