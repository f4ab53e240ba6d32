//! Command errors and their exit codes.

use std::io;
use std::path::PathBuf;

use curranttrestle::state::Findings;
use curranttrestle::state::sheet::SheetStamp;
use thiserror::Error;

use crate::client::ClientError;

/// The exit codes as `--help` prints them.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  failure: invalid input, a refusal, or an incomplete result
  2  usage error
  3  no router could be reached
  4  another operator's sheet was accepted instead of this one
  5  the outcome is unknown";

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The input is invalid.
    #[error("{0}")]
    Findings(#[from] Findings),
    /// The arguments are invalid or incomplete.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read or written.
    #[error("{}: {error}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The underlying I/O error.
        error: io::Error,
    },
    /// Standard output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
    /// A router refused the request, or the result is incomplete.
    #[error("{0}")]
    Failed(String),
    /// No router could be reached.
    #[error("unreachable: {0}")]
    NotReachable(String),
    /// Another submission was accepted first.
    #[error(
        "not accepted: {} was first with sheet {} (submission ID {})",
        winner.submitted_by, winner.number, winner.attempt
    )]
    LostRace {
        /// The submission that was accepted.
        winner: SheetStamp,
    },
    /// The request may or may not have taken effect.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

impl CliError {
    /// Returns the exit code documented in [`EXIT_CODES`].
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::File { .. } | Self::Output(_) | Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::NotReachable(_) => 3,
            Self::LostRace { .. } => 4,
            Self::Unknown(_) => 5,
        }
    }

    /// Returns whether the reader of standard output has closed the pipe, as `head` does.
    pub fn is_closed_output(&self) -> bool {
        matches!(self, Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }
}

impl From<ClientError> for CliError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotReachable { .. } => Self::NotReachable(error.to_string()),
            ClientError::TimedOut { .. } | ClientError::ConnectionLost { .. } => {
                Self::Unknown(error.to_string())
            }
        }
    }
}
