//! Tests the endpoint client with a server that closes the connection at each stage of a request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use curranttrestle::protocol::endpoint::{Order, OrderKind};
use curranttrestle::state::{AttemptId, Incarnation, InstanceId};
use curranttrestle::transport::endpoint::{
    AttemptError, EndpointClient, EndpointClientOptions, InterruptCause, NotRunReason, ServiceCall,
    ServiceResponse,
};

/// How long to wait for an erroneous retry.
const RETRY_WAIT_MS: u64 = 300;

/// A port without a listener.
const UNUSED_PORT: u16 = 1;

/// The stage of a request at which the server closes the connection.
#[derive(Clone, Copy, Debug)]
enum CloseStage {
    BeforeHead,
    AfterHead,
    AfterBody,
    DuringResponse,
}

struct Server {
    address: SocketAddr,
    connections: Arc<AtomicU32>,
}

fn serve(close_stage: CloseStage) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&connections);
    thread::spawn(move || {
        for stream in listener.incoming() {
            counter.fetch_add(1, Ordering::SeqCst);
            respond(stream.unwrap(), close_stage);
        }
    });
    Server {
        address,
        connections,
    }
}

fn respond(mut stream: TcpStream, close_stage: CloseStage) {
    if matches!(close_stage, CloseStage::BeforeHead) {
        return;
    }
    read_until(&mut stream, b"\r\n\r\n");
    if matches!(close_stage, CloseStage::AfterHead) {
        return;
    }
    stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").unwrap();
    read_until(&mut stream, b"}");
    if matches!(close_stage, CloseStage::AfterBody) {
        return;
    }
    let head = b"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 100\r\n\r\npart";
    stream.write_all(head).unwrap();
}

fn read_until(stream: &mut TcpStream, end: &[u8]) {
    let mut read = Vec::new();
    let mut byte = [0];
    while !read.ends_with(end) {
        stream.read_exact(&mut byte).unwrap();
        read.push(byte[0]);
    }
}

fn client() -> EndpointClient {
    EndpointClient::new(EndpointClientOptions {
        service_timeout_ms: 1_000,
        ..EndpointClientOptions::default()
    })
}

fn book(address: SocketAddr) -> Result<ServiceResponse, AttemptError> {
    let attempt = AttemptId {
        instance: InstanceId::new("router-1"),
        incarnation: Incarnation(1),
        sequence: 1,
    };
    let call = ServiceCall {
        operation: "book",
        body: b"{}",
        attempt: &attempt,
        idempotency_key: None,
    };
    smol::block_on(client().call_service(address, call))
}

fn interrupted(cause: InterruptCause) -> AttemptError {
    AttemptError::Interrupted { offset: 0, cause }
}

#[test]
fn a_call_is_sent_exactly_once_if_its_connection_is_lost() {
    for close_stage in [
        CloseStage::BeforeHead,
        CloseStage::AfterHead,
        CloseStage::AfterBody,
        CloseStage::DuringResponse,
    ] {
        let server = serve(close_stage);
        let error = book(server.address).unwrap_err();
        let expected = interrupted(InterruptCause::ConnectionLost);
        assert_eq!(error, expected, "{close_stage:?}");
        thread::sleep(Duration::from_millis(RETRY_WAIT_MS));
        let connections = server.connections.load(Ordering::SeqCst);
        assert_eq!(connections, 1, "{close_stage:?}");
    }
}

#[test]
fn an_order_is_sent_exactly_once_if_its_connection_is_lost() {
    let server = serve(CloseStage::AfterBody);
    let order = Order {
        kind: OrderKind::Stop,
        fencing: 1,
        incarnation: 1,
    };
    let response = smol::block_on(client().order(server.address, &order));
    assert!(matches!(response, Err(AttemptError::Interrupted { .. })));
    thread::sleep(Duration::from_millis(RETRY_WAIT_MS));
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn a_refused_connection_proves_that_a_call_did_not_run() {
    let address = SocketAddr::from(([127, 0, 0, 1], UNUSED_PORT));
    let expected = AttemptError::NotRun {
        reason: NotRunReason::Unreachable,
    };
    assert_eq!(book(address).unwrap_err(), expected);
}

#[test]
fn a_call_to_an_unresponsive_server_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let expected = interrupted(InterruptCause::TimedOut);
    assert_eq!(book(address).unwrap_err(), expected);
}

/// The length of a padding header. A long response head makes the client read much of the body
/// together with it.
const HEAD_PADDING_BYTES: usize = 300;

/// Responds to one call with chunks of the given lengths, all sent in one write.
fn serve_chunks(lengths: Vec<usize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_until(&mut stream, b"\r\n\r\n");
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").unwrap();
        read_until(&mut stream, b"}");
        let padding = "x".repeat(HEAD_PADDING_BYTES);
        let head =
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nPadding: {padding}\r\n\r\n");
        let mut response = head.into_bytes();
        for length in lengths {
            response.extend(format!("{length:x}\r\n{}\r\n", text(length)).bytes());
        }
        response.extend(b"0\r\n\r\n");
        stream.write_all(&response).unwrap();
    });
    address
}

fn text(length: usize) -> String {
    ('a'..='z').cycle().take(length).collect()
}

#[test]
fn a_chunked_response_arrives_complete_for_any_chunk_length() {
    for longest in 1..300 {
        let lengths: Vec<usize> = (0..200).map(|index| 1 + index * 7 % longest).collect();
        let expected: String = lengths.iter().copied().map(text).collect();
        let response = book(serve_chunks(lengths)).unwrap();
        let is_complete = response.body == expected.as_bytes();
        assert!(is_complete, "chunks of up to {longest} bytes");
    }
}
