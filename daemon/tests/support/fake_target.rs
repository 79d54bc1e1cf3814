//! A stand-in for a target: it takes orders over HTTP, runs tasks for as long as their spec says,
//! and reports of itself to its agent. It can crash and begin a new life at the same address, and a
//! heartbeat of an earlier life can arrive late.
//!
//! A spec is the time that a task takes in milliseconds; with `FAILS` before it, the task fails then.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};
use net::{Body, BodyError, Limits};
use serde_json::{Value, json};

use super::call;

/// How often it reports of itself.
const BEAT: Duration = Duration::from_millis(100);
/// How often a hold that waits looks for an end.
const POLL: Duration = Duration::from_millis(5);
const CPU_MILLI: u64 = 8_000;
/// Comes before the time of a task that fails.
pub const FAILS: &str = "fails ";
/// A target that got no processor for so long may have left an order unanswered: an agent waits 40 ms.
const HELD_UP: Duration = Duration::from_millis(25);
/// Names the life that an order is for.
const EXPECTED_INSTANCE: &str = "x-dockpass-expected-instance";
/// The answer to an order for another life.
const OTHER_LIFE: u16 = 421;
/// How long a report may take.
const BEAT_TIME: Duration = Duration::from_secs(1);

/// One run of a task.
#[derive(Clone, Debug)]
pub struct Span {
    pub task: String,
    pub began: Instant,
    /// When it ended, and how.
    pub ended: Option<(Instant, &'static str)>,
}

/// What a stand-in saw, over all its lives.
#[derive(Debug, Default)]
pub struct Seen {
    /// Starts by task.
    pub starts: BTreeMap<String, u32>,
    /// Most tasks at once.
    pub most: usize,
    /// The runs, in the order of their starts.
    pub spans: Vec<Span>,
    /// When orders came for a life that is over, and for which.
    pub misdirected: Vec<(Instant, String)>,
    /// When its present life was first acknowledged by its agent.
    pub acknowledged: Option<Instant>,
    /// When the host last held it up for so long that agents take its orders for unanswered.
    pub held_up: Option<Instant>,
}

/// A running stand-in; it ends when dropped.
pub struct StandInTarget {
    pub seen: Arc<Mutex<Seen>>,
    address: SocketAddr,
    agent: SocketAddr,
    hall: &'static str,
    began: Instant,
    stop: Option<async_channel::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

struct Run {
    number: u64,
    ends: Instant,
    /// How it ends, unless something else ends it before.
    how: &'static str,
    lease: Instant,
}

struct State {
    life: Life,
    fence: u64,
    runs: BTreeMap<String, Run>,
    barred: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next: u64,
}

impl StandInTarget {
    /// Starts a target that reports to its agent.
    pub fn start(address: SocketAddr, agent: SocketAddr, id: &str) -> Self {
        Self::start_in(address, agent, id, "hall")
    }

    /// Starts a target in a data hall.
    pub fn start_in(address: SocketAddr, agent: SocketAddr, id: &str, hall: &'static str) -> Self {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let mut target =
            Self { seen, address, agent, hall, began: Instant::now(), stop: None, threads: vec![] };
        target.live(id);
        target
    }

    /// Begins a life.
    fn live(&mut self, id: &str) {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        self.began = Instant::now();
        self.seen.lock().expect("nobody panicked with it").acknowledged = None;
        let (address, began) = (self.address, self.began);
        let life = Life { id: id.to_owned(), began, seen: self.seen.clone() };
        let serving = stopped.clone();
        let serve = std::thread::spawn(move || serve(address, life, serving));
        let (agent, hall) = (self.agent, self.hall);
        let (seen, id) = (self.seen.clone(), id.to_owned());
        let beats = std::thread::spawn(move || {
            while !stopped.is_closed() {
                // An agent that is down hears of it later.
                if beat(agent, hall, &id, clock_ms(began)) {
                    let mut seen = seen.lock().expect("nobody panicked with it");
                    seen.acknowledged.get_or_insert_with(Instant::now);
                }
                std::thread::sleep(BEAT);
            }
        });
        self.stop = Some(stop);
        self.threads = vec![serve, beats];
    }

    /// Crashes, and begins a new life at the same address; nothing of the old one runs on. Returns
    /// the clock of the life that is over.
    pub fn begin_new_life(&mut self, id: &str) -> u64 {
        let clock_ms = clock_ms(self.began);
        self.end();
        self.live(id);
        clock_ms
    }

    /// A heartbeat of an earlier life arrives now; returns whether it was acknowledged.
    pub fn late_beat(&self, id: &str, clock_ms: u64) -> bool {
        beat(self.agent, self.hall, id, clock_ms)
    }

    fn end(&mut self) {
        self.stop.take();
        for thread in self.threads.drain(..) {
            // One that panicked has failed its test already.
            let _ = thread.join();
        }
    }
}

impl Drop for StandInTarget {
    fn drop(&mut self) {
        self.end();
    }
}

/// One life of a target.
struct Life {
    id: String,
    began: Instant,
    seen: Arc<Mutex<Seen>>,
}

/// The clock of a life that began then.
fn clock_ms(began: Instant) -> u64 {
    1_000 + began.elapsed().as_millis() as u64
}

/// Reports of a life to an agent; returns whether it was acknowledged.
fn beat(agent: SocketAddr, hall: &str, id: &str, clock_ms: u64) -> bool {
    let body = json!({"service": "work", "zone": hall, "state": "ready", "labels": ["a"],
        "capacity": {"cpu": CPU_MILLI, "mem_mb": 32_768, "gpu": 0},
        "clock_ms": clock_ms, "sequence": clock_ms});
    let path = format!("/instances/{id}/heartbeat");
    call(agent, "POST", &path, &body.to_string(), BEAT_TIME)
        .is_some_and(|answer| answer.status == 200)
}

fn serve(address: SocketAddr, life: Life, stopped: async_channel::Receiver<()>) {
    let limits = Limits {
        max_header_bytes: net::DEFAULT_MAX_HEADER_BYTES,
        max_body_bytes: 1 << 20,
        read_timeout: Duration::from_secs(10),
        max_connections: 100,
    };
    let state = Rc::new(RefCell::new(State {
        life,
        fence: 0,
        runs: BTreeMap::new(),
        barred: BTreeMap::new(),
        ended: Vec::new(),
        next: 1,
    }));
    let crashing = state.clone();
    let passing = state.clone();
    net::block_on(|tasks| async move {
        let listener = Async::<TcpListener>::bind(address).expect("the address is free");
        let handler = move |request: Request<Result<Bytes, BodyError>>| {
            let state = state.clone();
            async move { answer(&state, request).await }
        };
        tasks.spawn(net::serve(listener, tasks.clone(), move || limits, handler));
        tasks.spawn(async move {
            // Runs end and leases run out whether or not anyone asks.
            loop {
                let looked = Instant::now();
                passing.borrow_mut().pass();
                Timer::after(POLL).await;
                passing.borrow().note_pause(looked);
            }
        });
        // Ends when the handle is dropped.
        let _ = stopped.recv().await;
        crashing.borrow_mut().crash();
    });
}

async fn answer(
    state: &Rc<RefCell<State>>,
    request: Request<Result<Bytes, BodyError>>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let order: Value =
        body.ok().and_then(|body| serde_json::from_slice(&body).ok()).unwrap_or_default();
    let number = |name: &str| order[name].as_u64().unwrap_or_default();
    let expected = head.headers.get(EXPECTED_INSTANCE).and_then(|id| id.to_str().ok());
    if let Some(other) = expected.filter(|id| *id != state.borrow().life.id) {
        return state.borrow().other_life(other);
    }
    if number("fencing_token") < state.borrow().fence {
        let clock_ms = state.borrow().clock_ms();
        return respond(409, &json!({"clock_ms": clock_ms, "reason": "fence"}));
    }
    state.borrow_mut().fence = number("fencing_token");
    match head.uri.path() {
        "/run-start" => state.borrow_mut().start(&order),
        "/run-stop" => state.borrow_mut().stop(&order),
        "/hold" => hold(state, &order).await,
        _ => respond(404, &json!({})),
    }
}

async fn hold(state: &Rc<RefCell<State>>, order: &Value) -> Response<Body> {
    let number = |name: &str| order[name].as_u64().unwrap_or_default();
    let until = Instant::now() + Duration::from_millis(number("wait_ms"));
    // A lease that has run out can't be renewed.
    state.borrow_mut().pass();
    state.borrow_mut().renew(number("deadline_ms"));
    let last_seen = number("last_seen");
    state.borrow_mut().ended.retain(|(number, ..)| *number > last_seen);
    loop {
        state.borrow_mut().pass();
        if !state.borrow().ended.is_empty() || Instant::now() >= until {
            return state.borrow().lists();
        }
        Timer::after(POLL).await;
    }
}

impl State {
    /// Takes note of a long time between two looks.
    fn note_pause(&self, looked: Instant) {
        if looked.elapsed() > POLL + HELD_UP {
            let mut seen = self.life.seen.lock().expect("nobody panicked with it");
            seen.held_up = Some(Instant::now());
        }
    }

    fn clock_ms(&self) -> u64 {
        clock_ms(self.life.began)
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.life.seen.lock().expect("nobody panicked with it")
    }

    /// An order for another life changes nothing.
    fn other_life(&self, id: &str) -> Response<Body> {
        self.seen().misdirected.push((Instant::now(), id.to_owned()));
        respond(OTHER_LIFE, &json!({"clock_ms": self.clock_ms()}))
    }

    /// All that runs ends with its life.
    fn crash(&mut self) {
        self.pass();
        let tasks: Vec<String> = self.runs.keys().cloned().collect();
        tasks.iter().for_each(|task| self.end(task, "crashed"));
    }

    fn renew(&mut self, deadline_ms: u64) {
        let left = Duration::from_millis(deadline_ms.saturating_sub(self.clock_ms()));
        let lease = Instant::now() + left.min(Duration::from_secs(1));
        self.runs.values_mut().for_each(|run| run.lease = run.lease.max(lease));
    }

    fn pass(&mut self) {
        let now = Instant::now();
        let over = |run: &Run| run.ends <= now || run.lease <= now;
        let tasks: Vec<String> =
            self.runs.iter().filter(|(_, run)| over(run)).map(|(task, _)| task.clone()).collect();
        for task in tasks {
            let run = &self.runs[&task];
            let how = if run.ends <= now { run.how } else { "lapsed" };
            self.end(&task, how);
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.runs.remove(task) else { return };
        let over = Instant::now().min(run.ends).min(run.lease);
        let mut seen = self.seen();
        let mut spans = seen.spans.iter_mut().rev();
        if let Some(span) = spans.find(|span| span.task == task && span.ended.is_none()) {
            span.ended = Some((over, how));
        }
        drop(seen);
        self.barred.insert(task.to_owned(), run.number);
        self.ended.push((self.next, task.to_owned(), run.number, how));
        self.next += 1;
    }

    fn start(&mut self, order: &Value) -> Response<Body> {
        self.pass();
        let clock_ms = self.clock_ms();
        let refuse = |reason: &str| respond(409, &json!({"clock_ms": clock_ms, "reason": reason}));
        let task = order["task"].as_str().unwrap_or_default().to_owned();
        let number = order["run"].as_u64().unwrap_or_default();
        let deadline_ms = order["deadline_ms"].as_u64().unwrap_or_default();
        if deadline_ms <= clock_ms {
            return refuse("late");
        }
        if self.runs.get(&task).is_some_and(|run| run.number == number) {
            return respond(200, &json!({"clock_ms": clock_ms}));
        }
        let barred = self.barred.get(&task).is_some_and(|barred| number <= *barred);
        if barred || self.runs.contains_key(&task) {
            return refuse("old");
        }
        if (self.runs.len() as u64 + 1) * 1_000 > CPU_MILLI {
            return refuse("room");
        }
        let spec = order["spec"].as_str().unwrap_or_default();
        let how = if spec.starts_with(FAILS) { "failed" } else { "done" };
        let work: u64 = spec.trim_start_matches(FAILS).parse().unwrap_or(1);
        let now = Instant::now();
        let lease = now + Duration::from_millis(deadline_ms - clock_ms);
        let ends = now + Duration::from_millis(work);
        self.runs.insert(task.clone(), Run { number, ends, how, lease });
        let running = self.runs.len();
        let mut seen = self.seen();
        seen.spans.push(Span { task: task.clone(), began: now, ended: None });
        *seen.starts.entry(task).or_default() += 1;
        seen.most = seen.most.max(running);
        drop(seen);
        respond(200, &json!({"clock_ms": clock_ms}))
    }

    fn stop(&mut self, order: &Value) -> Response<Body> {
        let task = order["task"].as_str().unwrap_or_default();
        let number = order["run"].as_u64().unwrap_or_default();
        if self.runs.get(task).is_some_and(|run| run.number == number) {
            self.end(task, "stopped");
        } else {
            self.barred.insert(task.to_owned(), number);
        }
        respond(200, &json!({"clock_ms": self.clock_ms()}))
    }

    fn lists(&self) -> Response<Body> {
        let running: Vec<Value> =
            self.runs.iter().map(|(task, run)| json!([task, run.number, "", 100])).collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let clock_ms = self.clock_ms();
        respond(200, &json!({"clock_ms": clock_ms, "running": running, "ended": ended}))
    }
}

fn respond(status: u16, body: &Value) -> Response<Body> {
    let mut response = Response::new(Body::from(body.to_string()));
    *response.status_mut() = StatusCode::from_u16(status).expect("statuses are constants");
    response
}
