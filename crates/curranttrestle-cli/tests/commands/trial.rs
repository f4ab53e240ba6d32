//! Tests the commands against a real fleet, the one that `trial` runs.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use serde_json::Value;

use crate::support::{ToolOutput, run_tool, temp_file};

/// The maximum run time of the fleet, in case the test does not stop it.
const MAX_RUN_S: &str = "120";

/// A running `trial` process, killed on drop.
struct Trial {
    process: Child,
    router: String,
    fleet_file: String,
}

impl Trial {
    fn start() -> Self {
        let fleet_file = temp_file("trial-fleet.toml", "");
        let mut process = Command::new(env!("CARGO_BIN_EXE_curranttrestle"))
            .args(["trial", "--seconds", MAX_RUN_S, "--fleet-file", &fleet_file])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(process.stdout.take().unwrap()).lines();
        let router = lines.find_map(|line| {
            let line = line.unwrap();
            line.trim().strip_prefix("http://").map(str::to_owned)
        });
        let router = router.expect("the trial prints the routers' addresses");
        // The timeline hint is the last line, printed after the fleet file was written.
        lines.find(|line| line.as_ref().unwrap().contains("timeline"));
        Self {
            process,
            router,
            fleet_file,
        }
    }

    fn run_with_fleet_file(&self, arguments: &[&str]) -> ToolOutput {
        let mut all = arguments.to_vec();
        all.extend(["--fleet", self.fleet_file.as_str()]);
        let output = run_tool(&all);
        assert_eq!(output.code, 0, "{arguments:?}: {output:?}");
        output
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

#[test]
fn commands_work_against_a_real_fleet() {
    let trial = Trial::start();
    assert!(
        trial
            .run_with_fleet_file(&["status"])
            .stdout
            .contains("ready")
    );
    let output = run_tool(&[
        "call",
        "draft-report",
        "--router",
        &trial.router,
        "--key",
        "trial-key",
        "--prompt",
        "the roof in Brest",
        "--max-tokens",
        "20",
        "--json",
    ]);
    assert_eq!(output.code, 0, "{output:?}");
    let response: Value = output.stdout.parse().unwrap();
    let text = response["answer"].as_str().unwrap();
    assert_eq!(
        response["length_bytes"].as_u64().unwrap(),
        text.len() as u64
    );
    let request = response["request"].as_str().unwrap();
    let timeline = trial
        .run_with_fleet_file(&["timeline", "--request", request])
        .stdout;
    let kinds = [
        "arrived",
        "queued",
        "dispatched",
        "attempt-ended",
        "answered",
    ];
    let positions = kinds.map(|kind| timeline.find(&format!("kind={kind} ")));
    assert!(
        positions.iter().all(Option::is_some) && positions.is_sorted(),
        "{timeline}"
    );

    let sheet = trial.run_with_fleet_file(&["sheet", "show"]).stdout;
    let changed: String = sheet
        .lines()
        .map(|line| line.replace("operation,draft-report", "operation,draft-notes") + "\n")
        .collect();
    let changed = temp_file("trial-changed.csv", &changed);
    let diff = trial
        .run_with_fleet_file(&["sheet", "diff", &changed])
        .stdout;
    assert!(diff.contains("- operation draft-report\n"), "{diff}");
    assert!(diff.contains("+ operation draft-notes "), "{diff}");
    let submitted = trial
        .run_with_fleet_file(&["sheet", "submit", &changed])
        .stdout;
    assert!(
        submitted.contains("is accepted\nin force at: "),
        "{submitted}"
    );
    let diff = trial
        .run_with_fleet_file(&["sheet", "diff", &changed])
        .stdout;
    assert!(diff.contains("no changes"), "{diff}");

    let endpoint = sheet
        .lines()
        .find(|line| line.starts_with("endpoint,") && !line.contains(",name,"));
    let endpoint = endpoint.unwrap().split(',').nth(1).unwrap();
    let marked = trial
        .run_with_fleet_file(&["endpoint", "leave", endpoint])
        .stdout;
    assert!(
        marked.contains("is marked leaving\nin force at: "),
        "{marked}"
    );
}
