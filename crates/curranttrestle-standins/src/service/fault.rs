//! What can be injected into a service stand-in.

use serde::{Deserialize, Serialize};

/// What can be injected into a service stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum ServiceFault {
    /// Ends all faults that last. Silent connections stay silent.
    Heal,
    /// Each call runs longer.
    Slow {
        /// By this factor.
        factor: u32,
    },
    /// Nothing moves, as in a paused process.
    Freeze,
    /// The present connections go silent for good; new ones work.
    SilenceConnections,
    /// The next connections are closed before anything is read from them.
    CloseBeforeReading {
        /// How many.
        count: u32,
    },
    /// The connections of the next calls are closed after the call was read; it does not run.
    CloseWithoutRunning {
        /// How many.
        count: u32,
    },
    /// The connections of the next calls are closed after the call ran, without an answer.
    CloseAfterRunning {
        /// How many.
        count: u32,
    },
    /// The next calls are refused with the statement that they did not run.
    RefuseNext {
        /// How many.
        count: u32,
    },
    /// Load reports show an older state.
    LoadLag {
        /// How old.
        lag_ms: u64,
    },
    /// Load reports claim to be fresh, whatever their lag.
    LyingLoad,
    /// Marks the moment from which the service counts as leaving. It changes nothing else.
    Leaving,
}

/// The settings that faults change.
#[derive(Clone, Debug)]
pub(super) struct Faults {
    pub(super) slow_factor: u32,
    pub(super) load_lag_ms: u64,
    pub(super) lying_load: bool,
    pub(super) close_without_running: u32,
    pub(super) close_after_running: u32,
    pub(super) refuse_next: u32,
}

impl Faults {
    pub(super) fn new(load_lag_ms: u64) -> Self {
        Self {
            slow_factor: 1,
            load_lag_ms,
            lying_load: false,
            close_without_running: 0,
            close_after_running: 0,
            refuse_next: 0,
        }
    }

    /// Takes over a fault that is a setting; the others are carried out elsewhere.
    pub(super) fn set(&mut self, fault: &ServiceFault) {
        match fault {
            ServiceFault::Slow { factor } => self.slow_factor = *factor,
            ServiceFault::CloseWithoutRunning { count } => self.close_without_running = *count,
            ServiceFault::CloseAfterRunning { count } => self.close_after_running = *count,
            ServiceFault::RefuseNext { count } => self.refuse_next = *count,
            ServiceFault::LoadLag { lag_ms } => self.load_lag_ms = *lag_ms,
            ServiceFault::LyingLoad => self.lying_load = true,
            ServiceFault::Heal
            | ServiceFault::Freeze
            | ServiceFault::SilenceConnections
            | ServiceFault::CloseBeforeReading { .. }
            | ServiceFault::Leaving => {}
        }
    }
}

/// Takes one from a count; returns whether there was one.
pub(super) fn take_one(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}
