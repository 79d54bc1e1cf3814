//! A target that takes as long as a task asks for and counts how often each was started.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use hyper::body::Bytes;
use hyper::{HeaderMap, Request, Response};
use net::{Body, BodyError, Limits};
use xxhash_rust::xxh3::xxh3_64;

/// How long a task takes at the stand-in.
#[derive(Clone, Copy, Debug)]
pub enum ServiceTime {
    /// No time.
    None,
    /// A time within these bounds, in milliseconds, that depends on the task's text alone.
    ByText {
        /// The shortest.
        min_ms: u64,
        /// The longest.
        max_ms: u64,
    },
}

impl ServiceTime {
    /// How long this task takes.
    pub fn of(self, task: &str) -> Duration {
        match self {
            Self::None => Duration::ZERO,
            Self::ByText { min_ms, max_ms } => {
                let range = (max_ms - min_ms).max(1) * 1_000;
                Duration::from_micros(min_ms * 1_000 + xxh3_64(task.as_bytes()) % range)
            }
        }
    }
}

/// How the stand-in treats a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers it.
    Answers,
    /// Answers with status 500.
    Fails,
    /// Takes it and never answers.
    Stuck,
}

/// How often each task (submission and index as their headers say) was started.
type Starts = Arc<Mutex<HashMap<(String, String), u32>>>;

/// A running stand-in; it stops when dropped.
pub struct Target {
    address: SocketAddr,
    starts: Starts,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Target {
    /// Starts a stand-in on a free port of the loopback.
    pub fn start(time: ServiceTime, behaviour: Behaviour) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let starts = Starts::default();
        let (stop, stopped) = async_channel::bounded(1);
        let counted = starts.clone();
        let run = move || run(listener, time, behaviour, counted, stopped);
        let thread = thread::Builder::new().name("stand-in".to_owned()).spawn(run)?;
        Ok(Self { address, starts, stop: Some(stop), thread: Some(thread) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many tasks were started, and the most often that one was.
    pub fn starts(&self) -> (usize, u32) {
        let starts = self.starts.lock().unwrap_or_else(PoisonError::into_inner);
        (starts.len(), starts.values().copied().max().unwrap_or(0))
    }

    /// Every started task with how often it was.
    pub fn started(&self) -> HashMap<(String, String), u32> {
        self.starts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // A stand-in that panicked has failed its test already.
            let _ = thread.join();
        }
    }
}

fn run(
    listener: Async<TcpListener>,
    time: ServiceTime,
    behaviour: Behaviour,
    starts: Starts,
    stopped: async_channel::Receiver<()>,
) {
    let limits = Limits {
        max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
        max_body_bytes: 1 << 20,
        read_timeout: Duration::from_secs(10),
        max_connections: 1_000,
    };
    let handler = move |request: Request<Result<Bytes, BodyError>>| {
        let starts = starts.clone();
        async move { answer(request, time, behaviour, &starts).await }
    };
    net::block_on(|tasks| async move {
        tasks.spawn(net::serve(listener, tasks.clone(), move || limits, handler));
        // Ends when the handle is dropped.
        let _ = stopped.recv().await;
    });
}

async fn answer(
    request: Request<Result<Bytes, BodyError>>,
    time: ServiceTime,
    behaviour: Behaviour,
    starts: &Starts,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Ok(body) = body else { return response(400, "no body".to_owned()) };
    let task = String::from_utf8_lossy(&body).into_owned();
    count(&head.headers, starts);
    match behaviour {
        Behaviour::Answers => {
            Timer::after(time.of(&task)).await;
            response(200, format!("done: {task}"))
        }
        Behaviour::Fails => response(500, "out of order".to_owned()),
        Behaviour::Stuck => future::pending().await,
    }
}

fn count(headers: &HeaderMap, starts: &Starts) {
    let text = |name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let key = (text("dockpass-submission"), text("dockpass-task"));
    *starts.lock().unwrap_or_else(PoisonError::into_inner).entry(key).or_default() += 1;
}

fn response(status: u16, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = hyper::StatusCode::from_u16(status).expect("constant statuses");
    response
}
