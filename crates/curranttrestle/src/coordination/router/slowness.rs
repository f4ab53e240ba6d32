//! Slow endpoints: detected from this router's own streams and reported to the owners of their
//! slots.

use crate::protocol::peer::{PeerMessage, Slowness};
use crate::state::event::EventKind;
use crate::state::sheet::EndpointKind;
use crate::state::{EndpointId, Now, PoolId};

use super::Router;

/// Interval at which the slow endpoints are reported again.
const RESEND_INTERVAL_MS: u64 = 1_000;

impl Router {
    /// Updates the speed of an endpoint with a sample, and reports a change to its owner.
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
        // The cost of a plain service is measured in time, so its time per unit does not depend
        // on the endpoint. Only streams allow a comparison.
        if row.kind != EndpointKind::Model {
            return;
        }
        let elapsed_ms = to_f64(elapsed_ms);
        if !self
            .slow_endpoints
            .observe(pool, endpoint, units, elapsed_ms, now)
        {
            return;
        }
        let slow = self.slow_endpoints.is_slow(pool, endpoint);
        let slot_fraction = self.slow_endpoints.slot_fraction(pool, endpoint, now);
        self.send_slowness(endpoint, slot_fraction, now);
        self.emit(
            now,
            EventKind::EndpointSlow,
            None,
            &[("endpoint", endpoint), ("slow", &slow)],
        );
    }

    /// Reports the slow endpoints again if [`RESEND_INTERVAL_MS`] has elapsed.
    pub(super) fn resend_slowness(&mut self, now: Now) {
        if now.since_ms(self.slowness_sent_ms) < RESEND_INTERVAL_MS {
            return;
        }
        self.slowness_sent_ms = now.steady_ms;
        for (endpoint, slot_fraction) in self.slow_endpoints.slow_endpoints(now) {
            self.send_slowness(&endpoint, slot_fraction, now);
        }
    }

    #[allow(
        clippy::cast_possible_truncation,
        reason = "a fraction does not need more precision"
    )]
    fn send_slowness(&mut self, endpoint: &EndpointId, slot_fraction: f64, now: Now) {
        let Some(owner) = self.endpoints.owners.get(endpoint).cloned() else {
            return;
        };
        let message = PeerMessage::Slowness(Slowness {
            endpoint: endpoint.clone(),
            window: slot_fraction as f32,
        });
        self.send(&owner.instance, message, now);
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "request times in milliseconds are far below 2^53"
)]
fn to_f64(elapsed_ms: u64) -> f64 {
    elapsed_ms as f64
}
