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
use super::workload::{Arrival, Caller, Class, Sample, ScheduledFault, Workload};
use crate::fleet::{Fleet, Sampler, TruthSample};
use crate::{Error, Result};

/// Number of threads that run the callers.
const CALLER_THREADS: usize = 2;
/// Pause of a closed-loop caller after a failed request.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// A shared count of the outstanding requests.
#[derive(Clone, Debug, Default)]
pub struct Outstanding(Arc<AtomicU64>);

impl Outstanding {
    /// The number of outstanding requests.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn track(&self) -> OutstandingGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        OutstandingGuard(self.0.clone())
    }
}

/// Counts one request as outstanding until dropped.
struct OutstandingGuard(Arc<AtomicU64>);

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The measurements of one load.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// One sample per request, in no particular order, including requests that were still
    /// running at the end.
    pub samples: Vec<Sample>,
    /// The activity of the engines over time.
    pub truth: Vec<TruthSample>,
}

/// State shared by all callers of a load.
#[derive(Clone)]
struct Load {
    target: Arc<Target>,
    outstanding: Outstanding,
    samples: Arc<Mutex<Vec<Sample>>>,
    next_request_number: Arc<AtomicU64>,
}

/// Runs `workload` for `duration_ms` and then cancels the requests that are still running.
pub fn run_load(fleet: &Fleet, workload: &Workload, duration_ms: u64) -> Result<Observations> {
    let started = Instant::now();
    let load = Load {
        target: Arc::new(Target {
            routers: fleet.callers(),
            customers: customer_names(fleet),
            deadline_ms: workload.deadline_ms,
            started,
        }),
        outstanding: Outstanding::default(),
        samples: Arc::default(),
        next_request_number: Arc::default(),
    };
    let sampler = Sampler::start(fleet, &load.outstanding, started).map_err(Error::Thread)?;
    let executor = Arc::new(Executor::new());
    load.start_callers(&executor, &workload.callers);
    let threads = start_threads(&executor, started + Duration::from_millis(duration_ms))?;
    let injector = start_fault_injector(fleet, &workload.faults, started)?;
    load.send_arrivals(&executor, &workload.arrivals, started);
    let _ = injector.join();
    for thread in threads {
        let _ = thread.join();
    }
    let truth = sampler.finish();
    // Dropping the executor drops the callers, which then record their samples so far.
    drop(executor);
    let mut recorded = load.samples.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(Observations {
        samples: std::mem::take(&mut recorded),
        truth,
    })
}

fn customer_names(fleet: &Fleet) -> Vec<String> {
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

/// Starts a thread that injects faults into engines at their times.
fn start_fault_injector(
    fleet: &Fleet,
    faults: &[ScheduledFault],
    started: Instant,
) -> Result<std::thread::JoinHandle<()>> {
    let engines: Vec<Arc<Engine>> = faults
        .iter()
        .map(|scheduled| fleet.engines[scheduled.engine].stand_in().clone())
        .collect();
    let faults = faults.to_vec();
    let inject = move || {
        for (engine, scheduled) in engines.iter().zip(faults) {
            let at = started + Duration::from_millis(scheduled.at_ms);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            engine.inject(scheduled.fault);
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
            executor.spawn(load.run_caller(caller)).detach();
        }
    }

    /// Sends each request at its time. Returns after the last one is sent.
    fn send_arrivals(&self, executor: &Executor<'static>, arrivals: &[Arrival], started: Instant) {
        for arrival in arrivals {
            let at = started + Duration::from_secs_f64(arrival.at_ms / 1_000.0);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let load = self.clone();
            let arrival = arrival.clone();
            let calling = async move {
                load.send_request(&arrival).await;
            };
            executor.spawn(calling).detach();
        }
    }

    async fn run_caller(self, caller: Caller) {
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
            let status = self.send_request(&arrival).await;
            if status != 200 {
                smol::Timer::after(FAILURE_PAUSE).await;
            }
        }
    }

    async fn send_request(&self, arrival: &Arrival) -> u16 {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        let _guard = self.outstanding.track();
        let mut pending = RecordOnDrop {
            sample: Sample {
                customer: arrival.customer,
                class: arrival.class,
                tokens: arrival.tokens,
                chunks: 0,
                sent_ms: self.target.started.elapsed().as_secs_f64() * 1_000.0,
                first_ms: None,
                done_ms: None,
                status: 0,
            },
            samples: self.samples.clone(),
        };
        call(&self.target, arrival, number, &mut pending.sample).await;
        pending.sample.status
    }
}

/// Adds its sample to the shared list when dropped, so that cancelled requests are recorded
/// too.
struct RecordOnDrop {
    sample: Sample,
    samples: Arc<Mutex<Vec<Sample>>>,
}

impl Drop for RecordOnDrop {
    fn drop(&mut self) {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        samples.push(self.sample.clone());
    }
}
