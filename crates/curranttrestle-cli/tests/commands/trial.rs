//! The tool against a real fleet: that of `trial`.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use serde_json::Value;

use crate::support::{Ended, file, tool};

/// How long the fleet runs at most, should the test not end it.
const LONGEST_S: &str = "120";

/// A running `trial`, which ends with the test.
struct Trial {
    process: Child,
    router: String,
    fleet: String,
}

impl Trial {
    fn start() -> Self {
        let fleet = file("trial-fleet.toml", "");
        let mut process = Command::new(env!("CARGO_BIN_EXE_curranttrestle"))
            .args(["trial", "--seconds", LONGEST_S, "--fleet-file", &fleet])
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
        // The line with the timeline is the last one, after the fleet file was written.
        lines.find(|line| line.as_ref().unwrap().contains("timeline"));
        Self {
            process,
            router,
            fleet,
        }
    }

    fn operate(&self, arguments: &[&str]) -> Ended {
        let mut all = arguments.to_vec();
        all.extend(["--fleet", self.fleet.as_str()]);
        let ended = tool(&all);
        assert_eq!(ended.code, 0, "{arguments:?}: {ended:?}");
        ended
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

#[test]
fn the_commands_drive_a_real_fleet() {
    let trial = Trial::start();
    assert!(trial.operate(&["status"]).stdout.contains("ready"));
    let ended = tool(&[
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
    assert_eq!(ended.code, 0, "{ended:?}");
    let answer: Value = ended.stdout.parse().unwrap();
    let text = answer["answer"].as_str().unwrap();
    assert_eq!(answer["length_bytes"].as_u64().unwrap(), text.len() as u64);
    let request = answer["request"].as_str().unwrap();
    let timeline = trial.operate(&["timeline", "--request", request]).stdout;
    let kinds = [
        "arrived",
        "queued",
        "dispatched",
        "attempt-ended",
        "answered",
    ];
    let places = kinds.map(|kind| timeline.find(&format!("kind={kind} ")));
    assert!(
        places.iter().all(Option::is_some) && places.is_sorted(),
        "{timeline}"
    );

    let sheet = trial.operate(&["sheet", "show"]).stdout;
    let changed: String = sheet
        .lines()
        .map(|line| line.replace("operation,draft-report", "operation,draft-notes") + "\n")
        .collect();
    let changed = file("trial-changed.csv", &changed);
    let diff = trial.operate(&["sheet", "diff", &changed]).stdout;
    assert!(diff.contains("- operation draft-report\n"), "{diff}");
    assert!(diff.contains("+ operation draft-notes "), "{diff}");
    let submitted = trial.operate(&["sheet", "submit", &changed]).stdout;
    assert!(
        submitted.contains("is accepted\nin force at: "),
        "{submitted}"
    );
    let diff = trial.operate(&["sheet", "diff", &changed]).stdout;
    assert!(diff.contains("no changes"), "{diff}");

    let endpoint = sheet
        .lines()
        .find(|line| line.starts_with("endpoint,") && !line.contains(",name,"));
    let endpoint = endpoint.unwrap().split(',').nth(1).unwrap();
    let marked = trial.operate(&["endpoint", "leave", endpoint]).stdout;
    assert!(
        marked.contains("is marked leaving\nin force at: "),
        "{marked}"
    );
}
