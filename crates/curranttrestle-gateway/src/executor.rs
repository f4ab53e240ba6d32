//! Runs the tasks of a gateway on one thread, those of its control path first.

use std::cell::Cell;
use std::rc::Rc;

use futures_lite::{FutureExt, future};
use smol::LocalExecutor;

/// Traffic tasks that run before the events of sockets and timers are collected again. A call of the
/// control path waits for events several times, but collecting them takes time from all requests.
const TRAFFIC_TASKS_PER_POLL: usize = 64;

/// Control tasks that run before the next traffic task.
const CONTROL_TASKS_PER_TRAFFIC_TASK: usize = 16;

/// Two queues of tasks. A call to the store takes some ten turns, so in one queue with the requests
/// it would take ten times as long as a request waits for its turn.
///
/// ```
/// use curranttrestle_gateway::executor::Executors;
/// let executors = Executors::default();
/// let traffic = executors.traffic().spawn(async { 1 });
/// let control = executors.control().spawn(async { 2 });
/// let sum = smol::block_on(executors.run(async { traffic.await + control.await }));
/// assert_eq!(sum, 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Executors {
    control: Rc<LocalExecutor<'static>>,
    traffic: Rc<LocalExecutor<'static>>,
    turns: Rc<Cell<u64>>,
}

impl Executors {
    /// The executor of calls to the store.
    #[must_use]
    pub fn control(&self) -> &Rc<LocalExecutor<'static>> {
        &self.control
    }

    /// The executor of requests, their connections and messages from peers.
    #[must_use]
    pub fn traffic(&self) -> &Rc<LocalExecutor<'static>> {
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

    /// Runs the control tasks that are ready and one traffic task; waits if there are none.
    async fn run_next(&self) {
        for _ in 0..CONTROL_TASKS_PER_TRAFFIC_TASK {
            if !self.control.try_tick() {
                break;
            }
            self.count_turn();
        }
        if !self.traffic.try_tick() {
            self.control.tick().or(self.traffic.tick()).await;
        }
        self.count_turn();
    }

    fn count_turn(&self) {
        self.turns.set(self.turns.get() + 1);
    }
}
