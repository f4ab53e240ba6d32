//! Tests of `call` and `load` against listeners with scripted responses.

use crate::support::{
    FakeRouter, RecordedRequest, ScriptedResponse, ToolOutput, run_tool, unused_address,
};
use serde_json::{Value, json};

fn part(offset: usize, text: &str) -> String {
    format!("data: {}\n\n", json!({ "offset": offset, "text": text }))
}

fn start() -> String {
    let padding = " ".repeat(600);
    let data = json!({ "request": "r-1", "resume_token": "token.1" });
    format!(":{padding}\n\nevent: start\ndata: {data}\n\n")
}

fn done(length: usize) -> String {
    let data = json!({ "outcome": "answered", "length": length });
    format!("event: done\ndata: {data}\n\n")
}

fn problem(status: u16, outcome: &str, reason: &str) -> ScriptedResponse {
    let body = json!({ "status": status, "outcome": outcome, "reason": reason, "detail": "why" });
    ScriptedResponse {
        headers: vec![
            ("Content-Type", "application/problem+json".to_owned()),
            ("Outcome", outcome.to_owned()),
        ],
        ..ScriptedResponse::new(status, body.to_string())
    }
}

fn call(routers: &[&FakeRouter], arguments: &[&str]) -> ToolOutput {
    let mut command: Vec<String> = ["call", "answer", "--key", "secret"]
        .map(str::to_owned)
        .into();
    for router in routers {
        command.extend(["--router".to_owned(), router.address.to_string()]);
    }
    command.extend(arguments.iter().map(|text| (*text).to_owned()));
    run_tool(&command.iter().map(String::as_str).collect::<Vec<_>>())
}

#[test]
fn a_streamed_response_is_printed_completely() {
    let body = [start(), part(0, "Calibré"), part(8, " hier."), done(14)].concat();
    let fake = FakeRouter::start(move |_| ScriptedResponse::stream(body.clone(), false));
    let output = call(&[&fake], &["--prompt", "quand ?", "--max-tokens", "7"]);
    assert_eq!(
        (output.code, output.stdout.as_str()),
        (0, "Calibré hier.\n"),
        "{}",
        output.stderr
    );
    let request = &fake.received()[0];
    assert_eq!(request.request_line, "POST /v1/operations/answer");
    assert_eq!(request.bearer, "secret");
    let sent: Value = request.body.parse().unwrap();
    assert_eq!(sent, json!({ "prompt": "quand ?", "max_tokens": 7 }));
}

#[test]
fn an_interrupted_stream_is_resumed_through_another_router() {
    let broken = [start(), part(0, "abc")].concat();
    let first = FakeRouter::start(move |_| ScriptedResponse::stream(broken.clone(), true));
    let rest = [start(), part(3, "def"), done(6)].concat();
    let second = FakeRouter::start(move |_| ScriptedResponse::stream(rest.clone(), false));
    let output = call(&[&first, &second], &["--prompt", "p", "--json"]);
    assert_eq!(output.code, 0, "{output:?}");
    let document: Value = output.stdout.parse().unwrap();
    assert_eq!(document["answer"], "abcdef");
    assert_eq!(document["outcome"], "answered");
    assert_eq!(
        second.received()[0].request_line,
        "GET /v1/streams/token.1?offset=3"
    );
    assert_eq!(first.received().len(), 1);
}

#[test]
fn a_malformed_stream_has_an_unknown_outcome() {
    for body in [
        [start(), part(0, "abc"), part(4, "e"), done(5)].concat(),
        [start(), part(0, "abc"), done(9)].concat(),
        start() + "data: {\n\n",
    ] {
        let fake = FakeRouter::start(move |_| ScriptedResponse::stream(body.clone(), false));
        let output = call(&[&fake], &["--prompt", "p"]);
        assert_eq!(output.code, 5, "{output:?}");
    }
}

#[test]
fn exit_codes_reflect_the_outcome() {
    let answered = ScriptedResponse {
        headers: vec![("Outcome", "answered".to_owned())],
        ..ScriptedResponse::new(201, "{\"booking\":7}")
    };
    let cases = [
        (answered, 0, "{\"booking\":7}\n"),
        (problem(429, "not-run", "queue-full"), 1, ""),
        (problem(502, "unknown", "attempt-lost"), 5, ""),
        (ScriptedResponse::new(500, "no header"), 5, ""),
        (
            ScriptedResponse {
                aborts: true,
                ..ScriptedResponse::new(200, "{")
            },
            5,
            "",
        ),
    ];
    for (response, code, stdout) in cases {
        let fake = FakeRouter::start(move |_| response.clone());
        let output = call(&[&fake], &["--body", "{}", "--idempotency-key", "auto"]);
        assert_eq!(
            (output.code, output.stdout.as_str()),
            (code, stdout),
            "{output:?}"
        );
        let received = fake.received();
        assert_eq!(received.len(), 1, "the call was sent more than once");
        let key = received[0].idempotency_key.clone().unwrap();
        assert_eq!(key.as_bytes()[14], b'7');
        assert!(output.stderr.contains(&key));
    }
    let unused = unused_address().to_string();
    let output = run_tool(&["call", "answer", "--key", "k", "--router", &unused]);
    assert_eq!(output.code, 3, "{output:?}");
    let invalid_key = [
        "call",
        "answer",
        "--key",
        "k",
        "--router",
        &unused,
        "--idempotency-key",
        "x",
    ];
    assert_eq!(run_tool(&invalid_key).code, 2);
}

fn load(fake: &FakeRouter, seed: &str) -> Value {
    let output = run_tool(&[
        "load",
        "answer",
        "--router",
        &fake.address.to_string(),
        "--customer",
        "a:key-a:3",
        "--customer",
        "b:key-b",
        "--rate",
        "400",
        "--count",
        "60",
        "--seed",
        seed,
        "--prompt",
        "q %n",
        "--max-tokens",
        "5-90",
        "--json",
    ]);
    assert_eq!(output.code, 0, "{output:?}");
    output.stdout.parse().unwrap()
}

#[test]
fn load_measures_each_customer_and_depends_only_on_the_seed() {
    let script = |request: &RecordedRequest| match request.bearer.as_str() {
        "key-a" => ScriptedResponse::stream([start(), part(0, "abc"), done(3)].concat(), false),
        _ => problem(429, "not-run", "queue-full"),
    };
    let bodies = |fake: &FakeRouter| {
        let mut bodies: Vec<(String, String)> = fake
            .received()
            .into_iter()
            .map(|request| (request.body, request.bearer))
            .collect();
        bodies.sort();
        bodies
    };
    let (first, second, third) = (
        FakeRouter::start(script),
        FakeRouter::start(script),
        FakeRouter::start(script),
    );
    let report = load(&first, "5");
    load(&second, "5");
    load(&third, "6");
    assert_eq!(bodies(&first).len(), 60);
    assert_eq!(bodies(&first), bodies(&second));
    assert_ne!(bodies(&first), bodies(&third));
    let count = |customer: usize, name: &str| report["customers"][customer][name].as_u64().unwrap();
    assert_eq!(count(0, "sent") + count(1, "sent"), 60);
    assert_eq!(count(0, "answered"), count(0, "sent"));
    assert_eq!(count(1, "not_run"), count(1, "sent"));
    assert!(count(0, "sent") > count(1, "sent"));
    assert_eq!(report["reasons"]["queue-full"], count(1, "sent"));
    assert!(report["customers"][0]["whole_ms"]["p50"].as_f64().unwrap() > 0.0);
}
