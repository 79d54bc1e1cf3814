//! A thread-local executor and a handle that spawns futures on it.

use std::future::Future;
use std::rc::{Rc, Weak};

use async_compat::Compat;
use async_executor::LocalExecutor;

/// A handle that spawns futures on its thread's executor.
///
/// The handle is a weak reference, since spawned futures hold clones of it: when [`block_on`]
/// returns, the executor is dropped with its futures, which closes their sockets.
#[derive(Clone, Debug)]
pub struct Spawner {
    executor: Weak<LocalExecutor<'static>>,
}

impl Spawner {
    /// Spawns a future; drops it if the executor has ended.
    pub fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(future).detach();
        }
    }

    /// Spawns a future that uses tarpc, within the tokio context that tarpc's timers need.
    pub fn spawn_rpc(&self, future: impl Future<Output = ()> + 'static) {
        self.spawn(Compat::new(future));
    }
}

/// Runs a future to completion on this thread. Futures that it spawned and that have not completed
/// by then are dropped.
pub fn block_on<F: Future>(main_future: impl FnOnce(Spawner) -> F) -> F::Output {
    let executor = Rc::new(LocalExecutor::new());
    let main_future = main_future(Spawner { executor: Rc::downgrade(&executor) });
    async_io::block_on(executor.run(main_future))
}
