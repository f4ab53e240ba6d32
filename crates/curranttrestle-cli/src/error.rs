//! Errors of the tool and its exit codes.

use std::io;
use std::path::PathBuf;

use curranttrestle::state::Findings;
use curranttrestle::state::sheet::SheetStamp;
use thiserror::Error;

use crate::client::ClientError;

/// The exit codes, for `--help`.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  findings, a refusal, or not done everywhere
  2  wrong usage
  3  no router could be reached
  4  another operator's sheet was accepted in place of this one
  5  the outcome is not known";

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// An input has faults.
    #[error("{0}")]
    Findings(#[from] Findings),
    /// The arguments do not fit together.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read.
    #[error("{}: {error}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// The output can't be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
    /// A router refused, or did only a part.
    #[error("{0}")]
    Failed(String),
    /// No router could be reached.
    #[error("not reached: {0}")]
    NotReachable(String),
    /// Another submission came first.
    #[error(
        "not accepted: {} was first with sheet {} (attempt {})",
        winner.submitted_by, winner.number, winner.attempt
    )]
    LostRace {
        /// The submission that was accepted.
        winner: SheetStamp,
    },
    /// It is not known what became of it.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

impl CliError {
    /// The exit code, as [`EXIT_CODES`] says.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::File { .. } | Self::Output(_) | Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::NotReachable(_) => 3,
            Self::LostRace { .. } => 4,
            Self::Unknown(_) => 5,
        }
    }

    /// Whether whoever read the output has closed it, as `head` does.
    pub fn is_closed_output(&self) -> bool {
        matches!(self, Self::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }
}

impl From<ClientError> for CliError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotReachable { .. } => Self::NotReachable(error.to_string()),
            ClientError::TimedOut { .. } | ClientError::Broken { .. } => {
                Self::Unknown(error.to_string())
            }
        }
    }
}
