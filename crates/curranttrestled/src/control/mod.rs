//! The control thread: owns the router's state and carries out its effects.

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
use effects::Decisions;
pub use metrics::ControlMetrics;

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Messages handled before effects of the time are looked at again.
const MESSAGES_PER_TURN: usize = 256;

/// The control thread's belongings.
pub struct Control {
    router: Router,
    shared: Arc<Shared>,
    messages: Receiver<ControlMessage>,
    peers: PeerSender,
    events: EventRing,
    decisions: Decisions,
    metrics: ControlMetrics,
    rng: ChaCha8Rng,
}

impl Control {
    /// A control thread that is not running yet.
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
            decisions: Decisions::default(),
            metrics,
            rng,
        }
    }

    /// Handles messages until all senders are gone, or a stopping router has finished.
    pub fn run(mut self) {
        let mut next_tick = Instant::now();
        loop {
            let message = smol::block_on(self.wait(next_tick));
            let busy_since = Instant::now();
            match message {
                Waited::Message(message) => self.handle_batch(message),
                Waited::Tick => {}
                Waited::Closed => return,
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                self.handle(Input::Tick);
                self.decisions.sweep();
            }
            self.metrics.add_busy(busy_since.elapsed());
            if self.router.is_finished(self.shared.clock.now()) {
                log::info!("kind={} reason=finished", EventKind::Stopping);
                return;
            }
        }
    }

    async fn wait(&self, next_tick: Instant) -> Waited {
        let message = async {
            match self.messages.recv().await {
                Ok(message) => Waited::Message(message),
                Err(_) => Waited::Closed,
            }
        };
        let tick = async {
            smol::Timer::at(next_tick).await;
            Waited::Tick
        };
        message.or(tick).await
    }

    fn handle_batch(&mut self, first: ControlMessage) {
        self.handle_message(first);
        for _ in 1..MESSAGES_PER_TURN {
            let Ok(message) = self.messages.try_recv() else {
                return;
            };
            self.handle_message(message);
        }
    }

    fn handle_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Input(input) => self.handle(input),
            ControlMessage::Request {
                input,
                request,
                decisions,
            } => {
                self.decisions.insert(request, decisions);
                self.handle(input);
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

    fn handle(&mut self, input: Input) {
        let now = self.shared.clock.now();
        let effects = self.router.handle(input, now, &mut self.rng);
        for effect in effects {
            self.carry_out(effect);
        }
    }
}

/// What the control thread waited for.
enum Waited {
    Message(ControlMessage),
    Tick,
    Closed,
}
