//! An async executor on its own thread.

use std::future::Future;
use std::sync::{Arc, Weak};
use std::thread::JoinHandle;

use async_channel::Sender;
use smol::{Executor, Task};

use super::{Error, Result};

/// A thread that runs the tasks of one stand-in until it is stopped.
#[derive(Debug)]
pub(crate) struct Runtime {
    executor: Option<Arc<Executor<'static>>>,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Runtime {
    /// Starts the thread.
    pub(crate) fn start(name: &str) -> Result<Self> {
        let executor = Arc::new(Executor::new());
        let (stop, stop_receiver) = async_channel::bounded::<()>(1);
        let thread_executor = Arc::clone(&executor);
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let _ = smol::block_on(thread_executor.run(stop_receiver.recv()));
            })
            .map_err(Error::Thread)?;
        Ok(Self {
            executor: Some(executor),
            stop,
            thread: Some(thread),
        })
    }

    /// Returns a spawner of tasks on this thread.
    pub(crate) fn spawner(&self) -> Spawner {
        Spawner(
            self.executor
                .as_ref()
                .map_or_else(Weak::new, Arc::downgrade),
        )
    }

    /// Stops the thread and drops its tasks, which closes their connections.
    pub(crate) fn stop(&mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.executor = None;
    }
}

impl Drop for Runtime {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Spawns tasks on a stand-in's thread while it is running.
#[derive(Clone, Debug)]
pub(crate) struct Spawner(Weak<Executor<'static>>);

impl Spawner {
    /// Spawns a task that is cancelled when the returned handle is dropped. Returns none after
    /// the runtime has stopped.
    pub(crate) fn spawn(
        &self,
        future: impl Future<Output = ()> + Send + 'static,
    ) -> Option<Task<()>> {
        self.0.upgrade().map(|executor| executor.spawn(future))
    }

    /// Spawns a task that runs until it ends or the runtime is stopped.
    pub(crate) fn spawn_detached(&self, future: impl Future<Output = ()> + Send + 'static) {
        if let Some(task) = self.spawn(future) {
            task.detach();
        }
    }
}
