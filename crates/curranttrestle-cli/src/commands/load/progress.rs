//! A progress line for terminals.

use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant};

use super::report::LoadReport;

/// The minimum time between two updates of the line.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Updates one line on standard error, if that is a terminal.
pub struct Progress {
    is_terminal: bool,
    last_update: Instant,
}

impl Progress {
    /// Creates a progress line without writing it.
    pub fn new() -> Self {
        Self {
            is_terminal: std::io::stderr().is_terminal(),
            last_update: Instant::now(),
        }
    }

    /// Writes the line unless it was written less than [`UPDATE_INTERVAL`] ago.
    pub fn show(&mut self, report: &LoadReport, in_flight: usize) {
        if !self.is_terminal || self.last_update.elapsed() < UPDATE_INTERVAL {
            return;
        }
        self.last_update = Instant::now();
        let line = format!("\r{}, {in_flight} in flight\x1b[K", report.summary());
        let _ = std::io::stderr().write_all(line.as_bytes());
    }

    /// Clears the line.
    pub fn clear(&self) {
        if self.is_terminal {
            let _ = std::io::stderr().write_all(b"\r\x1b[K");
        }
    }
}
