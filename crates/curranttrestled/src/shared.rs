//! What the traffic threads share.

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
    /// Something happened.
    Input(Input),
    /// A request came; decisions about it go to `decisions`.
    Request {
        /// The input that describes the request.
        input: Input,
        /// The request.
        request: RequestId,
        /// Where decisions go.
        decisions: Sender<Decision>,
    },
    /// An operator asks for the state.
    Status(Sender<RouterStatus>),
    /// An operator asks for the events.
    Events(Sender<Vec<Event>>),
    /// A scraper asks for the metrics, in the text format of Prometheus.
    Metrics(Sender<String>),
}

/// What the traffic threads share.
#[derive(Debug)]
pub struct Shared {
    /// The clocks.
    pub clock: Clock,
    /// The way to the control thread.
    pub control: Sender<ControlMessage>,
    /// Calls endpoints.
    pub endpoints: EndpointClient,
    /// Calls the platform.
    pub platform: PlatformClient,
    /// The sheet in force.
    pub sheet: RwLock<Arc<Sheet>>,
    /// Limits on callers.
    pub limits: Limits,
    /// Makes and verifies resume tokens.
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

    /// Tells the control thread what happened.
    pub async fn tell(&self, input: Input) {
        let _ = self.control.send(ControlMessage::Input(input)).await;
    }

    /// Asks the control thread; none when it has ended.
    pub async fn ask<T>(&self, message: impl FnOnce(Sender<T>) -> ControlMessage) -> Option<T> {
        let (sender, receiver): (Sender<T>, Receiver<T>) = async_channel::bounded(1);
        self.control.send(message(sender)).await.ok()?;
        receiver.recv().await.ok()
    }
}
