//! A proxy on loopback that stands for a link: it delays, holds back, or resets what goes over it, or
//! silences single connections for good while new ones work.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use net::Spawner;
use socket2::SockRef;

/// How often what waits looks whether the link is well again.
const POLL: Duration = Duration::from_millis(2);
const CHUNK: usize = 16 * 1024;

/// Which bytes a fault of a link concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From who connects.
    ToServer,
    /// To who connects.
    ToClient,
    Both,
}

/// What happens to bytes on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// They come later by so much.
    Delayed(Duration),
    /// They come once the fault is over, also where who sent them has gone away meanwhile.
    HeldBack,
    /// Each connection carries so many bytes a second.
    Slow(u64),
    /// Every connection is reset once; new ones are taken.
    Reset,
}

/// What becomes of the bytes of a connection that is silent for good. Neither side hears anything of
/// the other any more, not even its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// They are taken and dropped: who sends sees no difference.
    Dropped,
    /// They are not even taken: who sends much is held up.
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
    resets: u64,
    /// Connections so far.
    accepted: u64,
    /// The connections that are open, by their number.
    open: BTreeMap<u64, Option<Silence>>,
}

/// A link; it ends when dropped.
pub struct Proxy {
    state: Arc<Mutex<State>>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Takes connections at an address and leads them to another.
    pub fn start(listen: SocketAddr, to: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let shared = state.clone();
        let thread = std::thread::spawn(move || {
            net::block_on(|tasks| async move {
                let listener = Async::<TcpListener>::bind(listen).expect("the address is free");
                tasks.spawn(accept(listener, to, shared, tasks.clone()));
                // Ends when the handle is dropped.
                let _ = stopped.recv().await;
            });
        });
        Self { state, stop: Some(stop), thread: Some(thread) }
    }

    /// Strikes the link until a time.
    pub fn inject(&self, fault: Fault, direction: Direction, until: Instant) {
        let mut state = self.state.lock().expect("nobody panicked with it");
        match fault {
            Fault::Reset => state.resets += 1,
            _ => state.active_fault = Some(ActiveFault { fault, direction, until }),
        }
    }

    /// Silences one open connection for good, the one that `choose` takes of so many.
    pub fn silence_one(&self, silence: Silence, choose: impl FnOnce(usize) -> usize) {
        let mut state = self.state.lock().expect("nobody panicked with it");
        let active: Vec<&mut Option<Silence>> =
            state.open.values_mut().filter(|silent| silent.is_none()).collect();
        if active.is_empty() {
            return;
        }
        let chosen = choose(active.len());
        *active.into_iter().nth(chosen).expect("one of them") = Some(silence);
    }

    /// Silences all open connections for good; returns how many.
    pub fn silence_all(&self, silence: Silence) -> u64 {
        let mut state = self.state.lock().expect("nobody panicked with it");
        let active = state.open.values_mut().filter(|silent| silent.is_none());
        active.map(|silent| *silent = Some(silence)).count() as u64
    }

    /// How many connections it has taken.
    pub fn accepted_count(&self) -> u64 {
        self.state.lock().expect("nobody panicked with it").accepted
    }

    /// Ends all faults that have an end.
    pub fn clear_fault(&self) {
        self.state.lock().expect("nobody panicked with it").active_fault = None;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // One that panicked has failed its test already.
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

/// Leads one connection until both sides have ended or it is reset.
async fn forward(client: Async<TcpStream>, to: SocketAddr, state: Arc<Mutex<State>>) {
    let resets = state.lock().expect("nobody panicked with it").resets;
    let Ok(server) = Async::<TcpStream>::connect(to).await else { return };
    // Without the options the link is slower, or a reset is an end: faults all the same.
    let _ = client.get_ref().set_nodelay(true);
    let _ = server.get_ref().set_nodelay(true);
    let connection = ConnectionGuard::open(state);
    let to_server = copy(&client, &server, Direction::ToServer, &connection);
    let to_client = copy(&server, &client, Direction::ToClient, &connection);
    let ended = async {
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
    future::or(ended, reset).await;
}

/// One connection's share of the state; it is no longer open when dropped.
struct ConnectionGuard {
    state: Arc<Mutex<State>>,
    number: u64,
}

impl ConnectionGuard {
    fn open(state: Arc<Mutex<State>>) -> Self {
        let mut locked = state.lock().expect("nobody panicked with it");
        locked.accepted += 1;
        let number = locked.accepted;
        locked.open.insert(number, None);
        drop(locked);
        Self { state, number }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("nobody panicked with it")
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
            // The other side keeps its end of the connection until it closes it on its own.
            Some(Silence::Dropped) if read == 0 => return,
            Some(Silence::Dropped) => continue,
            Some(Silence::NotRead) => future::pending().await,
            None => {}
        }
        if read == 0 {
            // The other side reads to its end.
            let _ = to.get_ref().shutdown(std::net::Shutdown::Write);
            return;
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}

/// How long bytes take at a rate a second.
fn transfer_time(bytes: usize, bytes_per_s: u64) -> Duration {
    Duration::from_micros(bytes as u64 * 1_000_000 / bytes_per_s)
}

/// Waits as long as the link holds so many bytes of a direction back.
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
