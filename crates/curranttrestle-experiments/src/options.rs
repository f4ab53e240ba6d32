//! The names and options of the experiments.

use std::path::PathBuf;

use clap::ValueEnum;

/// An experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, ValueEnum)]
pub enum ExperimentName {
    /// The service gap between backlogged customers while one of them floods the fleet.
    Fairness,
    /// The fraction of busy slots while requests wait and demand swings.
    Utilisation,
    /// Service while demand rises from one to three times the capacity.
    Crest,
    /// The wait of short requests among much longer ones.
    ShortBehindLong,
    /// Latency while some endpoints are slow.
    SlowTail,
    /// Bytes and messages between routers, without load and under load.
    ControlTraffic,
    /// The latency that one router adds to a direct call.
    Overhead,
    /// The ways of using late load reports, compared after the loss of a router.
    LoadReports,
    /// The cost of coordination at several fleet sizes, in a simulation.
    Slopes,
    /// All experiments except slopes, one after the other.
    All,
}

impl ExperimentName {
    /// The experiments that `all` runs. `slopes` takes minutes and runs only on its own.
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

    /// The name on the command line and in report files.
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

/// Options of an experiment run.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentOptions {
    /// The folder for tables and plots.
    pub output: PathBuf,
    /// The length of the measured part of each run, in milliseconds.
    pub duration_ms: u64,
    /// The number of threads that serve the traffic of all routers in this process.
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
