//! Child processes of a test, which are signalled by process id.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// A running child process and the key=value pairs of its first line of output.
pub struct Process {
    child: Child,
    fields: IndexMap<String, String>,
}

/// Returns the path of a workspace binary.
pub fn program(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_curranttrestled")).with_file_name(name)
}

impl Process {
    /// Starts a program and parses its first line of output.
    pub fn start(name: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(program(name))
            .args(arguments)
            .env("CURRANTTRESTLE_FATAL_INVARIANTS", "1")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {name}: {error}"));
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the first line is text");
        let fields = line
            .split_whitespace()
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        Self { child, fields }
    }

    /// Returns an address from the first line of output.
    pub fn address(&self, field: &str) -> SocketAddr {
        self.fields
            .get(field)
            .and_then(|value| value.parse().ok())
            .unwrap_or_else(|| panic!("no address {field} in {:?}", self.fields))
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process until it is resumed.
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Asks for a graceful shutdown.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Waits for the process to exit and returns its exit code; `None` after `timeout` or if
    /// a signal ended the process.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()
            .expect("kill can be run");
        assert!(status.success(), "the signal {name} could not be sent");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
