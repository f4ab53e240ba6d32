//! The error type of this crate.

use std::path::PathBuf;

/// An error that stops an experiment.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in failed to start.
    #[error("failed to start a stand-in: {0}")]
    StandIn(#[from] curranttrestle_standins::Error),
    /// A router failed to start.
    #[error("failed to start a router: {0}")]
    Daemon(#[from] curranttrestled::daemon::DaemonError),
    /// A thread failed to start.
    #[error("failed to start a thread: {0}")]
    Thread(std::io::Error),
    /// The router rejected the sheet or did not respond.
    #[error("the router did not accept the sheet: status {status} (0: no response): {detail}")]
    Sheet {
        /// The HTTP status of the response, or zero if there was none.
        status: u16,
        /// The body of the response.
        detail: String,
    },
    /// The fleet did not become ready before the timeout.
    #[error("the fleet was not ready after {waited_ms} ms")]
    NotReady {
        /// The time waited, in milliseconds.
        waited_ms: u64,
    },
    /// A file or folder could not be written.
    #[error("cannot write {path}: {error}")]
    Write {
        /// The path of the file or folder.
        path: PathBuf,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// A table could not be written as CSV.
    #[error("cannot write a table as CSV: {0}")]
    Csv(#[from] csv::Error),
    /// A plot could not be drawn.
    #[error("cannot draw a plot: {0}")]
    Plot(String),
}

/// A result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
