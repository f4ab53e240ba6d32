//! What a router is told and what it wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use uuid::Uuid;

use crate::protocol::Refusal;
use crate::protocol::endpoint::{LoadReport, Order, OrderAnswer};
use crate::protocol::peer::{Envelope, PeerMessage, StoredAnswer};
use crate::protocol::platform::{CallId, StoreAnswer, StoreCall};
use crate::state::event::HybridTime;
use crate::state::sheet::{EndpointKind, Sheet};
use crate::state::{AttemptId, CustomerId, EndpointId, Event, RequestId};

/// The digest of a request: of its operation and body, not of its key.
pub type RequestDigest = [u8; 16];

/// A caller's request whose body has arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Its number.
    pub request: RequestId,
    /// The customer it is for.
    pub customer: CustomerId,
    /// The operation it asks for.
    pub operation: String,
    /// The idempotency key, required for an operation that may not be repeated.
    pub key: Option<Uuid>,
    /// The digest of operation and body.
    pub digest: RequestDigest,
    /// The caller's hint of the cost.
    pub hint_units: Option<f64>,
    /// When the caller stops waiting, in steady time.
    pub deadline_ms: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    /// The whole answer was received.
    Answered {
        /// What it cost, in units of the pool.
        units: f64,
        /// The answer, kept for repeats of a request that may not run twice.
        stored: Option<StoredAnswer>,
    },
    /// The endpoint proved that it did not begin.
    NotRun {
        /// What was seen.
        detail: String,
        /// The endpoint refuses connections.
        unreachable: bool,
    },
    /// The attempt was handed over and then lost.
    Interrupted {
        /// What it cost so far, in units of the pool.
        units: f64,
        /// What was seen.
        detail: String,
        /// The connection broke, as it does when an endpoint crashes.
        broken: bool,
        /// The run of the endpoint, where the attempt learned it.
        incarnation: Option<u64>,
    },
    /// The caller went away while the answer was sent.
    CallerGone {
        /// What it cost so far, in units of the pool.
        units: f64,
    },
}

/// Why an endpoint is asked for its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PollPurpose {
    /// To know what runs on it.
    Load,
    /// To find out whether it died.
    DeathCheck,
}

/// What a router is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// An envelope came from another router.
    Envelope(Envelope),
    /// A request came from a caller.
    Request(NewRequest),
    /// The caller of a request that waits went away.
    CallerGone(RequestId),
    /// An attempt received more of its answer.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Its cost so far, in units of the pool.
        units: f64,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
    },
    /// The platform answered a call.
    StoreAnswered {
        /// The call.
        call: CallId,
        /// The answer.
        answer: StoreAnswer,
    },
    /// An endpoint reported its load, or did not answer.
    LoadReport {
        /// The endpoint.
        endpoint: EndpointId,
        /// Why it was asked.
        purpose: PollPurpose,
        /// Its report; none when it did not answer.
        report: Option<LoadReport>,
    },
    /// An endpoint answered an order, or did not.
    OrderAnswered {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its answer.
        answer: Option<OrderAnswer>,
    },
    /// The router shall take no new work and finish what it has.
    Stop,
}

/// The order to hand a request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The number of the attempt.
    pub attempt: AttemptId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it streams.
    pub kind: EndpointKind,
    /// The attempt must not begin after this, in steady time.
    pub valid_until_ms: u64,
    /// A second attempt beside a slow first one; the first answer counts.
    pub hedge: bool,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Hand it to an endpoint and report how that ended.
    Dispatch(Dispatch),
    /// Answer with a refusal.
    Refuse(Refusal),
    /// Answer from the record of an earlier run.
    Replay(StoredAnswer),
}

/// What a router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another router.
    Send {
        /// Its address.
        address: SocketAddr,
        /// The sender's clock.
        time: HybridTime,
        /// The message.
        message: PeerMessage,
    },
    /// Tell a request's handler what becomes of it.
    Decide {
        /// The request.
        request: RequestId,
        /// The decision.
        decision: Decision,
    },
    /// Call the platform.
    Store {
        /// The number of the call.
        call: CallId,
        /// The call.
        request: StoreCall,
    },
    /// Ask an endpoint for its load.
    PollLoad {
        /// The endpoint.
        endpoint: EndpointId,
        /// Why it is asked.
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
        /// It must not be sent after this, in steady time.
        valid_until_ms: u64,
    },
    /// A sheet came into force.
    SheetInForce(Arc<Sheet>),
    /// Something happened.
    Emit(Event),
}
