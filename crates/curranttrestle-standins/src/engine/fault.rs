//! What can be injected into an engine stand-in.

use serde::{Deserialize, Serialize};

use super::EngineOptions;

/// What happens to the frames of a stream on their way. Zero means never.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FrameFaults {
    /// Each such frame is sent twice.
    pub duplicate_every: u64,
    /// Each such frame is sent after its successor.
    pub reorder_every: u64,
    /// Before each such frame, one of another attempt is sent.
    pub foreign_every: u64,
    /// Each such frame is sent once more, several frames later.
    pub late_every: u64,
    /// Each such frame is not sent.
    pub drop_every: u64,
}

/// What can be injected into an engine stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum EngineFault {
    /// Ends all faults that last. Silent connections stay silent.
    Heal,
    /// Each token takes longer.
    Slow {
        /// By this factor.
        factor: f64,
    },
    /// Nothing moves, as in a paused process.
    Freeze,
    /// The present connections go silent for good; new ones work, and streams go on.
    SilenceConnections,
    /// The present connections are closed; streams go on.
    CloseConnections,
    /// All streams die; the engine is away for its restart time and then runs anew.
    Crash,
    /// Changes how long the engine stays away after a crash.
    Restart {
        /// For how long.
        restart_ms: u64,
    },
    /// Load reports show an older state.
    LoadLag {
        /// How old.
        lag_ms: u64,
    },
    /// Load reports claim to be fresh, whatever their lag.
    LyingLoad,
    /// Frames are duplicated, reordered, late, dropped or mixed with those of others.
    Frames {
        /// Which.
        frames: FrameFaults,
    },
    /// The next requests are refused with the statement that they did not run.
    RefuseNext {
        /// How many.
        count: u32,
    },
    /// Marks the moment from which the engine counts as leaving. It changes nothing else.
    Leaving,
}

/// The settings that faults change.
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

    /// Takes over a fault that is a setting; the others are carried out elsewhere.
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

    /// Whether the next request is refused; counts it.
    pub(super) fn take_refusal(&mut self) -> bool {
        let refused = self.refuse_next > 0;
        self.refuse_next = self.refuse_next.saturating_sub(1);
        refused
    }
}
