//! Carries out the effects that the router wants.

use async_channel::Sender;
use curranttrestle::coordination::router::{Decision, Effect, Input};
use curranttrestle::state::{Event, EventKind, RequestId};
use curranttrestle::transport::peer::OutboundMessage;
use indexmap::IndexMap;

use super::Control;

/// Where the decisions about each request go.
#[derive(Debug, Default)]
pub struct Decisions {
    senders: IndexMap<RequestId, Sender<Decision>>,
}

impl Decisions {
    /// Registers the handler of a request.
    pub fn insert(&mut self, request: RequestId, sender: Sender<Decision>) {
        self.senders.insert(request, sender);
    }

    /// Forgets handlers that are gone.
    pub fn sweep(&mut self) {
        self.senders.retain(|_, sender| !sender.is_closed());
    }

    fn send(&self, request: &RequestId, decision: Decision) {
        if let Some(sender) = self.senders.get(request) {
            let _ = sender.try_send(decision);
        }
    }
}

impl Control {
    /// Carries out one effect. Calls to others run on the traffic threads.
    pub(super) fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Send {
                address,
                time,
                message,
            } => {
                self.metrics.count_message(&message);
                self.peers.send(address, OutboundMessage { time, message });
            }
            Effect::Decide { request, decision } => self.decisions.send(&request, decision),
            Effect::Store { call, request } => {
                let shared = self.shared.clone();
                self.metrics.count_store_call();
                smol::spawn(async move {
                    let answer = shared.platform.call(&request).await;
                    shared.tell(Input::StoreResponse { call, answer }).await;
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
                    shared.tell(input).await;
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
                    // After a pause of the process the order may be out of date.
                    if shared.clock.now().steady_ms > valid_until_ms {
                        return;
                    }
                    let answer = shared.endpoints.order(address, &order).await.ok();
                    shared.tell(Input::OrderResponse { endpoint, answer }).await;
                })
                .detach();
            }
            Effect::SheetInForce(sheet) => self.shared.set_sheet(sheet),
            Effect::Emit(event) => self.record(event),
        }
    }

    fn record(&mut self, event: Event) {
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
