//! One caller's exchange with a router.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranttrestle_standins::engine::tokens_marker;
use futures_lite::{AsyncReadExt, FutureExt};
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

use super::workload::{Arrival, Sample};
use crate::fleet::{OPERATION, key_of};

/// Time that a router has beyond the deadline to refuse a request.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);
/// The longest that an exchange without a deadline may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// What marks a part of a streamed answer.
const PART_MARKER: &[u8] = b"\"offset\":";
/// What marks the end of a whole streamed answer.
const DONE_MARKER: &[u8] = b"event: done";

/// Makes one exchange; status zero when no answer came.
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

/// Where and when requests are sent.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where callers are served, a router each.
    pub routers: Vec<SocketAddr>,
    /// The names of the customers.
    pub customers: Vec<String>,
    /// How long a caller waits for an answer.
    pub deadline_ms: u64,
    /// When the load began.
    pub began: Instant,
}

impl Target {
    fn elapsed_ms(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1_000.0
    }
}

/// Sends one request and reads its answer to the end. `sample` always shows what was seen so
/// far, also when the call is given up.
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
    let is_done = read_parts(&mut conn, &mut sample.parts).await;
    if is_done {
        sample.done_ms = Some(target.elapsed_ms());
    }
    Some(())
}

/// Counts the parts of a streamed answer; returns whether it came whole.
async fn read_parts(conn: &mut Conn, parts: &mut u64) -> bool {
    let mut body = conn.response_body();
    let mut chunk = [0; 4_096];
    let mut rest: Vec<u8> = Vec::new();
    let mut is_done = false;
    while let Ok(length @ 1..) = body.read(&mut chunk).await {
        rest.extend_from_slice(&chunk[..length]);
        let Some(end) = rest.iter().rposition(|byte| *byte == b'\n') else {
            continue;
        };
        for line in rest[..end].split(|byte| *byte == b'\n') {
            *parts += u64::from(contains(line, PART_MARKER));
            is_done |= line == DONE_MARKER;
        }
        rest.drain(..=end);
    }
    is_done
}

fn contains(line: &[u8], marker: &[u8]) -> bool {
    line.windows(marker.len()).any(|window| window == marker)
}
