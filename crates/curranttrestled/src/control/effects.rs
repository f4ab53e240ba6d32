//! Executes the effects that the router returns.

use async_channel::Sender;
use curranttrestle::coordination::router::{Decision, Effect, Input};
use curranttrestle::state::{Event, EventKind, RequestId};
use curranttrestle::transport::peer::OutboundMessage;
use indexmap::IndexMap;

use super::ControlLoop;

/// Routes the decisions about each request to its handler.
#[derive(Debug, Default)]
pub struct DecisionSenders {
    senders: IndexMap<RequestId, Sender<Decision>>,
}

impl DecisionSenders {
    /// Registers the channel to the handler of a request.
    pub fn insert(&mut self, request: RequestId, sender: Sender<Decision>) {
        self.senders.insert(request, sender);
    }

    /// Removes the entries of handlers that have ended.
    pub fn remove_closed(&mut self) {
        self.senders.retain(|_, sender| !sender.is_closed());
    }

    fn send(&self, request: &RequestId, decision: Decision) {
        if let Some(sender) = self.senders.get(request) {
            let _ = sender.try_send(decision);
        }
    }
}

impl ControlLoop {
    /// Executes one effect. Calls to the platform and to endpoints run on the traffic threads, so
    /// that the control thread does not block on them.
    pub(super) fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Send {
                address,
                time,
                message,
            } => {
                self.metrics.count_message(&message);
                self.peers.send(address, OutboundMessage { time, message });
            }
            Effect::Decide { request, decision } => self.decision_senders.send(&request, decision),
            Effect::Store { call, request } => {
                let shared = self.shared.clone();
                self.metrics.count_store_call();
                smol::spawn(async move {
                    let response = shared.platform.call(&request).await;
                    shared
                        .send_input(Input::StoreAnswered {
                            call,
                            answer: response,
                        })
                        .await;
                })
                .detach();
            }
            Effect::PollLoad {
                endpoint,
                purpose,
                address,
            } => {
                let shared = self.shared.clone();
                smol::spawn(async move {
                    let report = shared.endpoints.load(address).await.ok();
                    let input = Input::LoadReport {
                        endpoint,
                        purpose,
                        report,
                    };
                    shared.send_input(input).await;
                })
                .detach();
            }
            Effect::SendOrder {
                endpoint,
                address,
                order,
                valid_until_ms,
            } => {
                let shared = self.shared.clone();
                smol::spawn(async move {
                    // The order may have expired if the process was paused.
                    if shared.clock.now().steady_ms > valid_until_ms {
                        return;
                    }
                    let response = shared.endpoints.order(address, &order).await.ok();
                    shared
                        .send_input(Input::OrderAnswered {
                            endpoint,
                            answer: response,
                        })
                        .await;
                })
                .detach();
            }
            Effect::SheetInForce(sheet) => self.shared.set_sheet(sheet),
            Effect::Emit(event) => self.record_event(event),
        }
    }

    fn record_event(&mut self, event: Event) {
        match event.kind {
            EventKind::Invariant => log::error!("{event}"),
            EventKind::Queued
            | EventKind::SlotLent
            | EventKind::SlotReturned
            | EventKind::Arrived
            | EventKind::Dispatched
            | EventKind::AttemptEnded => log::debug!("{event}"),
            _ => log::info!("{event}"),
        }
        self.events.push(event);
    }
}
