//! What callers ask for and what they saw.

use curranttrestle_standins::engine::EngineFault;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Whether a request is a straggler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// An ordinary request.
    Short,
    /// One that costs many times the mean.
    Long,
}

/// One request of an open-loop load.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it is sent, since the load began.
    pub at_ms: f64,
    /// The index of the router it is sent to.
    pub router: usize,
    /// The index of its customer.
    pub customer: usize,
    /// Its class.
    pub class: Class,
    /// The tokens of its answer.
    pub tokens: u32,
    /// The caller's hint of the cost.
    pub hint: Option<f64>,
}

/// The tokens of answers, drawn evenly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// The least.
    pub least: u32,
    /// The greatest.
    pub greatest: u32,
}

impl Sizes {
    /// Draws one.
    pub fn draw(self, rng: &mut ChaCha8Rng) -> u32 {
        rng.random_range(self.least..=self.greatest)
    }

    /// The mean.
    pub fn mean(self) -> f64 {
        f64::from(self.least + self.greatest) / 2.0
    }
}

/// A caller that sends its next request when the one before has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The index of the router it calls.
    pub router: usize,
    /// The index of its customer.
    pub customer: usize,
    /// The sizes of its requests.
    pub sizes: Sizes,
    /// The seed of its sizes.
    pub seed: u64,
}

/// A fault of an engine at a moment of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Disturbance {
    /// When, since the load began.
    pub at_ms: u64,
    /// The index of the engine.
    pub engine: usize,
    /// The fault.
    pub fault: EngineFault,
}

/// All that callers ask for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workload {
    /// Requests that are sent at their time.
    pub arrivals: Vec<Arrival>,
    /// Callers that always have a request outstanding.
    pub callers: Vec<Caller>,
    /// Faults of engines, in the order of their times.
    pub disturbances: Vec<Disturbance>,
    /// How long a caller waits for an answer.
    pub deadline_ms: u64,
}

/// What a caller saw of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The index of its customer.
    pub customer: usize,
    /// Its class.
    pub class: Class,
    /// The tokens it asked for.
    pub tokens: u32,
    /// The parts of the answer that arrived.
    pub parts: u64,
    /// When it was sent, since the load began.
    pub sent_ms: f64,
    /// When its answer began.
    pub first_ms: Option<f64>,
    /// When its answer was whole.
    pub done_ms: Option<f64>,
    /// The status of the answer; zero when none came.
    pub status: u16,
}

impl Sample {
    /// The time until the answer began, or `otherwise_ms` when it never did.
    pub fn wait_ms(&self, otherwise_ms: f64) -> f64 {
        match self.first_ms {
            Some(first_ms) if self.status == 200 => first_ms - self.sent_ms,
            _ => otherwise_ms,
        }
    }

    /// The time until the answer was whole, or `otherwise_ms` when it never was.
    pub fn latency_ms(&self, otherwise_ms: f64) -> f64 {
        match self.done_ms {
            Some(done_ms) if self.status == 200 => done_ms - self.sent_ms,
            _ => otherwise_ms,
        }
    }
}
