//! A fake HTTP target with a configurable service time that counts the starts of each task.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use hyper::{HeaderMap, Request, Response};
use net::{Body, Clients, Limits, RequestBody};
use xxhash_rust::xxh3::xxh3_64;

/// How long the fake target takes to answer a task.
#[derive(Clone, Copy, Debug)]
pub enum ServiceTime {
    /// Answers without delay.
    None,
    /// A time between `min_ms` and `max_ms`, derived from a hash of the task's text, so that equal
    /// tasks always take equally long.
    FromTaskHash {
        /// Lower bound, in milliseconds.
        min_ms: u64,
        /// Upper bound, in milliseconds.
        max_ms: u64,
    },
}

impl ServiceTime {
    /// Returns the service time of a task with this text.
    pub fn for_task(self, task: &str) -> Duration {
        match self {
            Self::None => Duration::ZERO,
            Self::FromTaskHash { min_ms, max_ms } => {
                let range = (max_ms - min_ms).max(1) * 1_000;
                Duration::from_micros(min_ms * 1_000 + xxh3_64(task.as_bytes()) % range)
            }
        }
    }
}

/// How the fake target responds to a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds with status 200 after the service time.
    Succeed,
    /// Responds with status 500 at once.
    Fail,
    /// Accepts the request and never responds.
    Hang,
}

/// Number of starts of each task, by the submission and task index of its request headers.
type StartCounts = Arc<Mutex<HashMap<(String, String), u32>>>;

/// A running fake target, which stops when dropped.
pub struct Target {
    address: SocketAddr,
    start_counts: StartCounts,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Target {
    /// Starts a fake target on a free loopback port.
    ///
    /// Fails if the port can't be bound or the thread can't be spawned.
    pub fn start(service_time: ServiceTime, behaviour: Behaviour) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let start_counts = StartCounts::default();
        let (stop, stopped) = async_channel::bounded(1);
        let thread_counts = start_counts.clone();
        let serve = move || serve(listener, service_time, behaviour, thread_counts, stopped);
        let thread = thread::Builder::new().name("stand-in".to_owned()).spawn(serve)?;
        Ok(Self { address, start_counts, stop: Some(stop), thread: Some(thread) })
    }

    /// The address on which the target listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of distinct tasks started, and the highest start count of any task.
    pub fn start_summary(&self) -> (usize, u32) {
        let start_counts = self.start_counts.lock().unwrap_or_else(PoisonError::into_inner);
        (start_counts.len(), start_counts.values().copied().max().unwrap_or(0))
    }

    /// Returns the start count of every started task, by submission and task index.
    pub fn start_counts(&self) -> HashMap<(String, String), u32> {
        self.start_counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread is ignored: the test sees its requests fail.
            let _ = thread.join();
        }
    }
}

fn serve(
    listener: Async<TcpListener>,
    service_time: ServiceTime,
    behaviour: Behaviour,
    start_counts: StartCounts,
    stopped: async_channel::Receiver<()>,
) {
    let limits = Limits {
        max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
        max_body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(10),
        body_timeout: Duration::from_secs(10),
        idle_timeout: Duration::from_secs(10),
        max_connections: 1_000,
        socket_buffer_bytes: net::DEFAULT_SOCKET_BUFFER_BYTES,
    };
    let handler = move |request: Request<RequestBody>| {
        let start_counts = start_counts.clone();
        async move { handle_request(request, service_time, behaviour, &start_counts).await }
    };
    net::block_on(|tasks| async move {
        tasks.spawn(net::serve(
            listener,
            tasks.clone(),
            Clients::default(),
            move || limits,
            handler,
        ));
        // Returns an error once the `Target` has been dropped.
        let _ = stopped.recv().await;
    });
}

async fn handle_request(
    request: Request<RequestBody>,
    service_time: ServiceTime,
    behaviour: Behaviour,
    start_counts: &StartCounts,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Ok(body) = body.read().await else { return response(400, "no body".to_owned()) };
    let task = String::from_utf8_lossy(&body).into_owned();
    drop(body);
    record_start(&head.headers, start_counts);
    match behaviour {
        Behaviour::Succeed => {
            Timer::after(service_time.for_task(&task)).await;
            response(200, format!("done: {task}"))
        }
        Behaviour::Fail => response(500, "out of order".to_owned()),
        Behaviour::Hang => future::pending().await,
    }
}

fn record_start(headers: &HeaderMap, start_counts: &StartCounts) {
    let text = |name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let task_key = (text("dockpass-submission"), text("dockpass-task"));
    *start_counts.lock().unwrap_or_else(PoisonError::into_inner).entry(task_key).or_default() += 1;
}

fn response(status: u16, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = hyper::StatusCode::from_u16(status).expect("the status code is valid");
    response
}
