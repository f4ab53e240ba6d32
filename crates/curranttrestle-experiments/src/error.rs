//! The error of this crate.

use std::path::PathBuf;

/// Why an experiment could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in did not start.
    #[error("a stand-in did not start: {0}")]
    StandIn(#[from] curranttrestle_standins::Error),
    /// A router did not start.
    #[error("a router did not start: {0}")]
    Daemon(#[from] curranttrestled::daemon::DaemonError),
    /// A thread could not be started.
    #[error("a thread did not start: {0}")]
    Thread(std::io::Error),
    /// The routers refused the sheet.
    #[error("the sheet was refused with status {status}: {detail}")]
    Sheet {
        /// The status of the reply; zero when none came.
        status: u16,
        /// The body of the reply.
        detail: String,
    },
    /// The fleet did not become ready in time.
    #[error("the fleet was not ready after {waited_ms} ms")]
    NotReady {
        /// How long was waited.
        waited_ms: u64,
    },
    /// A file could not be written.
    #[error("cannot write {path}: {error}")]
    Write {
        /// The file or folder.
        path: PathBuf,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// A table could not be written.
    #[error("cannot write a table: {0}")]
    Csv(#[from] csv::Error),
    /// A plot could not be drawn.
    #[error("cannot draw a plot: {0}")]
    Plot(String),
}

/// The result of this crate.
pub type Result<T> = std::result::Result<T, Error>;
