//! Threads, each with an executor of its own for its one duty.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::thread::{self, JoinHandle};

use async_executor::LocalExecutor;

/// A thread that runs one duty to its end.
pub(crate) type Duty = JoinHandle<()>;

/// Starts a thread; `duty` is made on it and may spawn on its executor.
pub(crate) fn spawn<F, D>(name: &str, duty: D) -> io::Result<Duty>
where
    D: FnOnce(Rc<LocalExecutor<'static>>) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    let run = move || {
        let executor = Rc::new(LocalExecutor::new());
        let duty = duty(executor.clone());
        async_io::block_on(executor.run(duty));
    };
    thread::Builder::new().name(name.to_owned()).spawn(run)
}

/// Waits for threads to end. One that panicked is reported by the panic itself.
pub(crate) fn join(duties: impl IntoIterator<Item = Duty>) {
    for duty in duties {
        let _ = duty.join();
    }
}
