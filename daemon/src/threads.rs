//! Threads, each with an tasks of its own for its one duty.

use std::future::Future;
use std::io;
use std::thread::{self, JoinHandle};

use async_channel::Receiver;
use futures_lite::FutureExt;
use net::Spawner;

/// A thread that runs one duty to its end.
pub(crate) type Duty = JoinHandle<()>;

/// Starts a thread; `duty` is made on it and may spawn on its tasks.
pub(crate) fn spawn<F, D>(name: &str, duty: D) -> io::Result<Duty>
where
    D: FnOnce(Spawner) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    let run = move || net::block_on(duty);
    thread::Builder::new().name(name.to_owned()).spawn(run)
}

/// Starts a thread whose duty is given up once the other side of `stopped` is dropped.
pub(crate) fn spawn_until<F, D>(name: &str, stopped: Receiver<()>, duty: D) -> io::Result<Duty>
where
    D: FnOnce(Spawner) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    spawn(name, move |tasks| {
        let duty = duty(tasks);
        let stop = async move {
            // Nothing is ever sent; it ends with an error.
            let _ = stopped.recv().await;
        };
        duty.or(stop)
    })
}

/// Waits for threads to end. One that panicked is reported by the panic itself.
pub(crate) fn join(duties: impl IntoIterator<Item = Duty>) {
    for duty in duties {
        let _ = duty.join();
    }
}
