//! Spawning on a thread's executor.

use std::future::Future;
use std::rc::{Rc, Weak};

use async_compat::Compat;
use async_executor::LocalExecutor;

/// Spawns tasks on the executor of its thread.
///
/// Tasks hold it too, so it does not keep the executor alive: when the thread's duty ends, its
/// tasks are dropped and their sockets closed.
#[derive(Clone, Debug)]
pub struct Spawner {
    executor: Weak<LocalExecutor<'static>>,
}

impl Spawner {
    /// Spawns a task; it is dropped where the executor has ended.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Spawns a task of tarpc's, which needs a tokio context for its timers.
    pub fn spawn_rpc(&self, task: impl Future<Output = ()> + 'static) {
        self.spawn(Compat::new(task));
    }
}

/// Runs a future to its end on this thread, with an executor that it may spawn on. What it spawned
/// ends with it.
pub fn block_on<F: Future>(work: impl FnOnce(Spawner) -> F) -> F::Output {
    let executor = Rc::new(LocalExecutor::new());
    let work = work(Spawner { executor: Rc::downgrade(&executor) });
    async_io::block_on(executor.run(work))
}
