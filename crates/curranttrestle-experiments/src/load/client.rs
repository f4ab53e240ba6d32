//! The HTTP client of a caller.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranttrestle_standins::engine::tokens_marker;
use futures_lite::{AsyncReadExt, FutureExt};
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

use super::workload::{Arrival, Sample};
use crate::fleet::{OPERATION, key_of};

/// Extra time after the deadline in which the router can still refuse the request.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);
/// Timeout of an exchange that has no deadline of its own.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Occurs once in each chunk of a streamed response.
const CHUNK_MARKER: &[u8] = b"\"offset\":";
/// The line that ends a complete streamed response.
const DONE_MARKER: &[u8] = b"event: done";

/// Sends one request and returns the status and body of its response. The status is zero if
/// there was no response before the timeout.
pub async fn exchange(conn: Conn) -> (u16, String) {
    let sending = async {
        let mut conn = conn.await.ok()?;
        let status = conn.status().map_or(0, |status| status as u16);
        let bytes = conn.response_body().read_bytes().await.unwrap_or_default();
        Some((status, String::from_utf8_lossy(&bytes).into_owned()))
    };
    let expired = async {
        smol::Timer::after(EXCHANGE_TIMEOUT).await;
        None
    };
    sending.or(expired).await.unwrap_or_default()
}

/// Where a load sends its requests, and the deadline it sets.
#[derive(Clone, Debug)]
pub struct Target {
    /// The caller-facing address of each router.
    pub routers: Vec<SocketAddr>,
    /// The names of the customers.
    pub customers: Vec<String>,
    /// The deadline of each request, in milliseconds.
    pub deadline_ms: u64,
    /// The start of the load.
    pub started: Instant,
}

impl Target {
    fn elapsed_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1_000.0
    }
}

/// Sends one request and reads its response to the end. `sample` is updated as the response
/// arrives, so that it is valid even if this call times out or is cancelled.
pub async fn call(target: &Target, arrival: &Arrival, number: u64, sample: &mut Sample) {
    let expired = async {
        let wait = Duration::from_millis(target.deadline_ms) + DEADLINE_GRACE;
        smol::Timer::after(wait).await;
    };
    let calling = async {
        let _ = send(target, arrival, number, sample).await;
    };
    calling.or(expired).await;
}

async fn send(target: &Target, arrival: &Arrival, number: u64, sample: &mut Sample) -> Option<()> {
    let router = target.routers[arrival.router];
    let customer = &target.customers[arrival.customer];
    let prompt = format!("request {number} {}", tokens_marker(arrival.tokens));
    let body = serde_json::json!({ "prompt": prompt, "max_tokens": arrival.tokens });
    let mut conn = Client::new(ClientConfig::default())
        .post(format!("http://{router}/v1/operations/{OPERATION}").as_str())
        .with_request_header("Authorization", format!("Bearer {}", key_of(customer)))
        .with_request_header("Deadline-Ms", target.deadline_ms.to_string())
        .with_body(body.to_string());
    if let Some(hint) = arrival.hint {
        conn = conn.with_request_header("Expected-Cost", format!("{hint:.1}"));
    }
    let mut conn = conn.await.ok()?;
    sample.status = conn.status().map_or(0, |status| status as u16);
    sample.first_ms = Some(target.elapsed_ms());
    let is_complete = read_chunks(&mut conn, &mut sample.chunks).await;
    if is_complete {
        sample.done_ms = Some(target.elapsed_ms());
    }
    Some(())
}

/// Counts the chunks of a streamed response. Returns whether the response is complete.
async fn read_chunks(conn: &mut Conn, chunks: &mut u64) -> bool {
    let mut body = conn.response_body();
    let mut buffer = [0; 4_096];
    let mut unparsed: Vec<u8> = Vec::new();
    let mut is_complete = false;
    while let Ok(length @ 1..) = body.read(&mut buffer).await {
        unparsed.extend_from_slice(&buffer[..length]);
        let Some(end) = unparsed.iter().rposition(|byte| *byte == b'\n') else {
            continue;
        };
        for line in unparsed[..end].split(|byte| *byte == b'\n') {
            *chunks += u64::from(contains(line, CHUNK_MARKER));
            is_complete |= line == DONE_MARKER;
        }
        unparsed.drain(..=end);
    }
    is_complete
}

fn contains(line: &[u8], marker: &[u8]) -> bool {
    line.windows(marker.len()).any(|window| window == marker)
}
