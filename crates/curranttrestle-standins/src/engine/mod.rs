//! A stand-in for a model engine with continuous batching, a prefix cache and streamed
//! responses. The batch size is not limited; the time per token grows with it.

mod batch;
mod cache;
mod fault;
mod handlers;
mod options;
mod reader;
mod response;
mod truth;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use curranttrestle::state::Now;
use smol::Timer;

use crate::endpoint::{LeavingLog, LoadLog, OrderLog};
use crate::server::{
    Handle, ListenOptions, Reopener, Reply, Request, Result, ServerControl, StandIn, milliseconds,
    unix_ms,
};
use batch::Batch;
use cache::PrefixCache;
use fault::Faults;
pub use fault::{EngineFault, FrameFaults};
pub use options::EngineOptions;
pub use response::{CRASH_MARKER, expected_response, response_tokens, tokens_marker};
pub use truth::{BusySample, EngineTruth};

/// A running engine stand-in.
pub type EngineHandle = Handle<Engine>;

/// An engine stand-in.
#[derive(Debug)]
pub struct Engine {
    options: EngineOptions,
    control: Arc<ServerControl>,
    reopen: Reopener,
    started: Instant,
    work_sender: Sender<()>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    incarnation: u64,
    batch: Batch,
    cache: PrefixCache,
    load: LoadLog,
    orders: OrderLog,
    leaving: LeavingLog,
    faults: Faults,
    truth: EngineTruth,
}

/// Starts an engine stand-in.
///
/// ```
/// use curranttrestle_standins::engine::{EngineOptions, start};
/// let engine = start(EngineOptions::default()).unwrap();
/// assert_eq!(engine.truth().admitted, 0);
/// engine.stop();
/// ```
///
/// # Errors
///
/// Returns an error when an address cannot be bound or a thread cannot be started.
pub fn start(options: EngineOptions) -> Result<EngineHandle> {
    let name = options.name.clone();
    let listen = ListenOptions {
        name: &name,
        address: options.address,
        admin_address: options.admin_address,
    };
    let (work_sender, work_receiver) = async_channel::bounded(1);
    let handle = Handle::start(&listen, |control, reopen| {
        Engine::new(options, control, reopen, work_sender)
    })?;
    let engine = Arc::clone(handle.stand_in());
    let control = Arc::clone(&engine.control);
    log::info!(
        "event=engine-start endpoint={} data_centre={} address={}",
        engine.options.name,
        engine.options.data_centre,
        handle.address()
    );
    control.spawn_detached(run_batch(engine, work_receiver));
    Ok(handle)
}

/// Steps the batch while streams are running, and otherwise waits for a new request.
async fn run_batch(engine: Arc<Engine>, work_receiver: Receiver<()>) {
    loop {
        if engine.state().batch.is_idle() && work_receiver.recv().await.is_err() {
            return;
        }
        let interval = engine.step_interval();
        Timer::after(interval).await;
        engine.control.wait_unfrozen().await;
        engine.step(interval);
    }
}

impl Engine {
    fn new(
        options: EngineOptions,
        control: Arc<ServerControl>,
        reopen: Reopener,
        work_sender: Sender<()>,
    ) -> Self {
        let incarnation = unix_ms();
        let state = State {
            incarnation,
            batch: Batch::new(options.grace_ms),
            cache: PrefixCache::new(options.cache_blocks, options.cache_event_gap_every),
            load: LoadLog::default(),
            orders: OrderLog::new(
                options.checks_fencing,
                options.checks_incarnation,
                &options.model,
            ),
            leaving: LeavingLog::default(),
            faults: Faults::new(&options),
            truth: EngineTruth::default(),
        };
        Self {
            options,
            control,
            reopen,
            started: Instant::now(),
            work_sender,
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Now {
        Now {
            steady_ms: milliseconds(self.started.elapsed()),
            unix_ms: unix_ms(),
        }
    }

    /// Duration of the next step.
    fn step_interval(&self) -> Duration {
        let state = self.state();
        let other_streams =
            u32::try_from(state.batch.running().saturating_sub(1)).unwrap_or(u32::MAX);
        let batch_factor = 1.0 + self.options.batch_slowdown * f64::from(other_streams);
        let interval_ms = self.options.token_interval_ms * batch_factor * state.faults.slow_factor;
        Duration::from_secs_f64(interval_ms.max(0.1) / 1_000.0)
    }

    /// Generates one token for each stream whose prefill is finished.
    fn step(self: &Arc<Self>, interval: Duration) {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        state.truth.record_busy(
            now.unix_ms,
            state.batch.running(),
            self.options.slots,
            interval,
        );
        let step = state.batch.step(now.steady_ms, &state.faults.frames);
        state.truth.record_step(&step);
        for attempt in &step.ended_attempts {
            state.load.end(now.unix_ms, attempt);
        }
        if step.crashed {
            self.crash(state, now);
        }
    }

    /// Crashes the engine: aborts all streams and starts the next incarnation after the restart
    /// time.
    fn crash(self: &Arc<Self>, state: &mut State, now: Now) {
        if state.orders.is_stopped() || !self.control.is_listening() {
            return;
        }
        log::info!(
            "event=engine-crash endpoint={} incarnation={}",
            self.options.name,
            state.incarnation
        );
        state.truth.crashes += 1;
        state.truth.lost_in_crashes += state.batch.abort_all() as u64;
        state.load.clear(now.unix_ms);
        state.cache.clear();
        state.orders.reset_fencing();
        state.incarnation = (state.incarnation + 1).max(now.unix_ms);
        self.control.stop_listening();
        self.control.close_connections();
        let engine = Arc::clone(self);
        let restart_ms = state.faults.restart_ms;
        self.control.spawn_detached(async move {
            Timer::after(Duration::from_millis(restart_ms)).await;
            engine.reopen.open(Arc::clone(&engine)).await;
        });
    }

    /// Executes a stop order: aborts the running streams and refuses connections from then on.
    fn stop(self: &Arc<Self>, state: &mut State, now: Now) {
        let aborted = state.batch.abort_all() as u64;
        state.load.clear(now.unix_ms);
        state.orders.record_stop(now.unix_ms, aborted);
        log::info!(
            "event=engine-stop endpoint={} cut_streams={aborted}",
            self.options.name
        );
        self.control.close_after_delay();
    }
}

impl StandIn for Engine {
    type Fault = EngineFault;
    type Truth = EngineTruth;

    async fn handle(self: &Arc<Self>, request: Request) -> Reply {
        handlers::handle(self, &request)
    }

    fn inject(self: &Arc<Self>, fault: EngineFault) {
        log::info!(
            "event=engine-fault endpoint={} fault={fault:?}",
            self.options.name
        );
        let now = self.now();
        let mut state = self.state();
        match fault {
            EngineFault::Freeze => self.control.set_frozen(true),
            EngineFault::SilenceConnections => self.control.silence_connections(),
            EngineFault::CloseConnections => self.control.close_connections(),
            EngineFault::Crash => self.crash(&mut state, now),
            EngineFault::Leaving => state.leaving.mark(now.unix_ms),
            EngineFault::Heal => {
                state.faults = Faults::new(&self.options);
                self.control.set_frozen(false);
            }
            setting => state.faults.set(&setting),
        }
    }

    fn truth(&self) -> EngineTruth {
        let state = self.state();
        EngineTruth {
            incarnation: state.incarnation,
            running: state.batch.running() as u64,
            orders: state.orders.truth.clone(),
            leaving: state.leaving.truth.clone(),
            ..state.truth.clone()
        }
    }
}
