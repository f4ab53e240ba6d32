//! Tests of `timeline --log` with log lines of gateways.

use serde_json::Value;

use crate::support::{run_tool, temp_file};

/// The log of one gateway: a request that failed at its endpoint, with the lines before it.
const BREST: &str = "\
at=2026-12-04T09:00:00.500 instance=brest-1 level=WARN kind=endpoint-avoided endpoint=m-1 failures=3
at=2026-12-04T09:00:01.900 instance=brest-1 level=INFO kind=endpoint-joined endpoint=m-9 source=watch
at=2026-12-04T09:00:02.000 instance=brest-1 level=WARN kind=peer-lost peer=127.0.0.1:9
instance=brest-1 level=WARN kind=log-lines-dropped count=4
at=2026-12-04T09:00:03.000 instance=brest-1 level=INFO kind=request-ended id=a1 customer=atelier outcome=failed ms=900 endpoint=m-1
at=2026-12-04T09:00:04.000 instance=brest-1 level=INFO kind=request-ended id=b2 customer=sdis-35 outcome=refused ms=0
";

/// The log of another gateway, which received the retry of the same request.
const RENNES: &str = "\
thread 'main' panicked somewhere else
at=2026-12-04T09:00:00.100 instance=rennes-1 level=INFO kind=started clients=127.0.0.1:80
at=2026-12-04T09:00:03.500 instance=rennes-1 level=INFO kind=request-ended id=a1 customer=atelier outcome=answered ms=40 endpoint=m-2
at=2026-12-04T09:00:03.600 instance=rennes-1 level=ERROR kind=settings-rejected error=\"a \\\"bad\\\" kind=of value\"
";

/// Returns the kinds of the printed lines. `test` prefixes the file names, because tests run
/// in parallel.
fn kinds(test: &str, filter: &[&str]) -> String {
    let brest = temp_file(&format!("{test}-brest.log"), BREST);
    let rennes = temp_file(&format!("{test}-rennes.log"), RENNES);
    let mut command = vec!["timeline", "--json", "--log", &brest, "--log", &rennes];
    command.extend(filter);
    let output = run_tool(&command);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.stderr.contains("1 lines"), "{output:?}");
    let lines = output.stdout.lines();
    let lines = lines.map(|line| line.parse::<Value>().unwrap());
    let kinds = lines.map(|line| line["kind"].as_str().unwrap().to_owned());
    kinds.collect::<Vec<_>>().join(" ")
}

#[test]
fn lines_of_several_gateways_are_sorted_by_time() {
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
fn a_request_is_shown_across_gateways_with_its_context() {
    assert_eq!(
        kinds("request", &["--request", "a1"]),
        "request-ended request-ended"
    );
    assert_eq!(
        kinds("request", &["--customer", "atelier"]),
        "request-ended request-ended"
    );
    // Lines about other endpoints or from other gateways are omitted.
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
fn quoted_values_are_one_field_and_lines_are_printed_unchanged() {
    let rennes = temp_file("quoted-rennes.log", RENNES);
    let command = ["timeline", "--log", &rennes, "--kind", "settings-rejected"];
    let output = run_tool(&command);
    assert_eq!(
        output.stdout,
        format!("{}\n", RENNES.lines().last().unwrap())
    );
    let json = run_tool(&[&command[..], &["--json"]].concat());
    let line: Value = json.stdout.parse().unwrap();
    assert_eq!(line["error"], "a \"bad\" kind=of value");
    assert_eq!(line["kind"], "settings-rejected");
}

#[test]
fn an_unreadable_log_is_named_in_the_error() {
    let output = run_tool(&["timeline", "--log", "/nowhere/brest-1.log"]);
    assert_eq!(output.code, 1, "{output:?}");
    assert!(output.stderr.contains("/nowhere/brest-1.log"), "{output:?}");
    let output = run_tool(&["timeline", "--log", "-", "--follow"]);
    assert_eq!(output.code, 2, "{output:?}");
}
