//! Tests of the settings parser.

use curranttrestle::state::settings::{LoadReports, PolicyKind, Settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const COMPLETE_FILE: &str = r#"
[instance]
name = "rennes-1"
data_centre = "rennes"
[listen]
callers = "127.0.0.1:7101"
operators = "127.0.0.1:7102"
peers = "127.0.0.1:7103"
[platform]
address = "127.0.0.1:7000"
calls_per_second = 50
[fleet]
key = "a fleet key of the trial"
seeds = ["127.0.0.1:7113"]
[operators]
token_digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
[policy]
kind = "naive"
hedging = false
load_reports = "trust"
"#;

fn parse_findings(text: &str) -> Vec<String> {
    let findings = Settings::parse("router.toml", text).unwrap_err();
    findings.0.iter().map(ToString::to_string).collect()
}

#[test]
fn complete_file_parses_and_missing_keys_take_defaults() {
    let settings = Settings::parse("router.toml", COMPLETE_FILE).unwrap();
    assert_eq!(settings.instance.name.as_str(), "rennes-1");
    assert_eq!(settings.listen.peers.port(), 7103);
    assert_eq!(settings.platform.calls_per_second, 50);
    assert_eq!(settings.platform.timeout_ms, 1_000);
    assert_eq!(settings.fleet.seeds.len(), 1);
    assert_eq!(settings.policy.kind, PolicyKind::Naive);
    assert_eq!(settings.policy.load_reports, LoadReports::Trust);
    assert!(!settings.policy.hedging);
    assert!(!format!("{settings:?}").contains("fleet key"));
}

#[test]
fn empty_file_reports_every_required_key() {
    let found = parse_findings("");
    let expected = [
        "instance.name",
        "instance.data_centre",
        "listen.callers",
        "listen.operators",
        "listen.peers",
        "platform.address",
        "fleet.key",
        "operators.token_digest",
    ];
    assert_eq!(found.len(), expected.len());
    for (line, key) in found.iter().zip(expected) {
        assert_eq!(
            line,
            &format!("router.toml ({key}): is missing and has no default")
        );
    }
}

#[test]
fn all_findings_are_reported_together_with_locations() {
    let text = COMPLETE_FILE
        .replace("7102", "7101")
        .replace(
            "calls_per_second = 50",
            "timeout_s = 1\nwatch_timeout_ms = \"20s\"",
        )
        .replace("7113\"", "x\", 5")
        .replace("hedging = false", "hedging = \"no\"\ncolour = 1")
        .replace("\"trust\"", "\"sometimes\"")
        + "[limits]\nconnections = 0\n[timing]\nlease_ms = 600\n[extra]\n";
    let found = parse_findings(&text);
    let expected = [
        "router.toml:7:1 (listen.operators): 127.0.0.1:7101 overlaps with listen.callers (127.0.0.1:7101)",
        "router.toml:11:1 (platform.timeout_s): unknown key; did you mean timeout_ms, in milliseconds?",
        "router.toml:12:20 (platform.watch_timeout_ms): must be an integer number of milliseconds without a unit, not string",
        "router.toml:15:10 (fleet.seeds): \"127.0.0.1:x\" is not an address of the form IP:port",
        "router.toml:15:25 (fleet.seeds): must be a quoted address, not integer",
        "router.toml:20:11 (policy.hedging): must be true or false, not string",
        "router.toml:21:1 (policy.colour): unknown key; the keys of this table are kind, hedging, load_reports",
        "router.toml:22:16 (policy.load_reports): must be one of \"reconcile\", \"trust\", \"ignore\"",
        "router.toml:24:15 (limits.connections): must be from 1 to 1000000",
        "router.toml:26:1 (timing.lease_ms): 600 ms is shorter than 3 heartbeats of 500 ms",
    ];
    assert_eq!(found[..expected.len()], expected);
    assert!(found[expected.len()].starts_with("router.toml:27:2 (extra): unknown key"));
    assert_eq!(found.len(), expected.len() + 1);
}

#[test]
fn address_overrides_are_read_by_instance_name() {
    let with_via =
        |via: &str| COMPLETE_FILE.replace("[operators]", &format!("via = {via}\n[operators]"));
    let settings = Settings::parse("router.toml", &with_via("{ r2 = \"127.0.0.1:9\" }")).unwrap();
    assert_eq!(settings.fleet.via.values().next().unwrap().port(), 9);
    let found = parse_findings(&with_via("{ r2 = \"nine\" }"));
    assert!(
        found.len() == 1 && found[0].starts_with("router.toml:15:"),
        "{found:?}"
    );
    let found = parse_findings(&with_via("3"));
    assert!(
        found.len() == 1 && found[0].starts_with("router.toml:15:"),
        "{found:?}"
    );
}

#[test]
fn syntax_errors_suppress_missing_key_findings() {
    let found = parse_findings("[instance\nname = \"a\"\n[listen]\ncallers = 5\n");
    assert!(found[0].starts_with("router.toml:1:"), "{found:?}");
    assert!(found.iter().all(|line| !line.contains("missing")));
}

#[test]
fn parser_does_not_panic_on_mutated_text() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let mutation = (
        any::<prop::sample::Index>(),
        any::<prop::sample::Index>(),
        ".{0,6}",
    );
    let strategy = prop::collection::vec(mutation, 0..6);
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, |mutations| {
            let mut characters: Vec<char> = COMPLETE_FILE.chars().collect();
            for (start, length, text) in mutations {
                let start = start.index(characters.len());
                let end = (start + length.index(12)).min(characters.len());
                characters.splice(start..end, text.chars());
                characters.push('\n');
            }
            let text: String = characters.into_iter().collect();
            let _ = Settings::parse("router.toml", &text);
            Ok(())
        })
        .unwrap();
}
