//! A router survives malformed, slow and oversized input at its listeners and responds to bad
//! requests with a problem document.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use support::client::{ask, call, get_json};
use support::fleet::{Fleet, FleetPlan, Router, TOKEN, key_of, status};
use support::raw::RawCaller;

/// Seed of the arbitrary bytes.
const SEED: [u8; 32] = [41; 32];
/// Test cases with arbitrary bytes, each sent to every listener.
const CASES: u32 = 60;
/// Time allowed beyond the limits until a router disconnects a slow sender.
const DISCONNECT_SLACK: Duration = Duration::from_secs(5);
/// Settings of the routers in these tests.
const SETTINGS: &str = "[limits]\nbody_bytes = 65536\nheader_timeout_ms = 1500\n\
                        sender_timeout_ms = 1500\nconnections = 40\n";
/// The value of `body_bytes` in [`SETTINGS`].
const MAX_BODY_BYTES: usize = 65_536;
/// The sum of the header and sender timeouts in [`SETTINGS`].
const SENDER_LIMITS: Duration = Duration::from_secs(3);

fn start(test: &str) -> Fleet {
    let plan = FleetPlan {
        routers: 1,
        services: 0,
        settings: SETTINGS,
        ..FleetPlan::default()
    };
    Fleet::start_with_sheet(test, plan)
}

/// Asserts that the router is ready, serves callers and has recorded no invariant violation.
fn assert_serves(router: &Router) {
    let status = status(router);
    assert_eq!(status["ready"], true, "{}: {status}", router.name);
    assert_eq!(status["invariant_violations"], 0, "{status}");
    let key = key_of("roofer");
    let response = smol::block_on(ask(router.callers(), &key, "draft-report", "still here"));
    assert!(response.done, "{response:?}");
}

fn post_head(extra: &str) -> String {
    let key = key_of("roofer");
    format!(
        "POST /v1/operations/draft-report HTTP/1.1\r\nHost: router\r\n\
         Authorization: Bearer {key}\r\n{extra}\r\n"
    )
}

/// Sends `piece` repeatedly until the router replies or closes the connection. Returns the caller
/// and the elapsed time.
fn send_slowly(
    router: SocketAddr,
    head: &str,
    piece: &[u8],
    pause: Duration,
) -> (RawCaller, Duration) {
    let started = Instant::now();
    let mut caller = RawCaller::send(router, head.as_bytes());
    while started.elapsed() < SENDER_LIMITS + DISCONNECT_SLACK {
        if !caller.send_more(piece) || !caller.read_some() || caller.status() != 0 {
            break;
        }
        std::thread::sleep(pause);
    }
    (caller, started.elapsed())
}

fn assert_problem(caller: &RawCaller, status: u16) {
    assert_eq!(caller.status(), status, "{}", caller.text());
    assert!(
        caller.text().contains("application/problem+json"),
        "{}",
        caller.text()
    );
    assert!(
        caller.text().contains("\"outcome\":\"not-run\""),
        "{}",
        caller.text()
    );
}

#[test]
fn slow_and_endless_senders_are_disconnected() {
    let fleet = start("front_slow");
    let router = fleet.routers[0].callers();
    let pause = Duration::from_millis(100);
    let (_, elapsed) = send_slowly(router, "POST /v1/oper", b"a", pause);
    assert!(
        elapsed < SENDER_LIMITS + DISCONNECT_SLACK,
        "slow head: {elapsed:?}"
    );
    let (_, elapsed) = send_slowly(router, "GET / HTTP/1.1\r\nX-A: b", b"\r\nX-A: b", pause);
    assert!(
        elapsed < SENDER_LIMITS + DISCONNECT_SLACK,
        "slow headers: {elapsed:?}"
    );

    let head = post_head("Content-Length: 60000\r\n");
    let (caller, elapsed) = send_slowly(router, &head, b"a", pause);
    assert!(
        elapsed < SENDER_LIMITS + DISCONNECT_SLACK,
        "slow body: {elapsed:?}"
    );
    assert!([0, 408].contains(&caller.status()), "{}", caller.text());

    let head = post_head("Transfer-Encoding: chunked\r\n");
    let chunk = format!("8000\r\n{}\r\n", "a".repeat(0x8000));
    let (caller, elapsed) = send_slowly(router, &head, chunk.as_bytes(), Duration::ZERO);
    assert!(
        elapsed < SENDER_LIMITS + DISCONNECT_SLACK,
        "endless body: {elapsed:?}"
    );
    assert!([0, 413].contains(&caller.status()), "{}", caller.text());
    assert_serves(&fleet.routers[0]);
}

#[test]
fn bad_requests_get_problem_documents() {
    let fleet = start("front_bad");
    let router = fleet.routers[0].callers();
    let send = |head: &str, body: &str| {
        let mut caller = RawCaller::send(router, format!("{head}{body}").as_bytes());
        let deadline = Instant::now() + Duration::from_secs(10);
        while caller.read_some() && !caller.text().contains('}') && Instant::now() < deadline {}
        caller
    };
    let length = |body: &str| post_head(&format!("Content-Length: {}\r\n", body.len()));
    let large = "a".repeat(MAX_BODY_BYTES + 1);
    assert_problem(&send(&length(&large), ""), 413);
    for body in [
        "",
        "{",
        "[]",
        "{\"prompt\": 3}",
        "{\"prompt\": \"a\", \"max_tokens\": -1}",
        "\u{0}",
    ] {
        assert_problem(&send(&length(body), body), 400);
    }
    let body = "{\"prompt\": \"a\"}";
    for header in [
        "Deadline-Ms: soon",
        "Deadline-Ms: -1",
        "Expected-Cost: much",
        "Idempotency-Key: x",
    ] {
        let head = post_head(&format!("Content-Length: {}\r\n{header}\r\n", body.len()));
        assert_problem(&send(&head, body), 400);
    }
    let unknown = "GET /v1/streams/00ff?offset=1 HTTP/1.1\r\nHost: router\r\n";
    let unknown = format!(
        "{unknown}Authorization: Bearer {}\r\n\r\n",
        key_of("roofer")
    );
    assert_problem(&send(&unknown, ""), 400);
    let no_key = "POST /v1/operations/draft-report HTTP/1.1\r\nHost: router\r\n\r\n";
    assert_problem(&send(no_key, ""), 401);

    let huge = post_head(&format!(
        "X-Huge: {}\r\nContent-Length: 0\r\n",
        "a".repeat(1 << 20)
    ));
    let caller = send(&huge, "");
    assert!(
        caller.status() == 0 || caller.status() / 100 == 4,
        "{}",
        caller.text()
    );
    for cost in ["inf", "NaN", "-5", "1e308"] {
        let headers = [("Expected-Cost", cost.to_owned())];
        let reply = smol::block_on(call(
            router,
            &key_of("roofer"),
            "draft-report",
            &headers,
            body,
        ));
        assert!(
            reply.status == 200 || reply.status == 400,
            "{cost}: {reply:?}"
        );
    }
    assert_serves(&fleet.routers[0]);
}

#[test]
fn operators_need_their_token() {
    let fleet = start("front_operators");
    let operators = fleet.routers[0].operators();
    for token in ["", "wrong", "operator-toke", "operator-token "] {
        for path in ["/v1/status", "/metrics", "/v1/events", "/v1/sheet"] {
            let request = format!(
                "GET {path} HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {token}x\r\n\
                 Connection: close\r\n\r\n"
            );
            let mut caller = RawCaller::send(operators, request.as_bytes());
            while caller.read_some() {}
            assert_eq!(caller.status(), 401, "{path}: {}", caller.text());
        }
    }
    let status = smol::block_on(get_json(operators, "/v1/status", TOKEN));
    assert_eq!(status["sheet_number"], 1);
}

#[test]
fn idle_connections_over_the_limit_are_closed_and_the_router_serves_again() {
    let fleet = start("front_connections");
    let router = fleet.routers[0].callers();
    let idle: Vec<TcpStream> = (0..120)
        .filter_map(|_| TcpStream::connect(router).ok())
        .collect();
    // The router closes connections without a request, which admits new ones.
    std::thread::sleep(SENDER_LIMITS);
    let key = key_of("roofer");
    let response = smol::block_on(ask(router, &key, "draft-report", "after the idle ones"));
    assert!(response.done, "{response:?}");
    drop(idle);
    assert_serves(&fleet.routers[0]);
}

/// Sends bytes and closes the connection.
fn send_bytes(address: SocketAddr, bytes: &[u8]) {
    if let Ok(mut stream) = TcpStream::connect(address) {
        let _ = stream.write_all(bytes);
    }
}

#[test]
fn arbitrary_bytes_at_any_listener_do_not_stop_the_router() {
    let fleet = start("front_bytes");
    let router = &fleet.routers[0];
    let listeners = [
        router.callers(),
        router.operators(),
        router.process.address("peers"),
    ];
    let mut runner = TestRunner::new_with_rng(
        ProptestConfig {
            cases: CASES,
            failure_persistence: None,
            ..ProptestConfig::default()
        },
        TestRng::from_seed(RngAlgorithm::ChaCha, &SEED),
    );
    let bytes = prop::collection::vec(any::<u8>(), 0..2_000);
    let prefixes = prop::sample::select(vec![
        Vec::new(),
        // A length prefix as in peer frames: 1024 bytes follow.
        vec![0, 0, 4, 0],
        vec![255; 4],
        b"POST /v1/operations/draft-report HTTP/1.1\r\n".to_vec(),
        b"GET /v1/status HTTP/1.1\r\nAuthorization: ".to_vec(),
    ]);
    runner
        .run(&(prefixes, bytes), |(prefix, bytes)| {
            let message = [prefix, bytes].concat();
            for listener in listeners {
                send_bytes(listener, &message);
            }
            Ok(())
        })
        .unwrap();
    fleet.routers.iter().for_each(assert_serves);
}
