//! Threads, each with an tasks of its own for its one duty.

use std::future::Future;
use std::io;
use std::thread::{self, JoinHandle};

use async_channel::Receiver;
use futures_lite::FutureExt;
use net::Tasks;

/// A thread that runs one duty to its end.
pub(crate) type ThreadHandle = JoinHandle<()>;

/// Starts a thread; `duty` is made on it and may spawn on its tasks.
pub(crate) fn spawn<F, D>(name: &str, future_fn: D) -> io::Result<ThreadHandle>
where
    D: FnOnce(Tasks) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    let run = move || net::block_on(future_fn);
    thread::Builder::new().name(name.to_owned()).spawn(run)
}

/// Starts a thread whose duty is given up once the other side of `stopped` is dropped.
pub(crate) fn spawn_until<F, D>(
    name: &str,
    stopped: Receiver<()>,
    future_fn: D,
) -> io::Result<ThreadHandle>
where
    D: FnOnce(Tasks) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    spawn(name, move |tasks| {
        let future = future_fn(tasks);
        let stop = async move {
            // Nothing is ever sent; it ends with an error.
            let _ = stopped.recv().await;
        };
        future.or(stop)
    })
}

/// Waits for threads to end. One that panicked is reported by the panic itself.
pub(crate) fn join(threads: impl IntoIterator<Item = ThreadHandle>) {
    for thread in threads {
        let _ = thread.join();
    }
}
