//! A progress line on a terminal.

use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant};

use super::report::LoadReport;

/// The time between two lines.
const INTERVAL: Duration = Duration::from_millis(500);

/// Rewrites one line of the standard error while that is a terminal.
pub struct Progress {
    is_terminal: bool,
    last: Instant,
}

impl Progress {
    /// A line that has not been written yet.
    pub fn new() -> Self {
        Self {
            is_terminal: std::io::stderr().is_terminal(),
            last: Instant::now(),
        }
    }

    /// Writes the line when it is time to.
    pub fn show(&mut self, report: &LoadReport, under_way: usize) {
        if !self.is_terminal || self.last.elapsed() < INTERVAL {
            return;
        }
        self.last = Instant::now();
        let line = format!("\r{}, {under_way} under way\x1b[K", report.summary());
        let _ = std::io::stderr().write_all(line.as_bytes());
    }

    /// Removes the line.
    pub fn clear(&self) {
        if self.is_terminal {
            let _ = std::io::stderr().write_all(b"\r\x1b[K");
        }
    }
}
