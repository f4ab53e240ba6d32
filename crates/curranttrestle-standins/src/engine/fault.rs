//! Faults of the engine stand-in.

use serde::{Deserialize, Serialize};

use super::EngineOptions;

/// Faults applied to every nth frame of a stream. Zero disables a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FrameFaults {
    /// Sends every nth frame twice.
    pub duplicate_every: u64,
    /// Swaps every nth frame with its successor.
    pub reorder_every: u64,
    /// Sends a frame of another attempt before every nth frame.
    pub foreign_every: u64,
    /// Sends a second copy of every nth frame, several times n frames later.
    pub late_every: u64,
    /// Drops every nth frame.
    pub drop_every: u64,
}

/// A fault that can be injected into an engine stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum EngineFault {
    /// Ends all active faults. Silenced connections stay silent.
    Heal,
    /// Multiplies the time per token and the prefill time.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// Freezes all connections and the batch, like a paused process.
    Freeze,
    /// Silences the open connections permanently. New connections work and streams continue.
    SilenceConnections,
    /// Closes the open connections. Streams continue.
    CloseConnections,
    /// Aborts all streams and refuses connections for the restart time. The engine then serves
    /// with a new incarnation.
    Crash,
    /// Changes the downtime after a crash.
    Restart {
        /// The downtime.
        restart_ms: u64,
    },
    /// Changes the age of the state shown in load reports.
    LoadLag {
        /// The age of the state.
        lag_ms: u64,
    },
    /// Load reports claim to be current, regardless of their lag.
    LyingLoad,
    /// Duplicates, reorders, delays or drops frames, or mixes in frames of another attempt.
    Frames {
        /// The faults of frames.
        frames: FrameFaults,
    },
    /// Refuses the next requests, with a response that marks them as not run.
    RefuseNext {
        /// The number of requests.
        count: u32,
    },
    /// Marks the engine as leaving from now on, for the ground truth only.
    Leaving,
}

/// The current value of each fault that only sets a value.
#[derive(Clone, Debug)]
pub(super) struct Faults {
    pub(super) slow_factor: f64,
    pub(super) restart_ms: u64,
    pub(super) load_lag_ms: u64,
    pub(super) lying_load: bool,
    pub(super) frames: FrameFaults,
    pub(super) refuse_next: u32,
}

impl Faults {
    pub(super) fn new(options: &EngineOptions) -> Self {
        Self {
            slow_factor: 1.0,
            restart_ms: options.restart_ms,
            load_lag_ms: options.load_lag_ms,
            lying_load: false,
            frames: FrameFaults::default(),
            refuse_next: 0,
        }
    }

    /// Sets the value of a fault that only sets one. The caller handles all other faults.
    pub(super) fn set(&mut self, fault: &EngineFault) {
        match fault {
            EngineFault::Slow { factor } => self.slow_factor = *factor,
            EngineFault::Restart { restart_ms } => self.restart_ms = *restart_ms,
            EngineFault::LoadLag { lag_ms } => self.load_lag_ms = *lag_ms,
            EngineFault::LyingLoad => self.lying_load = true,
            EngineFault::Frames { frames } => self.frames = *frames,
            EngineFault::RefuseNext { count } => self.refuse_next = *count,
            EngineFault::Heal
            | EngineFault::Freeze
            | EngineFault::SilenceConnections
            | EngineFault::CloseConnections
            | EngineFault::Crash
            | EngineFault::Leaving => {}
        }
    }

    /// Returns whether to refuse the next request. If so, decrements the number of requests to
    /// refuse.
    pub(super) fn take_refusal(&mut self) -> bool {
        let refused = self.refuse_next > 0;
        self.refuse_next = self.refuse_next.saturating_sub(1);
        refused
    }
}
