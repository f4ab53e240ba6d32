//! What a platform's adapter provides.

use std::future::Future;

use curranttrestle::state::EndpointId;
use curranttrestle::state::gateway::{EndpointEntry, RequestHints, ServiceConfig};
use hyper::header::HeaderMap;
use thiserror::Error;

/// How requests and answers say what the gateway has to know.
pub trait Dialect {
    /// Reads what a client says of its request.
    ///
    /// # Errors
    ///
    /// A message for the client when a header cannot be read.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHints, String>;

    /// Changes the headers of a client's request to those for an endpoint. Headers that
    /// concern one connection only are gone already.
    fn address_request(&self, headers: &mut HeaderMap, address: &Address<'_>);

    /// Reads what an endpoint says of its answer.
    fn read_answer(&self, status: u16, headers: &HeaderMap) -> AnswerMarks;
}

/// What an endpoint is told beside the client's own headers.
#[derive(Clone, Copy, Debug)]
pub struct Address<'a> {
    /// The endpoint that is meant; any other refuses the request.
    pub endpoint: &'a EndpointId,
    /// The time that is left for the answer.
    pub left_ms: u64,
    /// The customer; none where the route needs no key.
    pub customer: Option<&'a str>,
    /// The last event that the client has, where a stream goes on.
    pub last_event_id: Option<u64>,
}

/// What an endpoint says of its answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMarks {
    /// The id of the attempt that is answered.
    pub attempt_id: Option<String>,
    /// The answer bears the endpoint's signature.
    pub is_signed: bool,
    /// The endpoint says that it did not run the request.
    pub not_run: bool,
    /// Another endpoint has this address.
    pub is_misdirected: bool,
    /// When the endpoint wants the request to come back.
    pub retry_after_ms: Option<f64>,
}

/// The platform's store and directory.
pub trait Platform {
    /// Reads the configuration with a linearizable read.
    fn config(&self, timeout_ms: u64) -> impl Future<Output = Result<ConfigRead, PlatformError>>;

    /// Reads all entries of the directory with linearizable reads.
    fn endpoints(
        &self,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<EndpointList, PlatformError>>;

    /// Waits for changes of the directory after `revision`.
    fn watch_endpoints(
        &self,
        revision: u64,
        wait_ms: u64,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<EndpointChanges, PlatformError>>;
}

/// An answer to a read of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigRead {
    /// The store's revision of the configuration.
    pub revision: u64,
    /// The configuration; none when it has the revision that was read before.
    pub config: Option<ServiceConfig>,
}

/// All entries of the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointList {
    /// The entries.
    pub entries: Vec<EndpointEntry>,
    /// Entries that could not be read, with the reason.
    pub skipped: Vec<(String, String)>,
    /// The store's revision.
    pub revision: u64,
}

/// Changes of the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointChanges {
    /// The changes in order.
    pub events: Vec<EndpointEvent>,
    /// The store's revision.
    pub revision: u64,
}

/// A change of the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// An entry was written.
    Written(EndpointEntry),
    /// An entry was removed.
    Removed(EndpointId),
    /// An entry was written that cannot be read, with the reason.
    Unreadable(EndpointId, String),
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// No answer came.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The platform turned the call away.
    #[error("turned away with status {0}")]
    Refused(u16),
    /// The history after the revision is gone; the list has to be read again.
    #[error("the history is gone")]
    HistoryGone,
    /// There is no such object.
    #[error("no such object")]
    Missing,
    /// The answer cannot be read.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}
