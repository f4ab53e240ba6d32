//! What is to be run.

use std::path::PathBuf;

use clap::ValueEnum;

/// The experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, ValueEnum)]
pub enum ExperimentName {
    /// The service gap between backlogged customers, one of which floods.
    Fairness,
    /// How many slots are busy while work waits and demand swings.
    Utilisation,
    /// Service during a swing from one to three times the capacity.
    Crest,
    /// Short requests among stragglers.
    ShortBehindLong,
    /// Latency while some endpoints are slowed.
    SlowTail,
    /// Bytes and messages between routers, quiet and under load.
    ControlTraffic,
    /// What one router adds to a direct call.
    Overhead,
    /// Ways to treat late load reports.
    LoadReports,
    /// The cost of control at several sizes, coordination only.
    Slopes,
    /// All but the slopes, one after the other.
    All,
}

impl ExperimentName {
    /// The experiments of `all`. The slopes take minutes and are run by themselves.
    pub const EACH: [Self; 8] = [
        Self::Fairness,
        Self::Utilisation,
        Self::Crest,
        Self::ShortBehindLong,
        Self::SlowTail,
        Self::ControlTraffic,
        Self::Overhead,
        Self::LoadReports,
    ];

    /// The name as on the command line.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fairness => "fairness",
            Self::Utilisation => "utilisation",
            Self::Crest => "crest",
            Self::ShortBehindLong => "short-behind-long",
            Self::SlowTail => "slow-tail",
            Self::ControlTraffic => "control-traffic",
            Self::Overhead => "overhead",
            Self::LoadReports => "load-reports",
            Self::Slopes => "slopes",
            Self::All => "all",
        }
    }
}

/// How an experiment is run.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentOptions {
    /// Where tables and plots are written.
    pub output: PathBuf,
    /// The measured part of each run.
    pub duration_ms: u64,
    /// The threads that carry the traffic of all routers of the process.
    pub traffic_threads: usize,
}

impl Default for ExperimentOptions {
    fn default() -> Self {
        Self {
            output: PathBuf::from("experiments"),
            duration_ms: 15_000,
            traffic_threads: 3,
        }
    }
}
