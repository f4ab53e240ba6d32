//! Clients of endpoints and of the platform receive bytes without end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use curranttrestle::protocol::platform::{StoreCall, StoreResponse};
use curranttrestle::state::{AttemptId, Incarnation, InstanceId};
use curranttrestle::transport::endpoint::{
    AttemptError, EndpointClient, EndpointClientOptions, ServiceCall,
};
use curranttrestle::transport::platform::{PlatformClient, PlatformClientOptions};

const TIMEOUT_MS: u64 = 1_000;

/// Time for a call to end and its connection to close after the timeout.
const SLACK_MS: u64 = 1_000;

/// Maximum length of a response body of an endpoint, and of the platform.
const MAX_RESPONSE_BYTES: u64 = 65_536;
const MAX_PLATFORM_RESPONSE_BYTES: u64 = 16 * 1_048_576;

/// Bytes sent for each byte of a body in the shortest chunks.
const CHUNK_OVERHEAD: u64 = 3;

/// What the server may send beyond the longest response: both socket buffers.
const MAX_BUFFERED_BYTES: u64 = 32 * 1_048_576;

/// The start of a response, and the bytes that follow without end.
const RESPONSES: [(&str, &str); 7] = [
    ("", "a"),
    ("HTTP/1.1 200 OK\r\nx-filler: ", "a"),
    ("HTTP/1.1 200 OK\r\n", "x-filler: a\r\n"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "a"),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "4\r\naaaa\r\n",
    ),
];

struct EndlessServer {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    sent_bytes: Arc<AtomicU64>,
}

impl EndlessServer {
    fn start(start: &'static str, repeated: &'static str) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            open: Arc::default(),
            sent_bytes: Arc::default(),
        };
        let (open, sent_bytes) = (Arc::clone(&server.open), Arc::clone(&server.sent_bytes));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                open.fetch_add(1, Ordering::Relaxed);
                let (open, sent_bytes) = (Arc::clone(&open), Arc::clone(&sent_bytes));
                std::thread::spawn(move || {
                    // The client closes the connection, which is expected.
                    let _ = send_endlessly(stream, start, repeated, &sent_bytes);
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        server
    }
}

fn send_endlessly(
    mut stream: TcpStream,
    start: &str,
    repeated: &str,
    sent_bytes: &AtomicU64,
) -> std::io::Result<()> {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request)?;
    stream.write_all(start.as_bytes())?;
    let chunk = repeated.repeat(8_192 / repeated.len());
    loop {
        stream.write_all(chunk.as_bytes())?;
        sent_bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
    }
}

/// Runs `call` against each response and checks its result, its duration and what the server could
/// send.
fn check<T: std::fmt::Debug + Send + 'static>(
    call: fn(SocketAddr) -> T,
    max_response_bytes: u64,
    is_truthful: impl Fn(&T) -> bool,
) {
    for (start, repeated) in RESPONSES {
        let server = EndlessServer::start(start, repeated);
        let (sender, receiver) = mpsc::channel();
        let address = server.address;
        let started = Instant::now();
        std::thread::spawn(move || sender.send(call(address)));
        let limit = Duration::from_millis(TIMEOUT_MS + SLACK_MS);
        let context = format!("{start:?}, {repeated:?}");
        let result = receiver.recv_timeout(limit);
        let result = result.unwrap_or_else(|_| panic!("{context}: no result in time"));
        assert!(is_truthful(&result), "{context}: {result:?}");
        while server.open.load(Ordering::Relaxed) > 0 {
            assert!(
                started.elapsed() < limit,
                "{context}: connection not closed"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
        // Interim responses are discarded one by one.
        if repeated.starts_with("HTTP") {
            continue;
        }
        let sent_bytes = server.sent_bytes.load(Ordering::Relaxed);
        let max_bytes = max_response_bytes * CHUNK_OVERHEAD + MAX_BUFFERED_BYTES;
        assert!(sent_bytes < max_bytes, "{context}: {sent_bytes} bytes");
    }
}

fn endpoint_client() -> EndpointClient {
    EndpointClient::new(EndpointClientOptions {
        first_frame_timeout_ms: TIMEOUT_MS,
        idle_timeout_ms: TIMEOUT_MS,
        service_timeout_ms: TIMEOUT_MS,
        control_timeout_ms: TIMEOUT_MS,
        max_response_bytes: MAX_RESPONSE_BYTES,
        ..EndpointClientOptions::default()
    })
}

fn is_interrupted<T>(result: &Result<T, AttemptError>) -> bool {
    matches!(result, Err(AttemptError::Interrupted { .. }))
}

#[test]
fn endless_response_of_a_plain_service_holds_the_call_or_memory() {
    let call = |address| {
        let attempt = AttemptId {
            instance: InstanceId::new("router-1"),
            incarnation: Incarnation(1),
            sequence: 1,
        };
        smol::block_on(endpoint_client().call_service(
            address,
            ServiceCall {
                operation: "book",
                body: b"",
                attempt: &attempt,
                idempotency_key: None,
            },
        ))
    };
    check(call, MAX_RESPONSE_BYTES, is_interrupted);
}

#[test]
fn endless_load_report_holds_the_call_or_memory() {
    let call = |address| smol::block_on(endpoint_client().load(address));
    check(call, MAX_RESPONSE_BYTES, is_interrupted);
}

#[test]
fn endless_response_of_the_platform_holds_the_call_or_memory() {
    let call = |address| {
        let client = PlatformClient::new(PlatformClientOptions {
            address,
            timeout_ms: TIMEOUT_MS,
            watch_timeout_ms: TIMEOUT_MS,
            ..PlatformClientOptions::default()
        });
        smol::block_on(client.call(&StoreCall::Instances))
    };
    check(call, MAX_PLATFORM_RESPONSE_BYTES, |response| {
        *response == StoreResponse::Lost
    });
}
