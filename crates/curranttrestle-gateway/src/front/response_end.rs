//! Whether a response that ended is complete.

use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap};

use super::attempt::AttemptGuard;
use super::endpoint_connection;
use super::exchange::Exchange;

/// What ends the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Its length or its last chunk. The HTTP library reports an earlier end as an error.
    Framed,
    /// The end of its connection, which a killed process causes as well.
    Connection,
}

impl Framing {
    /// The framing of a response whose body has not been read.
    #[must_use]
    pub fn of(response: &Response<Incoming>) -> Self {
        if response.body().is_end_stream() || is_framed(response.headers()) {
            Self::Framed
        } else {
            Self::Connection
        }
    }

    /// Whether a response whose body ended without an error is complete. The end of a connection counts if
    /// the run that sent the response still serves, or if the endpoint does not state its run.
    pub async fn is_complete(self, exchange: &Exchange, guard: &AttemptGuard) -> bool {
        match self {
            Self::Framed => true,
            // Boxed, since few responses need it, and all would hold its memory.
            Self::Connection => Box::pin(endpoint_connection::may_be_alive(exchange, guard)).await,
        }
    }
}

/// Whether a length or chunks frame the body of a response with these headers.
///
/// ```
/// use curranttrestle_gateway::front::response_end::is_framed;
/// use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
/// let mut headers = HeaderMap::new();
/// assert!(!is_framed(&headers));
/// headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("gzip, Chunked"));
/// assert!(is_framed(&headers));
/// ```
#[must_use]
pub fn is_framed(headers: &HeaderMap) -> bool {
    let Some(encodings) = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back()
    else {
        return headers.contains_key(header::CONTENT_LENGTH);
    };
    let last = encodings
        .to_str()
        .ok()
        .and_then(|text| text.rsplit(',').next());
    last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}
