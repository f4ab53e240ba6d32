//! Reads the settings again while the gateway runs or stops.

use std::sync::atomic::Ordering;

use curranttrestle::state::Now;

use crate::gateway::{Gateway, SignalFlags};
use crate::settings::{GatewaySettings, ReloadCause};

/// Interval for checking whether the settings have changed.
const INTERVAL_MS: u64 = 500;

/// Reads the settings again after a signal and at regular checks.
pub struct SettingsCheck<F> {
    flags: SignalFlags,
    read: F,
    checked_ms: u64,
}

impl<F: FnMut(ReloadCause) -> Option<GatewaySettings>> SettingsCheck<F> {
    /// Checks for the first time one interval after `now`. `read` returns `None` if the settings are
    /// invalid or have not changed.
    #[must_use]
    pub fn new(flags: SignalFlags, read: F, now: Now) -> Self {
        Self {
            flags,
            read,
            checked_ms: now.steady_ms,
        }
    }

    /// Reads the settings if that is due, and applies them.
    pub fn update(&mut self, gateway: &Gateway, now: Now) {
        let cause = if self.flags.reload.swap(false, Ordering::Relaxed) {
            ReloadCause::Signal
        } else if now.since_ms(self.checked_ms) >= INTERVAL_MS {
            ReloadCause::Check
        } else {
            return;
        };
        self.checked_ms = now.steady_ms;
        // Without any, they are unchanged, or the reader has logged why they are invalid.
        if let Some(settings) = (self.read)(cause) {
            gateway.set_bounds(settings.bounds());
        }
    }

    /// Whether a signal has arrived that stops the gateway.
    #[must_use]
    pub fn must_stop(&self) -> bool {
        self.flags.stop.load(Ordering::Relaxed)
    }
}
