//! Runs one case of the review: `runner CASE DIRECTORY`. Exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod fleet;
mod http;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::Arc;
use std::thread;

use cases::Case;
use fleet::{Record, end_children, sleep_ms};

/// A run that takes longer is ended.
const MAX_RUN_MS: u64 = 110_000;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, directory] = &arguments[..] else {
        eprintln!("usage: runner CASE DIRECTORY");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = temporary_directory(name);
    let record = std::fs::create_dir_all(&temporary).and_then(|()| {
        Record::create(&Path::new(directory).join("record.txt"))
    });
    let record = match record {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("the case cannot run: {error}");
            exit(2);
        }
    };
    record.line(&format!("case {name}, disruption {}", if has_trouble { "on" } else { "off" }));
    let watched = Arc::clone(&record);
    thread::spawn(move || {
        sleep_ms(MAX_RUN_MS);
        watched.line("the run takes too long");
        end_children();
        exit(2);
    });
    let case = Case { directory: temporary.clone(), record: Arc::clone(&record), has_trouble };
    let result = cases::run(name, &case);
    end_children();
    let _ = std::fs::remove_dir_all(&temporary);
    let code = match result {
        Ok(true) => {
            record.line("result: the rule was broken");
            1
        }
        Ok(false) => {
            record.line("result: the rule held");
            0
        }
        Err(error) => {
            record.line(&format!("result: the case could not run: {error}"));
            2
        }
    };
    exit(code);
}

fn temporary_directory(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("review-3-{name}-{}", std::process::id()))
}
