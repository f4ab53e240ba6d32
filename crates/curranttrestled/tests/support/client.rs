//! HTTP clients for callers and operators of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use curranttrestle::transport::body::read_to_end;
use futures_lite::FutureExt;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// Timeout of one HTTP exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_mins(1);

/// Maximum size of a response body.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// The reply to an HTTP request.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The status code; zero if no reply arrived.
    pub status: u16,
    /// The `Outcome` header, which states whether the request ran.
    pub outcome: String,
    /// The `Retry-After` header, in seconds.
    pub retry_after_s: Option<u64>,
    /// The body received; empty if reading it failed.
    pub body: String,
}

/// A streamed response.
#[derive(Clone, Debug, Default)]
pub struct StreamedResponse {
    /// The text of all parts. Each part is checked to start where the previous one ended.
    pub text: String,
    /// The latest resume token.
    pub resume_token: String,
    /// Whether the stream ended with the event `done`.
    pub done: bool,
    /// The problem document of the event `error`.
    pub error: Option<String>,
}

/// Sends a request and reads the reply. Returns a reply with status zero if none arrived.
pub async fn exchange(conn: Conn) -> Reply {
    let sending = async {
        let mut conn = conn.await.ok()?;
        let status = conn.status().map_or(0, |status| status as u16);
        let outcome = conn
            .response_headers()
            .get_str("Outcome")
            .unwrap_or_default()
            .to_owned();
        let retry_after_s = conn
            .response_headers()
            .get_str("Retry-After")
            .and_then(|value| value.parse().ok());
        let bytes = read_to_end(conn.response_body(), MAX_BODY_BYTES)
            .await
            .unwrap_or_default();
        let body = String::from_utf8_lossy(&bytes).into_owned();
        Some(Reply {
            status,
            outcome,
            retry_after_s,
            body,
        })
    };
    let expired = async {
        smol::Timer::after(EXCHANGE_TIMEOUT).await;
        None
    };
    sending.or(expired).await.unwrap_or_default()
}

/// Creates a client that opens a new connection for each request.
pub fn client() -> Client {
    Client::new(ClientConfig::default())
}

/// Calls an operation, authorised with a customer's key.
pub async fn call(
    router: SocketAddr,
    key: &str,
    operation: &str,
    headers: &[(&'static str, String)],
    body: &str,
) -> Reply {
    let mut conn = client()
        .post(format!("http://{router}/v1/operations/{operation}").as_str())
        .with_request_header("Authorization", format!("Bearer {key}"))
        .with_body(body.to_owned());
    for (name, value) in headers {
        conn = conn.with_request_header(*name, value.clone());
    }
    exchange(conn).await
}

/// Sends a prompt and reads the streamed response to its end.
pub async fn ask(router: SocketAddr, key: &str, operation: &str, prompt: &str) -> StreamedResponse {
    let body = serde_json::json!({ "prompt": prompt, "max_tokens": 40 }).to_string();
    let reply = call(router, key, operation, &[], &body).await;
    assert_eq!(reply.status, 200, "refused: {}", reply.body);
    read_events(&reply.body)
}

/// Parses the server-sent events of a response body.
pub fn read_events(body: &str) -> StreamedResponse {
    let mut response = StreamedResponse::default();
    for event in body.split("\n\n").filter(|event| !event.starts_with(':')) {
        let mut name = "";
        let mut data = "";
        for line in event.lines() {
            if let Some(value) = line.strip_prefix("event: ") {
                name = value;
            }
            if let Some(value) = line.strip_prefix("data: ") {
                data = value;
            }
        }
        let json: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        match name {
            "start" => {
                let token = json["resume_token"].as_str().unwrap();
                token.clone_into(&mut response.resume_token);
            }
            "done" => {
                response.done = true;
                assert_eq!(json["length"], response.text.len());
            }
            "error" => response.error = Some(data.to_owned()),
            _ if json.is_object() => {
                assert_eq!(
                    json["offset"],
                    response.text.len(),
                    "a part is missing or repeated"
                );
                response.text.push_str(json["text"].as_str().unwrap());
            }
            _ => {}
        }
    }
    response
}

/// Fetches a JSON document; null if there is none.
pub async fn get_json(address: SocketAddr, path: &str, token: &str) -> serde_json::Value {
    let conn = client()
        .get(format!("http://{address}{path}").as_str())
        .with_request_header("Authorization", format!("Bearer {token}"));
    serde_json::from_str(&exchange(conn).await.body).unwrap_or_default()
}

/// Posts a body to a router's operator listener or a stand-in's admin listener.
pub async fn post(address: SocketAddr, path: &str, token: &str, body: &str) -> Reply {
    let conn = client()
        .post(format!("http://{address}{path}").as_str())
        .with_request_header("Authorization", format!("Bearer {token}"))
        .with_body(body.to_owned());
    exchange(conn).await
}

/// Makes a booking. `key` is the customer's API key, `booking` the idempotency key.
pub async fn book(router: SocketAddr, key: &str, booking: &str, body: &str) -> Reply {
    let headers = [("Idempotency-Key", booking.to_owned())];
    call(router, key, "book-camera", &headers, body).await
}

/// Makes a booking on a new thread.
pub fn book_in_background(
    router: SocketAddr,
    key: &str,
    booking: &str,
) -> std::thread::JoinHandle<Reply> {
    let key = key.to_owned();
    let booking = booking.to_owned();
    std::thread::spawn(move || smol::block_on(book(router, &key, &booking, "camera 7")))
}

/// Registers an instance in the platform's list.
pub fn put_instance(platform: SocketAddr, status: &serde_json::Value) {
    let name = status["name"].as_str().unwrap();
    let conn = client()
        .put(format!("http://{platform}/instances/{name}").as_str())
        .with_body(status.to_string());
    let reply = smol::block_on(exchange(conn));
    assert_eq!(reply.status / 100, 2, "{reply:?}");
}
