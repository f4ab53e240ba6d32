//! The time line over log lines of gateways.

use serde_json::Value;

use crate::support::{file, tool};

/// What one gateway wrote: a request that its endpoint failed, with what came before it.
const BREST: &str = "\
at=2026-12-04T09:00:00.500 instance=brest-1 level=WARN kind=endpoint-avoided endpoint=m-1 failures=3
at=2026-12-04T09:00:01.900 instance=brest-1 level=INFO kind=endpoint-joined endpoint=m-9 source=watch
at=2026-12-04T09:00:02.000 instance=brest-1 level=WARN kind=peer-lost peer=127.0.0.1:9
instance=brest-1 level=WARN kind=log-lines-dropped count=4
at=2026-12-04T09:00:03.000 instance=brest-1 level=INFO kind=request-ended id=a1 customer=atelier outcome=failed ms=900 endpoint=m-1
at=2026-12-04T09:00:04.000 instance=brest-1 level=INFO kind=request-ended id=b2 customer=sdis-35 outcome=refused ms=0
";

/// Another, which saw the same client come again.
const RENNES: &str = "\
thread 'main' panicked somewhere else
at=2026-12-04T09:00:00.100 instance=rennes-1 level=INFO kind=started clients=127.0.0.1:80
at=2026-12-04T09:00:03.500 instance=rennes-1 level=INFO kind=request-ended id=a1 customer=atelier outcome=answered ms=40 endpoint=m-2
at=2026-12-04T09:00:03.600 instance=rennes-1 level=ERROR kind=settings-rejected error=\"a \\\"bad\\\" kind=of value\"
";

/// The kinds of the lines that are shown, from files that belong to `test`.
fn kinds(test: &str, filter: &[&str]) -> String {
    let brest = file(&format!("{test}-brest.log"), BREST);
    let rennes = file(&format!("{test}-rennes.log"), RENNES);
    let mut command = vec!["timeline", "--json", "--log", &brest, "--log", &rennes];
    command.extend(filter);
    let ended = tool(&command);
    assert_eq!(ended.code, 0, "{ended:?}");
    assert!(ended.stderr.contains("1 lines"), "{ended:?}");
    let lines = ended.stdout.lines();
    let lines = lines.map(|line| line.parse::<Value>().unwrap());
    let kinds = lines.map(|line| line["kind"].as_str().unwrap().to_owned());
    kinds.collect::<Vec<_>>().join(" ")
}

#[test]
fn lines_of_several_gateways_are_put_in_order() {
    assert_eq!(
        kinds("order", &[]),
        "started endpoint-avoided endpoint-joined peer-lost log-lines-dropped \
         request-ended request-ended settings-rejected request-ended"
    );
    assert_eq!(
        kinds("order", &["--last-s", "1"]),
        "request-ended request-ended settings-rejected request-ended"
    );
    assert_eq!(kinds("order", &["--kind", "peer-lost"]), "peer-lost");
    assert_eq!(
        kinds("order", &["--endpoint", "m-1"]),
        "endpoint-avoided request-ended"
    );
}

#[test]
fn one_request_is_followed_over_gateways_with_what_they_believed() {
    assert_eq!(
        kinds("request", &["--request", "a1"]),
        "request-ended request-ended"
    );
    assert_eq!(
        kinds("request", &["--customer", "atelier"]),
        "request-ended request-ended"
    );
    // What happened to other endpoints or at other gateways is left out.
    assert_eq!(
        kinds("request", &["--request", "a1", "--context-s", "2"]),
        "endpoint-avoided peer-lost log-lines-dropped request-ended request-ended"
    );
    assert_eq!(
        kinds("request", &["--request", "a1", "--context-s", "0"]),
        "request-ended request-ended"
    );
}

#[test]
fn quoted_values_are_one_field_and_lines_are_printed_as_written() {
    let rennes = file("quoted-rennes.log", RENNES);
    let command = ["timeline", "--log", &rennes, "--kind", "settings-rejected"];
    let ended = tool(&command);
    assert_eq!(
        ended.stdout,
        format!("{}\n", RENNES.lines().last().unwrap())
    );
    let json = tool(&[&command[..], &["--json"]].concat());
    let line: Value = json.stdout.parse().unwrap();
    assert_eq!(line["error"], "a \"bad\" kind=of value");
    assert_eq!(line["kind"], "settings-rejected");
}

#[test]
fn a_log_that_cannot_be_read_is_named() {
    let ended = tool(&["timeline", "--log", "/nowhere/brest-1.log"]);
    assert_eq!(ended.code, 1, "{ended:?}");
    assert!(ended.stderr.contains("/nowhere/brest-1.log"), "{ended:?}");
    let ended = tool(&["timeline", "--log", "-", "--follow"]);
    assert_eq!(ended.code, 2, "{ended:?}");
}
