//! Ground truth: the activity of the engines, sampled over time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use curranttrestle::state::CustomerId;
use curranttrestle_standins::engine::Engine;
use curranttrestle_standins::server::StandIn;
use indexmap::IndexMap;

use super::Fleet;
use crate::load::Outstanding;

/// The interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// The activity of all engines at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TruthSample {
    /// The time of the sample, in milliseconds since the start of the load.
    pub at_ms: f64,
    /// The number of running streams.
    pub running: u64,
    /// The number of busy slots. Streams in excess of an engine's slots are not counted.
    pub busy_slots: u64,
    /// The number of requests sent by callers and not yet ended.
    pub outstanding: u64,
    /// Tokens generated so far for each customer.
    pub tokens: IndexMap<CustomerId, u64>,
}

impl TruthSample {
    /// Tokens generated so far for one customer.
    pub fn tokens_of(&self, customer: &str) -> u64 {
        let customer = CustomerId::new(customer);
        self.tokens.get(&customer).copied().unwrap_or_default()
    }

    /// Tokens generated so far for all customers.
    pub fn total_tokens(&self) -> u64 {
        self.tokens.values().sum()
    }
}

/// A thread that samples the engines.
pub struct Sampler {
    ended: Arc<AtomicBool>,
    thread: JoinHandle<Vec<TruthSample>>,
}

impl Sampler {
    /// Starts sampling; [`Sampler::finish`] ends it.
    pub fn start(
        fleet: &Fleet,
        outstanding: &Outstanding,
        started: Instant,
    ) -> std::io::Result<Self> {
        let handles = fleet.engines.iter();
        let engines: Vec<Arc<Engine>> = handles.map(|engine| engine.stand_in().clone()).collect();
        let slots = u64::from(fleet.plan.slots);
        let outstanding = outstanding.clone();
        let ended = Arc::new(AtomicBool::new(false));
        let thread_ended = ended.clone();
        let sample_all = move || {
            let mut samples = Vec::new();
            while !thread_ended.load(Ordering::Relaxed) {
                samples.push(sample(&engines, slots, &outstanding, started));
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            samples.push(sample(&engines, slots, &outstanding, started));
            samples
        };
        let thread = std::thread::Builder::new()
            .name("truth".into())
            .spawn(sample_all)?;
        Ok(Self { ended, thread })
    }

    /// Stops sampling and returns the samples. Takes one last sample first.
    pub fn finish(self) -> Vec<TruthSample> {
        self.ended.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

fn sample(
    engines: &[Arc<Engine>],
    slots: u64,
    outstanding: &Outstanding,
    started: Instant,
) -> TruthSample {
    let mut sample = TruthSample {
        outstanding: outstanding.count(),
        at_ms: started.elapsed().as_secs_f64() * 1_000.0,
        ..TruthSample::default()
    };
    for engine in engines {
        let truth = engine.truth();
        sample.running += truth.running;
        sample.busy_slots += truth.running.min(slots);
        for (customer, tokens) in truth.tokens_by_customer {
            *sample.tokens.entry(customer).or_default() += tokens;
        }
    }
    sample
}
