//! Runs the tasks of a gateway on one thread, those of its control path first.

use std::cell::Cell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Poll, Waker};

use async_task::{Runnable, ScheduleInfo, Task, WithInfo};
use futures_lite::{FutureExt, future};
use tokio::runtime::Builder;
use tokio::task;

/// Traffic tasks that run before the events of sockets and timers are collected again. A call of the
/// control path waits for events several times, but collecting them takes time from all requests.
const TRAFFIC_TASKS_PER_POLL: usize = 64;

/// Control tasks that run before the next traffic task.
const CONTROL_TASKS_PER_TRAFFIC_TASK: usize = 16;

/// Continuations that run in a row while other tasks are ready.
const MAX_CONTINUATIONS: usize = 64;

thread_local! {
    /// Whether this thread is running a task.
    static IS_RUNNING_TASK: Cell<bool> = const { Cell::new(false) };
}

/// The tasks of a queue that are ready to run.
#[derive(Debug, Default)]
struct ReadyTasks {
    /// Tasks that another task made ready, such as that of a request whose connection received a
    /// response.
    continuations: VecDeque<Runnable>,
    /// Tasks that an event made ready, or that let others run.
    woken: VecDeque<Runnable>,
    /// Continuations that ran in a row.
    continued: usize,
    /// Wakes the loop that waits for a task.
    waker: Option<Waker>,
}

impl ReadyTasks {
    fn next(&mut self) -> Option<Runnable> {
        let may_continue = self.continued < MAX_CONTINUATIONS || self.woken.is_empty();
        if may_continue && let Some(continuation) = self.continuations.pop_front() {
            self.continued += 1;
            return Some(continuation);
        }
        self.continued = 0;
        self.woken.pop_front()
    }

    fn is_empty(&self) -> bool {
        self.continuations.is_empty() && self.woken.is_empty()
    }
}

/// A queue of tasks that run on one thread.
///
/// A task that another task makes ready continues the same work, so it runs before all tasks that
/// were made ready by events. In the order of their wake-ups, a request would wait for all others each
/// time that one of its tasks passes it on to the next one.
#[derive(Clone, Debug, Default)]
pub struct TaskQueue {
    // Shared and locked, because wakers may be used on any thread.
    ready: Arc<Mutex<ReadyTasks>>,
}

impl TaskQueue {
    /// Adds a task, which is cancelled when the returned handle is dropped.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        let ready = Arc::clone(&self.ready);
        let schedule = move |runnable: Runnable, info: ScheduleInfo| {
            let mut ready = lock(&ready);
            if IS_RUNNING_TASK.get() && !info.woken_while_running {
                ready.continuations.push_back(runnable);
            } else {
                ready.woken.push_back(runnable);
            }
            let waker = ready.waker.take();
            drop(ready);
            if let Some(waker) = waker {
                waker.wake();
            }
        };
        let (runnable, task) = async_task::spawn_local(future, WithInfo(schedule));
        runnable.schedule();
        task
    }

    /// Runs the next task; false if none is ready.
    fn try_run(&self) -> bool {
        let next = lock(&self.ready).next();
        let Some(runnable) = next else {
            return false;
        };
        IS_RUNNING_TASK.set(true);
        runnable.run();
        IS_RUNNING_TASK.set(false);
        true
    }

    /// Whether a task is ready. If not, `waker` is woken when one is.
    fn poll_ready(&self, waker: &Waker) -> bool {
        let mut ready = lock(&self.ready);
        let is_ready = !ready.is_empty();
        if !is_ready {
            ready.waker = Some(waker.clone());
        }
        is_ready
    }
}

fn lock(ready: &Mutex<ReadyTasks>) -> MutexGuard<'_, ReadyTasks> {
    // No panic leaves a queue half changed.
    ready.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a future on this thread, with the sockets and timers that it uses.
///
/// # Errors
///
/// [`io::Error`] if the operating system provides no events of sockets.
///
/// ```
/// use curranttrestle_gateway::executor::block_on;
/// use curranttrestle_gateway::timer::sleep_ms;
/// block_on(sleep_ms(1))?;
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn block_on<T>(future: impl Future<Output = T>) -> io::Result<T> {
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    // `Executors` returns to the runtime often enough; its limit would only end the turns of tasks early.
    Ok(runtime.block_on(task::unconstrained(future)))
}

/// Two queues of tasks. A call to the store takes some ten turns, so in one queue with the requests
/// it would take ten times as long as a request waits for its turn.
///
/// ```
/// use curranttrestle_gateway::executor::{Executors, block_on};
/// let executors = Executors::default();
/// let traffic = executors.traffic().spawn(async { 1 });
/// let control = executors.control().spawn(async { 2 });
/// let sum = block_on(executors.run(async { traffic.await + control.await }))?;
/// assert_eq!(sum, 3);
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Executors {
    control: TaskQueue,
    traffic: TaskQueue,
    turns: Rc<Cell<u64>>,
}

impl Executors {
    /// The queue of calls to the store.
    #[must_use]
    pub fn control(&self) -> &TaskQueue {
        &self.control
    }

    /// The queue of requests, their connections and messages from peers.
    #[must_use]
    pub fn traffic(&self) -> &TaskQueue {
        &self.traffic
    }

    /// The number of times that a task ran.
    #[must_use]
    pub fn turns(&self) -> u64 {
        self.turns.get()
    }

    /// Runs the tasks until `main` completes.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        let tasks = async {
            loop {
                for _ in 0..TRAFFIC_TASKS_PER_POLL {
                    self.run_next().await;
                }
                future::yield_now().await;
            }
        };
        main.or(tasks).await
    }

    /// Runs the control tasks that are ready and one traffic task. If there are none, waits until one
    /// is ready.
    async fn run_next(&self) {
        for _ in 0..CONTROL_TASKS_PER_TRAFFIC_TASK {
            if !self.control.try_run() {
                break;
            }
            self.count_turn();
        }
        if self.traffic.try_run() {
            self.count_turn();
            return;
        }
        poll_fn(|context| {
            let waker = context.waker();
            let has_control = self.control.poll_ready(waker);
            if has_control || self.traffic.poll_ready(waker) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }

    fn count_turn(&self) {
        self.turns.set(self.turns.get() + 1);
    }
}
