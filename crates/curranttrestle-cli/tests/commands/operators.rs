//! Tests of the operator commands against listeners with scripted responses.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::support::{
    FakeRouter, RecordedRequest, ScriptedResponse, TOKEN, ToolOutput, example, run_tool,
    run_with_routers, temp_file, unused_address,
};
use curranttrestle::state::settings::Settings;
use curranttrestle::state::sheet::{Sheet, read_sheet};
use serde_json::{Value, json};

fn status(instance: &str, sheet_number: u64, marks_version: u64) -> String {
    json!({
        "instance": instance,
        "data_centre": "rennes",
        "ready": true,
        "sheet_number": sheet_number,
        "marks_version": marks_version,
        "members": [{ "instance": "brest-1", "status": "alive" }],
    })
    .to_string()
}

fn example_sheet() -> Sheet {
    let bytes = std::fs::read(example("armor-pret.csv")).unwrap();
    read_sheet("armor-pret.csv", &bytes).unwrap()
}

/// Starts a router that returns `status` as its status and `other` for any other request.
fn router(status: String, other: ScriptedResponse) -> FakeRouter {
    FakeRouter::start(move |request: &RecordedRequest| {
        if request.bearer != TOKEN {
            return ScriptedResponse::new(401, "wrong token");
        }
        match request.request_line.as_str() {
            "GET /v1/status" => ScriptedResponse::new(200, status.clone()),
            _ => other.clone(),
        }
    })
}

#[test]
fn the_examples_have_no_findings() {
    for name in ["armor-pret.csv", "kassarulle.csv"] {
        let output = run_tool(&["sheet", "check", &example(name)]);
        assert_eq!(output.code, 0, "{output:?}");
        assert!(output.stdout.contains("customers=16"), "{output:?}");
    }
    let text = std::fs::read_to_string(example("router.toml")).unwrap();
    let settings = Settings::parse("router.toml", &text).unwrap();
    let defaults = Settings::default();
    assert_eq!(settings.limits, defaults.limits);
    assert_eq!(settings.timing, defaults.timing);
    assert_eq!(settings.policy, defaults.policy);
    assert_eq!(settings.log, defaults.log);
    assert_eq!(settings.threads, defaults.threads);
}

#[test]
fn an_invalid_sheet_is_not_submitted() {
    let sheet = temp_file("invalid.csv", "customer,a,0,zz\ntenant,b\n");
    let output = run_tool(&["sheet", "check", &sheet]);
    assert_eq!(output.code, 1);
    for place in [":1:3 (share)", ":1:4 (key_digest)", ":2:1 (kind)"] {
        assert!(output.stderr.contains(place), "{output:?}");
    }
    let output = run_tool(&["sheet", "check", &sheet, "--json"]);
    let findings: Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(
        (output.code, findings[0]["place"]["line"].as_u64()),
        (1, None)
    );
    let fake = router(status("rennes-1", 1, 0), ScriptedResponse::new(200, "{}"));
    let output = run_with_routers(&["sheet", "submit", &sheet], &[fake.address]);
    assert_eq!(output.code, 1);
    assert!(fake.received().is_empty());
}

#[test]
fn submit_reports_where_the_sheet_is_in_force() {
    let accepted = ScriptedResponse::new(200, json!({ "number": 5 }).to_string());
    let ahead = router(status("rennes-1", 5, 0), accepted.clone());
    let behind = router(status("rennes-2", 4, 0), accepted);
    let unused = unused_address();
    let sheet = example("armor-pret.csv");
    let command = ["sheet", "submit", &sheet, "--wait-ms", "300"];
    let output = run_with_routers(&command, &[unused, ahead.address, behind.address]);
    assert_eq!(output.code, 1);
    assert_eq!(
        output.stdout,
        format!(
            "sheet 5 is accepted\nin force at: rennes-1\nnot yet at: rennes-2\n\
             no answer from: {unused}\n\
             not asked, because no operators' listener was named: brest-1\n"
        )
    );
    let output = run_with_routers(&["sheet", "submit", &sheet, "--json"], &[ahead.address]);
    let report: Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!((output.code, &report["number"]), (0, &json!(5)));
    assert_eq!(report["in_force"], json!(["rennes-1"]));
}

#[test]
fn a_submission_that_lost_a_race_names_the_accepted_one() {
    let winner = json!({
        "number": 6,
        "submitted_by": "maëlle",
        "attempt": "00000000-0000-0000-0000-000000000007",
        "unix_ms": 1,
    });
    let response = ScriptedResponse::new(409, json!({ "winner": winner }).to_string());
    let fake = router(status("rennes-1", 5, 0), response);
    let output = run_with_routers(
        &["sheet", "submit", &example("armor-pret.csv")],
        &[fake.address],
    );
    assert_eq!(output.code, 4);
    assert!(
        output.stderr.contains("maëlle was first with sheet 6"),
        "{output:?}"
    );
}

/// Submits to a router whose response is lost, after which `in_force` is in force as sheet 6.
fn submit_with_lost_response(in_force: &Sheet) -> ToolOutput {
    let sheet = serde_json::to_string(&Sheet {
        number: 6,
        ..in_force.clone()
    })
    .unwrap();
    let submitted = AtomicUsize::new(0);
    let fake =
        FakeRouter::start(
            move |request: &RecordedRequest| match request.request_line.as_str() {
                "GET /v1/status" if submitted.load(Ordering::SeqCst) == 0 => {
                    ScriptedResponse::new(200, status("rennes-1", 5, 0))
                }
                "GET /v1/status" => ScriptedResponse::new(200, status("rennes-1", 6, 0)),
                "GET /v1/sheet" => ScriptedResponse::new(200, sheet.clone()),
                _ => {
                    assert_eq!(
                        submitted.fetch_add(1, Ordering::SeqCst),
                        0,
                        "submitted twice"
                    );
                    ScriptedResponse {
                        aborts: true,
                        ..ScriptedResponse::new(200, "{")
                    }
                }
            },
        );
    run_with_routers(
        &["sheet", "submit", &example("armor-pret.csv")],
        &[fake.address],
    )
}

#[test]
fn a_lost_response_is_resolved_from_the_sheet_in_force() {
    let output = submit_with_lost_response(&example_sheet());
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.stdout.contains("sheet 6 is accepted"));
    let mut other = example_sheet();
    other.customers[0].share += 1;
    assert_eq!(submit_with_lost_response(&other).code, 5);
}

#[test]
fn a_submission_is_retried_at_another_router_with_the_same_id() {
    let aborting = ScriptedResponse {
        aborts: true,
        ..ScriptedResponse::new(200, "{")
    };
    let aborting = router(status("rennes-1", 5, 0), aborting);
    let accepted = ScriptedResponse::new(200, json!({ "number": 5 }).to_string());
    let next = router(status("rennes-2", 5, 0), accepted);
    let command = ["sheet", "submit", &example("armor-pret.csv")];
    let output = run_with_routers(&command, &[aborting.address, next.address]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(
        output.stdout.starts_with("sheet 5 is accepted\n"),
        "{output:?}"
    );
    let ids = |fake: &FakeRouter| -> Vec<String> {
        let received = fake.received().into_iter();
        received
            .filter_map(|request| request.submission_id)
            .collect()
    };
    assert_eq!(ids(&aborting).len(), 1);
    assert_eq!(ids(&aborting), ids(&next));
    let output = run_with_routers(&command, &[next.address]);
    assert_eq!(output.code, 0, "{output:?}");
    assert_ne!(
        ids(&next)[0],
        ids(&next)[1],
        "a new submission has a new ID"
    );
}

#[test]
fn show_output_parses_back_and_diff_compares_with_it() {
    let sheet = Sheet {
        number: 3,
        ..example_sheet()
    };
    let response = ScriptedResponse::new(200, serde_json::to_string(&sheet).unwrap());
    let fake = router(status("rennes-1", 3, 0), response);
    let output = run_with_routers(&["sheet", "show"], &[fake.address]);
    assert_eq!(output.code, 0);
    assert_eq!(
        read_sheet("shown", output.stdout.as_bytes()),
        Ok(example_sheet())
    );
    let changed = output
        .stdout
        .replace("customer,sdis-35,20,", "customer,sdis-35,22,");
    let changed = temp_file("changed.csv", &changed);
    let output = run_with_routers(&["sheet", "diff", &changed], &[fake.address]);
    assert_eq!(output.code, 0);
    assert_eq!(
        output.stdout,
        "# against sheet 3\n~ customer sdis-35 share=20->22\n"
    );
}

#[test]
fn status_lists_routers_and_reports_unreachable_ones() {
    let fake = router(status("rennes-1", 3, 8), ScriptedResponse::new(404, ""));
    let output = run_with_routers(&["status"], &[fake.address]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.stdout.lines().nth(1).unwrap().contains("rennes-1"));
    let unused = unused_address();
    let output = run_with_routers(&["status", "--json"], &[fake.address, unused]);
    assert_eq!(output.code, 1);
    let lines: Vec<Value> = output
        .stdout
        .lines()
        .map(|line| line.parse().unwrap())
        .collect();
    assert_eq!(lines[0]["status"]["marks_version"], 8);
    assert!(lines[1]["error"].is_string());
    assert_eq!(run_with_routers(&["status"], &[unused]).code, 3);
    let wrong_token = [
        "status",
        "--operator",
        &fake.address.to_string(),
        "--token",
        "wrong",
    ];
    let output = run_tool(&wrong_token);
    assert!(
        output.code == 3 && output.stderr.contains("401"),
        "{output:?}"
    );
}

#[test]
fn endpoint_commands_wait_until_the_mark_is_in_force() {
    let accepted = ScriptedResponse::new(200, json!({ "version": 9 }).to_string());
    let first = router(status("rennes-1", 3, 9), accepted.clone());
    let second = router(status("rennes-2", 3, 8), accepted);
    let command = ["endpoint", "stop", "rennes-assistant-1", "--wait-ms", "200"];
    let output = run_with_routers(&command, &[first.address, second.address]);
    assert_eq!(output.code, 1);
    assert!(output.stdout.contains("not yet at: rennes-2"), "{output:?}");
    let sent: Value = first.received()[0].body.parse().unwrap();
    assert_eq!(sent["mark"], "stop");
    assert_eq!(sent["endpoint"], "rennes-assistant-1");
    let output = run_with_routers(
        &["endpoint", "leave", "rennes-assistant-1"],
        &[first.address],
    );
    assert_eq!(output.code, 0, "{output:?}");
}

fn event(unix_ms: u64, instance: &str, request: u64, kind: &str, details: &Value) -> Value {
    json!({
        "time": { "unix_ms": unix_ms, "counter": 0 },
        "instance": instance,
        "incarnation": 1,
        "data_centre": "rennes",
        "request": format!("00000000-0000-0000-0000-{request:012}"),
        "kind": kind,
        "details": details,
    })
}

#[test]
fn the_timeline_merges_and_filters_events() {
    let first = json!([
        event(10, "r1", 1, "arrived", &json!({ "customer": "atelier" })),
        event(30, "r1", 1, "answered", &json!({})),
        event(40, "r1", 2, "arrived", &json!({ "customer": "sdis-35" })),
    ]);
    let second = json!([
        event(20, "r2", 1, "dispatched", &json!({ "endpoint": "m1" })),
        event(50, "r2", 2, "dispatched", &json!({ "endpoint": "m2" })),
    ]);
    let first = router(String::new(), ScriptedResponse::new(200, first.to_string()));
    let second = router(
        String::new(),
        ScriptedResponse::new(200, second.to_string()),
    );
    let routers = [first.address, second.address];
    let kinds = |filter: &[&str]| {
        let mut command = vec!["timeline", "--json"];
        command.extend(filter);
        let output = run_with_routers(&command, &routers);
        assert_eq!(output.code, 0, "{output:?}");
        let events = output
            .stdout
            .lines()
            .map(|line| line.parse::<Value>().unwrap());
        let kinds = events.map(|event| event["kind"].as_str().unwrap().to_owned());
        kinds.collect::<Vec<_>>().join(" ")
    };
    assert_eq!(kinds(&[]), "arrived dispatched answered arrived dispatched");
    assert_eq!(
        kinds(&["--customer", "atelier"]),
        "arrived dispatched answered"
    );
    assert_eq!(kinds(&["--endpoint", "m2"]), "dispatched");
    assert_eq!(
        kinds(&["--kind", "answered", "--kind", "refused"]),
        "answered"
    );
    let request = "00000000-0000-0000-0000-000000000002";
    assert_eq!(kinds(&["--request", request]), "arrived dispatched");
    let requested = &first.received().last().unwrap().request_line.clone();
    assert_eq!(requested, &format!("GET /v1/events?request={request}"));
    let output = run_with_routers(&["timeline"], &[first.address, unused_address()]);
    assert!(
        output.code == 1 && output.stdout.lines().count() == 3,
        "{output:?}"
    );
}

#[test]
fn a_followed_timeline_prints_each_event_once() {
    let requested = AtomicUsize::new(0);
    let fake = FakeRouter::start(move |_: &RecordedRequest| {
        let events = [
            event(10, "r1", 1, "arrived", &json!({ "customer": "atelier" })),
            event(20, "r1", 2, "arrived", &json!({ "customer": "sdis-35" })),
            event(30, "r1", 1, "dispatched", &json!({ "endpoint": "m1" })),
            event(40, "r1", 1, "answered", &json!({})),
        ];
        let known = requested.fetch_add(1, Ordering::SeqCst) + 1;
        ScriptedResponse::new(200, json!(events[..known.min(4)]).to_string())
    });
    let address = fake.address.to_string();
    let command = ["timeline", "--json", "--follow", "--customer", "atelier"];
    let mut child = Command::new(env!("CARGO_BIN_EXE_curranttrestle"))
        .args(command)
        .args(["--operator", &address, "--token", TOKEN])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let kinds = lines.take(3).map(|line| {
        let event: Value = line.unwrap().parse().unwrap();
        event["kind"].as_str().unwrap().to_owned()
    });
    let kinds: Vec<String> = kinds.collect();
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!(kinds, ["arrived", "dispatched", "answered"]);
}

#[test]
fn usage_errors_have_their_own_exit_code() {
    assert_eq!(run_tool(&["status"]).code, 2);
    assert_eq!(run_tool(&["sheet", "submit"]).code, 2);
    assert_eq!(run_tool(&["status", "--operator", "127.0.0.1:1"]).code, 2);
    let fleet = temp_file("fleet-with-typo.toml", "operator = []\n");
    let output = run_tool(&["status", "--fleet", &fleet]);
    assert!(
        output.code == 1 && output.stderr.contains("operator"),
        "{output:?}"
    );
    assert_eq!(run_tool(&["sheet", "check", "no-such-file.csv"]).code, 1);
}
