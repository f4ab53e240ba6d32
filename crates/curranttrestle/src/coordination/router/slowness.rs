//! Slow endpoints: judged by own streams and told to the owners of their slots.

use crate::protocol::peer::{PeerMessage, Slowness};
use crate::state::event::EventKind;
use crate::state::sheet::EndpointKind;
use crate::state::{EndpointId, Now, PoolId};

use super::Router;

/// Time between two messages that an endpoint is slow.
const REPEAT_INTERVAL_MS: u64 = 1_000;

impl Router {
    /// Judges an endpoint by the time one of its units took.
    pub(super) fn observe_speed(
        &mut self,
        pool: &PoolId,
        endpoint: &EndpointId,
        units: f64,
        elapsed_ms: u64,
        now: Now,
    ) {
        let Some(row) = self.sheet.endpoints.get(endpoint) else {
            return;
        };
        // The unit of a plain service is its time; only streams tell endpoints apart.
        if row.kind != EndpointKind::Model {
            return;
        }
        let elapsed_ms = to_f64(elapsed_ms);
        if !self.speed.observe(pool, endpoint, units, elapsed_ms, now) {
            return;
        }
        let slow = self.speed.is_slow(pool, endpoint);
        let window = self.speed.window(pool, endpoint, now);
        self.tell_slowness(endpoint, window, now);
        self.emit(
            now,
            EventKind::EndpointSlow,
            None,
            &[("endpoint", endpoint), ("slow", &slow)],
        );
    }

    /// Repeats which endpoints are slow.
    pub(super) fn repeat_slowness(&mut self, now: Now) {
        if now.since_ms(self.slowness_told_ms) < REPEAT_INTERVAL_MS {
            return;
        }
        self.slowness_told_ms = now.steady_ms;
        for (endpoint, window) in self.speed.slow_endpoints(now) {
            self.tell_slowness(&endpoint, window, now);
        }
    }

    #[allow(
        clippy::cast_possible_truncation,
        reason = "a fraction needs little precision"
    )]
    fn tell_slowness(&mut self, endpoint: &EndpointId, window: f64, now: Now) {
        let Some(owner) = self.endpoints.owners.get(endpoint).cloned() else {
            return;
        };
        let message = PeerMessage::Slowness(Slowness {
            endpoint: endpoint.clone(),
            window: window as f32,
        });
        self.send(&owner.instance, message, now);
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "times of requests are far below the precision of f64"
)]
fn to_f64(elapsed_ms: u64) -> f64 {
    elapsed_ms as f64
}
