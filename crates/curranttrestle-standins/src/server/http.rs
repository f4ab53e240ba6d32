//! HTTP requests and responses, and serving them on a connection.

use std::net::SocketAddr;
use std::sync::Arc;

use curranttrestle::transport::body::read_to_end;
use indexmap::IndexMap;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde::de::DeserializeOwned;
use trillium_http::{Body, Conn, Headers, HttpConfig, KnownHeaderName, Method, Status, Stopper};

use super::connection::{Connection, Link};

/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The non-empty segments of the path, percent-decoded.
    pub segments: Vec<String>,
    /// The query parameters, percent-decoded.
    pub query: IndexMap<String, String>,
    /// The headers.
    pub headers: Headers,
    /// The complete body.
    pub body: Vec<u8>,
    /// The client's address.
    pub source: Option<SocketAddr>,
    /// Controls the connection that the request arrived on.
    pub link: Arc<Link>,
}

impl Request {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns a response with status 400 if the body is malformed.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Reply::text(Status::BadRequest, error.to_string()))
    }

    /// Returns a numeric query parameter, or zero if it is absent or malformed.
    #[must_use]
    pub fn number(&self, name: &str) -> u64 {
        let value = self.query.get(name).and_then(|value| value.parse().ok());
        value.unwrap_or(0)
    }
}

/// The response to a request.
#[derive(Debug)]
pub struct Reply {
    /// The status.
    pub status: Status,
    /// The media type of the body.
    pub content_type: &'static str,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Body,
}

impl Reply {
    /// Creates a plain text response.
    pub fn text(status: Status, text: impl Into<String>) -> Self {
        Self {
            status,
            content_type: "text/plain",
            headers: Vec::new(),
            body: Body::from(text.into()),
        }
    }

    /// Creates a response with a JSON body.
    pub fn json(status: Status, value: &impl Serialize) -> Self {
        match serde_json::to_string(value) {
            Ok(text) => Self {
                content_type: "application/json",
                ..Self::text(status, text)
            },
            Err(error) => Self::text(Status::InternalServerError, error.to_string()),
        }
    }

    /// Creates a response without a body.
    #[must_use]
    pub fn empty(status: Status) -> Self {
        Self::text(status, "")
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// HTTP settings without response buffering, so that each chunk of a stream is sent at once.
pub(super) fn http_config() -> HttpConfig {
    HttpConfig::default()
        .with_response_buffer_len(0)
        .with_received_body_max_len(MAX_BODY_BYTES)
}

/// Serves the requests of one connection until it is closed.
pub(super) async fn serve<F, Fut>(
    connection: Connection,
    source: Option<SocketAddr>,
    link: Arc<Link>,
    handler: F,
) where
    F: Fn(Request) -> Fut + Send + Sync,
    Fut: Future<Output = Reply> + Send,
{
    let exchange = |conn: Conn<Connection>| {
        let link = Arc::clone(&link);
        let handler = &handler;
        async move {
            let mut conn = conn;
            match read_request(&mut conn, source, Arc::clone(&link)).await {
                Some(request) => write_reply(&mut conn, handler(request).await),
                None => link.close(),
            }
            conn
        }
    };
    let result = Conn::map_with_config(http_config(), connection, Stopper::new(), exchange).await;
    if let Err(error) = result {
        log::debug!("event=connection-ended error=\"{error}\"");
    }
}

async fn read_request(
    conn: &mut Conn<Connection>,
    source: Option<SocketAddr>,
    link: Arc<Link>,
) -> Option<Request> {
    let body = conn.request_body().await;
    let body = read_to_end(body, MAX_BODY_BYTES).await.ok()?;
    Some(Request {
        method: conn.method(),
        segments: segments(conn.path()),
        query: query(conn.querystring()),
        headers: conn.request_headers().clone(),
        body,
        source,
        link,
    })
}

fn write_reply(conn: &mut Conn<Connection>, reply: Reply) {
    conn.set_status(reply.status);
    let headers = conn.response_headers_mut();
    headers.insert(KnownHeaderName::Connection, "keep-alive");
    headers.insert(KnownHeaderName::ContentType, reply.content_type);
    for (name, value) in reply.headers {
        headers.insert(name, value);
    }
    conn.set_response_body(reply.body);
}

fn segments(path: &str) -> Vec<String> {
    let parts = path.split('/').filter(|part| !part.is_empty());
    parts.map(decode).collect()
}

fn query(text: &str) -> IndexMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (decode(name), decode(&value.replace('+', " "))))
        .collect()
}

fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}
