//! Threads that each run one future, with a task set of its own.

use std::future::Future;
use std::io;
use std::thread::{self, JoinHandle};

use async_channel::Receiver;
use futures_lite::FutureExt;
use net::Spawner;

/// The handle of a thread that runs one future to completion.
pub(crate) type ThreadHandle = JoinHandle<()>;

/// Starts a thread that runs the future returned by `future_fn`. The future may spawn local tasks.
pub(crate) fn spawn<F, D>(name: &str, future_fn: D) -> io::Result<ThreadHandle>
where
    D: FnOnce(Spawner) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    let run = move || net::block_on(future_fn);
    thread::Builder::new().name(name.to_owned()).spawn(run)
}

/// Starts a thread whose future is dropped once the other side of `stopped` is dropped.
pub(crate) fn spawn_until<F, D>(
    name: &str,
    stopped: Receiver<()>,
    future_fn: D,
) -> io::Result<ThreadHandle>
where
    D: FnOnce(Spawner) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    spawn(name, move |tasks| {
        let future = future_fn(tasks);
        let stop = async move {
            // Nothing is ever sent: fails once the sender is dropped.
            let _ = stopped.recv().await;
        };
        future.or(stop)
    })
}

/// Waits for threads to end. A panic of a thread is ignored, as the panic hook has reported it.
pub(crate) fn join(threads: impl IntoIterator<Item = ThreadHandle>) {
    for thread in threads {
        let _ = thread.join();
    }
}
