//! Carries out the effects of claims on the simulated store and network.

use curranttrestle::coordination::claims::{ClaimEffect, ClaimVerdict};
use curranttrestle::protocol::platform::{CallId, StoreCall, StoreResponse, Version};
use rand::Rng;

use super::{Event, Fault, Input, Simulation, response_for};
use crate::support::{router_name, router_number};

impl Simulation {
    pub(super) fn perform(&mut self, router: usize, effects: Vec<ClaimEffect>) {
        let run = self.routers[router].run;
        for effect in effects {
            match effect {
                ClaimEffect::Store { call, request } => {
                    self.report.store_calls += 1;
                    let at_ms = self.now_ms + self.delay_ms();
                    self.events
                        .push(at_ms, Event::Store(router, run, call, request));
                }
                ClaimEffect::Send { to, message } => {
                    let receiver = router_number(&to);
                    let is_partitioned =
                        self.is_partitioned(router) || self.is_partitioned(receiver);
                    if !is_partitioned && self.rng.random_bool(0.9) {
                        let at_ms = self.now_ms + self.delay_ms();
                        let input = Input::Peer(router_name(router), message);
                        let receiver_run = self.routers[receiver].run;
                        self.events
                            .push(at_ms, Event::Router(receiver, receiver_run, input));
                    }
                }
                ClaimEffect::Resolved { request, verdict } => {
                    let index = usize::try_from(request.0.as_u128()).unwrap();
                    self.handle_verdict(router, index, verdict);
                }
                ClaimEffect::Emit { .. } => {}
            }
        }
    }

    fn handle_verdict(&mut self, router: usize, request: usize, verdict: ClaimVerdict) {
        self.requests[request].verdicts += 1;
        match verdict {
            ClaimVerdict::Dispatch => {
                let wait_ms = if self.rng.random_bool(0.5) { 0 } else { 300 };
                let run = self.routers[router].run;
                let input = Input::SlotReady(request);
                self.events
                    .push(self.now_ms + wait_ms, Event::Router(router, run, input));
            }
            ClaimVerdict::Replay(response) => {
                self.report.answered += 1;
                self.requests[request].ended = true;
                let key = self.requests[request].key;
                let is_own = self.requests.iter().any(|other| {
                    other.key == key
                        && other.dispatched
                        && other
                            .attempt
                            .as_ref()
                            .is_some_and(|attempt| response_for(key, attempt) == response)
                });
                self.report.wrong_responses += u64::from(!is_own);
            }
            ClaimVerdict::Unknown(_) => {
                self.report.unknown += 1;
                self.requests[request].ended = true;
            }
            ClaimVerdict::NotRun(_) => self.end_not_run(request),
        }
    }

    /// Draws a delay: mostly a few milliseconds, occasionally longer than the retention of keys.
    fn delay_ms(&mut self) -> u64 {
        match self.rng.random_range(0..100) {
            0..90 => self.rng.random_range(1..5),
            90..97 => self.rng.random_range(5..1_000),
            _ => self.rng.random_range(1_000..25_000),
        }
    }

    pub(super) fn handle_store_call(
        &mut self,
        router: usize,
        run: u64,
        call: CallId,
        request: &StoreCall,
    ) {
        let mut response = self.store.call(request, self.now_ms);
        if self.rng.random_bool(0.1) && response != StoreResponse::Unavailable {
            response = StoreResponse::Lost;
        }
        let is_update = matches!(request, StoreCall::Update { .. });
        if self.fault == Fault::TrustLostResponses && is_update && response == StoreResponse::Lost {
            response = StoreResponse::Updated(Version(u64::MAX));
        }
        let at_ms = self.now_ms + self.delay_ms();
        self.events.push(
            at_ms,
            Event::Router(router, run, Input::Store(call, response)),
        );
    }
}
