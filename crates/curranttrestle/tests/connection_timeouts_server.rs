//! Tests the timeouts for slow callers with a server that has short timeouts.

use std::future::Future;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use curranttrestle::transport::body::read_to_end;
use curranttrestle::transport::connection_timeouts::ConnectionTimeouts;
use smol::Timer;
use smol::io::AsyncRead;
use trillium::{Body, Conn};

const IDLE_TIMEOUT_MS: u64 = 300;
const REQUEST_TIMEOUT_MS: u64 = 600;
/// The maximum time that a test waits for the server.
const DEADLINE: Duration = Duration::from_secs(30);
/// The number of chunks of a streamed response and the time between two of them.
const CHUNKS: usize = 12;
const CHUNK_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a server on a free port, which runs until the process ends.
fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let config = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_acceptor(ConnectionTimeouts {
            idle_timeout_ms: IDLE_TIMEOUT_MS,
            request_timeout_ms: REQUEST_TIMEOUT_MS,
            write_stall_timeout_ms: IDLE_TIMEOUT_MS,
        })
        .with_prebound_server(smol::net::TcpListener::try_from(listener).unwrap());
    std::mem::forget(config.spawn(handle));
    address
}

async fn handle(mut conn: Conn) -> Conn {
    if conn.path() == "/stream" {
        let chunks = SlowChunks {
            timer: Timer::after(CHUNK_INTERVAL),
            remaining_chunks: CHUNKS,
        };
        return conn.ok(Body::new_streaming(chunks, None));
    }
    match read_to_end(conn.request_body().await, 1_000).await {
        Ok(body) => conn.ok(format!("{} bytes", body.len())),
        Err(_) => conn.with_status(408).halt(),
    }
}

/// Yields one byte per interval.
struct SlowChunks {
    timer: Timer,
    remaining_chunks: usize,
}

impl AsyncRead for SlowChunks {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.remaining_chunks == 0 {
            return Poll::Ready(Ok(0));
        }
        ready!(Pin::new(&mut self.timer).poll(context));
        self.timer.set_after(CHUNK_INTERVAL);
        self.remaining_chunks -= 1;
        buffer[0] = b'x';
        Poll::Ready(Ok(1))
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(DEADLINE)).unwrap();
    stream
}

/// Reads until the server closes the connection and returns what it sent.
fn read_until_closed(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    match stream.read_to_end(&mut response) {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
        Err(error) => panic!("the server did not close the connection: {error}"),
    }
    String::from_utf8(response).unwrap()
}

/// Sends one byte at a time until the server closes the connection.
fn send_slowly(stream: &mut TcpStream) {
    let start = Instant::now();
    while start.elapsed() < DEADLINE {
        if stream.write_all(b"a").is_err() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("the server did not close the connection of a slow sender within {DEADLINE:?}");
}

#[test]
fn an_idle_connection_is_closed() {
    let mut stream = connect(serve());
    let start = Instant::now();
    assert_eq!(read_until_closed(&mut stream), "");
    assert!(start.elapsed() >= Duration::from_millis(IDLE_TIMEOUT_MS));
}

#[test]
fn a_connection_that_is_idle_after_a_response_is_closed() {
    let mut stream = connect(serve());
    let request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok";
    stream.write_all(request.as_bytes()).unwrap();
    let response = read_until_closed(&mut stream);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with("2 bytes"), "{response}");
}

#[test]
fn a_connection_with_a_slow_request_head_is_closed() {
    let mut stream = connect(serve());
    stream.write_all(b"GET / HTTP/1.1\r\nHost: ").unwrap();
    send_slowly(&mut stream);
}

#[test]
fn a_connection_with_a_slow_request_body_is_closed() {
    let mut stream = connect(serve());
    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    send_slowly(&mut stream);
}

#[test]
fn a_connection_with_a_stalled_request_body_is_closed() {
    let mut stream = connect(serve());
    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\nsome";
    stream.write_all(head.as_bytes()).unwrap();
    let response = read_until_closed(&mut stream);
    assert!(!response.contains("200"), "{response}");
}

#[test]
fn a_streamed_response_that_outlasts_all_timeouts_arrives_complete() {
    let mut stream = connect(serve());
    let start = Instant::now();
    stream
        .write_all(b"GET /stream HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        .unwrap();
    let response = read_until_closed(&mut stream);
    assert!(start.elapsed() > Duration::from_millis(IDLE_TIMEOUT_MS + REQUEST_TIMEOUT_MS));
    let (_, body) = response.split_once("\r\n\r\n").unwrap();
    assert_eq!(body.matches('x').count(), CHUNKS, "{response}");
    assert!(body.ends_with("0\r\n\r\n"), "{response}");
}
