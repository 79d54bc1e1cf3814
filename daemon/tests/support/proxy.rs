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
    There,
    /// To who connects.
    Back,
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
    NotTaken,
}

#[derive(Clone, Copy, Debug)]
struct Struck {
    fault: Fault,
    direction: Direction,
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    struck: Option<Struck>,
    resets: u64,
    /// Connections so far.
    taken: u64,
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
    pub fn strike(&self, fault: Fault, direction: Direction, until: Instant) {
        let mut state = self.state.lock().expect("nobody panicked with it");
        match fault {
            Fault::Reset => state.resets += 1,
            _ => state.struck = Some(Struck { fault, direction, until }),
        }
    }

    /// Silences one open connection for good, the one that `choose` takes of so many.
    pub fn silence_one(&self, silence: Silence, choose: impl FnOnce(usize) -> usize) {
        let mut state = self.state.lock().expect("nobody panicked with it");
        let sound: Vec<&mut Option<Silence>> =
            state.open.values_mut().filter(|silent| silent.is_none()).collect();
        if sound.is_empty() {
            return;
        }
        let chosen = choose(sound.len());
        *sound.into_iter().nth(chosen).expect("one of them") = Some(silence);
    }

    /// Silences all open connections for good; returns how many.
    pub fn silence_all(&self, silence: Silence) -> u64 {
        let mut state = self.state.lock().expect("nobody panicked with it");
        let sound = state.open.values_mut().filter(|silent| silent.is_none());
        sound.map(|silent| *silent = Some(silence)).count() as u64
    }

    /// How many connections it has taken.
    pub fn taken(&self) -> u64 {
        self.state.lock().expect("nobody panicked with it").taken
    }

    /// Ends all faults that have an end.
    pub fn heal(&self) {
        self.state.lock().expect("nobody panicked with it").struck = None;
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
        let Ok((near, _)) = listener.accept().await else {
            Timer::after(POLL).await;
            continue;
        };
        let state = state.clone();
        tasks.spawn(async move { lead(near, to, state).await });
    }
}

/// Leads one connection until both sides have ended or it is reset.
async fn lead(near: Async<TcpStream>, to: SocketAddr, state: Arc<Mutex<State>>) {
    let resets = state.lock().expect("nobody panicked with it").resets;
    let Ok(far) = Async::<TcpStream>::connect(to).await else { return };
    // Without the options the link is slower, or a reset is an end: faults all the same.
    let _ = near.get_ref().set_nodelay(true);
    let _ = far.get_ref().set_nodelay(true);
    let link = Link::open(state);
    let there = copy(&near, &far, Direction::There, &link);
    let back = copy(&far, &near, Direction::Back, &link);
    let ended = async {
        future::zip(there, back).await;
    };
    let reset = async {
        while link.lock().resets == resets {
            Timer::after(POLL).await;
        }
        for side in [&near, &far] {
            let _ = SockRef::from(side.get_ref()).set_linger(Some(Duration::ZERO));
        }
    };
    future::or(ended, reset).await;
}

/// One connection's share of the state; it is no longer open when dropped.
struct Link {
    state: Arc<Mutex<State>>,
    number: u64,
}

impl Link {
    fn open(state: Arc<Mutex<State>>) -> Self {
        let mut locked = state.lock().expect("nobody panicked with it");
        locked.taken += 1;
        let number = locked.taken;
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

impl Drop for Link {
    fn drop(&mut self) {
        self.lock().open.remove(&self.number);
    }
}

async fn copy(from: &Async<TcpStream>, to: &Async<TcpStream>, direction: Direction, link: &Link) {
    let (mut from, mut to) = (from, to);
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = from.read(&mut chunk).await.unwrap_or(0);
        wait(direction, read, link).await;
        match link.silence() {
            // The other side keeps its end of the connection until it closes it on its own.
            Some(Silence::Dropped) if read == 0 => return,
            Some(Silence::Dropped) => continue,
            Some(Silence::NotTaken) => future::pending().await,
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
fn time_of(bytes: usize, per_s: u64) -> Duration {
    Duration::from_micros(bytes as u64 * 1_000_000 / per_s)
}

/// Waits as long as the link holds so many bytes of a direction back.
async fn wait(direction: Direction, bytes: usize, link: &Link) {
    let mut waited = Duration::ZERO;
    let began = Instant::now();
    loop {
        let struck = link.lock().struck;
        let concerned = |struck: &Struck| {
            struck.until > Instant::now()
                && (struck.direction == direction || struck.direction == Direction::Both)
        };
        match struck.filter(concerned).map(|struck| struck.fault) {
            Some(Fault::HeldBack) => {}
            Some(Fault::Delayed(time)) if waited < time => {}
            Some(Fault::Slow(per_s)) if waited < time_of(bytes, per_s) => {}
            _ => return,
        }
        Timer::after(POLL).await;
        waited = began.elapsed();
    }
}
