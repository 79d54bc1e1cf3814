//! A loopback proxy that simulates link faults: it delays, blocks, slows down or resets
//! connections, or silences single connections permanently while new ones work.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use net::Spawner;
use socket2::SockRef;

/// Interval at which a blocked copy checks whether the fault is over.
const POLL: Duration = Duration::from_millis(2);
/// Size of the read buffer.
const CHUNK: usize = 16 * 1024;

/// The direction that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side.
    ToServer,
    /// To the connecting side.
    ToClient,
    Both,
}

/// A temporary fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Data is delayed by a duration.
    Delayed(Duration),
    /// Data is delivered after the fault, even if its sender has closed the connection.
    HeldBack,
    /// Each connection is limited to this many bytes per second.
    Slow(u64),
    /// All open connections are reset; new ones are accepted.
    Reset,
}

/// How the data of a permanently silenced connection is treated. Neither side receives anything any
/// more, including the end of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Data is read and discarded, so the sender notices nothing.
    Dropped,
    /// Data is not read, so the sender blocks once the buffers are full.
    NotRead,
}

#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    fault: Fault,
    direction: Direction,
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    active_fault: Option<ActiveFault>,
    /// Number of injected resets; a change resets the connections that are open.
    resets: u64,
    /// Number of connections accepted.
    accepted: u64,
    /// Open connections by number, with their silence if any.
    open: BTreeMap<u64, Option<Silence>>,
}

/// A proxied link; stops when dropped.
pub struct Proxy {
    state: Arc<Mutex<State>>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Accepts connections at an address and forwards them to another.
    pub fn start(listen: SocketAddr, to: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let shared = state.clone();
        let thread = std::thread::spawn(move || {
            net::block_on(|tasks| async move {
                let listener = Async::<TcpListener>::bind(listen).expect("the address is free");
                tasks.spawn(accept(listener, to, shared, tasks.clone()));
                // Returns when the sender is dropped.
                let _ = stopped.recv().await;
            });
        });
        Self { state, stop: Some(stop), thread: Some(thread) }
    }

    /// Injects a fault until a time.
    pub fn inject(&self, fault: Fault, direction: Direction, until: Instant) {
        let mut state = self.state.lock().expect("the mutex is not poisoned");
        match fault {
            Fault::Reset => state.resets += 1,
            _ => state.active_fault = Some(ActiveFault { fault, direction, until }),
        }
    }

    /// Silences one open connection permanently; `choose` picks it from the number of candidates.
    pub fn silence_one(&self, silence: Silence, choose: impl FnOnce(usize) -> usize) {
        let mut state = self.state.lock().expect("the mutex is not poisoned");
        let active: Vec<&mut Option<Silence>> =
            state.open.values_mut().filter(|silent| silent.is_none()).collect();
        if active.is_empty() {
            return;
        }
        let chosen = choose(active.len());
        *active.into_iter().nth(chosen).expect("the choice is within the candidates") =
            Some(silence);
    }

    /// Silences all open connections permanently; returns their number.
    pub fn silence_all(&self, silence: Silence) -> u64 {
        let mut state = self.state.lock().expect("the mutex is not poisoned");
        let active = state.open.values_mut().filter(|silent| silent.is_none());
        active.map(|silent| *silent = Some(silence)).count() as u64
    }

    /// Number of connections accepted.
    pub fn accepted_count(&self) -> u64 {
        self.state.lock().expect("the mutex is not poisoned").accepted
    }

    /// Ends a temporary fault.
    pub fn clear_fault(&self) {
        self.state.lock().expect("the mutex is not poisoned").active_fault = None;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // A panic in the thread has already failed the test.
            let _ = thread.join();
        }
    }
}

async fn accept(
    listener: Async<TcpListener>,
    to: SocketAddr,
    state: Arc<Mutex<State>>,
    tasks: Spawner,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            Timer::after(POLL).await;
            continue;
        };
        let state = state.clone();
        tasks.spawn(async move { forward(client, to, state).await });
    }
}

/// Forwards one connection until both sides have closed it or it is reset.
async fn forward(client: Async<TcpStream>, to: SocketAddr, state: Arc<Mutex<State>>) {
    let resets = state.lock().expect("the mutex is not poisoned").resets;
    let Ok(server) = Async::<TcpStream>::connect(to).await else { return };
    // Best effort: without the option the link is slower, which is also a valid fault.
    let _ = client.get_ref().set_nodelay(true);
    let _ = server.get_ref().set_nodelay(true);
    let connection = ConnectionGuard::open(state);
    let to_server = copy(&client, &server, Direction::ToServer, &connection);
    let to_client = copy(&server, &client, Direction::ToClient, &connection);
    let both_closed = async {
        future::zip(to_server, to_client).await;
    };
    let reset = async {
        while connection.lock().resets == resets {
            Timer::after(POLL).await;
        }
        for side in [&client, &server] {
            let _ = SockRef::from(side.get_ref()).set_linger(Some(Duration::ZERO));
        }
    };
    future::or(both_closed, reset).await;
}

/// Registration of an open connection in the shared state; removed when dropped.
struct ConnectionGuard {
    state: Arc<Mutex<State>>,
    number: u64,
}

impl ConnectionGuard {
    fn open(state: Arc<Mutex<State>>) -> Self {
        let mut locked = state.lock().expect("the mutex is not poisoned");
        locked.accepted += 1;
        let number = locked.accepted;
        locked.open.insert(number, None);
        drop(locked);
        Self { state, number }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the mutex is not poisoned")
    }

    fn silence(&self) -> Option<Silence> {
        self.lock().open.get(&self.number).copied().flatten()
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.lock().open.remove(&self.number);
    }
}

async fn copy(
    from: &Async<TcpStream>,
    to: &Async<TcpStream>,
    direction: Direction,
    connection: &ConnectionGuard,
) {
    let (mut from, mut to) = (from, to);
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = from.read(&mut chunk).await.unwrap_or(0);
        wait_for_link(direction, read, connection).await;
        match connection.silence() {
            // The end of the stream is not forwarded, so the other side stays open until it closes
            // the connection itself.
            Some(Silence::Dropped) if read == 0 => return,
            Some(Silence::Dropped) => continue,
            Some(Silence::NotRead) => future::pending().await,
            None => {}
        }
        if read == 0 {
            // The peer reads the remaining data until the end of the stream.
            let _ = to.get_ref().shutdown(std::net::Shutdown::Write);
            return;
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}

/// Transfer time of bytes at a rate.
fn transfer_time(bytes: usize, bytes_per_s: u64) -> Duration {
    Duration::from_micros(bytes as u64 * 1_000_000 / bytes_per_s)
}

/// Waits while a fault blocks or delays data in a direction.
async fn wait_for_link(direction: Direction, bytes: usize, connection: &ConnectionGuard) {
    let mut waited = Duration::ZERO;
    let started = Instant::now();
    loop {
        let active_fault = connection.lock().active_fault;
        let applies = |active_fault: &ActiveFault| {
            active_fault.until > Instant::now()
                && (active_fault.direction == direction
                    || active_fault.direction == Direction::Both)
        };
        match active_fault.filter(applies).map(|active_fault| active_fault.fault) {
            Some(Fault::HeldBack) => {}
            Some(Fault::Delayed(time)) if waited < time => {}
            Some(Fault::Slow(bytes_per_s)) if waited < transfer_time(bytes, bytes_per_s) => {}
            _ => return,
        }
        Timer::after(POLL).await;
        waited = started.elapsed();
    }
}
