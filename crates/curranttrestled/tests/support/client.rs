//! A caller and an operator of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use curranttrestle::transport::body::read_to_end;
use futures_lite::FutureExt;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// The longest that any exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_mins(1);

/// The largest body that is read.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// A reply to an HTTP request.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The status; zero when no reply came.
    pub status: u16,
    /// The header that says what became of the request.
    pub outcome: String,
    /// When the request may be sent again, if the reply says so.
    pub retry_after_s: Option<u64>,
    /// The body as far as it came.
    pub body: String,
}

/// A streamed answer.
#[derive(Clone, Debug, Default)]
pub struct StreamAnswer {
    /// The texts of all parts, each checked to continue the one before.
    pub text: String,
    /// The last resume token.
    pub resume_token: String,
    /// The stream ended with the event `done`.
    pub done: bool,
    /// The problem document of the event `error`.
    pub error: Option<String>,
}

/// Makes one exchange; a reply without status when none came.
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

/// A client that opens a connection for each request.
pub fn client() -> Client {
    Client::new(ClientConfig::default())
}

/// Calls an operation with a customer's key.
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

/// Asks the model and reads the whole streamed answer.
pub async fn ask(router: SocketAddr, key: &str, operation: &str, prompt: &str) -> StreamAnswer {
    let body = serde_json::json!({ "prompt": prompt, "max_tokens": 40 }).to_string();
    let reply = call(router, key, operation, &[], &body).await;
    assert_eq!(reply.status, 200, "refused: {}", reply.body);
    read_events(&reply.body)
}

/// Reads server-sent events.
pub fn read_events(body: &str) -> StreamAnswer {
    let mut answer = StreamAnswer::default();
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
                token.clone_into(&mut answer.resume_token);
            }
            "done" => {
                answer.done = true;
                assert_eq!(json["length"], answer.text.len());
            }
            "error" => answer.error = Some(data.to_owned()),
            _ if json.is_object() => {
                assert_eq!(
                    json["offset"],
                    answer.text.len(),
                    "a part is missing or repeated"
                );
                answer.text.push_str(json["text"].as_str().unwrap());
            }
            _ => {}
        }
    }
    answer
}

/// Reads a JSON document.
pub async fn get_json(address: SocketAddr, path: &str, token: &str) -> serde_json::Value {
    let conn = client()
        .get(format!("http://{address}{path}").as_str())
        .with_request_header("Authorization", format!("Bearer {token}"));
    serde_json::from_str(&exchange(conn).await.body).unwrap_or_default()
}

/// Sends a body to an operators' listener or to the admin listener of a stand-in.
pub async fn post(address: SocketAddr, path: &str, token: &str, body: &str) -> Reply {
    let conn = client()
        .post(format!("http://{address}{path}").as_str())
        .with_request_header("Authorization", format!("Bearer {token}"))
        .with_body(body.to_owned());
    exchange(conn).await
}

/// Makes a booking with an idempotency key.
pub async fn book(router: SocketAddr, key: &str, booking: &str, body: &str) -> Reply {
    let headers = [("Idempotency-Key", booking.to_owned())];
    call(router, key, "book-camera", &headers, body).await
}

/// Makes a booking in a thread of its own.
pub fn book_in_background(
    router: SocketAddr,
    key: &str,
    booking: &str,
) -> std::thread::JoinHandle<Reply> {
    let key = key.to_owned();
    let booking = booking.to_owned();
    std::thread::spawn(move || smol::block_on(book(router, &key, &booking, "camera 7")))
}

/// Puts an instance into the platform's list.
pub fn put_instance(platform: SocketAddr, status: &serde_json::Value) {
    let name = status["name"].as_str().unwrap();
    let conn = client()
        .put(format!("http://{platform}/instances/{name}").as_str())
        .with_body(status.to_string());
    let reply = smol::block_on(exchange(conn));
    assert_eq!(reply.status / 100, 2, "{reply:?}");
}
