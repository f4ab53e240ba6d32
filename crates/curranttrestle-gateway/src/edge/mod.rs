//! Traits and types that the adapter of a platform implements.

use std::future::Future;
use std::net::SocketAddr;

use curranttrestle::coordination::gateway::evacuation::{EvacuationChange, EvacuationState};
use curranttrestle::coordination::gateway::served_versions::{StoredRecord, VersionRecord};
use curranttrestle::state::EndpointId;
use curranttrestle::state::gateway::{EndpointEntry, RequestHints, ServiceConfig};
use hyper::header::HeaderMap;
use thiserror::Error;

/// Translates between the platform's headers and the gateway's own terms.
pub trait Dialect {
    /// Reads the hints in the headers of a client's request.
    ///
    /// # Errors
    ///
    /// A message for the log if a header cannot be parsed.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHints, String>;

    /// Removes client headers that an endpoint must not receive and sets those for the endpoint.
    /// Hop-by-hop headers have already been removed.
    fn set_endpoint_headers(&self, headers: &mut HeaderMap, info: &ForwardInfo<'_>);

    /// Reads what the endpoint's status and headers say about its response.
    fn read_response(&self, status: u16, headers: &HeaderMap) -> ResponseInfo;

    /// The path at which an endpoint reports about itself.
    fn report_path(&self) -> &'static str;

    /// Reads when the endpoint started from its report, in Unix milliseconds; `None` if it does not say.
    fn read_start_unix_ms(&self, report: &[u8]) -> Option<u64>;
}

/// What an endpoint receives in addition to the client's own headers.
#[derive(Clone, Copy, Debug)]
pub struct ForwardInfo<'a> {
    /// The intended endpoint; any other endpoint refuses the request.
    pub endpoint: &'a EndpointId,
    /// Time left for the response, in milliseconds.
    pub remaining_ms: u64,
    /// The customer; `None` if the route needs no key.
    pub customer: Option<&'a str>,
    /// The last event that the client received, if a stream is resumed.
    pub last_event_id: Option<u64>,
}

/// What an endpoint says about its response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// The id of the attempt that this is a response to.
    pub attempt_id: Option<String>,
    /// The response carries the endpoint's signature.
    pub is_signed: bool,
    /// The endpoint declares that it did not run the request.
    pub not_run: bool,
    /// The address belongs to another endpoint.
    pub is_misdirected: bool,
    /// What the endpoint says about other requests.
    pub announcements: Announcements,
}

/// What an endpoint says in a response about other requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcements {
    /// The endpoint is leaving and accepts no new requests.
    pub is_leaving: bool,
    /// How long the endpoint wants no request from this gateway, in milliseconds.
    pub pause_ms: Option<u64>,
}

/// The platform's store, with the configuration and the directory of endpoints.
pub trait Platform {
    /// Reads the configuration with a linearizable read.
    fn read_config(
        &self,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<ConfigRead, PlatformError>>;

    /// Reads all entries of the directory with linearizable reads.
    fn list_endpoints(
        &self,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<EndpointList, PlatformError>>;

    /// Waits up to `wait_ms` for changes of the directory after `revision`.
    fn watch_endpoints(
        &self,
        revision: u64,
        wait_ms: u64,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<EndpointChanges, PlatformError>>;

    /// Reads the evacuated data centres with linearizable reads.
    fn list_evacuations(
        &self,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<EvacuationState, PlatformError>>;

    /// Waits up to `wait_ms` for changes of the evacuated data centres after `revision`.
    fn watch_evacuations(
        &self,
        revision: u64,
        wait_ms: u64,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<EvacuationEvents, PlatformError>>;

    /// Reads the list of gateways.
    fn read_gateways(
        &self,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<GatewayList, PlatformError>>;

    /// Writes the list of gateways unless it has changed since it was read at `revision`. `None` if it
    /// did not exist.
    fn write_gateways(
        &self,
        addresses: &[SocketAddr],
        revision: Option<u64>,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), PlatformError>>;

    /// Reads the record of the software versions that may have begun streams, with a linearizable read.
    fn read_versions(
        &self,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<VersionRead, PlatformError>>;

    /// Writes the record unless it has changed since it was read at `position`.
    fn write_versions(
        &self,
        record: &VersionRecord,
        position: StorePosition,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), PlatformError>>;
}

/// The record of versions that a read returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRead {
    /// The record.
    pub stored: StoredRecord,
    /// Where it was read.
    pub position: StorePosition,
}

/// The state of an object of the store at a read, as the condition of a write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StorePosition {
    /// How often the store had come back from a copy.
    pub era: u64,
    /// The revision of the object; `None` if it did not exist.
    pub revision: Option<u64>,
}

/// The gateways that the store lists, so that others find them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatewayList {
    /// The addresses of their peer listeners.
    pub addresses: Vec<SocketAddr>,
    /// The store's revision of the list; `None` if there is none.
    pub revision: Option<u64>,
}

/// Changes of the evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationEvents {
    /// The changes in order.
    pub changes: Vec<EvacuationChange>,
    /// The store's revision after the changes.
    pub revision: u64,
}

/// The result of a configuration read.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigRead {
    /// The store's revision of the configuration.
    pub revision: u64,
    /// The configuration; `None` if its revision is the same as at the previous read.
    pub config: Option<ServiceConfig>,
}

/// All entries of the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointList {
    /// The entries.
    pub entries: Vec<EndpointEntry>,
    /// Names of entries that could not be parsed, each with the reason.
    pub skipped: Vec<(String, String)>,
    /// The store's revision of the list.
    pub revision: u64,
}

/// Changes of the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointChanges {
    /// The changes in order.
    pub events: Vec<EndpointEvent>,
    /// The store's revision after the changes.
    pub revision: u64,
}

/// A change of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// An entry was written.
    Written(EndpointEntry),
    /// An entry was removed.
    Removed(EndpointId),
    /// An entry was written but cannot be parsed; with the reason.
    Unreadable(EndpointId, String),
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// No connection could be opened.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The connection was lost or stayed silent before the response was complete.
    #[error("call failed: {0}")]
    NoResponse(String),
    /// The platform refused the call with this status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The history after the revision has been discarded; the directory must be listed again.
    #[error("the history after the revision has been discarded")]
    HistoryDiscarded,
    /// The object was changed or created by another writer.
    #[error("another writer changed the object")]
    Conflict,
    /// The object does not exist.
    #[error("the store has no such object")]
    NotFound,
    /// The response cannot be parsed.
    #[error("unreadable response: {0}")]
    InvalidResponse(String),
}
