//! The endpoint client against a server that breaks off at each stage of a request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use curranttrestle::protocol::endpoint::{Order, OrderKind};
use curranttrestle::state::{AttemptId, Incarnation, InstanceId};
use curranttrestle::transport::endpoint::{
    AttemptError, EndpointClient, EndpointClientOptions, InterruptCause, NotRunReason,
    ServiceAnswer, ServiceCall,
};

/// How long a repeated request is waited for.
const REPEAT_WAIT_MS: u64 = 300;

/// A port where nothing listens.
const UNUSED_PORT: u16 = 1;

/// How far the server goes before it closes the connection.
#[derive(Clone, Copy, Debug)]
enum BreakOff {
    AtOnce,
    AfterHead,
    AfterBody,
    InAnswer,
}

struct Server {
    address: SocketAddr,
    arrivals: Arc<AtomicU32>,
}

fn serve(break_off: BreakOff) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let arrivals = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&arrivals);
    thread::spawn(move || {
        for stream in listener.incoming() {
            counted.fetch_add(1, Ordering::SeqCst);
            answer(stream.unwrap(), break_off);
        }
    });
    Server { address, arrivals }
}

fn answer(mut stream: TcpStream, break_off: BreakOff) {
    if matches!(break_off, BreakOff::AtOnce) {
        return;
    }
    read_until(&mut stream, b"\r\n\r\n");
    if matches!(break_off, BreakOff::AfterHead) {
        return;
    }
    stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").unwrap();
    read_until(&mut stream, b"}");
    if matches!(break_off, BreakOff::AfterBody) {
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

fn book(address: SocketAddr) -> Result<ServiceAnswer, AttemptError> {
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
fn a_call_whose_connection_breaks_arrives_exactly_once() {
    for break_off in [
        BreakOff::AtOnce,
        BreakOff::AfterHead,
        BreakOff::AfterBody,
        BreakOff::InAnswer,
    ] {
        let server = serve(break_off);
        let error = book(server.address).unwrap_err();
        let expected = interrupted(InterruptCause::ConnectionLost);
        assert_eq!(error, expected, "{break_off:?}");
        thread::sleep(Duration::from_millis(REPEAT_WAIT_MS));
        let arrivals = server.arrivals.load(Ordering::SeqCst);
        assert_eq!(arrivals, 1, "{break_off:?}");
    }
}

#[test]
fn an_order_whose_connection_breaks_arrives_exactly_once() {
    let server = serve(BreakOff::AfterBody);
    let order = Order {
        kind: OrderKind::Stop,
        fencing: 1,
        incarnation: 1,
    };
    let answer = smol::block_on(client().order(server.address, &order));
    assert!(matches!(answer, Err(AttemptError::Interrupted { .. })));
    thread::sleep(Duration::from_millis(REPEAT_WAIT_MS));
    assert_eq!(server.arrivals.load(Ordering::SeqCst), 1);
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
fn a_silent_server_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let expected = interrupted(InterruptCause::Silent);
    assert_eq!(book(address).unwrap_err(), expected);
}

/// Makes the head of an answer long, so that the client reads much of the body with it.
const HEAD_PADDING_BYTES: usize = 300;

/// Answers one call with chunks of the given lengths, all sent at once.
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
        let mut answer = head.into_bytes();
        for length in lengths {
            answer.extend(format!("{length:x}\r\n{}\r\n", text(length)).bytes());
        }
        answer.extend(b"0\r\n\r\n");
        stream.write_all(&answer).unwrap();
    });
    address
}

fn text(length: usize) -> String {
    ('a'..='z').cycle().take(length).collect()
}

#[test]
fn an_answer_in_chunks_of_any_length_arrives_whole() {
    for longest in 1..300 {
        let lengths: Vec<usize> = (0..200).map(|index| 1 + index * 7 % longest).collect();
        let expected: String = lengths.iter().copied().map(text).collect();
        let answer = book(serve_chunks(lengths)).unwrap();
        let whole = answer.body == expected.as_bytes();
        assert!(whole, "chunks of up to {longest} bytes");
    }
}
