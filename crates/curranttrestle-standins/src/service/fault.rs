//! Faults of the service stand-in.

use serde::{Deserialize, Serialize};

/// A fault that can be injected into a service stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "kebab-case")]
pub enum ServiceFault {
    /// Ends all active faults. Silenced connections stay silent.
    Heal,
    /// Multiplies the run time of calls.
    Slow {
        /// The factor.
        factor: u32,
    },
    /// Freezes all connections and calls, like a paused process.
    Freeze,
    /// Silences the open connections permanently. New connections work.
    SilenceConnections,
    /// Closes the next connections before anything is read from them.
    CloseBeforeReading {
        /// The number of connections.
        count: u32,
    },
    /// Closes the connections of the next calls after the call was read, without running it.
    CloseWithoutRunning {
        /// The number of calls.
        count: u32,
    },
    /// Closes the connections of the next calls after the call ran, without a response.
    CloseAfterRunning {
        /// The number of calls.
        count: u32,
    },
    /// Refuses the next calls, with a response that marks them as not run.
    RefuseNext {
        /// The number of calls.
        count: u32,
    },
    /// Changes the age of the state shown in load reports.
    LoadLag {
        /// The age of the state.
        lag_ms: u64,
    },
    /// Load reports claim to be current, regardless of their lag.
    LyingLoad,
    /// Marks the service as leaving from now on, for the ground truth only.
    Leaving,
}

/// The current value of each fault that only sets a value.
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

    /// Sets the value of a fault that only sets one. The caller handles all other faults.
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

/// Decrements a count unless it is zero. Returns whether it was decremented.
pub(super) fn consume_one(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}
