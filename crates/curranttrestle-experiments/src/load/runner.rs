//! Runs a workload against a fleet.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use curranttrestle_standins::engine::Engine;
use curranttrestle_standins::server::StandIn;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol::Executor;

use super::client::{Target, call};
use super::workload::{Arrival, Caller, Class, Disturbance, Sample, Workload};
use crate::fleet::{Fleet, Sampler, TruthSample};
use crate::{Error, Result};

/// Threads that carry the callers.
const CALLER_THREADS: usize = 2;
/// How long a caller waits after a refusal before it sends its next request.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// How many requests are outstanding.
#[derive(Clone, Debug, Default)]
pub struct Outstanding(Arc<AtomicU64>);

impl Outstanding {
    /// The number.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn enter(&self) -> OutstandingGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        OutstandingGuard(self.0.clone())
    }
}

/// Counts one request until it is dropped.
struct OutstandingGuard(Arc<AtomicU64>);

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What was seen of a load.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// What callers saw, in no order. Requests that were running at the end are included.
    pub samples: Vec<Sample>,
    /// What the engines did over time.
    pub truth: Vec<TruthSample>,
}

/// The parts that all callers of a load share.
#[derive(Clone)]
struct Load {
    target: Arc<Target>,
    outstanding: Outstanding,
    samples: Arc<Mutex<Vec<Sample>>>,
    number: Arc<AtomicU64>,
}

/// Runs `workload` for `duration_ms`; what still runs then is given up.
pub fn run_load(fleet: &Fleet, workload: &Workload, duration_ms: u64) -> Result<Observations> {
    let began = Instant::now();
    let load = Load {
        target: Arc::new(Target {
            routers: fleet.callers(),
            customers: names(fleet),
            deadline_ms: workload.deadline_ms,
            began,
        }),
        outstanding: Outstanding::default(),
        samples: Arc::default(),
        number: Arc::default(),
    };
    let sampler = Sampler::start(fleet, &load.outstanding, began).map_err(Error::Thread)?;
    let executor = Arc::new(Executor::new());
    load.start_callers(&executor, &workload.callers);
    let threads = start_threads(&executor, began + Duration::from_millis(duration_ms))?;
    let disturbing = start_disturbances(fleet, &workload.disturbances, began)?;
    load.send_arrivals(&executor, &workload.arrivals, began);
    let _ = disturbing.join();
    for thread in threads {
        let _ = thread.join();
    }
    let truth = sampler.finish();
    // Dropping the executor drops the callers, which record what they saw so far.
    drop(executor);
    let mut recorded = load.samples.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(Observations {
        samples: std::mem::take(&mut recorded),
        truth,
    })
}

fn names(fleet: &Fleet) -> Vec<String> {
    let customers = fleet.plan.customers.iter();
    customers.map(|customer| customer.name.clone()).collect()
}

fn start_threads(
    executor: &Arc<Executor<'static>>,
    end: Instant,
) -> Result<Vec<std::thread::JoinHandle<()>>> {
    let start = |_| {
        let executor = executor.clone();
        let run = move || {
            smol::block_on(executor.run(smol::Timer::at(end)));
        };
        std::thread::Builder::new()
            .name("callers".into())
            .spawn(run)
            .map_err(Error::Thread)
    };
    (0..CALLER_THREADS).map(start).collect()
}

/// Injects faults at their times, in a thread of its own.
fn start_disturbances(
    fleet: &Fleet,
    disturbances: &[Disturbance],
    began: Instant,
) -> Result<std::thread::JoinHandle<()>> {
    let engines: Vec<Arc<Engine>> = disturbances
        .iter()
        .map(|disturbance| fleet.engines[disturbance.engine].stand_in().clone())
        .collect();
    let disturbances = disturbances.to_vec();
    let inject = move || {
        for (engine, disturbance) in engines.iter().zip(disturbances) {
            let at = began + Duration::from_millis(disturbance.at_ms);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            engine.inject(disturbance.fault);
        }
    };
    std::thread::Builder::new()
        .name("faults".into())
        .spawn(inject)
        .map_err(Error::Thread)
}

impl Load {
    fn start_callers(&self, executor: &Executor<'static>, callers: &[Caller]) {
        for caller in callers {
            let load = self.clone();
            let caller = *caller;
            executor.spawn(load.repeat(caller)).detach();
        }
    }

    /// Sends requests at their times; returns when the last one is sent.
    fn send_arrivals(&self, executor: &Executor<'static>, arrivals: &[Arrival], began: Instant) {
        for arrival in arrivals {
            let at = began + Duration::from_secs_f64(arrival.at_ms / 1_000.0);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let load = self.clone();
            let arrival = arrival.clone();
            let calling = async move {
                load.call_once(&arrival).await;
            };
            executor.spawn(calling).detach();
        }
    }

    async fn repeat(self, caller: Caller) {
        let mut rng = ChaCha8Rng::seed_from_u64(caller.seed);
        loop {
            let arrival = Arrival {
                at_ms: 0.0,
                router: caller.router,
                customer: caller.customer,
                class: Class::Short,
                tokens: caller.sizes.draw(&mut rng),
                hint: None,
            };
            let status = self.call_once(&arrival).await;
            if status != 200 {
                smol::Timer::after(REFUSAL_PAUSE).await;
            }
        }
    }

    async fn call_once(&self, arrival: &Arrival) -> u16 {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        let _counted = self.outstanding.enter();
        let mut recorded = Recorded {
            sample: Sample {
                customer: arrival.customer,
                class: arrival.class,
                tokens: arrival.tokens,
                parts: 0,
                sent_ms: self.target.began.elapsed().as_secs_f64() * 1_000.0,
                first_ms: None,
                done_ms: None,
                status: 0,
            },
            samples: self.samples.clone(),
        };
        call(&self.target, arrival, number, &mut recorded.sample).await;
        recorded.sample.status
    }
}

/// A sample that is recorded when it is dropped.
struct Recorded {
    sample: Sample,
    samples: Arc<Mutex<Vec<Sample>>>,
}

impl Drop for Recorded {
    fn drop(&mut self) {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        samples.push(self.sample.clone());
    }
}
