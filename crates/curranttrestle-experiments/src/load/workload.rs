//! The requests of callers, and the samples that record their outcome.

use curranttrestle_standins::engine::EngineFault;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The size class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// An ordinary request.
    Short,
    /// A request that costs many times the mean.
    Long,
}

/// One request of an open-loop load.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The time to send it, in milliseconds since the start of the load.
    pub at_ms: f64,
    /// The index of the router it is sent to.
    pub router: usize,
    /// The index of its customer.
    pub customer: usize,
    /// Its class.
    pub class: Class,
    /// The tokens of its response.
    pub tokens: u32,
    /// The caller's hint of the cost in tokens, if it gives one.
    pub hint: Option<f64>,
}

/// A range of response sizes in tokens, drawn uniformly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// The smallest size.
    pub min: u32,
    /// The largest size, inclusive.
    pub max: u32,
}

impl Sizes {
    /// Draws a size.
    pub fn draw(self, rng: &mut ChaCha8Rng) -> u32 {
        rng.random_range(self.min..=self.max)
    }

    /// The mean size.
    pub fn mean(self) -> f64 {
        f64::from(self.min + self.max) / 2.0
    }
}

/// A closed-loop caller: it sends its next request when the previous one has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The index of the router it calls.
    pub router: usize,
    /// The index of its customer.
    pub customer: usize,
    /// The sizes of its requests.
    pub sizes: Sizes,
    /// The seed of its request sizes.
    pub seed: u64,
}

/// A fault to inject into an engine during the load.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// The time to inject it, in milliseconds since the start of the load.
    pub at_ms: u64,
    /// The index of the engine.
    pub engine: usize,
    /// The fault.
    pub fault: EngineFault,
}

/// A load and the faults injected during it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workload {
    /// Open-loop requests, each sent at its time.
    pub arrivals: Vec<Arrival>,
    /// Closed-loop callers, each with one request outstanding.
    pub callers: Vec<Caller>,
    /// Engine faults, ordered by time.
    pub faults: Vec<ScheduledFault>,
    /// The deadline of each request, in milliseconds.
    pub deadline_ms: u64,
}

/// The outcome of one request as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The index of its customer.
    pub customer: usize,
    /// Its class.
    pub class: Class,
    /// The tokens requested.
    pub tokens: u32,
    /// The number of response chunks received.
    pub chunks: u64,
    /// When it was sent, in milliseconds since the start of the load.
    pub sent_ms: f64,
    /// When the response headers arrived, in milliseconds since the start of the load.
    pub first_ms: Option<f64>,
    /// When the response was complete, in milliseconds since the start of the load.
    pub done_ms: Option<f64>,
    /// The HTTP status of the response, or zero if there was none.
    pub status: u16,
}

impl Sample {
    /// The time until the response began, or `default_ms` if it failed or never began.
    pub fn wait_ms(&self, default_ms: f64) -> f64 {
        match self.first_ms {
            Some(first_ms) if self.status == 200 => first_ms - self.sent_ms,
            _ => default_ms,
        }
    }

    /// The time until the response was complete, or `default_ms` if it failed or never was.
    pub fn latency_ms(&self, default_ms: f64) -> f64 {
        match self.done_ms {
            Some(done_ms) if self.status == 200 => done_ms - self.sent_ms,
            _ => default_ms,
        }
    }
}
