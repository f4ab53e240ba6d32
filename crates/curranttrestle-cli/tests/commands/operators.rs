//! The commands of operators, against listeners that answer as scripted.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::support::{
    Ended, FakeRouter, Received, Scripted, TOKEN, dead_address, example, file, operate, tool,
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

fn armor_pret() -> Sheet {
    let bytes = std::fs::read(example("armor-pret.csv")).unwrap();
    read_sheet("armor-pret.csv", &bytes).unwrap()
}

/// A router whose status is `status` and that answers everything else with `other`.
fn router(status: String, other: Scripted) -> FakeRouter {
    FakeRouter::start(move |request: &Received| {
        if request.bearer != TOKEN {
            return Scripted::new(401, "wrong token");
        }
        match request.line.as_str() {
            "GET /v1/status" => Scripted::new(200, status.clone()),
            _ => other.clone(),
        }
    })
}

#[test]
fn the_examples_have_no_findings() {
    for name in ["armor-pret.csv", "kassarulle.csv"] {
        let ended = tool(&["sheet", "check", &example(name)]);
        assert_eq!(ended.code, 0, "{ended:?}");
        assert!(ended.stdout.contains("customers=16"), "{ended:?}");
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
fn a_faulty_sheet_is_not_sent() {
    let sheet = file("faulty.csv", "customer,a,0,zz\ntenant,b\n");
    let ended = tool(&["sheet", "check", &sheet]);
    assert_eq!(ended.code, 1);
    for place in [":1:3 (share)", ":1:4 (key_digest)", ":2:1 (kind)"] {
        assert!(ended.stderr.contains(place), "{ended:?}");
    }
    let ended = tool(&["sheet", "check", &sheet, "--json"]);
    let findings: Value = serde_json::from_str(&ended.stdout).unwrap();
    assert_eq!(
        (ended.code, findings[0]["place"]["line"].as_u64()),
        (1, None)
    );
    let fake = router(status("rennes-1", 1, 0), Scripted::new(200, "{}"));
    let ended = operate(&["sheet", "submit", &sheet], &[fake.address]);
    assert_eq!(ended.code, 1);
    assert!(fake.received().is_empty());
}

#[test]
fn submit_says_where_the_sheet_is_in_force_and_where_not() {
    let accepted = Scripted::new(200, json!({ "number": 5 }).to_string());
    let ahead = router(status("rennes-1", 5, 0), accepted.clone());
    let behind = router(status("rennes-2", 4, 0), accepted);
    let dead = dead_address();
    let sheet = example("armor-pret.csv");
    let command = ["sheet", "submit", &sheet, "--wait-ms", "300"];
    let ended = operate(&command, &[dead, ahead.address, behind.address]);
    assert_eq!(ended.code, 1);
    assert_eq!(
        ended.stdout,
        format!(
            "sheet 5 is accepted\nin force at: rennes-1\nnot yet at: rennes-2\n\
             no answer from: {dead}\n\
             not asked, because no operators' listener was named: brest-1\n"
        )
    );
    let ended = operate(&["sheet", "submit", &sheet, "--json"], &[ahead.address]);
    let report: Value = serde_json::from_str(&ended.stdout).unwrap();
    assert_eq!((ended.code, &report["number"]), (0, &json!(5)));
    assert_eq!(report["in_force"], json!(["rennes-1"]));
}

#[test]
fn the_loser_of_a_race_is_told_who_won() {
    let winner = json!({
        "number": 6,
        "submitted_by": "maëlle",
        "attempt": "00000000-0000-0000-0000-000000000007",
        "unix_ms": 1,
    });
    let answer = Scripted::new(409, json!({ "winner": winner }).to_string());
    let fake = router(status("rennes-1", 5, 0), answer);
    let ended = operate(
        &["sheet", "submit", &example("armor-pret.csv")],
        &[fake.address],
    );
    assert_eq!(ended.code, 4);
    assert!(
        ended.stderr.contains("maëlle was first with sheet 6"),
        "{ended:?}"
    );
}

/// Submits to a router whose answer is lost, after which `in_force` is in force as sheet 6.
fn submit_with_lost_answer(in_force: &Sheet) -> Ended {
    let sheet = serde_json::to_string(&Sheet {
        number: 6,
        ..in_force.clone()
    })
    .unwrap();
    let submitted = AtomicUsize::new(0);
    let fake = FakeRouter::start(move |request: &Received| match request.line.as_str() {
        "GET /v1/status" if submitted.load(Ordering::SeqCst) == 0 => {
            Scripted::new(200, status("rennes-1", 5, 0))
        }
        "GET /v1/status" => Scripted::new(200, status("rennes-1", 6, 0)),
        "GET /v1/sheet" => Scripted::new(200, sheet.clone()),
        _ => {
            assert_eq!(submitted.fetch_add(1, Ordering::SeqCst), 0, "sent twice");
            Scripted {
                breaks: true,
                ..Scripted::new(200, "{")
            }
        }
    });
    operate(
        &["sheet", "submit", &example("armor-pret.csv")],
        &[fake.address],
    )
}

#[test]
fn a_lost_answer_is_resolved_by_the_sheet_in_force() {
    let ended = submit_with_lost_answer(&armor_pret());
    assert_eq!(ended.code, 0, "{ended:?}");
    assert!(ended.stdout.contains("sheet 6 is accepted"));
    let mut other = armor_pret();
    other.customers[0].share += 1;
    assert_eq!(submit_with_lost_answer(&other).code, 5);
}

#[test]
fn a_sheet_whose_router_dies_is_submitted_through_another_one_under_the_same_id() {
    let dying = Scripted {
        breaks: true,
        ..Scripted::new(200, "{")
    };
    let dying = router(status("rennes-1", 5, 0), dying);
    let accepted = Scripted::new(200, json!({ "number": 5 }).to_string());
    let next = router(status("rennes-2", 5, 0), accepted);
    let command = ["sheet", "submit", &example("armor-pret.csv")];
    let ended = operate(&command, &[dying.address, next.address]);
    assert_eq!(ended.code, 0, "{ended:?}");
    assert!(
        ended.stdout.starts_with("sheet 5 is accepted\n"),
        "{ended:?}"
    );
    let ids = |fake: &FakeRouter| -> Vec<String> {
        let received = fake.received().into_iter();
        received.filter_map(|request| request.attempt_id).collect()
    };
    assert_eq!(ids(&dying).len(), 1);
    assert_eq!(ids(&dying), ids(&next));
    let ended = operate(&command, &[next.address]);
    assert_eq!(ended.code, 0, "{ended:?}");
    assert_ne!(
        ids(&next)[0],
        ids(&next)[1],
        "another submission has another id"
    );
}

#[test]
fn show_prints_a_sheet_that_reads_back_and_diff_compares_with_it() {
    let sheet = Sheet {
        number: 3,
        ..armor_pret()
    };
    let answer = Scripted::new(200, serde_json::to_string(&sheet).unwrap());
    let fake = router(status("rennes-1", 3, 0), answer);
    let ended = operate(&["sheet", "show"], &[fake.address]);
    assert_eq!(ended.code, 0);
    assert_eq!(
        read_sheet("shown", ended.stdout.as_bytes()),
        Ok(armor_pret())
    );
    let changed = ended
        .stdout
        .replace("customer,sdis-35,20,", "customer,sdis-35,22,");
    let changed = file("changed.csv", &changed);
    let ended = operate(&["sheet", "diff", &changed], &[fake.address]);
    assert_eq!(ended.code, 0);
    assert_eq!(
        ended.stdout,
        "# against sheet 3\n~ customer sdis-35 share=20->22\n"
    );
}

#[test]
fn status_lists_routers_and_tells_who_is_missing() {
    let fake = router(status("rennes-1", 3, 8), Scripted::new(404, ""));
    let ended = operate(&["status"], &[fake.address]);
    assert_eq!(ended.code, 0, "{ended:?}");
    assert!(ended.stdout.lines().nth(1).unwrap().contains("rennes-1"));
    let dead = dead_address();
    let ended = operate(&["status", "--json"], &[fake.address, dead]);
    assert_eq!(ended.code, 1);
    let lines: Vec<Value> = ended
        .stdout
        .lines()
        .map(|line| line.parse().unwrap())
        .collect();
    assert_eq!(lines[0]["status"]["marks_version"], 8);
    assert!(lines[1]["error"].is_string());
    assert_eq!(operate(&["status"], &[dead]).code, 3);
    let wrong = [
        "status",
        "--operator",
        &fake.address.to_string(),
        "--token",
        "wrong",
    ];
    let ended = tool(&wrong);
    assert!(ended.code == 3 && ended.stderr.contains("401"), "{ended:?}");
}

#[test]
fn endpoint_marks_wait_until_all_routers_know() {
    let accepted = Scripted::new(200, json!({ "version": 9 }).to_string());
    let first = router(status("rennes-1", 3, 9), accepted.clone());
    let second = router(status("rennes-2", 3, 8), accepted);
    let command = ["endpoint", "stop", "rennes-assistant-1", "--wait-ms", "200"];
    let ended = operate(&command, &[first.address, second.address]);
    assert_eq!(ended.code, 1);
    assert!(ended.stdout.contains("not yet at: rennes-2"), "{ended:?}");
    let sent: Value = first.received()[0].body.parse().unwrap();
    assert_eq!(sent["mark"], "stop");
    assert_eq!(sent["endpoint"], "rennes-assistant-1");
    let ended = operate(
        &["endpoint", "leave", "rennes-assistant-1"],
        &[first.address],
    );
    assert_eq!(ended.code, 0, "{ended:?}");
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
fn the_timeline_merges_routers_and_filters() {
    let first = json!([
        event(10, "r1", 1, "arrived", &json!({ "customer": "atelier" })),
        event(30, "r1", 1, "answered", &json!({})),
        event(40, "r1", 2, "arrived", &json!({ "customer": "sdis-35" })),
    ]);
    let second = json!([
        event(20, "r2", 1, "dispatched", &json!({ "endpoint": "m1" })),
        event(50, "r2", 2, "dispatched", &json!({ "endpoint": "m2" })),
    ]);
    let first = router(String::new(), Scripted::new(200, first.to_string()));
    let second = router(String::new(), Scripted::new(200, second.to_string()));
    let routers = [first.address, second.address];
    let kinds = |filter: &[&str]| {
        let mut command = vec!["timeline", "--json"];
        command.extend(filter);
        let ended = operate(&command, &routers);
        assert_eq!(ended.code, 0, "{ended:?}");
        let events = ended
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
    let asked = &first.received().last().unwrap().line.clone();
    assert_eq!(asked, &format!("GET /v1/events?request={request}"));
    let ended = operate(&["timeline"], &[first.address, dead_address()]);
    assert!(
        ended.code == 1 && ended.stdout.lines().count() == 3,
        "{ended:?}"
    );
}

#[test]
fn a_followed_timeline_prints_each_event_once() {
    let asked = AtomicUsize::new(0);
    let fake = FakeRouter::start(move |_: &Received| {
        let events = [
            event(10, "r1", 1, "arrived", &json!({ "customer": "atelier" })),
            event(20, "r1", 2, "arrived", &json!({ "customer": "sdis-35" })),
            event(30, "r1", 1, "dispatched", &json!({ "endpoint": "m1" })),
            event(40, "r1", 1, "answered", &json!({})),
        ];
        let known = asked.fetch_add(1, Ordering::SeqCst) + 1;
        Scripted::new(200, json!(events[..known.min(4)]).to_string())
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
fn wrong_usage_has_its_own_exit_code() {
    assert_eq!(tool(&["status"]).code, 2);
    assert_eq!(tool(&["sheet", "submit"]).code, 2);
    assert_eq!(tool(&["status", "--operator", "127.0.0.1:1"]).code, 2);
    let fleet = file("fleet-with-typo.toml", "operator = []\n");
    let ended = tool(&["status", "--fleet", &fleet]);
    assert!(
        ended.code == 1 && ended.stderr.contains("operator"),
        "{ended:?}"
    );
    assert_eq!(tool(&["sheet", "check", "no-such-file.csv"]).code, 1);
}
