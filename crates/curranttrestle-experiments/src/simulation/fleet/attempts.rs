//! The attempts of a simulated fleet.

use curranttrestle::coordination::router::{AttemptResult, Dispatch, Input};
use curranttrestle::protocol::peer::{StoredBody, StoredResponse};
use curranttrestle::state::AttemptId;
use curranttrestle::state::sheet::EndpointKind;
use rand::Rng;

use super::super::sheet::BOOKING_MS;
use super::{PROGRESS_MS, RunningAttempt, SimulatedFleet};
use crate::statistics::float;

impl SimulatedFleet {
    pub(super) fn start_attempt(&mut self, node: usize, dispatch: &Dispatch) {
        self.nodes[node].counts.dispatched += 1;
        let (units, token_ms, stored) = match dispatch.kind {
            EndpointKind::Model => {
                let factor: f64 = self.rng.random_range(0.2..1.8);
                (self.plan.mean_tokens * factor, self.plan.token_ms, None)
            }
            EndpointKind::Service => (BOOKING_MS, 1.0, Some(booking_response())),
        };
        let duration_ms = rounded_ms(units * token_ms);
        let attempt = dispatch.attempt.to_string();
        let running = RunningAttempt {
            endpoint: dispatch.endpoint.clone(),
            units,
            started_ms: self.now.steady_ms,
            end_ms: self.now.steady_ms + duration_ms,
        };
        self.endpoints
            .start_attempt(&running.endpoint, &attempt, self.now);
        self.running.insert(attempt, running);
        if dispatch.kind == EndpointKind::Model {
            self.schedule_progress(node, &dispatch.attempt);
        }
        let ended = Input::AttemptEnded {
            attempt: dispatch.attempt.clone(),
            result: AttemptResult::Completed {
                units,
                stored_response: stored,
            },
        };
        self.schedule(duration_ms, node, ended);
    }

    pub(super) fn schedule_progress(&mut self, node: usize, attempt: &AttemptId) {
        let Some(running) = self.running.get(&attempt.to_string()) else {
            return;
        };
        let at_ms = self.now.steady_ms + PROGRESS_MS;
        if at_ms >= running.end_ms {
            return;
        }
        let elapsed_ms = at_ms - running.started_ms;
        let duration_ms = running.end_ms - running.started_ms;
        let fraction = float(elapsed_ms) / float(duration_ms);
        let progress = Input::AttemptProgress {
            attempt: attempt.clone(),
            units: (running.units * fraction).floor(),
        };
        self.schedule(PROGRESS_MS, node, progress);
    }
}

fn booking_response() -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "text/plain".into(),
        body: StoredBody::Whole(b"booked".to_vec()),
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "durations of requests are small and positive"
)]
fn rounded_ms(duration_ms: f64) -> u64 {
    duration_ms.round() as u64
}
