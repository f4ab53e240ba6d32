//! State shared by the traffic threads, and their channel to the control thread.

use std::sync::{Arc, RwLock};

use async_channel::{Receiver, Sender};
use curranttrestle::coordination::router::{Decision, Input, RouterStatus};
use curranttrestle::protocol::peer::FleetKey;
use curranttrestle::state::settings::Limits;
use curranttrestle::state::sheet::Sheet;
use curranttrestle::state::{Event, RequestId};
use curranttrestle::transport::endpoint::EndpointClient;
use curranttrestle::transport::platform::PlatformClient;

use crate::clock::Clock;

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// An input for the router that needs no reply.
    Input(Input),
    /// A new request.
    Request {
        /// The input that describes the request.
        input: Input,
        /// The identifier of the request.
        request: RequestId,
        /// Receives the decisions about the request.
        decisions: Sender<Decision>,
    },
    /// Requests the router's status, for an operator.
    Status(Sender<RouterStatus>),
    /// Requests the recorded events, for an operator.
    Events(Sender<Vec<Event>>),
    /// Requests the metrics in the Prometheus text format.
    Metrics(Sender<String>),
}

/// State shared by the traffic threads.
#[derive(Debug)]
pub struct Shared {
    /// The clocks of the process.
    pub clock: Clock,
    /// The channel to the control thread.
    pub control: Sender<ControlMessage>,
    /// The client for calls to endpoints.
    pub endpoints: EndpointClient,
    /// The client for calls to the platform.
    pub platform: PlatformClient,
    /// The sheet in force. Readers clone the inner `Arc`.
    pub sheet: RwLock<Arc<Sheet>>,
    /// Limits on callers.
    pub limits: Limits,
    /// The key that signs and verifies resume tokens.
    pub fleet_key: FleetKey,
}

impl Shared {
    /// The sheet in force.
    #[must_use]
    pub fn sheet(&self) -> Arc<Sheet> {
        self.sheet
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .clone()
    }

    /// Replaces the sheet in force.
    pub fn set_sheet(&self, sheet: Arc<Sheet>) {
        *self
            .sheet
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner) = sheet;
    }

    /// Sends an input to the control thread. Does nothing if the thread has ended.
    pub async fn send_input(&self, input: Input) {
        let _ = self.control.send(ControlMessage::Input(input)).await;
    }

    /// Sends a query to the control thread and waits for its reply. Returns `None` if the thread
    /// has ended.
    pub async fn query<T>(&self, message: impl FnOnce(Sender<T>) -> ControlMessage) -> Option<T> {
        let (sender, receiver): (Sender<T>, Receiver<T>) = async_channel::bounded(1);
        self.control.send(message(sender)).await.ok()?;
        receiver.recv().await.ok()
    }
}
