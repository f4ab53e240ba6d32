//! The control thread: owns the router's state, feeds it inputs and executes its effects.

mod effects;
mod metrics;

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use curranttrestle::coordination::router::{Input, Router};
use curranttrestle::state::EventKind;
use curranttrestle::state::event::EventRing;
use curranttrestle::transport::peer::PeerSender;
use futures_lite::FutureExt;
use rand_chacha::ChaCha8Rng;

use crate::shared::{ControlMessage, Shared};
use effects::DecisionSenders;
pub use metrics::ControlMetrics;

/// Interval between two ticks of the router.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of messages handled before the loop checks whether a tick is due.
const MAX_MESSAGES_PER_BATCH: usize = 256;

/// The event loop of the control thread, with all state that the thread owns.
pub struct ControlLoop {
    router: Router,
    shared: Arc<Shared>,
    messages: Receiver<ControlMessage>,
    peers: PeerSender,
    events: EventRing,
    decision_senders: DecisionSenders,
    metrics: ControlMetrics,
    rng: ChaCha8Rng,
}

impl ControlLoop {
    /// Creates the event loop. [`ControlLoop::run`] runs it on the calling thread.
    #[must_use]
    pub fn new(
        router: Router,
        shared: Arc<Shared>,
        messages: Receiver<ControlMessage>,
        peers: PeerSender,
        events_capacity: usize,
        metrics: ControlMetrics,
        rng: ChaCha8Rng,
    ) -> Self {
        Self {
            router,
            shared,
            messages,
            peers,
            events: EventRing::new(events_capacity),
            decision_senders: DecisionSenders::default(),
            metrics,
            rng,
        }
    }

    /// Handles messages and ticks until all senders are dropped or a stopping router has finished.
    pub fn run(mut self) {
        let mut next_tick = Instant::now();
        loop {
            let message = smol::block_on(self.wait(next_tick));
            let handling_started = Instant::now();
            match message {
                WaitResult::Message(message) => self.handle_batch(message),
                WaitResult::Tick => {}
                WaitResult::Closed => return,
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                self.handle_input(Input::Tick);
                self.decision_senders.remove_closed();
            }
            self.metrics.add_busy_time(handling_started.elapsed());
            if self.router.is_finished(self.shared.clock.now()) {
                log::info!("kind={} reason=finished", EventKind::Stopping);
                return;
            }
        }
    }

    async fn wait(&self, next_tick: Instant) -> WaitResult {
        let message = async {
            match self.messages.recv().await {
                Ok(message) => WaitResult::Message(message),
                Err(_) => WaitResult::Closed,
            }
        };
        let tick = async {
            smol::Timer::at(next_tick).await;
            WaitResult::Tick
        };
        message.or(tick).await
    }

    fn handle_batch(&mut self, first: ControlMessage) {
        self.handle_message(first);
        for _ in 1..MAX_MESSAGES_PER_BATCH {
            let Ok(message) = self.messages.try_recv() else {
                return;
            };
            self.handle_message(message);
        }
    }

    fn handle_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Input(input) => self.handle_input(input),
            ControlMessage::Request {
                input,
                request,
                decisions,
            } => {
                self.decision_senders.insert(request, decisions);
                self.handle_input(input);
            }
            ControlMessage::Status(sender) => {
                let now = self.shared.clock.now();
                let _ = sender.try_send(self.router.status(now));
            }
            ControlMessage::Events(sender) => {
                let _ = sender.try_send(self.events.iter().cloned().collect());
            }
            ControlMessage::Metrics(sender) => {
                let now = self.shared.clock.now();
                let status = self.router.status(now);
                let text = self.metrics.render(&self.router, &status, &self.peers);
                let _ = sender.try_send(text);
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.shared.clock.now();
        let effects = self.router.handle(input, now, &mut self.rng);
        for effect in effects {
            self.execute(effect);
        }
    }
}

/// What ended a wait of the control thread.
enum WaitResult {
    Message(ControlMessage),
    Tick,
    /// All senders of messages are dropped.
    Closed,
}
